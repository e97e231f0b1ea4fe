#ifndef AUBURNTRESTLE_FLEET_JOB_RUNNER_HPP
#define AUBURNTRESTLE_FLEET_JOB_RUNNER_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/engine_pool.hpp"
#include "auburntrestle/fleet/engine_protocol.hpp"
#include "auburntrestle/fleet/item_transcript.hpp"
#include "auburntrestle/fleet/output_cache.hpp"
#include "auburntrestle/fleet/reward_caller.hpp"
#include "auburntrestle/fleet/scaling_policy.hpp"
#include "auburntrestle/fleet/state.hpp"
#include "auburntrestle/fleet/work_ranking.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburntrestle::fleet {

/**
 * Runs the items of accepted jobs on the engines while this instance leads the
 * log. An item with a reward call is completed by its score; meanwhile its
 * output is recorded in the log. A result becomes visible once the log entry
 * that records it is applied. After a change of leader, the new leader
 * generates again what the old one had not recorded.
 */
class JobRunner
{
public:
  /** Proposes a command to the log. The callback receives whether the command
   * was applied. */
  using ProposeFunction =
    std::function<void(const Command&, std::function<void(bool)>)>;

  JobRunner(event_loop::EventLoop& aLoop,
            BackendClient& aClient,
            const EngineProtocol& aProtocol,
            EnginePool& aEngines,
            RewardCaller& aRewards,
            ProposeFunction aPropose,
            ItemLoader aLoadItem,
            observe::Instruments& aInstruments,
            std::uint64_t aSeed);
  ~JobRunner();
  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;

  /** Results and complete outputs within this time are batched into one log
   * entry. */
  static constexpr Duration kRecordBatchDelay = std::chrono::milliseconds(15);

  /** Sets whether jobs are ranked where the configuration has client accounts;
   * see RankJobs. Otherwise they are served in the order of arrival. */
  void SetRanksJobs(bool aRanksJobs) { m_ranksJobs = aRanksJobs; }
  /** Starts a leadership epoch: runs the unfinished items of all jobs. */
  void Start(const State& aState, std::shared_ptr<const RouteTable> aRoutes);
  /** Ends the leadership epoch: cancels all runs and discards all state. */
  void Stop();
  /** Replaces the route table. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  /** Adds an accepted job; ignored while this instance does not lead. */
  void Add(const Job& aJob);
  /** Cancels the items of an ended job. */
  void Cancel(const JobId& aId);
  /** Starts waiting items on engines with free slots: in the order of their
   * jobs, or, with client accounts, as the jobs are ranked. */
  void Dispatch();
  /** @return the waiting work of the services that have any; the slots of their
   * servers are not set. */
  [[nodiscard]] std::map<ServiceName, ServiceDemand> Demand() const;

private:
  struct Item;
  struct RunningJob;
  using ItemPtr = std::shared_ptr<Item>;

  void AddUnfinishedItems(const Job& aJob);
  [[nodiscard]] ItemPtr MakeItem(const std::shared_ptr<RunningJob>& aJob,
                                 std::size_t aIndex,
                                 const Job& aRecord);
  /** @return the complete output of an item, recorded in the log or cached from
   * an earlier job. An incomplete output from the cache is resumed. */
  [[nodiscard]] std::optional<PartialOutput> FindCompleteOutput(Item& aItem);
  /** Moves the output of an item out of the cache, if there is one. */
  [[nodiscard]] std::optional<CachedOutput> ExtractFromCache(const Item& aItem);
  void CacheIncompleteGroups(const RunningJob& aJob);
  void ProposeProgress(RunningJob& aJob);
  /** Handles the end of an output: the item is finished, or its reward call
   * starts. */
  void OnOutputComplete(const ItemPtr& aItem, PartialOutput aOutput);
  void StartReward(const ItemPtr& aItem);
  void CancelReward(Item& aItem);
  void OnReward(const ItemPtr& aItem, const RewardResult& aResult);
  void QueueCompleteOutput(const ItemPtr& aItem);
  void ProposeCompleteOutputs();
  /** @return whether jobs are ranked by what their callers lose. */
  [[nodiscard]] bool RanksWork() const;
  void DispatchInOrder();
  void DispatchRanked();
  /** Starts waiting items of a job. @param aMax number of items to start.
   * @return the number of items that were started. */
  std::size_t DispatchJob(RunningJob& aJob, std::size_t aMax);
  /** Starts waiting items of jobs that compete for the engines of a service. */
  void DispatchRanked(const ServiceName& aService,
                      const std::vector<std::shared_ptr<RunningJob>>& aJobs);
  [[nodiscard]] JobDemand DemandOf(const RunningJob& aJob) const;
  /** @return the groups of a new job that its trainer does not wait for. */
  [[nodiscard]] static std::unordered_set<GroupId> SurplusGroups(
    const RunningJob& aJob,
    const Job& aRecord);
  /** Sorts the waiting items of a new job. */
  void SortWaiting(RunningJob& aJob, const Job& aRecord) const;
  [[nodiscard]] ItemRequirements RequirementsOf(const Item& aItem) const;
  /** @return false if no engine of the item's service has a free slot. */
  bool TryStart(const ItemPtr& aItem);
  /** Starts an item without its partial output if no engine can continue it.
   * @param aRequirements with the software of the partial output.
   * @return false if no engine has a free slot, or the item should wait. */
  bool TryRestart(const ItemPtr& aItem, const ItemRequirements& aRequirements);
  /** Starts a run. @return false if the body of the item can't be read. */
  bool StartRun(const ItemPtr& aItem, const BackendId& aEngine);
  /** @return the request for an item, or nothing if its body can't be read. */
  [[nodiscard]] std::optional<http::Request> MakeItemRequest(
    const Item& aItem,
    const BackendId& aEngine,
    Duration aTimeLeft) const;
  void OnHead(const ItemPtr& aItem, const http::ResponseHead& aHead);
  void OnBody(const ItemPtr& aItem, std::string_view aBody);
  void OnDone(const ItemPtr& aItem,
              tl::expected<void, http::CallFailure> aResult);
  void RecordRunTime(Duration aTime);
  void OnFailedAttempt(const ItemPtr& aItem, int aStatus);
  /** @return whether the route of an item permits only one weight version and
   * its output has several. */
  [[nodiscard]] bool MixesVersions(const Item& aItem,
                                   std::size_t aVersions) const;
  /** Discards the partial output, so that it is generated from the start. */
  static void DiscardOutput(Item& aItem);
  void EndRun(Item& aItem);
  /** Ends a run that cannot continue, and queues the item again. */
  void AbortRun(const ItemPtr& aItem, std::string_view aReason);
  void Requeue(const ItemPtr& aItem);
  void Finish(const ItemPtr& aItem, ItemState aState);
  /** @param aIsRecorded whether the output is recorded already. */
  void QueueResult(const JobId& aJob, ItemResult aResult, bool aIsRecorded);
  void ProposeResults();
  void RunPeriodicChecks();
  void CheckRun(const ItemPtr& aItem, TimePoint aNow);
  void ExpireItems();

  event_loop::EventLoop& m_loop;
  BackendClient& m_client;
  const EngineProtocol& m_protocol;
  EnginePool& m_engines;
  RewardCaller& m_rewards;
  ProposeFunction m_propose;
  ItemLoader m_loadItem;
  RandomSource m_random;
  std::shared_ptr<const RouteTable> m_routes;
  bool m_active = false;
  /** Leadership epoch; callbacks of an earlier one are ignored. */
  std::uint64_t m_epoch = 0;
  std::map<JobId, std::shared_ptr<RunningJob>> m_jobs;
  /** Jobs in the order of acceptance. */
  std::deque<std::shared_ptr<RunningJob>> m_order;
  std::map<JobId, JobResults> m_results;
  bool m_resultsScheduled = false;
  /** Items whose complete output is to be recorded. */
  std::vector<ItemPtr> m_completeOutputs;
  bool m_completeOutputsScheduled = false;
  bool m_dispatching = false;
  bool m_ranksJobs = false;
  /** Smoothed time of a complete run in seconds; 0 while unknown. */
  double m_runSeconds = 0;
  OutputCache m_cache;
  observe::Instruments& m_instruments;
};

} // namespace auburntrestle::fleet

#endif
