#ifndef AUBURNTRESTLE_FLEET_ENGINE_POOL_HPP
#define AUBURNTRESTLE_FLEET_ENGINE_POOL_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_client.hpp"
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

/** Settings of an EnginePool. */
struct EnginePoolOptions
{
  InstanceId m_self;
  /** Minimum time between the last order of one leader and the first order of
   * the next. */
  Duration m_leaseTime = std::chrono::seconds(3);
};

/**
 * The engines as the leader sees them: their weight versions, whether they
 * accept items, and the orders to load new weights. An order is recorded in the
 * log before it is sent. It states how many orders the engine has accepted so
 * far, so that the engine refuses a delayed order after it accepted a newer
 * one.
 */
class EnginePool
{
public:
  /** Records an order in the log. The callback receives whether it is recorded,
   * which also confirms that this instance still leads. */
  using RecordFunction =
    std::function<void(const WeightLoad&, std::function<void(bool)>)>;

  EnginePool(event_loop::EventLoop& aLoop,
             BackendClient& aClient,
             const EngineProtocol& aProtocol,
             EnginePoolOptions aOptions,
             RecordFunction aRecord,
             observe::Instruments& aInstruments);
  EnginePool(const EnginePool&) = delete;
  EnginePool& operator=(const EnginePool&) = delete;

  /** Sets the callback for when engines may have become available. */
  void SetChangeCallback(std::function<void()> aWork)
  {
    m_onChange = std::move(aWork);
  }

  /**
   * Starts a leadership epoch with a fencing number.
   *
   * @param aLastOrder when the last order of an earlier leader was recorded.
   */
  void Start(Fencing aFencing, std::optional<TimePoint> aLastOrder);
  /** Ends the leadership epoch; no more requests are sent. */
  void Stop();

  /** Sets the backend servers; those of services without engines are
   * ignored. */
  void SetDirectory(const std::map<BackendId, BackendRecord>& aBackends,
                    const RouteTable& aRoutes);
  /** Sets the newest published version of each model. */
  void SetNewest(std::map<ModelName, WeightVersion> aNewest);
  /** See WeightRollout::SetDemand. */
  void SetDemand(const ModelName& aModel, double aDemand);

  /** Records a failure; the engine is avoided with exponential backoff. */
  void RecordFailure(const BackendId& aEngine);
  /** Records that an engine had no free slot; it is avoided briefly. */
  void RecordFull(const BackendId& aEngine);
  /** Updates an engine after a request to it or the head of a response, either
   * of which may change when the next request is permitted, if ever. */
  void RefreshPermit(const BackendId& aEngine);
  /** Records a completed item; resets the backoff of the engine. */
  void RecordSuccess(const BackendId& aEngine);
  /** Records that another process answers at the engine's address. */
  void RecordMisdirection(const BackendId& aEngine);
  /** Records the weight version of an engine, as stated in a response. */
  void RecordVersion(const BackendId& aEngine,
                     const ModelName& aModel,
                     WeightVersion aVersion);

  /** @return the record of an engine, or null. */
  [[nodiscard]] const BackendRecord* RecordOf(const BackendId& aEngine) const;
  /** @return whether an order to load weights is in progress on an engine. */
  [[nodiscard]] bool IsLoading(const BackendId& aEngine) const;
  /** @return whether an engine is known; its runs may continue. */
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
    /** m_versions are up to date; otherwise the engine gets no work. */
    bool m_versionsKnown = false;
    /** A request for a report is in progress. */
    bool m_reportPending = false;
    /** Orders that the engine has accepted since its start. */
    std::uint64_t m_orders = 0;
    /** The load that is in progress or may be. */
    std::optional<WeightLoad> m_load;
    TimePoint m_loadSentAt{};
    bool m_loadAccepted = false;
    /** The engine refused this leader's fencing number. */
    bool m_fencedOff = false;
    /** Runs on the engine must keep their weight version, so that an order
     * waits for their end. It may be carried out long after it was sent. */
    bool m_pinned = false;
    /** Not used before this time. */
    TimePoint m_avoidUntil{};
    std::uint32_t m_failures = 0;
    /** The engine stated a rate limit when its permit was last refreshed. */
    bool m_limited = false;
    /** The engine was draining when its permit was last refreshed. */
    bool m_draining = false;
    /** An update of the scheduler at the next permit is scheduled. */
    bool m_permitScheduled = false;
  };

  void ReadReport(const BackendId& aId);
  void ScheduleRead(const BackendId& aId, Duration aDelay);
  void HandleReport(const BackendId& aId,
                    Incarnation aIncarnation,
                    const http::FetchResult& aResponse);
  void PlanLoads();
  /** Records an order in the log and sends it. */
  void StartLoad(const WeightLoad& aLoad);
  void SendOrder(const WeightLoad& aLoad);
  void HandleOrderOutcome(const WeightLoad& aLoad,
                          Incarnation aIncarnation,
                          const http::FetchResult& aResponse);
  /** Treats a load as completed at its expected end, before a report. */
  void AssumeLoaded(const WeightLoad& aLoad);
  void Avoid(Engine& aEngine, Duration aTime);
  /** Updates the scheduler at the next permit of an engine. */
  void SchedulePermit(const BackendId& aId, Duration aWait);
  /** Passes the state of an engine on to the scheduler. */
  void UpdateScheduler(const BackendId& aId);
  [[nodiscard]] Engine* Find(const BackendId& aId, Incarnation aIncarnation);
  /** @return whether an engine neither leaves nor has left. */
  [[nodiscard]] bool IsServing(const Engine& aEngine) const;
  /** Runs work after a delay unless the leadership epoch ends before. */
  void RunAfter(Duration aDelay, std::function<void()> aWork);

  event_loop::EventLoop& m_loop;
  BackendClient& m_client;
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
  /** Leadership epoch; callbacks of an earlier one are ignored. */
  std::uint64_t m_epoch = 0;
  /** No order is sent before this time. */
  TimePoint m_ordersAllowedFrom{};
};

} // namespace auburntrestle::fleet

#endif
