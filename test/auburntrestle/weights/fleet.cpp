#include "auburntrestle/weights/fleet.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace auburntrestle::weights::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kLease = seconds(3);

} // namespace

Fleet::Fleet(const FleetOptions& aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_engines(aOptions.m_engines)
{
  for (std::size_t index = 0; index < m_engines.size(); ++index) {
    EngineState& state = m_engines[index].m_state;
    std::string name("engine");
    name += std::to_string(index);
    state.m_backend = BackendId(name);
    state.m_incarnation = Incarnation(1);
    state.m_capacity = m_options.m_capacity;
    state.m_checksFencing = !m_options.m_someIgnoreFencing || index % 2 == 0;
  }
  for (int planner = 0; planner < 2; ++planner) {
    m_planners.push_back(
      std::move(Planner::Create(m_options.m_settings)).value());
  }
}

void Fleet::SetGoals(const Goals& aGoals)
{
  m_goals = aGoals;
  for (std::size_t planner = 0; planner < m_planners.size(); ++planner) {
    Deliver(planner, GoalsChanged{ aGoals });
  }
}

void Fleet::SetHeldWeights(std::size_t aEngine,
                           const WeightKey& aKey,
                           HeldWeights aWeights)
{
  m_engines.at(aEngine).m_state.m_held[aKey] = aWeights;
}

Fleet::FakeEngine& Fleet::At(const BackendId& aBackend)
{
  return *std::find_if(
    m_engines.begin(), m_engines.end(), [&](const FakeEngine& aEngine) {
      return aEngine.m_state.m_backend == aBackend;
    });
}

void Fleet::Step()
{
  if (m_observed.m_ticks % 10 == 0) {
    Announce();
  }
  if (m_observed.m_ticks == 0) {
    m_leaseUntil = m_now + kLease;
    Deliver(0, LeaseAcquired{ m_fencing, m_leaseUntil, TimePoint::min() });
  }
  ++m_observed.m_ticks;
  m_now += kStep;
  if (!m_isolated && m_now < m_leaseUntil) {
    m_leaseUntil = m_now + kLease;
    Deliver(m_holder, LeaseRenewed{ m_fencing, m_leaseUntil });
  }
  if (m_random.Chance(m_options.m_faults)) {
    m_isolated = true;
  }
  if (m_isolated && m_now >= m_leaseUntil) {
    TransferLease();
  }
  if (m_random.Chance(m_options.m_faults)) {
    Crash(m_engines[m_random.Below(m_engines.size())]);
  }
  for (const OrderInFlight& order : std::exchange(m_orders, {})) {
    if (order.m_due > m_now) {
      m_orders.push_back(order);
    } else {
      DeliverOrder(order.m_planner, order.m_order);
    }
  }
  Progress();
  for (Message& message : std::exchange(m_messages, {})) {
    if (message.m_due > m_now) {
      m_messages.push_back(std::move(message));
    } else {
      Deliver(message.m_planner, message.m_event);
    }
  }
  for (std::size_t planner = 0; planner < m_planners.size(); ++planner) {
    Deliver(planner, Tick{});
  }
}

bool Fleet::Settle(Duration aTimeout)
{
  m_options.m_faults = 0.0;
  const TimePoint end = m_now + aTimeout;
  while (m_now < end && !HaveAllReachedGoal()) {
    Step();
  }
  return HaveAllReachedGoal();
}

bool Fleet::HaveAllReachedGoal() const
{
  return std::all_of(
    m_engines.begin(), m_engines.end(), [&](const FakeEngine& aEngine) {
      const auto& held = aEngine.m_state.m_held;
      const auto placed = m_goals.m_placement.find(aEngine.m_state.m_backend);
      const bool isPlaced =
        placed == m_goals.m_placement.end() ||
        (held.size() == placed->second.size() &&
         std::all_of(held.begin(), held.end(), [&](const auto& aHeld) {
           return placed->second.contains(aHeld.first);
         }));
      return isPlaced && !aEngine.m_broken && !aEngine.m_load &&
             aEngine.m_inService[m_holder] &&
             std::all_of(held.begin(), held.end(), [&](const auto& aHeld) {
               return m_goals.m_weights.at(aHeld.first).m_version ==
                      aHeld.second.m_version;
             });
    });
}

void Fleet::Deliver(std::size_t aPlanner, const Event& aEvent)
{
  std::vector<Action> actions;
  m_planners.at(aPlanner).Handle(aEvent, m_now, actions);
  for (const Action& action : actions) {
    std::visit([&](const auto& aValue) { Execute(aPlanner, aValue); }, action);
  }
}

void Fleet::SendDelayed(std::size_t aPlanner, const Event& aEvent)
{
  const auto delay = static_cast<std::int64_t>(1 + m_random.Below(3));
  m_messages.push_back({ m_now + delay * kStep, aPlanner, aEvent });
}

void Fleet::Respond(std::size_t aPlanner,
                    const SendOrder& aOrder,
                    OrderResult aResult)
{
  const OrderResultReceived response{ aOrder.m_backend,
                                      aOrder.m_order,
                                      aResult };
  if (!m_random.Chance(m_options.m_faults)) {
    SendDelayed(aPlanner, response);
  }
  // Some responses are delivered again, long after the order has ended.
  if (m_random.Chance(m_options.m_faults * 5)) {
    m_messages.push_back({ m_now + seconds(10), aPlanner, response });
  }
}

void Fleet::CheckOrder(std::size_t aPlanner, const FakeEngine& aEngine)
{
  const auto isServing = [&](const FakeEngine& aOther) {
    return aOther.m_inService[aPlanner];
  };
  for (const auto& entry : aEngine.m_state.m_held) {
    const auto others = static_cast<std::size_t>(std::count_if(
      m_engines.begin(), m_engines.end(), [&](const FakeEngine& aOther) {
        return &aOther != &aEngine && isServing(aOther) &&
               aOther.m_state.m_held.contains(entry.first);
      }));
    if (others < m_options.m_settings.m_minServing) {
      ++m_observed.m_belowMinimum;
      return;
    }
  }
}

void Fleet::Execute(std::size_t aPlanner, const SendOrder& aAction)
{
  ++m_observed.m_orders;
  CheckOrder(aPlanner, At(aAction.m_backend));
  // Some orders are delayed in the network.
  const auto steps = static_cast<std::int64_t>(1 + m_random.Below(3));
  const bool isLate = m_random.Chance(m_options.m_faults * 10);
  m_orders.push_back(
    { m_now + steps * kStep + (isLate ? milliseconds(1500) : milliseconds(0)),
      aPlanner,
      aAction });
}

void Fleet::DeliverOrder(std::size_t aPlanner, const SendOrder& aAction)
{
  FakeEngine& engine = At(aAction.m_backend);
  if (engine.m_downUntil > m_now) {
    Respond(aPlanner, aAction, OrderResult::NotRun);
    return;
  }
  if (engine.m_state.m_checksFencing &&
      aAction.m_fencing < engine.m_highestFencing) {
    Respond(aPlanner, aAction, OrderResult::StaleFencing);
    return;
  }
  // An engine that checks fencing numbers aborts an older harness's order.
  const bool isNewer = aAction.m_fencing > engine.m_highestFencing;
  const bool isOverlap =
    engine.m_load && !(engine.m_state.m_checksFencing && isNewer);
  const bool isLate = aAction.m_fencing < engine.m_highestFencing;
  m_observed.m_overlappingOrders += isOverlap || isLate ? 1 : 0;
  engine.m_highestFencing =
    std::max(engine.m_highestFencing, aAction.m_fencing);
  const bool isLoad = aAction.m_kind != OrderKind::ChangeRole &&
                      aAction.m_kind != OrderKind::Unload;
  Load load{ aAction, aPlanner, 1.0, m_random.Chance(m_options.m_faults * 5) };
  if (isLoad) {
    const std::uint64_t bytes =
      m_goals.m_weights.at(aAction.m_weights).m_bytes.Get();
    load.m_bytesLeft = static_cast<double>(bytes);
    std::uint64_t used =
      engine.m_state.m_held.contains(aAction.m_weights) ? 0 : bytes;
    for (const auto& [key, held] : engine.m_state.m_held) {
      used += held.m_bytes.Get();
    }
    m_observed.m_overCommitted += used > m_options.m_capacity.Get() ? 1 : 0;
  }
  engine.m_load = load;
}

void Fleet::Execute(std::size_t aPlanner, const ReadState& aAction)
{
  FakeEngine& engine = At(aAction.m_backend);
  if (engine.m_downUntil > m_now) {
    SendDelayed(aPlanner, StateReadFailed{ aAction.m_read, aAction.m_backend });
    return;
  }
  EngineState state = engine.m_state;
  state.m_busy = engine.m_load.has_value();
  // Weights of a failed load are discarded when the state is read.
  engine.m_broken = engine.m_broken && state.m_busy;
  SendDelayed(aPlanner, StateReadSucceeded{ aAction.m_read, state });
}

void Fleet::Execute(std::size_t aPlanner, const SetInService& aAction)
{
  FakeEngine& engine = At(aAction.m_backend);
  m_observed.m_brokenInService +=
    aAction.m_inService && engine.m_broken ? 1 : 0;
  engine.m_inService[aPlanner] = aAction.m_inService;
}

void Fleet::Progress()
{
  std::size_t loads = 0;
  for (const FakeEngine& engine : m_engines) {
    loads += engine.m_load ? 1 : 0;
    if (engine.m_load || engine.m_broken || !engine.m_inService[m_holder]) {
      m_observed.m_capacityLost += kStep;
    }
  }
  m_observed.m_maxLoads = std::max(m_observed.m_maxLoads, loads);
  if (loads == 0) {
    return;
  }
  const double share = static_cast<double>(m_options.m_storeBytesPerSecond) *
                       static_cast<double>(kStep.count()) / 1e6 /
                       static_cast<double>(loads);
  for (FakeEngine& engine : m_engines) {
    if (engine.m_load) {
      engine.m_load->m_bytesLeft -= share;
      if (engine.m_load->m_bytesLeft <= 0.0) {
        Complete(engine);
      }
    }
  }
}

void Fleet::Complete(FakeEngine& aEngine)
{
  const Load load = *aEngine.m_load;
  aEngine.m_load.reset();
  if (load.m_fails) {
    ++m_observed.m_swapFailures;
    aEngine.m_broken = true;
    Respond(load.m_holder, load.m_order, OrderResult::SwapFailed);
    return;
  }
  aEngine.m_broken = false;
  if (load.m_order.m_kind == OrderKind::ChangeRole) {
    aEngine.m_state.m_role = load.m_order.m_role;
  } else if (load.m_order.m_kind == OrderKind::Unload) {
    aEngine.m_state.m_held.erase(load.m_order.m_weights);
  } else {
    aEngine.m_state.m_held[load.m_order.m_weights] = {
      load.m_order.m_version,
      m_goals.m_weights.at(load.m_order.m_weights).m_bytes
    };
  }
  Respond(load.m_holder, load.m_order, OrderResult::Done);
}

void Fleet::Crash(FakeEngine& aEngine)
{
  // A restarted engine holds the versions with which it was first started.
  ++m_observed.m_crashes;
  aEngine.m_state.m_incarnation = aEngine.m_state.m_incarnation.Next();
  for (auto& [key, held] : aEngine.m_state.m_held) {
    held.m_version = WeightVersion(0);
  }
  aEngine.m_load.reset();
  aEngine.m_broken = false;
  aEngine.m_highestFencing = Fencing(0);
  aEngine.m_downUntil = m_now + seconds(1);
}

void Fleet::TransferLease()
{
  ++m_observed.m_leases;
  const TimePoint previousEnd =
    m_options.m_hideEarlierLease ? TimePoint::min() : m_leaseUntil;
  m_holder = 1 - m_holder;
  m_fencing = m_fencing.Next();
  m_leaseUntil = m_now + kLease;
  m_isolated = false;
  Deliver(m_holder, LeaseAcquired{ m_fencing, m_leaseUntil, previousEnd });
}

void Fleet::Announce()
{
  for (const FakeEngine& engine : m_engines) {
    if (engine.m_downUntil <= m_now) {
      for (std::size_t planner = 0; planner < m_planners.size(); ++planner) {
        SendDelayed(planner, EngineAnnounced{ engine.m_state });
      }
    }
  }
}

} // namespace auburntrestle::weights::test
