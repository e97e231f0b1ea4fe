#include "auburntrestle/core/steady_wall_clock.hpp"

#include <algorithm>
#include <vector>

namespace auburntrestle {

namespace {

/** Own readings of this time count. It is many times longer than a jump of the
 * time of day that is taken back. */
constexpr Duration kOwnReadings = std::chrono::seconds(60);
/** A peer that stated nothing for this long no longer counts. */
constexpr Duration kMaxPeerAge = std::chrono::seconds(60);
constexpr std::size_t kMaxOwnReadings = 128;
constexpr std::size_t kMaxPeers = 16;

WallTime SinceBoot(BootTime aTime)
{
  return std::chrono::duration_cast<WallTime>(aTime.time_since_epoch());
}

/** @return the lower median. */
WallTime Median(std::vector<WallTime>& aOffsets)
{
  const auto middle =
    aOffsets.begin() + static_cast<std::ptrdiff_t>((aOffsets.size() - 1) / 2);
  std::nth_element(aOffsets.begin(), middle, aOffsets.end());
  return *middle;
}

} // namespace

void SteadyWallClock::RecordOwn(WallTime aTimeOfDay, BootTime aNow)
{
  m_own.push_back({ aNow, aTimeOfDay - SinceBoot(aNow) });
  while (m_own.size() > kMaxOwnReadings ||
         m_own.front().m_at + kOwnReadings < aNow) {
    m_own.pop_front();
  }
  std::erase_if(m_peers, [aNow](const auto& aPeer) {
    return aPeer.second.m_at + kMaxPeerAge < aNow;
  });
}

void SteadyWallClock::RecordPeer(const InstanceId& aPeer,
                                 WallTime aEstimate,
                                 BootTime aNow)
{
  if (m_peers.size() < kMaxPeers || m_peers.contains(aPeer)) {
    m_peers[aPeer] = { aNow, aEstimate - SinceBoot(aNow) };
  }
}

WallTime SteadyWallClock::OwnOffset() const
{
  std::vector<WallTime> offsets;
  offsets.reserve(m_own.size());
  for (const auto& reading : m_own) {
    offsets.push_back(reading.m_offset);
  }
  return Median(offsets);
}

WallTime SteadyWallClock::At(BootTime aNow) const
{
  std::vector<WallTime> offsets;
  if (!m_own.empty()) {
    offsets.push_back(OwnOffset());
  }
  for (const auto& [peer, reading] : m_peers) {
    offsets.push_back(reading.m_offset);
  }
  return offsets.empty() ? WallTime() : SinceBoot(aNow) + Median(offsets);
}

} // namespace auburntrestle
