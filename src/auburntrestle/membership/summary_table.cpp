#include "auburntrestle/membership/summary_table.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::membership {

namespace internal {

std::pair<std::uint64_t, std::uint32_t> VersionKey(const auto& aSummary)
{
  return { aSummary.m_version, aSummary.m_tieBreak };
}

} // namespace internal

bool SummaryTable::Merge(const Summary& aSummary, TimePoint aNow)
{
  const auto [entry, added] = m_summaries.try_emplace(
    aSummary.m_dataCentre, KnownSummary{ aSummary, aNow });
  if (added) {
    return true;
  }
  if (internal::VersionKey(aSummary) <=
      internal::VersionKey(entry->second.m_summary)) {
    return false;
  }
  entry->second = { aSummary, aNow };
  return true;
}

const KnownSummary* SummaryTable::Find(const DataCentreId& aId) const
{
  const auto found = m_summaries.find(aId);
  return found == m_summaries.end() ? nullptr : &found->second;
}

std::vector<SummaryVersion> SummaryTable::Versions(std::size_t aMaxBytes) const
{
  std::vector<SummaryVersion> versions;
  std::size_t bytes = 0;
  for (const auto& [id, known] : m_summaries) {
    const SummaryVersion version{ id,
                                  known.m_summary.m_version,
                                  known.m_summary.m_tieBreak };
    bytes += MaxEncodedBytes(version);
    if (bytes > aMaxBytes) {
      break;
    }
    versions.push_back(version);
  }
  return versions;
}

std::vector<Summary> SummaryTable::NewerThan(
  const std::vector<SummaryVersion>& aKnown) const
{
  std::vector<Summary> newer;
  for (const auto& [id, known] : m_summaries) {
    const auto remote = std::find_if(
      aKnown.begin(), aKnown.end(), [&id = id](const SummaryVersion& aVersion) {
        return aVersion.m_dataCentre == id;
      });
    if (remote == aKnown.end() ||
        internal::VersionKey(*remote) < internal::VersionKey(known.m_summary)) {
      newer.push_back(known.m_summary);
    }
  }
  return newer;
}

} // namespace auburntrestle::membership
