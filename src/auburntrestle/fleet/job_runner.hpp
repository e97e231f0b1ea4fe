#ifndef AUBURNTRESTLE_FLEET_JOB_RUNNER_HPP
#define AUBURNTRESTLE_FLEET_JOB_RUNNER_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/engine_pool.hpp"
#include "auburntrestle/fleet/engine_protocol.hpp"
#include "auburntrestle/fleet/item_transcript.hpp"
#include "auburntrestle/fleet/output_cache.hpp"
#include "auburntrestle/fleet/state.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburntrestle::fleet {

/**
 * Runs the items of accepted jobs on the engines while this instance leads. A
 * result is proposed to the log and shown only once it is applied; whatever a
 * lost leader had not recorded is generated again by the next one.
 */
class JobRunner
{
public:
  /** Proposes a command; calls back with whether it was applied. */
  using ProposeFunction =
    std::function<void(const Command&, std::function<void(bool)>)>;

  JobRunner(event_loop::EventLoop& aLoop,
            http::Client& aClient,
            const EngineProtocol& aProtocol,
            EnginePool& aEngines,
            ProposeFunction aPropose,
            observe::Instruments& aInstruments,
            std::uint64_t aSeed);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  /** Begins to run the unfinished items of all jobs. */
  void Start(const State& aState, std::shared_ptr<const RouteTable> aRoutes);
  /** Cancels all runs and forgets everything. */
  void Stop();
  /** Takes a new configuration into use. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  /** A job was accepted. */
  void Add(const Job& aJob);
  /** A job has ended. */
  void Cancel(const JobId& aId);
  /** Starts as many items as there is room for. */
  void Dispatch();

private:
  struct Item;
  struct RunningJob;
  using ItemPtr = std::shared_ptr<Item>;

  void AddUnfinished(const Job& aJob);
  [[nodiscard]] ItemPtr MakeItem(const std::shared_ptr<RunningJob>& aJob,
                                 std::size_t aIndex,
                                 const Job& aRecord);
  /** @return whether the item's whole text was carried over. */
  bool TakeCarried(const ItemPtr& aItem);
  void KeepIncompleteGroups(const RunningJob& aJob);
  void RecordProgressOf(RunningJob& aJob);
  [[nodiscard]] ItemRequirements NeedOf(const Item& aItem) const;
  /** @return false when the item's service has no room. */
  bool TryStart(const ItemPtr& aItem);
  void StartRun(const ItemPtr& aItem, const BackendId& aEngine);
  void OnHead(const ItemPtr& aItem, const http::ResponseHead& aHead);
  void OnBody(const ItemPtr& aItem, std::string_view aBody);
  void OnDone(const ItemPtr& aItem,
              tl::expected<void, http::CallFailure> aResult);
  void OnFailedAttempt(const ItemPtr& aItem, int aStatus);
  void EndRun(Item& aItem);
  void BreakRun(const ItemPtr& aItem, std::string_view aReason);
  void Requeue(const ItemPtr& aItem);
  void Finish(const ItemPtr& aItem, ItemState aState);
  void QueueResult(const JobId& aJob, ItemResult aResult);
  void ProposeResults();
  void Sweep();
  void CheckRun(const ItemPtr& aItem, TimePoint aNow);
  void ExpireItems();

  event_loop::EventLoop& m_loop;
  http::Client& m_client;
  const EngineProtocol& m_protocol;
  EnginePool& m_engines;
  ProposeFunction m_propose;
  RandomSource m_random;
  std::shared_ptr<const RouteTable> m_routes;
  bool m_active = false;
  std::uint64_t m_period = 0;
  std::map<JobId, std::shared_ptr<RunningJob>> m_jobs;
  /** Jobs in the order of acceptance. */
  std::deque<std::shared_ptr<RunningJob>> m_order;
  std::map<JobId, std::vector<ItemResult>> m_results;
  bool m_resultsScheduled = false;
  bool m_dispatching = false;
  OutputCache m_carried;
  observe::Instruments& m_instruments;
};

} // namespace auburntrestle::fleet

#endif
