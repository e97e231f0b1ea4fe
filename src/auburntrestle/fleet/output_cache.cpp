#include "auburntrestle/fleet/output_cache.hpp"

#include <utility>

namespace auburntrestle::fleet {

void OutputCache::Keep(const JobItem& aItem, CachedOutput aText, TimePoint aNow)
{
  DropOld(aNow);
  m_texts.insert_or_assign(
    aItem.m_id, Kept{ aItem.m_path, aItem.m_body, std::move(aText), aNow });
  m_order.push_back(aItem.m_id);
}

std::optional<CachedOutput> OutputCache::Take(const JobItem& aItem,
                                              WeightVersion aMinVersion,
                                              bool aSingleVersion,
                                              TimePoint aNow)
{
  DropOld(aNow);
  const auto found = m_texts.find(aItem.m_id);
  if (found == m_texts.end()) {
    return std::nullopt;
  }
  const Kept kept = std::move(found->second);
  m_texts.erase(found);
  const auto& versions = kept.m_text.m_text.m_versions;
  const bool fresh = aMinVersion == WeightVersion() ||
                     (!versions.empty() && versions.front() >= aMinVersion);
  const bool single = !aSingleVersion || versions.size() <= 1;
  const bool same = kept.m_path == aItem.m_path && kept.m_body == aItem.m_body;
  return fresh && single && same ? std::optional(kept.m_text) : std::nullopt;
}

void OutputCache::DropOld(TimePoint aNow)
{
  while (!m_order.empty()) {
    const auto found = m_texts.find(m_order.front());
    const bool drop = found == m_texts.end() || m_order.size() > kMaxTexts ||
                      aNow - found->second.m_keptAt > kMaxAge;
    if (!drop) {
      return;
    }
    if (found != m_texts.end()) {
      m_texts.erase(found);
    }
    m_order.pop_front();
  }
}

void OutputCache::Clear()
{
  m_texts.clear();
  m_order.clear();
}

} // namespace auburntrestle::fleet
