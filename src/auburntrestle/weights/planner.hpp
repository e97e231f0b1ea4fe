#ifndef AUBURNTRESTLE_WEIGHTS_PLANNER_HPP
#define AUBURNTRESTLE_WEIGHTS_PLANNER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/weights/actions.hpp"
#include "auburntrestle/weights/events.hpp"
#include "auburntrestle/weights/types.hpp"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace auburntrestle::weights {

/**
 * An invalid setting. The value is the name of the setting in messages, which
 * does not depend on the name of the member.
 */
struct SettingsError
{
  std::string_view m_member;

  friend bool operator==(const SettingsError&, const SettingsError&) = default;
};

/** @return an error for the first member that is out of range, if any. */
[[nodiscard]] tl::expected<void, SettingsError> CheckSettings(
  const PlannerSettings& aSettings) noexcept;

/**
 * Plans the orders that bring the engines to the goal versions, placement and
 * roles. It sends orders only while it holds the lease, at most one to an
 * engine at a time, and the first one to an engine only after it has read the
 * engine's state.
 */
class Planner
{
public:
  [[nodiscard]] static tl::expected<Planner, SettingsError> Create(
    PlannerSettings aSettings);

  /**
   * Handles one event and appends the actions that follow from it, in order.
   * A SettingsChanged with invalid settings is ignored.
   *
   * @param aNow must not be before the time of an earlier call.
   */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  [[nodiscard]] const PlannerMetrics& GetMetrics() const noexcept
  {
    return m_metrics;
  }

  /**
   * @return whether every known engine that is not leaving has reached its
   * goal.
   */
  [[nodiscard]] bool HaveAllReachedGoal() const;

private:
  /** The progress of the planner with an engine. */
  enum class Phase : std::uint8_t
  {
    /** The state must be read before an order can be sent. */
    Unread,
    Reading,
    Known,
    Ordered,
  };

  struct Order
  {
    OrderId m_id;
    OrderKind m_kind = OrderKind::LoadVersion;
    WeightKey m_weights;
    WeightGoal m_goal;
    std::string m_role;
  };

  struct Engine
  {
    EngineState m_state;
    Phase m_phase = Phase::Unread;
    std::optional<Order> m_order;
    TimePoint m_orderSentAt{};
    ReadId m_read;
    TimePoint m_readSentAt{};
    /** Earliest time of the next read or order. */
    TimePoint m_notBefore{};
    bool m_inService = true;
    /**
     * An order has failed, so that the engine stays out of service until its
     * state has been read.
     */
    bool m_needsCheck = false;
  };

  explicit Planner(PlannerSettings aSettings)
    : m_settings(aSettings)
  {
  }

  void On(const LeaseAcquired& aEvent);
  void On(const LeaseRenewed& aEvent);
  void On(const LeaseLost& aEvent);
  void On(const GoalsChanged& aEvent);
  void On(const SettingsChanged& aEvent);
  void On(const EngineAnnounced& aEvent);
  void On(const EngineRemoved& aEvent);
  void On(const OrderResultReceived& aEvent);
  void On(const StateReadSucceeded& aEvent);
  void On(const StateReadFailed& aEvent);
  void On(const StoreThrottled& aEvent);
  void On(const Tick& aEvent);

  void EndLease();
  [[nodiscard]] bool HoldsLease() const noexcept;
  void HandleRestart(Engine& aEngine, const EngineState& aState);
  void ApplyOrder(Engine& aEngine, const Order& aOrder);
  void RecordOrderFailure(Engine& aEngine);
  void CheckTimeouts();
  void StartReads();
  void StartOrders();
  void UpdateInService(Engine& aEngine);
  [[nodiscard]] std::vector<Engine*> OrderCandidates();
  [[nodiscard]] std::optional<Order> NextOrder(const Engine& aEngine) const;
  [[nodiscard]] std::optional<Order> NextUnload(const Engine& aEngine) const;
  [[nodiscard]] std::optional<Order> NextLoad(const Engine& aEngine) const;
  [[nodiscard]] bool IsPlaced(const Engine& aEngine,
                              const WeightKey& aKey) const;
  [[nodiscard]] bool FitsMemory(const Engine& aEngine,
                                const Order& aOrder) const;
  [[nodiscard]] bool CanTakeOutOfService(const Engine& aEngine) const;
  [[nodiscard]] bool IsServing(const Engine& aEngine) const noexcept;
  [[nodiscard]] std::size_t CountOtherServing(const Engine& aEngine,
                                              const WeightKey& aKey) const;
  [[nodiscard]] bool CanStartLoad() const;
  [[nodiscard]] std::size_t CountLoadsInProgress() const;
  void StartOrder(Engine& aEngine, Order aOrder);

  PlannerSettings m_settings;
  PlannerMetrics m_metrics;
  Goals m_goals;
  std::map<BackendId, Engine> m_engines;
  std::optional<Fencing> m_fencing;
  TimePoint m_leaseUntil{};
  /**
   * Time by which orders of earlier lease holders have ended on engines that
   * ignore fencing numbers.
   */
  TimePoint m_earlierOrdersEnd{};
  TimePoint m_storeAvailableAt{};
  OrderId m_lastOrderId;
  ReadId m_lastReadId;

  // Set only during Handle.
  TimePoint m_now{};
  std::vector<Action>* m_actions = nullptr;
};

} // namespace auburntrestle::weights

#endif
