#ifndef AUBURNTRESTLE_FLEET_ENGINE_POOL_HPP
#define AUBURNTRESTLE_FLEET_ENGINE_POOL_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/engine_protocol.hpp"
#include "auburntrestle/fleet/item_scheduler.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/fleet/weight_rollout.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::fleet {

/** How an EnginePool gives orders. */
struct EnginePoolOptions
{
  InstanceId m_self;
  /** Least time between the last order of one leader and the first order of
   * the next. */
  Duration m_leaseTime = std::chrono::seconds(3);
};

/**
 * The engines as the leader uses them: what they hold, whether they can take
 * items, and the orders that bring new weights to them. An order is sent only
 * after it was recorded in the log, and names how many
 * orders the engine had accepted before, so that an order that is carried out
 * late is refused once a newer one was accepted.
 */
class EnginePool
{
public:
  /** Records an order in the log; calls back with whether it is there, which
   * also shows that this instance still leads. */
  using RecordFunction =
    std::function<void(const WeightLoad&, std::function<void(bool)>)>;

  EnginePool(event_loop::EventLoop& aLoop,
             http::Client& aClient,
             const EngineProtocol& aProtocol,
             EnginePoolOptions aOptions,
             RecordFunction aRecord,
             observe::Instruments& aInstruments);
  EnginePool(const EnginePool&) = delete;
  EnginePool& operator=(const EnginePool&) = delete;

  /** Sets what is called when engines may have become usable. */
  void SetChangeCallback(std::function<void()> aWork)
  {
    m_onChange = std::move(aWork);
  }

  /**
   * Begins to lead under a fencing number.
   *
   * @param aLastOrder when an order of an earlier leader was last recorded.
   */
  void Start(Fencing aFencing, std::optional<TimePoint> aLastOrder);
  /** Ceases to lead; sends nothing any more. */
  void Stop();

  /** Sets the backend servers; those of services without engines are left
   * out. */
  void SetDirectory(const std::map<BackendId, BackendRecord>& aBackends,
                    const RouteTable& aRoutes);
  /** Sets the newest version named for each model. */
  void SetNewest(std::map<ModelName, WeightVersion> aNewest);
  void SetDemand(const ModelName& aModel, double aDemand);
  /** Sets whether the runs on an engine must not change their version. */
  void SetPinned(const BackendId& aEngine, bool aPinned);

  /** Leaves an engine out for a time that grows with each failure. */
  void Failed(const BackendId& aEngine);
  /** Leaves a full engine out for a moment. */
  void Full(const BackendId& aEngine);
  /** An engine has delivered; its failures are forgotten. */
  void Succeeded(const BackendId& aEngine);
  /** Another process has the engine's address. */
  void Misdirected(const BackendId& aEngine);
  /** A response shows which version an engine holds. */
  void SawVersion(const BackendId& aEngine,
                  const ModelName& aModel,
                  WeightVersion aVersion);

  /** @return ip:port of an engine, or null. */
  [[nodiscard]] const std::string* AddressOf(const BackendId& aEngine) const;
  /** @return whether an engine carries out an order. */
  [[nodiscard]] bool IsLoading(const BackendId& aEngine) const;
  /** @return whether an engine may go on with what it runs. */
  [[nodiscard]] bool Exists(const BackendId& aEngine) const;
  [[nodiscard]] ItemScheduler& Scheduler() noexcept { return m_scheduler; }
  [[nodiscard]] const ItemScheduler& Scheduler() const noexcept
  {
    return m_scheduler;
  }

private:
  struct Engine
  {
    BackendRecord m_record;
    std::uint32_t m_slots = 1;
    std::map<ModelName, WeightVersion> m_versions;
    bool m_known = false;
    bool m_reading = false;
    std::uint64_t m_orders = 0;
    std::optional<WeightLoad> m_load;
    TimePoint m_loadSent{};
    bool m_loadAccepted = false;
    /** The engine refused this leader's fencing number. */
    bool m_fencedOff = false;
    bool m_pinned = false;
    /** Not used before this time. */
    TimePoint m_avoidUntil{};
    std::uint32_t m_failures = 0;
  };

  void Read(const BackendId& aId);
  void ReadLater(const BackendId& aId, Duration aDelay);
  void TakeReport(const BackendId& aId,
                  Incarnation aIncarnation,
                  const http::WholeResponse& aResponse);
  void PlanLoads();
  void SendLoad(const WeightLoad& aLoad);
  void PostLoad(const WeightLoad& aLoad);
  void TakeOrderOutcome(const WeightLoad& aLoad,
                        Incarnation aIncarnation,
                        const http::WholeResponse& aResponse);
  void ExpectLoaded(const WeightLoad& aLoad);
  void Avoid(Engine& aEngine, Duration aTime);
  void Update(const BackendId& aId);
  [[nodiscard]] Engine* Find(const BackendId& aId, Incarnation aIncarnation);
  /** Runs work later unless leadership ends before. */
  void Later(Duration aDelay, std::function<void()> aWork);

  event_loop::EventLoop& m_loop;
  http::Client& m_client;
  const EngineProtocol& m_protocol;
  EnginePoolOptions m_options;
  RecordFunction m_record;
  observe::Instruments& m_instruments;
  std::function<void()> m_onChange;
  std::map<BackendId, Engine> m_engines;
  std::map<ModelName, WeightVersion> m_newest;
  WeightRollout m_rollout;
  ItemScheduler m_scheduler;
  Fencing m_fencing;
  bool m_leads = false;
  /** Distinguishes the periods of leadership. */
  std::uint64_t m_period = 0;
  TimePoint m_ordersFrom{};
};

} // namespace auburntrestle::fleet

#endif
