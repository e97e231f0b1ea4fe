#include "auburntrestle/fleet/reward_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburntrestle::fleet {

Duration RetryDelay(const RewardPolicy& aPolicy,
                    std::uint32_t aRetries) noexcept
{
  if (aRetries == 0) {
    return Duration::zero();
  }
  constexpr std::uint32_t kMaxDoublings = 10;
  const auto factor = 1U << std::min(aRetries - 1, kMaxDoublings);
  return std::min(aPolicy.m_minBackoff * factor, aPolicy.m_maxBackoff);
}

Duration HedgeDelay(const RewardPolicy& aPolicy,
                    std::optional<Duration> aMedianLatency) noexcept
{
  const auto multiple = std::chrono::duration_cast<Duration>(
    aMedianLatency.value_or(Duration::zero()) * aPolicy.m_hedgeLatencyFactor);
  return std::max(multiple, aPolicy.m_minHedgeDelay);
}

void RewardQueue::Add(RewardTicket aTicket,
                      std::shared_ptr<const RewardGroup> aGroup,
                      TimePoint aReadyAt)
{
  m_waiting.insert_or_assign(aTicket, Entry{ std::move(aGroup), aReadyAt });
}

void RewardQueue::Remove(RewardTicket aTicket)
{
  m_waiting.erase(aTicket);
}

std::vector<RewardTicket> RewardQueue::Ready(TimePoint aNow) const
{
  std::vector<RewardTicket> ready;
  for (const auto& [ticket, entry] : m_waiting) {
    if (entry.m_readyAt <= aNow) {
      ready.push_back(ticket);
    }
  }
  const auto rank = [this](RewardTicket aTicket) {
    const RewardGroup& group = *m_waiting.at(aTicket).m_group;
    return std::make_tuple(
      group.m_unfinishedItems, group.m_jobAcceptedAt, aTicket);
  };
  std::sort(ready.begin(),
            ready.end(),
            [&rank](RewardTicket aLeft, RewardTicket aRight) {
              return rank(aLeft) < rank(aRight);
            });
  return ready;
}

} // namespace auburntrestle::fleet
