#ifndef AUBURNTRESTLE_MEMBERSHIP_SUMMARY_TABLE_HPP
#define AUBURNTRESTLE_MEMBERSHIP_SUMMARY_TABLE_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/membership/types.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace auburntrestle::membership {

/** A summary and the time at which its version arrived, by the local clock. */
struct KnownSummary
{
  Summary m_summary;
  TimePoint m_receivedAt;
};

/** The newest known summary of each data centre. */
class SummaryTable
{
public:
  /** @return whether the summary was newer than the known one. */
  bool Merge(const Summary& aSummary, TimePoint aNow);

  /** @return the summary of a data centre, or nullptr. */
  [[nodiscard]] const KnownSummary* Find(const DataCentreId& aId) const;

  [[nodiscard]] const std::map<DataCentreId, KnownSummary>& All() const noexcept
  {
    return m_summaries;
  }

  /** @return the known versions, as many as fit into aMaxBytes. */
  [[nodiscard]] std::vector<SummaryVersion> Versions(
    std::size_t aMaxBytes) const;

  /** @return the summaries that are newer than the given versions. */
  [[nodiscard]] std::vector<Summary> NewerThan(
    const std::vector<SummaryVersion>& aKnown) const;

private:
  std::map<DataCentreId, KnownSummary> m_summaries;
};

} // namespace auburntrestle::membership

#endif
