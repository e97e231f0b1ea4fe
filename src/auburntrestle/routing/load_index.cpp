#include "auburntrestle/routing/load_index.hpp"

namespace auburntrestle::routing::internal {

void LoadIndex::Set(BackendIndex aBackend,
                    WeightVersion aVersion,
                    std::uint64_t aLoad)
{
  Remove(aBackend);
  const Key key{ aLoad, m_sequence++, aBackend };
  m_byVersion[aVersion].insert(key);
  m_keys.insert_or_assign(aBackend, std::pair{ aVersion, key });
}

void LoadIndex::Remove(BackendIndex aBackend)
{
  const auto found = m_keys.find(aBackend);
  if (found == m_keys.end()) {
    return;
  }
  const auto& [version, key] = found->second;
  const auto group = m_byVersion.find(version);
  group->second.erase(key);
  if (group->second.empty()) {
    m_byVersion.erase(group);
  }
  m_keys.erase(found);
}

std::optional<WeightVersion> LoadIndex::Newest() const
{
  if (m_byVersion.empty()) {
    return std::nullopt;
  }
  return m_byVersion.rbegin()->first;
}

std::optional<BackendIndex> LoadIndex::LeastLoaded(
  WeightVersion aMinVersion) const
{
  const Key* least = nullptr;
  for (auto group = m_byVersion.lower_bound(aMinVersion);
       group != m_byVersion.end();
       ++group) {
    const auto& key = *group->second.begin();
    if (least == nullptr || key < *least) {
      least = &key;
    }
  }
  if (least == nullptr) {
    return std::nullopt;
  }
  return std::get<2>(*least);
}

} // namespace auburntrestle::routing::internal
