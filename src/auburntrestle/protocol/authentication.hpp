#ifndef AUBURNTRESTLE_PROTOCOL_AUTHENTICATION_HPP
#define AUBURNTRESTLE_PROTOCOL_AUTHENTICATION_HPP

#include "auburntrestle/protocol/error.hpp"

#include <array>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/**
 * Bytes of the authentication tag on the wire. HMAC-SHA256 is truncated to 128
 * bits, half of its length, as RFC 2104 allows, because control traffic is
 * limited to 13 KB/s.
 */
inline constexpr std::size_t kTagBytes = 16;

/** Random bytes that make a connection unique. */
using Nonce = std::array<char, 16>;

/** @return a nonce from a cryptographic random generator. */
[[nodiscard]] Nonce RandomNonce();

/** The secret shared by the instances of a deployment. */
class SharedKey
{
public:
  /** Minimum length of a key in bytes. */
  static constexpr std::size_t kMinBytes = 16;

  /**
   * Creates a key from text, ignoring trailing white space.
   *
   * @return the key, or BadKey when it is shorter than kMinBytes.
   */
  [[nodiscard]] static Expected<SharedKey> FromText(std::string_view aText);

  /** Reads a key file. @return the key, or BadKey. */
  [[nodiscard]] static Expected<SharedKey> FromFile(const std::string& aPath);

  /** @return the secret bytes; never log them. */
  [[nodiscard]] const std::string& Secret() const noexcept { return m_secret; }

private:
  explicit SharedKey(std::string aSecret);

  std::string m_secret;
};

/** Computes and checks HMAC-SHA256 under one key. Not thread-safe. */
class Authenticator
{
public:
  /** @param aKey the secret; any length. */
  explicit Authenticator(std::string_view aKey);
  Authenticator(Authenticator&&) noexcept;
  Authenticator& operator=(Authenticator&&) noexcept;
  ~Authenticator();

  /** @return the full 32 bytes over the concatenated parts. */
  [[nodiscard]] std::string Digest(
    std::initializer_list<std::string_view> aParts);

  /** @return the first kTagBytes of Digest. */
  [[nodiscard]] std::string Tag(std::initializer_list<std::string_view> aParts);

  /** @return whether the tag matches the parts; compares in constant time. */
  [[nodiscard]] bool Verify(std::string_view aTag,
                            std::initializer_list<std::string_view> aParts);

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace auburntrestle::protocol

#endif
