#ifndef AUBURNTRESTLE_FLEET_USAGE_REPORTER_HPP
#define AUBURNTRESTLE_FLEET_USAGE_REPORTER_HPP

#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/usage.hpp"

#include <map>
#include <optional>
#include <utility>

namespace auburntrestle::fleet {

/**
 * Collects, at the leader, the counts of all entry instances and decides when a
 * window is closed. Designed for entry instances that send their counts within
 * a second of a request and again to each new leader. What arrives after a
 * window was closed is lost, and a report can be late, so that a window is
 * closed in the middle between its end and the time at which its report is due.
 */
class UsageReporter
{
public:
  /** @param aLength the length of a window.
   * @param aDue when a report is due after the end of its window. */
  UsageReporter(Duration aLength, Duration aDue);

  /** Starts a leadership epoch without any counts. */
  void Start(TimePoint aNow);
  /** Takes over the counts of an instance, unless newer ones are known. */
  void RecordSubmission(const SubmitUsage& aSubmission);
  /** @return the window to be closed now, if any.
   * @param aFirstOpen the first window that the log has not closed. */
  [[nodiscard]] std::optional<UsageWindow> NextToClose(UsageWindow aFirstOpen,
                                                       WallTime aWallNow,
                                                       TimePoint aNow) const;
  /** @return the counts of a window, summed over all instances. */
  [[nodiscard]] UsageCounts CountsOf(UsageWindow aWindow) const;
  /** Discards the counts of windows that are closed. */
  void RecordClosed(UsageWindow aFirstOpen);

private:
  /** One run of an instance. */
  using Source = std::pair<InstanceId, Incarnation>;
  struct Counts
  {
    std::uint64_t m_sequence = 0;
    UsageByWindow m_byWindow;
  };

  Duration m_length;
  Duration m_closeDelay;
  TimePoint m_collectsUntil{};
  std::map<Source, Counts> m_sources;
};

} // namespace auburntrestle::fleet

#endif
