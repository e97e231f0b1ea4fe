#ifndef AUBURNTRESTLE_FLEET_CLIENT_ACCOUNT_HPP
#define AUBURNTRESTLE_FLEET_CLIENT_ACCOUNT_HPP

#include "auburntrestle/core/ids.hpp"

#include <tl/expected.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
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

/** Two accounts that have the same API key. */
struct SharedKey
{
  AccountName m_first;
  AccountName m_second;
};

/** The client accounts of a configuration, indexed for lookups in constant
 * time. */
class AccountTable
{
public:
  AccountTable() = default;
  /** @return the table, or two accounts that share a key. */
  [[nodiscard]] static tl::expected<AccountTable, SharedKey> Create(
    const std::vector<ClientAccount>& aAccounts);

  /** @return whether there are no accounts, so that no request needs a key. */
  [[nodiscard]] bool IsEmpty() const noexcept { return m_priorities.empty(); }
  /** @return the account that holds a key, or nothing. No account holds the
   * empty key. */
  [[nodiscard]] std::optional<AccountName> FindByKey(
    std::string_view aKey) const;
  /** @return the rank of an account's requests, if it has one. */
  [[nodiscard]] std::optional<std::uint32_t> PriorityOf(
    const AccountName& aName) const;

private:
  /** A digest is uniformly distributed, so that its first bytes are a hash. */
  struct DigestHash
  {
    std::size_t operator()(const KeyDigest& aDigest) const noexcept;
  };

  std::unordered_map<KeyDigest, AccountName, DigestHash> m_byKey;
  std::unordered_map<AccountName, std::optional<std::uint32_t>> m_priorities;
};

} // namespace auburntrestle::fleet

#endif
