#ifndef AUBURNTRESTLE_FLEET_SCALING_POLICY_HPP
#define AUBURNTRESTLE_FLEET_SCALING_POLICY_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/** Why servers are ordered. */
enum class ScalingReason : std::uint8_t
{
  /** Fewer servers than the baseline for longer than a restart takes. */
  Shortage,
  /** Preemptible servers announced that they leave. */
  Reclaim,
  /** Missing servers of a data centre that is full or refused an order. */
  Relocation,
  /** Waiting items would start too late. */
  Growth,
  /** Fewer servers than the configured minimum. */
  Minimum,
};

/** @return the stable name of a reason, such as "shortage". */
[[nodiscard]] std::string_view ToString(ScalingReason aReason) noexcept;

/** The servers of a service in one data centre; the first two counts exclude
 * servers that are leaving. */
struct ServerCounts
{
  std::uint32_t m_onDemand = 0;
  std::uint32_t m_preemptible = 0;
  std::uint32_t m_leavingPreemptible = 0;

  [[nodiscard]] std::uint32_t Present() const
  {
    return m_onDemand + m_preemptible;
  }
};

/** The work of a service. */
struct ServiceDemand
{
  std::size_t m_waitingItems = 0;
  std::uint32_t m_slotsPerServer = 1;
  /** Smoothed time of a run; 0 while unknown. */
  Duration m_runTime{};
  /** The shortest completion objective of the service's jobs; 0 if none. */
  Duration m_completionObjective{};
};

/** An order of on-demand servers. */
struct ScalingOrder
{
  DataCentreId m_dataCentre;
  /** The number of on-demand servers that should be there. */
  std::uint32_t m_servers = 0;
  /** How many of them are new. */
  std::uint32_t m_added = 0;
  ScalingReason m_reason = ScalingReason::Shortage;
};

/**
 * Decides which servers of one service are ordered. Designed for services that
 * lose single servers or all preemptible servers of a data centre, and for
 * bursts of jobs. Only on-demand servers are ordered, and none are given back:
 * an idle server second costs about a thousandth of a late group. Reads no
 * clock; times must not decrease.
 */
class ScalingPolicy
{
public:
  /** Time for which a restarting or replaced server may be missing. */
  static constexpr Duration kRestartWindow = std::chrono::seconds(3);
  /** Time after the first observation in which servers are still being
   * announced, for example while the whole system starts. An order is an
   * absolute number, so one made of an incomplete count would remove servers.
   */
  static constexpr Duration kDiscoveryTime = std::chrono::seconds(10);
  /** Servers that others added belong to the baseline after this time. */
  static constexpr Duration kSettlingTime = std::chrono::seconds(30);
  /** A data centre that refused an order gets none for this time. */
  static constexpr Duration kRefusalTime = std::chrono::seconds(5);
  /** Minimum time for which the queue must be long before servers are added. */
  static constexpr Duration kLongQueueTime = std::chrono::seconds(1);
  /** Added to the boot time before an order is considered late. */
  static constexpr Duration kBootMargin = std::chrono::seconds(2);

  /** Records the servers and the work at a time. */
  void Observe(const ScalingLimits& aLimits,
               const std::map<DataCentreId, ServerCounts>& aServers,
               const ServiceDemand& aDemand,
               TimePoint aNow);
  /** @return the orders to send now, usually none. They count as sent. */
  [[nodiscard]] std::vector<ScalingOrder> Decide(TimePoint aNow);
  /** Records that no server is available for an order. */
  void RecordRefusal(const ScalingOrder& aOrder, TimePoint aNow);
  /** Records that an order may not have been carried out. */
  void RecordFailure(const ScalingOrder& aOrder);

private:
  struct Sample
  {
    TimePoint m_time;
    ServerCounts m_counts;
  };
  struct DataCentre
  {
    ServerCounts m_counts;
    /** Samples of the last kSettlingTime, oldest first. */
    std::deque<Sample> m_samples;
    /** The number of servers that should be there. */
    std::uint32_t m_baseline = 0;
    /** Servers that are ordered and not there. */
    std::uint32_t m_pending = 0;
    TimePoint m_orderedAt{};
    std::optional<TimePoint> m_refusedAt;
  };

  void ObserveDataCentre(DataCentre& aDataCentre,
                         const ServerCounts& aCounts,
                         TimePoint aNow);
  [[nodiscard]] bool IsRefused(const DataCentre& aDataCentre,
                               TimePoint aNow) const;
  /** @return how many servers can be added. */
  [[nodiscard]] std::uint32_t Room(const DataCentre& aDataCentre,
                                   TimePoint aNow) const;
  /** Adds servers in the cheapest data centres with room, as far as they have
   * it, and to their baselines. @return the number added. */
  std::uint32_t AddCheapest(std::uint32_t aCount,
                            ScalingReason aReason,
                            TimePoint aNow);
  void Add(const DataCentreId& aId,
           std::uint32_t aCount,
           ScalingReason aReason,
           TimePoint aNow);
  void ReplaceMissing(const DataCentreId& aId, TimePoint aNow);
  void Grow(TimePoint aNow);
  /** @return the number of servers that the waiting items need. */
  [[nodiscard]] std::uint32_t NeededServers() const;
  [[nodiscard]] std::uint32_t ExpectedServers() const;

  ScalingLimits m_limits;
  ServiceDemand m_demand;
  std::map<DataCentreId, DataCentre> m_dataCentres;
  std::optional<TimePoint> m_firstObserved;
  /** Since when the waiting items need more servers. */
  std::optional<TimePoint> m_longSince;
  std::optional<TimePoint> m_grownAt;
  std::map<DataCentreId, ScalingOrder> m_orders;
};

} // namespace auburntrestle::fleet

#endif
