#include "auburntrestle/settings/digest.hpp"

#include <openssl/sha.h>

#include <array>

namespace auburntrestle::settings {

Digest DigestOf(std::string_view aBytes)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         raw.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(raw.size() * 2);
  for (const unsigned byte : raw) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return Digest(std::move(text));
}

} // namespace auburntrestle::settings
