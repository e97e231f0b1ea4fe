#include "auburntrestle/fleet/output_cache.hpp"

#include <utility>

namespace auburntrestle::fleet {

void OutputCache::Add(const JobItem& aItem,
                      CachedOutput aOutput,
                      TimePoint aNow)
{
  RemoveExpired(aNow);
  if (aItem.HasStoredBody()) {
    // Whether two such items are the same request is not known without reading
    // their bodies.
    return;
  }
  m_entries.insert_or_assign(
    aItem.m_id,
    Entry{
      aItem.m_path, aItem.m_body, aItem.m_reward, std::move(aOutput), aNow });
  m_order.push_back(aItem.m_id);
}

std::optional<CachedOutput> OutputCache::Extract(const JobItem& aItem,
                                                 WeightVersion aMinVersion,
                                                 bool aSingleVersion,
                                                 TimePoint aNow)
{
  RemoveExpired(aNow);
  const auto found = m_entries.find(aItem.m_id);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  Entry entry = std::move(found->second);
  m_entries.erase(found);
  const auto& versions = entry.m_cached.m_progress.m_versions;
  const bool fresh = aMinVersion == WeightVersion() ||
                     (!versions.empty() && versions.front() >= aMinVersion);
  const bool single = !aSingleVersion || versions.size() <= 1;
  const bool same = !aItem.HasStoredBody() && entry.m_path == aItem.m_path &&
                    entry.m_body == aItem.m_body;
  if (!fresh || !single || !same) {
    return std::nullopt;
  }
  if (entry.m_reward != aItem.m_reward) {
    entry.m_cached.m_score.reset();
  }
  return std::move(entry.m_cached);
}

void OutputCache::RemoveExpired(TimePoint aNow)
{
  while (!m_order.empty()) {
    const auto found = m_entries.find(m_order.front());
    const bool expired = found == m_entries.end() ||
                         m_order.size() > kMaxOutputs ||
                         aNow - found->second.m_addedAt > kMaxAge;
    if (!expired) {
      return;
    }
    if (found != m_entries.end()) {
      m_entries.erase(found);
    }
    m_order.pop_front();
  }
}

void OutputCache::Clear()
{
  m_entries.clear();
  m_order.clear();
}

} // namespace auburntrestle::fleet
