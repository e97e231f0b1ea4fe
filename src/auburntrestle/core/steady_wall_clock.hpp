#ifndef AUBURNTRESTLE_CORE_STEADY_WALL_CLOCK_HPP
#define AUBURNTRESTLE_CORE_STEADY_WALL_CLOCK_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <deque>
#include <map>

namespace auburntrestle {

/**
 * Estimates true time on a machine whose time of day may jump by seconds and
 * back. It follows the clock since the start of the machine, to which it adds
 * the median of two kinds of offsets: the median of this machine's own readings
 * in the last minute, and what each peer stated last. A jump of one clock, or
 * of a minority of them, does not move it.
 */
class SteadyWallClock
{
public:
  /** Records a reading of the time of day of this machine. */
  void RecordOwn(WallTime aTimeOfDay, BootTime aNow);
  /** Records the estimate that a peer stated just now. */
  void RecordPeer(const InstanceId& aPeer, WallTime aEstimate, BootTime aNow);
  /** @return the estimated true time; the epoch before any reading. */
  [[nodiscard]] WallTime At(BootTime aNow) const;

private:
  struct Reading
  {
    BootTime m_at{};
    WallTime m_offset{};
  };

  [[nodiscard]] WallTime OwnOffset() const;

  std::deque<Reading> m_own;
  std::map<InstanceId, Reading> m_peers;
};

} // namespace auburntrestle

#endif
