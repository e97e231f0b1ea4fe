#include "auburntrestle/fleet/item_scheduler.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

namespace {

/** Weight of the newest gap in the smoothed pace. */
constexpr double kPaceWeight = 0.1;
/** Share of an engine's cost that a free slot saves when it is empty. */
constexpr double kLoadWeight = 0.5;
/** An engine that has the prompt is preferred as if its cost were lower. */
constexpr double kSharedPromptFactor = 0.85;
/** An engine that failed the item last is a last resort. */
constexpr double kAvoidFactor = 100.0;
/** Moving costs a new prefill, so the other engine has to be much faster. */
constexpr double kReliefFactor = 2.0;

} // namespace

void ItemScheduler::SetEngine(const BackendId& aId, const EngineView& aView)
{
  m_engines[aId].m_view = aView;
}

void ItemScheduler::RemoveEngine(const BackendId& aId)
{
  m_engines.erase(aId);
}

bool ItemScheduler::Fits(const Engine& aEngine, const ItemRequirements& aNeed)
{
  const EngineView& view = aEngine.m_view;
  if (!view.m_usable || view.m_service != aNeed.m_service ||
      aEngine.m_running >= view.m_slots) {
    return false;
  }
  if (!aNeed.m_model) {
    return !view.m_loading;
  }
  if (view.m_loading == aNeed.m_model) {
    return false;
  }
  const auto version = view.m_versions.find(*aNeed.m_model);
  return version != view.m_versions.end() &&
         version->second >= aNeed.m_minVersion &&
         (!aNeed.m_onlyVersion || *aNeed.m_onlyVersion == version->second);
}

double ItemScheduler::TypicalPace(const ServiceName& aService) const
{
  std::vector<double> paces;
  for (const auto& [id, engine] : m_engines) {
    if (engine.m_view.m_service == aService && engine.m_pace > 0) {
      paces.push_back(engine.m_pace);
    }
  }
  if (paces.empty()) {
    return 1.0;
  }
  const auto middle =
    paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

double ItemScheduler::Cost(const Engine& aEngine,
                           const ItemRequirements& aNeed,
                           double aTypicalPace) const
{
  const double pace = aEngine.m_pace > 0 ? aEngine.m_pace / aTypicalPace : 1.0;
  const double load = static_cast<double>(aEngine.m_running) /
                      static_cast<double>(aEngine.m_view.m_slots);
  double cost = pace * (1.0 - kLoadWeight + kLoadWeight * load);
  if (aEngine.m_groups.contains(aNeed.m_group)) {
    cost *= kSharedPromptFactor;
  }
  return cost;
}

std::optional<BackendId> ItemScheduler::Place(
  const ItemRequirements& aNeed) const
{
  const double typical = TypicalPace(aNeed.m_service);
  std::optional<BackendId> best;
  double bestCost = 0;
  for (const auto& [id, engine] : m_engines) {
    if (!Fits(engine, aNeed)) {
      continue;
    }
    double cost = Cost(engine, aNeed, typical);
    if (aNeed.m_avoid == id) {
      cost *= kAvoidFactor;
    }
    if (!best || cost < bestCost) {
      best = id;
      bestCost = cost;
    }
  }
  return best;
}

void ItemScheduler::Started(const BackendId& aId, const GroupId& aGroup)
{
  auto& engine = m_engines[aId];
  ++engine.m_running;
  ++engine.m_groups[aGroup];
}

void ItemScheduler::Ended(const BackendId& aId, const GroupId& aGroup)
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

void ItemScheduler::SawEvent(const BackendId& aId, Duration aGap)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  const auto gap = static_cast<double>(aGap.count());
  double& pace = found->second.m_pace;
  pace = pace > 0 ? pace + kPaceWeight * (gap - pace) : gap;
}

std::optional<BackendId> ItemScheduler::Relief(
  const BackendId& aFrom,
  const ItemRequirements& aNeed) const
{
  const auto from = m_engines.find(aFrom);
  if (from == m_engines.end() || from->second.m_pace <= 0) {
    return std::nullopt;
  }
  ItemRequirements need = aNeed;
  need.m_avoid = aFrom;
  const auto best = Place(need);
  if (!best || *best == aFrom) {
    return std::nullopt;
  }
  const double typical = TypicalPace(aNeed.m_service);
  const Engine& to = m_engines.at(*best);
  const double pace = to.m_pace > 0 ? to.m_pace : typical;
  return from->second.m_pace > kReliefFactor * pace ? best : std::nullopt;
}

std::uint32_t ItemScheduler::RunningOn(const BackendId& aId) const
{
  const auto found = m_engines.find(aId);
  return found == m_engines.end() ? 0 : found->second.m_running;
}

Duration ItemScheduler::PaceOf(const BackendId& aId) const
{
  const auto found = m_engines.find(aId);
  return Duration(found == m_engines.end()
                    ? 0
                    : static_cast<std::int64_t>(found->second.m_pace));
}

} // namespace auburntrestle::fleet
