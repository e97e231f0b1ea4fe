#ifndef AUBURNTRESTLE_FLEET_REWARD_QUEUE_HPP
#define AUBURNTRESTLE_FLEET_REWARD_QUEUE_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace auburntrestle::fleet {

/** Identifies a reward call within this process. */
using RewardTicket = StrongType<struct RewardTicketTag, std::uint64_t>;

/** The properties of a group that decide the order of its reward calls. */
struct RewardGroup
{
  /** Items without a result. */
  std::size_t m_unfinishedItems = 0;
  WallTime m_jobAcceptedAt{};
};

/** Retries and hedging of reward calls. */
struct RewardPolicy
{
  /** Delay before the second retry; the first one is immediate, on another
   * backend server. Doubles with each further retry. */
  Duration m_minBackoff = std::chrono::milliseconds(25);
  Duration m_maxBackoff = std::chrono::milliseconds(800);
  /** A call without a response is sent to a second backend server after this
   * multiple of the median latency. */
  double m_hedgeLatencyFactor = 3.0;
  Duration m_minHedgeDelay = std::chrono::milliseconds(120);
  /** Hedges are limited to this share of the calls. */
  double m_hedgeShare = 0.2;
};

/** @return the delay before a retry. @param aRetries number of retries of the
 * call so far. */
[[nodiscard]] Duration RetryDelay(const RewardPolicy& aPolicy,
                                  std::uint32_t aRetries) noexcept;

/** @return the delay before a hedge. @param aMedianLatency of the service, if
 * known. */
[[nodiscard]] Duration HedgeDelay(
  const RewardPolicy& aPolicy,
  std::optional<Duration> aMedianLatency) noexcept;

/**
 * The reward calls that wait for a backend server. Designed for bursts of some
 * hundred calls when the items of a step end at about the same time, on a few
 * backend servers that also answer callers. A trainer can use only whole
 * groups, so calls of the groups with the fewest unfinished items go first,
 * and among those the calls of the oldest job.
 */
class RewardQueue
{
public:
  /** Adds a call. @param aReadyAt the call must not start earlier. */
  void Add(RewardTicket aTicket,
           std::shared_ptr<const RewardGroup> aGroup,
           TimePoint aReadyAt);
  /** Removes a call if it is waiting. */
  void Remove(RewardTicket aTicket);
  /** @return the calls that may start now, first to start first. */
  [[nodiscard]] std::vector<RewardTicket> Ready(TimePoint aNow) const;
  [[nodiscard]] bool empty() const noexcept { return m_waiting.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }
  /** Removes all calls. */
  void Clear() noexcept { m_waiting.clear(); }

private:
  struct Entry
  {
    std::shared_ptr<const RewardGroup> m_group;
    TimePoint m_readyAt{};
  };

  std::map<RewardTicket, Entry> m_waiting;
};

} // namespace auburntrestle::fleet

#endif
