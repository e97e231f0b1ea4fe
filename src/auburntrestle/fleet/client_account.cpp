#include "auburntrestle/fleet/client_account.hpp"

#include <openssl/sha.h>

namespace auburntrestle::fleet {

static_assert(kKeyDigestBytes == SHA256_DIGEST_LENGTH);

KeyDigest DigestOf(std::string_view aKey)
{
  KeyDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return digest;
}

} // namespace auburntrestle::fleet
