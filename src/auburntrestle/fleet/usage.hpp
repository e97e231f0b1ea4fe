#ifndef AUBURNTRESTLE_FLEET_USAGE_HPP
#define AUBURNTRESTLE_FLEET_USAGE_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace auburntrestle::fleet {

/** The number of a window of usage reports: window k begins k window lengths
 * after the Unix epoch. */
using UsageWindow = StrongType<struct UsageWindowTag, std::uint64_t>;

/** The number of requests by client account. */
using UsageCounts = std::map<AccountName, std::uint64_t>;

/** The counts of one instance by window. */
using UsageByWindow = std::map<UsageWindow, UsageCounts>;

/** How far usage has been reported. */
struct UsageState
{
  /** All earlier windows are closed; 0 before the first one. */
  UsageWindow m_firstOpen;
  /** The final counts of closed windows that were not reported yet. */
  UsageByWindow m_unreported;
};

/** Maximum number of windows that are kept while they can't be reported. */
inline constexpr std::size_t kMaxUsageWindows = 64;

/** @return the window that contains a time. */
[[nodiscard]] inline UsageWindow WindowAt(WallTime aTime, Duration aLength)
{
  const auto time = std::chrono::duration_cast<Duration>(aTime);
  return UsageWindow(
    static_cast<std::uint64_t>(std::max<std::int64_t>(time / aLength, 0)));
}

/** @return the end of a window. */
[[nodiscard]] inline WallTime EndOf(UsageWindow aWindow, Duration aLength)
{
  return std::chrono::duration_cast<WallTime>(
    aLength * static_cast<std::int64_t>(aWindow.Get() + 1));
}

} // namespace auburntrestle::fleet

#endif
