#ifndef AUBURNTRESTLE_FLEET_CLIENT_ACCOUNT_HPP
#define AUBURNTRESTLE_FLEET_CLIENT_ACCOUNT_HPP

#include "auburntrestle/core/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/** Size of a KeyDigest in bytes. */
inline constexpr std::size_t kKeyDigestBytes = 32;

/** The SHA-256 digest of an API key. Keys are secrets of client accounts, so
 * that only their digests are kept and compared. */
using KeyDigest = std::array<std::uint8_t, kKeyDigestBytes>;

/** @return the digest of a key. */
[[nodiscard]] KeyDigest DigestOf(std::string_view aKey);

/** A client account, as specified by an operator. */
struct ClientAccount
{
  AccountName m_name;
  /** The digests of its API keys; may be empty. */
  std::vector<KeyDigest> m_keys;
  /** Rank of its requests, which precedes the rank of their route; 0 is the
   * highest. Absent if the route decides. */
  std::optional<std::uint32_t> m_priority;
};

} // namespace auburntrestle::fleet

#endif
