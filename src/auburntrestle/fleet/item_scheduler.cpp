#include "auburntrestle/fleet/item_scheduler.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

namespace {

/** Weight of the newest sample in the smoothed event interval. */
constexpr double kIntervalWeight = 0.1;
/** Share of an engine's cost that grows with the slots in use: an idle engine
 * costs 1 - kLoadWeight, a full one 1. */
constexpr double kLoadWeight = 0.5;
/** Cost factor of an engine that runs an item with the same prompt. */
constexpr double kSharedPromptDiscount = 0.85;
/** Cost factor of the engine that last failed the item: a last resort. */
constexpr double kAvoidPenalty = 100.0;
/** Minimum ratio of event intervals for a migration, which costs a new prefill
 * on the other engine. */
constexpr double kMigrationSpeedup = 2.0;

/** @return whether an engine can continue what the software generated. */
bool Continues(const EngineView& aEngine, const SoftwareVersion& aSoftware)
{
  return aSoftware != SoftwareVersion() && aEngine.m_software == aSoftware;
}

} // namespace

void ItemScheduler::SetEngine(const BackendId& aId, const EngineView& aView)
{
  m_engines[aId].m_view = aView;
}

void ItemScheduler::RemoveEngine(const BackendId& aId)
{
  m_engines.erase(aId);
}

bool ItemScheduler::IsEligible(const Engine& aEngine,
                               const ItemRequirements& aRequirements)
{
  const EngineView& view = aEngine.m_view;
  if (!view.m_accepting || view.m_service != aRequirements.m_service ||
      aEngine.m_running >= view.m_slots) {
    return false;
  }
  if (aRequirements.m_software && !Continues(view, *aRequirements.m_software)) {
    return false;
  }
  if (!aRequirements.m_model) {
    return !view.m_loading;
  }
  if (view.m_loading == aRequirements.m_model) {
    return false;
  }
  const auto version = view.m_versions.find(*aRequirements.m_model);
  return version != view.m_versions.end() &&
         version->second >= aRequirements.m_minVersion &&
         (!aRequirements.m_onlyVersion ||
          *aRequirements.m_onlyVersion == version->second);
}

double ItemScheduler::MedianEventInterval(const ServiceName& aService) const
{
  std::vector<double> intervals;
  for (const auto& [id, engine] : m_engines) {
    if (engine.m_view.m_service == aService && engine.m_eventInterval > 0) {
      intervals.push_back(engine.m_eventInterval);
    }
  }
  if (intervals.empty()) {
    return 1.0;
  }
  const auto middle =
    intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
  std::nth_element(intervals.begin(), middle, intervals.end());
  return *middle;
}

double ItemScheduler::Cost(const Engine& aEngine,
                           const ItemRequirements& aRequirements,
                           double aMedianInterval) const
{
  const double interval = aEngine.m_eventInterval > 0
                            ? aEngine.m_eventInterval / aMedianInterval
                            : 1.0;
  const double load = static_cast<double>(aEngine.m_running) /
                      static_cast<double>(aEngine.m_view.m_slots);
  double cost = interval * (1.0 - kLoadWeight + kLoadWeight * load);
  if (aEngine.m_groups.contains(aRequirements.m_group)) {
    cost *= kSharedPromptDiscount;
  }
  return cost;
}

std::optional<BackendId> ItemScheduler::Place(
  const ItemRequirements& aRequirements) const
{
  const double median = MedianEventInterval(aRequirements.m_service);
  std::optional<BackendId> best;
  double bestCost = 0;
  for (const auto& [id, engine] : m_engines) {
    if (!IsEligible(engine, aRequirements)) {
      continue;
    }
    double cost = Cost(engine, aRequirements, median);
    if (aRequirements.m_avoid == id) {
      cost *= kAvoidPenalty;
    }
    if (!best || cost < bestCost) {
      best = id;
      bestCost = cost;
    }
  }
  return best;
}

void ItemScheduler::RecordStart(const BackendId& aId, const GroupId& aGroup)
{
  auto& engine = m_engines[aId];
  ++engine.m_running;
  ++engine.m_groups[aGroup];
}

void ItemScheduler::RecordEnd(const BackendId& aId, const GroupId& aGroup)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.m_running -= engine.m_running > 0 ? 1 : 0;
  const auto group = engine.m_groups.find(aGroup);
  if (group != engine.m_groups.end() && --group->second == 0) {
    engine.m_groups.erase(group);
  }
}

void ItemScheduler::RecordEventInterval(const BackendId& aId, Duration aGap)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  const auto gap = static_cast<double>(aGap.count());
  double& interval = found->second.m_eventInterval;
  interval = interval > 0 ? interval + kIntervalWeight * (gap - interval) : gap;
}

std::optional<BackendId> ItemScheduler::MigrationTarget(
  const BackendId& aFrom,
  const ItemRequirements& aRequirements) const
{
  const auto from = m_engines.find(aFrom);
  if (from == m_engines.end() || from->second.m_eventInterval <= 0) {
    return std::nullopt;
  }
  ItemRequirements requirements = aRequirements;
  requirements.m_avoid = aFrom;
  const auto best = Place(requirements);
  if (!best || *best == aFrom) {
    return std::nullopt;
  }
  const double median = MedianEventInterval(aRequirements.m_service);
  const Engine& to = m_engines.at(*best);
  const double interval = to.m_eventInterval > 0 ? to.m_eventInterval : median;
  return from->second.m_eventInterval > kMigrationSpeedup * interval
           ? best
           : std::nullopt;
}

bool ItemScheduler::IsServing(const ServiceName& aService,
                              const SoftwareVersion& aSoftware) const
{
  return std::any_of(
    m_engines.begin(), m_engines.end(), [&](const auto& aItem) {
      const EngineView& view = aItem.second.m_view;
      return view.m_serving && view.m_service == aService &&
             Continues(view, aSoftware);
    });
}

std::size_t ItemScheduler::TotalSlots(const ServiceName& aService) const
{
  std::size_t slots = 0;
  for (const auto& [id, engine] : m_engines) {
    const EngineView& view = engine.m_view;
    const bool counts = view.m_accepting && view.m_service == aService;
    slots += counts ? view.m_slots : 0;
  }
  return slots;
}

std::uint32_t ItemScheduler::RunningOn(const BackendId& aId) const
{
  const auto found = m_engines.find(aId);
  return found == m_engines.end() ? 0 : found->second.m_running;
}

} // namespace auburntrestle::fleet
