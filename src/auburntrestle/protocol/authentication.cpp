#include "auburntrestle/protocol/authentication.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace auburntrestle::protocol {

namespace internal {

struct MacDeleter
{
  void operator()(EVP_MAC* aMac) const noexcept { EVP_MAC_free(aMac); }
};

struct MacContextDeleter
{
  void operator()(EVP_MAC_CTX* aContext) const noexcept
  {
    EVP_MAC_CTX_free(aContext);
  }
};

const unsigned char* AsUnsignedBytes(std::string_view aBytes)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data());
}

void Require(bool aCondition, const char* aMessage)
{
  if (!aCondition) {
    throw std::runtime_error(aMessage);
  }
}

} // namespace internal

struct Authenticator::State
{
  std::unique_ptr<EVP_MAC, internal::MacDeleter> m_mac;
  std::unique_ptr<EVP_MAC_CTX, internal::MacContextDeleter> m_context;
};

Nonce RandomNonce()
{
  Nonce nonce{};
  internal::Require(RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                               static_cast<int>(nonce.size())) == 1,
                    "no random bytes from the system");
  return nonce;
}

SharedKey::SharedKey(std::string aSecret)
  : m_secret(std::move(aSecret))
{
}

Expected<SharedKey> SharedKey::FromText(std::string_view aText)
{
  const auto last = aText.find_last_not_of(" \t\r\n");
  const std::size_t length = last == std::string_view::npos ? 0 : last + 1;
  if (length < kMinBytes) {
    return Fail(ProtocolErrorCode::BadKey,
                "the shared key has " + std::to_string(length) +
                  " bytes; at least " + std::to_string(kMinBytes) +
                  " are needed");
  }
  return SharedKey(std::string(aText.substr(0, length)));
}

Expected<SharedKey> SharedKey::FromFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(ProtocolErrorCode::BadKey, "cannot read " + aPath);
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return FromText(text);
}

Authenticator::Authenticator(std::string_view aKey)
  : m_state(std::make_unique<State>())
{
  m_state->m_mac.reset(EVP_MAC_fetch(nullptr, "HMAC", nullptr));
  internal::Require(m_state->m_mac != nullptr, "OpenSSL offers no HMAC");
  m_state->m_context.reset(EVP_MAC_CTX_new(m_state->m_mac.get()));
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters{
    OSSL_PARAM_construct_utf8_string(
      OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
    OSSL_PARAM_construct_end()
  };
  internal::Require(m_state->m_context != nullptr &&
                      EVP_MAC_init(m_state->m_context.get(),
                                   internal::AsUnsignedBytes(aKey),
                                   aKey.size(),
                                   parameters.data()) == 1,
                    "HMAC-SHA256 cannot be set up");
}

Authenticator::Authenticator(Authenticator&&) noexcept = default;
Authenticator& Authenticator::operator=(Authenticator&&) noexcept = default;
Authenticator::~Authenticator() = default;

std::string Authenticator::Digest(
  std::initializer_list<std::string_view> aParts)
{
  EVP_MAC_CTX* context = m_state->m_context.get();
  bool success = EVP_MAC_init(context, nullptr, 0, nullptr) == 1;
  for (const std::string_view part : aParts) {
    success = success && EVP_MAC_update(context,
                                        internal::AsUnsignedBytes(part),
                                        part.size()) == 1;
  }
  std::string digest(EVP_MAX_MD_SIZE, '\0');
  std::size_t length = 0;
  success =
    success && EVP_MAC_final(context,
                             reinterpret_cast<unsigned char*>(digest.data()),
                             &length,
                             digest.size()) == 1;
  internal::Require(success, "HMAC-SHA256 failed");
  digest.resize(length);
  return digest;
}

std::string Authenticator::Tag(std::initializer_list<std::string_view> aParts)
{
  std::string digest = Digest(aParts);
  digest.resize(kTagBytes);
  return digest;
}

bool Authenticator::Verify(std::string_view aTag,
                           std::initializer_list<std::string_view> aParts)
{
  const std::string expected = Tag(aParts);
  return aTag.size() == expected.size() &&
         CRYPTO_memcmp(aTag.data(), expected.data(), expected.size()) == 0;
}

} // namespace auburntrestle::protocol
