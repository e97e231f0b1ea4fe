#include "auburntrestle/fleet/scaling_policy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::fleet {

namespace {

std::uint32_t Difference(std::uint32_t aMore, std::uint32_t aLess)
{
  return aMore > aLess ? aMore - aLess : 0;
}

} // namespace

std::string_view ToString(ScalingReason aReason) noexcept
{
  switch (aReason) {
    case ScalingReason::Shortage:
      return "shortage";
    case ScalingReason::Reclaim:
      return "reclaim";
    case ScalingReason::Relocation:
      return "relocation";
    case ScalingReason::Growth:
      return "growth";
    case ScalingReason::Minimum:
      return "minimum";
  }
  return "unknown";
}

void ScalingPolicy::Observe(
  const ScalingLimits& aLimits,
  const std::map<DataCentreId, ServerCounts>& aServers,
  const ServiceDemand& aDemand,
  TimePoint aNow)
{
  m_limits = aLimits;
  m_demand = aDemand;
  if (!m_firstObserved) {
    m_firstObserved = aNow;
  }
  std::erase_if(m_dataCentres, [&](const auto& aEntry) {
    return !aLimits.m_prices.contains(aEntry.first);
  });
  for (const auto& [id, price] : aLimits.m_prices) {
    const auto found = aServers.find(id);
    ObserveDataCentre(m_dataCentres[id],
                      found == aServers.end() ? ServerCounts{} : found->second,
                      aNow);
  }
  if (NeededServers() <= ExpectedServers()) {
    m_longSince.reset();
  } else if (!m_longSince) {
    m_longSince = aNow;
  }
}

void ScalingPolicy::ObserveDataCentre(DataCentre& aDataCentre,
                                      const ServerCounts& aCounts,
                                      TimePoint aNow)
{
  const std::uint32_t arrived =
    Difference(aCounts.m_onDemand, aDataCentre.m_counts.m_onDemand);
  aDataCentre.m_pending = Difference(aDataCentre.m_pending, arrived);
  // An order whose servers did not come is made again.
  if (aNow - aDataCentre.m_orderedAt >
      2 * (m_limits.m_bootTime + kBootMargin)) {
    aDataCentre.m_pending = 0;
  }
  aDataCentre.m_counts = aCounts;
  auto& samples = aDataCentre.m_samples;
  samples.push_back({ aNow, aCounts });
  while (samples.front().m_time + kSettlingTime < aNow) {
    samples.pop_front();
  }
  std::uint32_t baseline = aDataCentre.m_baseline;
  if (aNow == *m_firstObserved) {
    // A former leader may have ended while it handled this notice.
    baseline = aCounts.Present() + aCounts.m_leavingPreemptible;
  } else if (aNow < *m_firstObserved + kDiscoveryTime) {
    baseline = std::max(baseline, aCounts.Present());
  } else if (aNow >= *m_firstObserved + kSettlingTime) {
    const auto lowest =
      std::ranges::min_element(samples, {}, [](const auto& aSample) {
        return aSample.m_counts.Present();
      });
    baseline = std::max(baseline, lowest->m_counts.Present());
  }
  aDataCentre.m_baseline = std::min(baseline, m_limits.m_maxServers);
}

bool ScalingPolicy::IsRefused(const DataCentre& aDataCentre,
                              TimePoint aNow) const
{
  return aDataCentre.m_refusedAt &&
         aNow < *aDataCentre.m_refusedAt + kRefusalTime;
}

std::uint32_t ScalingPolicy::Room(const DataCentre& aDataCentre,
                                  TimePoint aNow) const
{
  if (IsRefused(aDataCentre, aNow)) {
    return 0;
  }
  // Servers that may come back within the restart window count as well.
  const std::uint32_t expected =
    std::max(aDataCentre.m_counts.Present() + aDataCentre.m_pending,
             aDataCentre.m_baseline);
  return Difference(m_limits.m_maxServers, expected);
}

std::vector<ScalingOrder> ScalingPolicy::Decide(TimePoint aNow)
{
  m_orders.clear();
  if (!m_firstObserved) {
    return {};
  }
  for (const auto& [id, price] : m_limits.m_prices) {
    ReplaceMissing(id, aNow);
  }
  Grow(aNow);
  std::vector<ScalingOrder> orders;
  for (const auto& [id, order] : m_orders) {
    orders.push_back(order);
  }
  return orders;
}

void ScalingPolicy::ReplaceMissing(const DataCentreId& aId, TimePoint aNow)
{
  DataCentre& dataCentre = m_dataCentres[aId];
  const std::uint32_t present = dataCentre.m_counts.Present();
  std::uint32_t recent = present;
  for (const Sample& sample : dataCentre.m_samples) {
    if (sample.m_time + kRestartWindow > aNow) {
      recent = std::max(recent, sample.m_counts.Present());
    }
  }
  const std::uint32_t missing =
    Difference(dataCentre.m_baseline, recent + dataCentre.m_pending);
  const std::uint32_t reclaimed =
    std::min(dataCentre.m_counts.m_leavingPreemptible,
             Difference(dataCentre.m_baseline, present + dataCentre.m_pending));
  const std::uint32_t count = std::max(missing, reclaimed);
  if (count > 0 && IsRefused(dataCentre, aNow)) {
    // The baseline moves with the servers.
    dataCentre.m_baseline -=
      AddCheapest(count, ScalingReason::Relocation, aNow);
  } else if (count > 0) {
    Add(aId,
        count,
        reclaimed >= missing ? ScalingReason::Reclaim : ScalingReason::Shortage,
        aNow);
  }
  const std::uint32_t expected =
    std::max(dataCentre.m_baseline,
             dataCentre.m_counts.Present() + dataCentre.m_pending);
  const std::uint32_t belowMinimum = Difference(
    std::min(m_limits.m_minServers, m_limits.m_maxServers), expected);
  if (belowMinimum > 0 && !IsRefused(dataCentre, aNow) &&
      aNow >= *m_firstObserved + kDiscoveryTime) {
    dataCentre.m_baseline = expected + belowMinimum;
    Add(aId, belowMinimum, ScalingReason::Minimum, aNow);
  }
}

void ScalingPolicy::Grow(TimePoint aNow)
{
  if (!m_longSince || aNow < *m_longSince + kLongQueueTime ||
      aNow < *m_firstObserved + kDiscoveryTime ||
      (m_grownAt && aNow < *m_grownAt + m_limits.m_bootTime + kBootMargin)) {
    return;
  }
  // Half at a time, since much of a burst is done before a server has booted.
  const std::uint32_t missing = Difference(NeededServers(), ExpectedServers());
  if (AddCheapest((missing + 1) / 2, ScalingReason::Growth, aNow) > 0) {
    m_grownAt = aNow;
  }
}

std::uint32_t ScalingPolicy::AddCheapest(std::uint32_t aCount,
                                         ScalingReason aReason,
                                         TimePoint aNow)
{
  std::vector<std::pair<double, DataCentreId>> byPrice;
  for (const auto& [id, price] : m_limits.m_prices) {
    byPrice.emplace_back(price, id);
  }
  std::ranges::sort(byPrice);
  std::uint32_t left = aCount;
  for (const auto& [price, id] : byPrice) {
    DataCentre& dataCentre = m_dataCentres[id];
    const std::uint32_t count = std::min(left, Room(dataCentre, aNow));
    if (count > 0) {
      dataCentre.m_baseline =
        std::max(dataCentre.m_baseline,
                 dataCentre.m_counts.Present() + dataCentre.m_pending) +
        count;
      Add(id, count, aReason, aNow);
      left -= count;
    }
  }
  return aCount - left;
}

void ScalingPolicy::Add(const DataCentreId& aId,
                        std::uint32_t aCount,
                        ScalingReason aReason,
                        TimePoint aNow)
{
  DataCentre& dataCentre = m_dataCentres[aId];
  dataCentre.m_pending += aCount;
  dataCentre.m_orderedAt = aNow;
  // A server that is missing in the directory may still run; a lower number
  // than the last ones seen would end it.
  std::uint32_t seen = 0;
  for (const Sample& sample : dataCentre.m_samples) {
    seen = std::max(seen, sample.m_counts.m_onDemand);
  }
  auto [entry, added] = m_orders.try_emplace(aId);
  ScalingOrder& order = entry->second;
  if (added) {
    order.m_dataCentre = aId;
    order.m_reason = aReason;
  }
  order.m_added += aCount;
  order.m_servers =
    std::max(dataCentre.m_counts.m_onDemand + dataCentre.m_pending, seen);
}

void ScalingPolicy::RecordRefusal(const ScalingOrder& aOrder, TimePoint aNow)
{
  RecordFailure(aOrder);
  DataCentre& dataCentre = m_dataCentres[aOrder.m_dataCentre];
  dataCentre.m_refusedAt = aNow;
  if (aOrder.m_reason == ScalingReason::Growth) {
    // Whether more servers are needed is decided again; the burst may be over.
    dataCentre.m_baseline = Difference(dataCentre.m_baseline, aOrder.m_added);
    m_grownAt.reset();
  }
}

void ScalingPolicy::RecordFailure(const ScalingOrder& aOrder)
{
  DataCentre& dataCentre = m_dataCentres[aOrder.m_dataCentre];
  dataCentre.m_pending = Difference(dataCentre.m_pending, aOrder.m_added);
}

std::uint32_t ScalingPolicy::NeededServers() const
{
  const double runTime =
    std::chrono::duration<double>(m_demand.m_runTime).count();
  const double objective =
    std::chrono::duration<double>(m_demand.m_completionObjective).count();
  if (runTime <= 0 || objective <= 0 || m_demand.m_slotsPerServer == 0) {
    return 0;
  }
  // The last waiting item starts within half of the objective.
  const double slots =
    static_cast<double>(m_demand.m_waitingItems) * runTime / (objective / 2);
  constexpr double kMaxServers = 1e6;
  return static_cast<std::uint32_t>(
    std::min(std::ceil(slots / m_demand.m_slotsPerServer), kMaxServers));
}

std::uint32_t ScalingPolicy::ExpectedServers() const
{
  std::uint32_t servers = 0;
  for (const auto& [id, dataCentre] : m_dataCentres) {
    servers += dataCentre.m_counts.Present() + dataCentre.m_pending;
  }
  return servers;
}

} // namespace auburntrestle::fleet
