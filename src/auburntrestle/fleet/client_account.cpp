#include "auburntrestle/fleet/client_account.hpp"

#include <openssl/sha.h>

#include <cstring>

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

std::size_t AccountTable::DigestHash::operator()(
  const KeyDigest& aDigest) const noexcept
{
  std::size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

tl::expected<AccountTable, SharedKey> AccountTable::Create(
  const std::vector<ClientAccount>& aAccounts)
{
  AccountTable table;
  for (const auto& account : aAccounts) {
    table.m_priorities[account.m_name] = account.m_priority;
    for (const auto& key : account.m_keys) {
      if (key == DigestOf({})) {
        // Requests without a key would hold it.
        continue;
      }
      const auto [other, isNew] = table.m_byKey.emplace(key, account.m_name);
      if (!isNew && other->second != account.m_name) {
        return tl::make_unexpected(SharedKey{ other->second, account.m_name });
      }
    }
  }
  return table;
}

std::optional<AccountName> AccountTable::FindByKey(std::string_view aKey) const
{
  if (aKey.empty()) {
    return std::nullopt;
  }
  const auto found = m_byKey.find(DigestOf(aKey));
  return found == m_byKey.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint32_t> AccountTable::PriorityOf(
  const AccountName& aName) const
{
  const auto found = m_priorities.find(aName);
  return found == m_priorities.end() ? std::nullopt : found->second;
}

} // namespace auburntrestle::fleet
