#ifndef AUBURNTRESTLE_TEST_WEIGHTS_FLEET_HPP
#define AUBURNTRESTLE_TEST_WEIGHTS_FLEET_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/weights/planner.hpp"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace auburntrestle::weights::test {

struct FleetOptions
{
  std::uint64_t m_seed = 1;
  std::size_t m_engines = 12;
  PlannerSettings m_settings;
  std::uint64_t m_storeBytesPerSecond = 1000;
  ByteCount m_capacity{ 10000 };
  /** Probability, in each 50 ms, of one fault of each kind. */
  double m_faults = 0.0;
  /** Whether every second engine ignores fencing numbers. */
  bool m_someIgnoreFencing = true;
  /** Seeded fault: a new lease harness does not learn of the earlier lease. */
  bool m_hideEarlierLease = false;
};

/** Counts of what the fake engines observed. */
struct Observed
{
  std::size_t m_ticks = 0;
  std::size_t m_orders = 0;
  std::size_t m_leases = 0;
  std::size_t m_crashes = 0;
  std::size_t m_swapFailures = 0;
  /**
   * Orders that an engine received while it executed another harness's order.
   */
  std::size_t m_overlappingOrders = 0;
  /** Orders that left a model with fewer serving engines than the limit. */
  std::size_t m_belowMinimum = 0;
  /**
   * Number of times that an engine with failed weights was put into service.
   */
  std::size_t m_brokenInService = 0;
  /** Engines whose memory was exceeded, counted once per load. */
  std::size_t m_overCommitted = 0;
  std::size_t m_maxLoads = 0;
  /** Time that engines were out of service, summed. */
  Duration m_capacityLost{};
};

/**
 * Simulates engines, a weight store and two planners that alternate as lease
 * harness, in virtual time.
 */
class Fleet
{
public:
  explicit Fleet(const FleetOptions& aOptions);

  void SetGoals(const Goals& aGoals);
  /** Sets the weights that an engine holds at the start. */
  void SetHeldWeights(std::size_t aEngine,
                      const WeightKey& aKey,
                      HeldWeights aWeights);
  void Step();
  /**
   * Stops the faults and runs until every engine has reached its goal.
   * @return whether this happened within the given time.
   */
  bool Settle(Duration aTimeout);

  [[nodiscard]] const Observed& GetObserved() const { return m_observed; }
  [[nodiscard]] Duration Elapsed() const { return m_now - TimePoint{}; }
  [[nodiscard]] bool HaveAllReachedGoal() const;

private:
  struct Load
  {
    SendOrder m_order;
    std::size_t m_holder = 0;
    double m_bytesLeft = 0.0;
    bool m_fails = false;
  };
  struct FakeEngine
  {
    EngineState m_state;
    std::optional<Load> m_load;
    Fencing m_highestFencing;
    bool m_broken = false;
    std::array<bool, 2> m_inService{ true, true };
    TimePoint m_downUntil{};
  };
  struct OrderInFlight
  {
    TimePoint m_due;
    std::size_t m_planner = 0;
    SendOrder m_order;
  };
  struct Message
  {
    TimePoint m_due;
    std::size_t m_planner = 0;
    Event m_event;
  };

  void Deliver(std::size_t aPlanner, const Event& aEvent);
  void Execute(std::size_t aPlanner, const SendOrder& aAction);
  void DeliverOrder(std::size_t aPlanner, const SendOrder& aOrder);
  void Execute(std::size_t aPlanner, const ReadState& aAction);
  void Execute(std::size_t aPlanner, const SetInService& aAction);
  void SendDelayed(std::size_t aPlanner, const Event& aEvent);
  void Respond(std::size_t aPlanner,
               const SendOrder& aOrder,
               OrderResult aResult);
  void Progress();
  void Complete(FakeEngine& aEngine);
  void Crash(FakeEngine& aEngine);
  void TransferLease();
  void Announce();
  void CheckOrder(std::size_t aPlanner, const FakeEngine& aEngine);
  FakeEngine& At(const BackendId& aBackend);

  FleetOptions m_options;
  RandomSource m_random;
  TimePoint m_now{};
  std::vector<FakeEngine> m_engines;
  std::vector<Planner> m_planners;
  std::vector<Message> m_messages;
  std::vector<OrderInFlight> m_orders;
  std::size_t m_holder = 0;
  Fencing m_fencing{ 1 };
  TimePoint m_leaseUntil{};
  bool m_isolated = false;
  Goals m_goals;
  Observed m_observed;
};

} // namespace auburntrestle::weights::test

#endif
