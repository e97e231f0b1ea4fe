#ifndef AUBURNTRESTLE_FLEET_USAGE_RECORDER_HPP
#define AUBURNTRESTLE_FLEET_USAGE_RECORDER_HPP

#include "auburntrestle/fleet/usage.hpp"

#include <optional>

namespace auburntrestle::fleet {

/**
 * Counts, at an entry instance, the requests of each account by the window in
 * which a backend server began to run them. Designed for rates of a few
 * requests a second, of which each counts: counts are kept until the leader has
 * closed their window, so that a new leader can collect them again.
 */
class UsageRecorder
{
public:
  /** @param aLength the length of a window. */
  explicit UsageRecorder(Duration aLength)
    : m_length(aLength)
  {
  }

  /** Counts a request that is sent to a backend server. @return its window. */
  UsageWindow RecordStart(const AccountName& aAccount, WallTime aNow);
  /** Takes back a request that the backend server did not run. */
  void RecordNotRun(const AccountName& aAccount, UsageWindow aWindow);
  /** Discards windows that the leader has closed. */
  void RecordClosed(UsageWindow aFirstOpen);
  /** Marks all counts as changed, because a new leader does not have them. */
  void RecordNewLeader() { m_changed = !m_counts.empty(); }
  /** Marks all counts as changed, because they may not have arrived. */
  void RecordNotDelivered() { RecordNewLeader(); }

  /** @return whether there are counts that the leader may not have. */
  [[nodiscard]] bool HasChanges() const noexcept { return m_changed; }
  /** @return the counts of all open windows, for the leader. */
  [[nodiscard]] const UsageByWindow& TakeChanges();

private:
  Duration m_length;
  UsageByWindow m_counts;
  UsageWindow m_firstOpen;
  bool m_changed = false;
};

} // namespace auburntrestle::fleet

#endif
