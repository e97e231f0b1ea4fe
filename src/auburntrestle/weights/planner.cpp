#include "auburntrestle/weights/planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburntrestle::weights {
namespace {

bool IsLoad(OrderKind aKind) noexcept
{
  return aKind == OrderKind::LoadVersion || aKind == OrderKind::LoadModel ||
         aKind == OrderKind::LoadAdapter;
}

} // namespace

tl::expected<void, SettingsError> CheckSettings(
  const PlannerSettings& aSettings) noexcept
{
  if (aSettings.m_maxParallelLoads == 0) {
    return tl::unexpected(SettingsError{ "maxParallelLoads" });
  }
  if (aSettings.m_maxOrderDuration.count() <= 0) {
    return tl::unexpected(SettingsError{ "longestOrder" });
  }
  if (aSettings.m_retryDelay.count() <= 0) {
    return tl::unexpected(SettingsError{ "retryDelay" });
  }
  return {};
}

tl::expected<Planner, SettingsError> Planner::Create(PlannerSettings aSettings)
{
  if (const auto valid = CheckSettings(aSettings); !valid) {
    return tl::unexpected(valid.error());
  }
  return Planner(aSettings);
}

void Planner::Handle(const Event& aEvent,
                     TimePoint aNow,
                     std::vector<Action>& aActions)
{
  m_now = aNow;
  m_actions = &aActions;
  std::visit([&](const auto& aValue) { On(aValue); }, aEvent);
  if (m_fencing && m_now >= m_leaseUntil) {
    EndLease();
  }
  CheckTimeouts();
  StartReads();
  if (HoldsLease()) {
    StartOrders();
  }
  m_actions = nullptr;
}

void Planner::On(const LeaseAcquired& aEvent)
{
  if (m_fencing && aEvent.m_fencing <= *m_fencing) {
    return;
  }
  EndLease();
  m_fencing = aEvent.m_fencing;
  m_leaseUntil = aEvent.m_until;
  m_earlierOrdersEnd = aEvent.m_previousEnd + m_settings.m_maxOrderDuration;
}

void Planner::On(const LeaseRenewed& aEvent)
{
  if (m_fencing == aEvent.m_fencing) {
    m_leaseUntil = std::max(m_leaseUntil, aEvent.m_until);
  }
}

void Planner::On(const LeaseLost&)
{
  EndLease();
}

void Planner::On(const GoalsChanged& aEvent)
{
  m_goals = aEvent.m_goals;
}

void Planner::On(const SettingsChanged& aEvent)
{
  if (CheckSettings(aEvent.m_settings)) {
    m_settings = aEvent.m_settings;
  }
}

void Planner::On(const EngineAnnounced& aEvent)
{
  const auto [entry, isNew] = m_engines.try_emplace(aEvent.m_state.m_backend);
  Engine& engine = entry->second;
  if (isNew || aEvent.m_state.m_incarnation > engine.m_state.m_incarnation) {
    HandleRestart(engine, aEvent.m_state);
    return;
  }
  if (aEvent.m_state.m_incarnation < engine.m_state.m_incarnation) {
    return;
  }
  // An announcement may have been sent before the last order ended, so that it
  // does not change the known weights and role. If they differ, the state is
  // read.
  const bool differs = aEvent.m_state.m_held != engine.m_state.m_held ||
                       aEvent.m_state.m_role != engine.m_state.m_role;
  auto held = std::move(engine.m_state.m_held);
  auto role = std::move(engine.m_state.m_role);
  engine.m_state = aEvent.m_state;
  engine.m_state.m_held = std::move(held);
  engine.m_state.m_role = std::move(role);
  if (differs && engine.m_phase == Phase::Known) {
    engine.m_phase = Phase::Unread;
  }
}

void Planner::HandleRestart(Engine& aEngine, const EngineState& aState)
{
  // A restart ends every order that the engine has received, but not one that
  // is still in transit.
  Engine restarted;
  restarted.m_state = aState;
  restarted.m_inService = aEngine.m_inService;
  restarted.m_notBefore = aEngine.m_notBefore;
  if (aEngine.m_order) {
    restarted.m_needsCheck = true;
    restarted.m_notBefore =
      aEngine.m_orderSentAt + m_settings.m_maxOrderDuration;
  }
  aEngine = std::move(restarted);
  UpdateInService(aEngine);
}

void Planner::On(const EngineRemoved& aEvent)
{
  m_engines.erase(aEvent.m_backend);
}

void Planner::On(const OrderResultReceived& aEvent)
{
  const auto found = m_engines.find(aEvent.m_backend);
  if (found == m_engines.end() || !found->second.m_order ||
      found->second.m_order->m_id != aEvent.m_order) {
    ++m_metrics.m_staleResponses;
    return;
  }
  Engine& engine = found->second;
  switch (aEvent.m_result) {
    case OrderResult::Done:
      ++m_metrics.m_ordersDone;
      ApplyOrder(engine, *engine.m_order);
      engine.m_order.reset();
      engine.m_phase = Phase::Known;
      UpdateInService(engine);
      return;
    case OrderResult::NotRun:
      ++m_metrics.m_ordersFailed;
      engine.m_order.reset();
      engine.m_phase = Phase::Known;
      engine.m_notBefore = m_now + m_settings.m_retryDelay;
      UpdateInService(engine);
      return;
    case OrderResult::StaleFencing:
      // Another instance holds a newer lease.
      ++m_metrics.m_ordersFailed;
      EndLease();
      return;
    case OrderResult::SwapFailed:
      RecordOrderFailure(engine);
      return;
    case OrderResult::Unknown:
      // The order may still reach the engine.
      RecordOrderFailure(engine);
      engine.m_notBefore = engine.m_orderSentAt + m_settings.m_maxOrderDuration;
      return;
  }
}

void Planner::ApplyOrder(Engine& aEngine, const Order& aOrder)
{
  if (aOrder.m_kind == OrderKind::ChangeRole) {
    aEngine.m_state.m_role = aOrder.m_role;
  } else if (aOrder.m_kind == OrderKind::Unload) {
    aEngine.m_state.m_held.erase(aOrder.m_weights);
  } else {
    aEngine.m_state.m_held[aOrder.m_weights] = { aOrder.m_goal.m_version,
                                                 aOrder.m_goal.m_bytes };
  }
}

void Planner::RecordOrderFailure(Engine& aEngine)
{
  ++m_metrics.m_ordersFailed;
  aEngine.m_order.reset();
  aEngine.m_phase = Phase::Unread;
  aEngine.m_needsCheck = true;
  UpdateInService(aEngine);
}

void Planner::On(const StateReadSucceeded& aEvent)
{
  const auto found = m_engines.find(aEvent.m_state.m_backend);
  if (found == m_engines.end() || found->second.m_phase != Phase::Reading ||
      found->second.m_read != aEvent.m_read ||
      aEvent.m_state.m_incarnation < found->second.m_state.m_incarnation) {
    ++m_metrics.m_staleResponses;
    return;
  }
  Engine& engine = found->second;
  ++m_metrics.m_statesRead;
  engine.m_state = aEvent.m_state;
  if (aEvent.m_state.m_busy) {
    // An order of an earlier lease holder is still being executed.
    engine.m_phase = Phase::Unread;
    engine.m_needsCheck = true;
    engine.m_notBefore = m_now + m_settings.m_retryDelay;
    UpdateInService(engine);
    return;
  }
  engine.m_phase = Phase::Known;
  // The engine returns to service with the version that it actually holds, and
  // the order is repeated after a delay.
  if (engine.m_needsCheck) {
    engine.m_needsCheck = false;
    engine.m_notBefore = m_now + m_settings.m_retryDelay;
  }
  UpdateInService(engine);
}

void Planner::On(const StateReadFailed& aEvent)
{
  const auto found = m_engines.find(aEvent.m_backend);
  if (found == m_engines.end() || found->second.m_phase != Phase::Reading ||
      found->second.m_read != aEvent.m_read) {
    ++m_metrics.m_staleResponses;
    return;
  }
  found->second.m_phase = Phase::Unread;
  found->second.m_notBefore = m_now + m_settings.m_retryDelay;
}

void Planner::On(const StoreThrottled& aEvent)
{
  m_storeAvailableAt =
    std::max(m_storeAvailableAt, m_now + aEvent.m_retryAfter);
}

void Planner::On(const Tick&) {}

void Planner::EndLease()
{
  m_fencing.reset();
  for (auto& [id, engine] : m_engines) {
    // An order in progress may still be executed, so that the state is read
    // after the maximum duration of an order.
    if (engine.m_order) {
      engine.m_needsCheck = true;
      engine.m_notBefore = engine.m_orderSentAt + m_settings.m_maxOrderDuration;
    }
    engine.m_order.reset();
    engine.m_phase = Phase::Unread;
    UpdateInService(engine);
  }
}

bool Planner::HoldsLease() const noexcept
{
  return m_fencing && m_now < m_leaseUntil;
}

void Planner::CheckTimeouts()
{
  for (auto& [id, engine] : m_engines) {
    if (engine.m_phase == Phase::Ordered &&
        m_now - engine.m_orderSentAt >= m_settings.m_maxOrderDuration) {
      RecordOrderFailure(engine);
    }
    if (engine.m_phase == Phase::Reading &&
        m_now - engine.m_readSentAt >= m_settings.m_maxOrderDuration) {
      engine.m_phase = Phase::Unread;
    }
  }
}

void Planner::StartReads()
{
  for (auto& [id, engine] : m_engines) {
    // Without the lease, the state is read only from engines that are out of
    // service, so that they return to service.
    const bool isNeeded = HoldsLease() || engine.m_needsCheck;
    if (engine.m_phase != Phase::Unread || m_now < engine.m_notBefore ||
        !isNeeded) {
      continue;
    }
    // An order of an earlier lease holder could still change the state after
    // the read.
    if (!engine.m_state.m_checksFencing && m_now < m_earlierOrdersEnd) {
      continue;
    }
    m_lastReadId = m_lastReadId.Next();
    engine.m_phase = Phase::Reading;
    engine.m_read = m_lastReadId;
    engine.m_readSentAt = m_now;
    m_actions->push_back(ReadState{ id, m_lastReadId });
  }
}

std::vector<Planner::Engine*> Planner::OrderCandidates()
{
  std::vector<Engine*> candidates;
  for (auto& [id, engine] : m_engines) {
    if (engine.m_phase == Phase::Known && m_now >= engine.m_notBefore &&
        !engine.m_state.m_leaving) {
      candidates.push_back(&engine);
    }
  }
  const auto rank = [](const Engine* aEngine) {
    const EngineState& state = aEngine->m_state;
    const bool isFree = state.m_running == 0 || state.m_draining;
    return std::tuple(!isFree, state.m_running);
  };
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&](const Engine* aLeft, const Engine* aRight) {
                     return rank(aLeft) < rank(aRight);
                   });
  return candidates;
}

void Planner::StartOrders()
{
  for (Engine* const engine : OrderCandidates()) {
    auto order = NextOrder(*engine);
    if (!order) {
      continue;
    }
    if (m_settings.m_plan == RolloutPlan::Waves) {
      const bool isLoad = IsLoad(order->m_kind);
      if ((isLoad && !CanStartLoad()) || !CanTakeOutOfService(*engine)) {
        continue;
      }
    }
    if (!FitsMemory(*engine, *order)) {
      ++m_metrics.m_memoryDelays;
      engine->m_notBefore = m_now + m_settings.m_retryDelay;
      continue;
    }
    StartOrder(*engine, std::move(*order));
  }
}

std::optional<Planner::Order> Planner::NextOrder(const Engine& aEngine) const
{
  // Weights are loaded on the new engine before they are unloaded from the old
  // one, so that the number of engines that serve them does not fall meanwhile.
  auto load = NextLoad(aEngine);
  if (load && FitsMemory(aEngine, *load)) {
    return load;
  }
  if (auto unload = NextUnload(aEngine)) {
    return unload;
  }
  if (load) {
    return load;
  }
  const auto role = m_goals.m_roles.find(aEngine.m_state.m_backend);
  if (role != m_goals.m_roles.end() && role->second != aEngine.m_state.m_role) {
    Order order;
    order.m_kind = OrderKind::ChangeRole;
    order.m_role = role->second;
    return order;
  }
  return std::nullopt;
}

std::optional<Planner::Order> Planner::NextUnload(const Engine& aEngine) const
{
  for (const auto& [key, held] : aEngine.m_state.m_held) {
    // Weights are unloaded only if enough other engines serve them.
    if (IsPlaced(aEngine, key) ||
        CountOtherServing(aEngine, key) < m_settings.m_minServing) {
      continue;
    }
    Order order;
    order.m_kind = OrderKind::Unload;
    order.m_weights = key;
    order.m_goal = { held.m_version, held.m_bytes };
    return order;
  }
  return std::nullopt;
}

std::optional<Planner::Order> Planner::NextLoad(const Engine& aEngine) const
{
  const auto& held = aEngine.m_state.m_held;
  for (const auto& [key, goal] : m_goals.m_weights) {
    const auto found = held.find(key);
    const bool isHeld = found != held.end();
    if (!IsPlaced(aEngine, key) ||
        (!isHeld && !m_goals.m_placement.contains(aEngine.m_state.m_backend)) ||
        (isHeld && found->second.m_version == goal.m_version)) {
      continue;
    }
    Order order;
    order.m_weights = key;
    order.m_goal = goal;
    if (!key.m_adapter.empty()) {
      order.m_kind = OrderKind::LoadAdapter;
    } else {
      order.m_kind = isHeld ? OrderKind::LoadVersion : OrderKind::LoadModel;
    }
    return order;
  }
  return std::nullopt;
}

bool Planner::IsPlaced(const Engine& aEngine, const WeightKey& aKey) const
{
  const auto placement = m_goals.m_placement.find(aEngine.m_state.m_backend);
  return placement == m_goals.m_placement.end() ||
         placement->second.contains(aKey);
}

bool Planner::FitsMemory(const Engine& aEngine, const Order& aOrder) const
{
  // A new version replaces the old one in the same memory.
  if (!IsLoad(aOrder.m_kind) ||
      aEngine.m_state.m_held.contains(aOrder.m_weights)) {
    return true;
  }
  std::uint64_t bytes = aOrder.m_goal.m_bytes.Get();
  for (const auto& [key, held] : aEngine.m_state.m_held) {
    if (m_settings.m_memory == MemoryRule::CountBothPlaces ||
        IsPlaced(aEngine, key)) {
      bytes += held.m_bytes.Get();
    }
  }
  return bytes <= aEngine.m_state.m_capacity.Get();
}

bool Planner::IsServing(const Engine& aEngine) const noexcept
{
  return aEngine.m_inService && !aEngine.m_state.m_leaving &&
         !aEngine.m_state.m_draining;
}

std::size_t Planner::CountOtherServing(const Engine& aEngine,
                                       const WeightKey& aKey) const
{
  std::size_t serving = 0;
  for (const auto& [id, other] : m_engines) {
    serving += id != aEngine.m_state.m_backend && IsServing(other) &&
                   other.m_state.m_held.contains(aKey)
                 ? 1
                 : 0;
  }
  return serving;
}

bool Planner::CanTakeOutOfService(const Engine& aEngine) const
{
  // An engine that is not serving does not reduce the capacity.
  if (!IsServing(aEngine)) {
    return true;
  }
  return std::all_of(aEngine.m_state.m_held.begin(),
                     aEngine.m_state.m_held.end(),
                     [&](const auto& aHeld) {
                       return !aHeld.first.m_adapter.empty() ||
                              CountOtherServing(aEngine, aHeld.first) >=
                                m_settings.m_minServing;
                     });
}

bool Planner::CanStartLoad() const
{
  return m_now >= m_storeAvailableAt &&
         CountLoadsInProgress() < m_settings.m_maxParallelLoads;
}

std::size_t Planner::CountLoadsInProgress() const
{
  return static_cast<std::size_t>(
    std::count_if(m_engines.begin(), m_engines.end(), [](const auto& aEntry) {
      return aEntry.second.m_order && IsLoad(aEntry.second.m_order->m_kind);
    }));
}

void Planner::StartOrder(Engine& aEngine, Order aOrder)
{
  m_lastOrderId = m_lastOrderId.Next();
  aOrder.m_id = m_lastOrderId;
  const std::uint64_t rate = m_settings.m_storeBytesPerSecond.Get();
  if (IsLoad(aOrder.m_kind) && rate > 0) {
    // The next load starts when the store can have delivered this one.
    const double seconds = static_cast<double>(aOrder.m_goal.m_bytes.Get()) /
                           static_cast<double>(rate);
    m_storeAvailableAt = std::max(m_storeAvailableAt, m_now) +
                         Duration(static_cast<Duration::rep>(seconds * 1e6));
  }
  ++m_metrics.m_ordersSent;
  aEngine.m_phase = Phase::Ordered;
  aEngine.m_orderSentAt = m_now;
  aEngine.m_order = aOrder;
  UpdateInService(aEngine);
  m_actions->push_back(SendOrder{ aEngine.m_state.m_backend,
                                  aOrder.m_id,
                                  aOrder.m_kind,
                                  aOrder.m_weights,
                                  aOrder.m_goal.m_version,
                                  aOrder.m_role,
                                  *m_fencing });
}

void Planner::UpdateInService(Engine& aEngine)
{
  const bool inService = !aEngine.m_order && !aEngine.m_needsCheck;
  if (inService != aEngine.m_inService) {
    aEngine.m_inService = inService;
    m_actions->push_back(SetInService{ aEngine.m_state.m_backend, inService });
  }
}

bool Planner::HaveAllReachedGoal() const
{
  return std::all_of(
    m_engines.begin(), m_engines.end(), [&](const auto& aEntry) {
      const Engine& engine = aEntry.second;
      return engine.m_state.m_leaving ||
             (engine.m_phase == Phase::Known && !NextOrder(engine));
    });
}

} // namespace auburntrestle::weights
