#include "auburntrestle/fleet/usage_reporter.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

namespace {

/** Time for entry instances to notice a new leader and send their counts. */
constexpr Duration kCollectTime = std::chrono::seconds(2);

} // namespace

UsageReporter::UsageReporter(Duration aLength, Duration aDue)
  : m_length(aLength)
  , m_closeDelay(aDue / 2)
{
}

void UsageReporter::Start(TimePoint aNow)
{
  m_sources.clear();
  m_collectsUntil = aNow + kCollectTime;
}

void UsageReporter::RecordSubmission(const SubmitUsage& aSubmission)
{
  auto& counts =
    m_sources[{ aSubmission.m_instance, aSubmission.m_incarnation }];
  if (aSubmission.m_sequence >= counts.m_sequence) {
    counts = { aSubmission.m_sequence, aSubmission.m_counts };
  }
}

std::optional<UsageWindow> UsageReporter::NextToClose(UsageWindow aFirstOpen,
                                                      WallTime aWallNow,
                                                      TimePoint aNow) const
{
  const bool isDue =
    aWallNow >= EndOf(aFirstOpen, m_length) +
                  std::chrono::duration_cast<WallTime>(m_closeDelay);
  return isDue && aNow >= m_collectsUntil ? std::optional(aFirstOpen)
                                          : std::nullopt;
}

UsageCounts UsageReporter::CountsOf(UsageWindow aWindow) const
{
  UsageCounts sum;
  for (const auto& [source, counts] : m_sources) {
    const auto found = counts.m_byWindow.find(aWindow);
    if (found == counts.m_byWindow.end()) {
      continue;
    }
    for (const auto& [account, count] : found->second) {
      if (count > 0) {
        sum[account] += count;
      }
    }
  }
  return sum;
}

void UsageReporter::RecordClosed(UsageWindow aFirstOpen)
{
  for (auto& [source, counts] : m_sources) {
    auto& windows = counts.m_byWindow;
    windows.erase(windows.begin(), windows.lower_bound(aFirstOpen));
  }
  std::erase_if(m_sources, [](const auto& aItem) {
    return aItem.second.m_byWindow.empty();
  });
}

} // namespace auburntrestle::fleet
