#include "auburntrestle/fleet/job_runner.hpp"

#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnprocessable = 422;
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
/** A run without an event for this long is aborted and resumed on another
 * engine. */
constexpr Duration kStallTimeout = std::chrono::milliseconds(1500);
/** The same while the engine loads weights, which pauses its runs. */
constexpr Duration kLoadingStallTimeout = std::chrono::milliseconds(4000);
/** Minimum age of a run before it may migrate off a slow engine. */
constexpr Duration kMinMigrationAge = std::chrono::milliseconds(500);
/** An item with a partial output waits no longer for an engine that can
 * continue it if another one can start the item again. */
constexpr Duration kMaxContinuationWait = std::chrono::seconds(1);

} // namespace

JobRunner::JobRunner(event_loop::EventLoop& aLoop,
                     BackendClient& aClient,
                     const EngineProtocol& aProtocol,
                     EnginePool& aEngines,
                     RewardCaller& aRewards,
                     ProposeFunction aPropose,
                     ItemLoader aLoadItem,
                     observe::Instruments& aInstruments,
                     std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_engines(aEngines)
  , m_rewards(aRewards)
  , m_propose(std::move(aPropose))
  , m_loadItem(std::move(aLoadItem))
  , m_random(aSeed)
  , m_instruments(aInstruments)
{
}

JobRunner::~JobRunner()
{
  Stop();
}

void JobRunner::Start(const State& aState,
                      std::shared_ptr<const RouteTable> aRoutes)
{
  m_active = true;
  ++m_epoch;
  m_routes = std::move(aRoutes);
  m_rewards.SetRoutes(m_routes);
  for (const auto& id : aState.JobOrder()) {
    AddUnfinishedItems(*aState.FindJob(id));
  }
  Dispatch();
  RunPeriodicChecks();
}

void JobRunner::Stop()
{
  m_active = false;
  ++m_epoch;
  m_rewards.Stop();
  for (const auto& job : m_order) {
    job->m_ended = true;
    for (const auto& item : job->m_items) {
      EndRun(*item);
      // Break the reference cycle between the job and its items.
      item->m_job.reset();
    }
  }
  m_order.clear();
  m_jobs.clear();
  m_results.clear();
  m_resultsScheduled = false;
  m_completeOutputs.clear();
  m_completeOutputsScheduled = false;
  m_cache.Clear();
}

void JobRunner::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
  m_rewards.SetRoutes(m_routes);
  Dispatch();
}

void JobRunner::Add(const Job& aJob)
{
  if (m_active) {
    AddUnfinishedItems(aJob);
    Dispatch();
  }
}

void JobRunner::AddUnfinishedItems(const Job& aJob)
{
  if (aJob.m_ended || m_jobs.contains(aJob.m_id)) {
    return;
  }
  auto job = std::make_shared<RunningJob>();
  job->m_spec = aJob.m_spec;
  job->m_acceptedAt = aJob.m_acceptedAt;
  m_jobs.emplace(job->m_spec->m_id, job);
  m_order.push_back(job);
  double demand = 0;
  for (std::size_t index = 0; index < job->m_spec->m_items.size(); ++index) {
    demand += static_cast<double>(
      std::max<std::uint64_t>(job->m_spec->m_items[index].m_expectedTokens, 1));
    if (aJob.m_hasResult[index]) {
      continue;
    }
    job->m_items.push_back(MakeItem(job, index, aJob));
  }
  for (const auto& item : job->m_items) {
    if (auto output = FindCompleteOutput(*item)) {
      OnOutputComplete(item, std::move(*output));
    } else {
      job->m_waiting.push_back(item);
    }
  }
  SortWaiting(*job, aJob);
  if (job->m_spec->m_model) {
    m_engines.SetDemand(*job->m_spec->m_model, demand);
  }
}

void JobRunner::Cancel(const JobId& aId)
{
  const auto found = m_jobs.find(aId);
  if (found == m_jobs.end()) {
    return;
  }
  const auto job = found->second;
  m_jobs.erase(found);
  std::erase(m_order, job);
  m_results.erase(aId);
  job->m_ended = true;
  CacheIncompleteGroups(*job);
  for (const auto& item : job->m_items) {
    EndRun(*item);
    CancelReward(*item);
    item->m_job.reset();
  }
  Dispatch();
}

ItemRequirements JobRunner::RequirementsOf(const Item& aItem) const
{
  const JobSpec& spec = *aItem.m_job->m_spec;
  const JobItem& item = spec.m_items[aItem.m_index];
  ItemRequirements requirements;
  requirements.m_model = spec.m_model;
  requirements.m_minVersion = spec.m_minVersion;
  requirements.m_group = item.m_group;
  requirements.m_avoid = aItem.m_avoid;
  requirements.m_software = aItem.m_transcript.Software();
  const Route* route = m_routes->Match(spec.m_host, item.m_path);
  if (route == nullptr) {
    return requirements;
  }
  const auto versions = aItem.m_transcript.Versions();
  if (route->m_singleVersion && !versions.empty()) {
    requirements.m_onlyVersion = versions.front();
  }
  return requirements;
}

bool JobRunner::TryStart(const ItemPtr& aItem)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  const JobItem& item = spec.m_items[aItem->m_index];
  const Route* route = m_routes->Match(spec.m_host, item.m_path);
  if (route == nullptr) {
    LogLine(LogLevel::Warning, "item_without_route")
      .Add("job", spec.m_id)
      .Add("item", item.m_id);
    Finish(aItem, ItemState::Lost);
    return true;
  }
  const ServiceName* service = ChooseTarget(*route, m_random.Unit());
  if (service == nullptr) {
    return false;
  }
  ItemRequirements requirements = RequirementsOf(*aItem);
  requirements.m_service = *service;
  const auto engine = m_engines.Scheduler().Place(requirements);
  if (engine) {
    return StartRun(aItem, *engine);
  }
  if (requirements.m_onlyVersion) {
    // No engine has the version of the partial output any more, so the item
    // starts again.
    DiscardOutput(*aItem);
    return false;
  }
  return requirements.m_software && TryRestart(aItem, requirements);
}

bool JobRunner::TryRestart(const ItemPtr& aItem,
                           const ItemRequirements& aRequirements)
{
  const auto& scheduler = m_engines.Scheduler();
  const Duration waited = MonotonicClock::Now() - aItem->m_waitsSince;
  if (waited < kMaxContinuationWait &&
      scheduler.IsServing(aRequirements.m_service, *aRequirements.m_software)) {
    return false;
  }
  ItemRequirements requirements = aRequirements;
  requirements.m_software.reset();
  const auto engine = scheduler.Place(requirements);
  if (!engine) {
    return false;
  }
  LogLine(LogLevel::Info, "item_restarted")
    .Add("job", aItem->m_job->m_spec->m_id)
    .Add("item", aItem->Spec().m_id)
    .Add("software", *aRequirements.m_software)
    .Add("after_event", aItem->m_transcript.LastEvent().value_or(0));
  DiscardOutput(*aItem);
  return StartRun(aItem, *engine);
}

std::optional<http::Request> JobRunner::MakeItemRequest(
  const Item& aItem,
  const BackendId& aEngine,
  Duration aTimeLeft) const
{
  const JobSpec& spec = *aItem.m_job->m_spec;
  const auto lastEvent = aItem.m_transcript.LastEvent();
  if (!aItem.Spec().HasStoredBody()) {
    return m_protocol.m_itemRequest(
      spec, aItem.Spec(), aEngine, aTimeLeft, lastEvent);
  }
  const auto loaded = m_loadItem(spec.m_id, aItem.Spec());
  if (!loaded) {
    return std::nullopt;
  }
  return m_protocol.m_itemRequest(spec, *loaded, aEngine, aTimeLeft, lastEvent);
}

bool JobRunner::StartRun(const ItemPtr& aItem, const BackendId& aEngine)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  const JobItem& item = spec.m_items[aItem->m_index];
  const Route* route = m_routes->Match(spec.m_host, item.m_path);
  constexpr Duration kMinTimeout = std::chrono::seconds(1);
  const Duration left = std::max(
    Duration(aItem->m_job->m_acceptedAt + route->m_itemLifetime - WallNow()),
    kMinTimeout);
  const auto request = MakeItemRequest(*aItem, aEngine, left);
  if (!request) {
    return false;
  }
  const BackendRecord& record = *m_engines.RecordOf(aEngine);
  aItem->m_engine = aEngine;
  aItem->m_software = record.m_software;
  ++aItem->m_job->m_running;
  aItem->m_head.reset();
  aItem->m_startedAt = MonotonicClock::Now();
  aItem->m_lastEventAt = aItem->m_startedAt;
  m_engines.Scheduler().RecordStart(aEngine, item.m_group);
  http::CallOptions options;
  options.m_timeout = left;
  LogLine(LogLevel::Info, "item_started")
    .Add("job", spec.m_id)
    .Add("item", item.m_id)
    .Add("engine", aEngine)
    .Add("after_event", aItem->m_transcript.LastEvent().value_or(0));
  aItem->m_call = m_client.Start(
    record,
    *request,
    options,
    http::CallHandlers{
      [this, aItem](const http::ResponseHead& aHead) { OnHead(aItem, aHead); },
      [this, aItem](std::string_view aBody) { OnBody(aItem, aBody); },
      [this, aItem](tl::expected<void, http::CallFailure> aResult) {
        OnDone(aItem, aResult);
      } });
  m_engines.RefreshPermit(aEngine);
  return true;
}

void JobRunner::OnHead(const ItemPtr& aItem, const http::ResponseHead& aHead)
{
  if (!aItem->m_engine) {
    return;
  }
  m_engines.RefreshPermit(*aItem->m_engine);
  const JobSpec& spec = *aItem->m_job->m_spec;
  aItem->m_head =
    m_protocol.m_readItemHead(spec.m_items[aItem->m_index], aHead);
  if (!aItem->m_head->m_matches) {
    AbortRun(aItem, "response_of_another_request");
    return;
  }
  if (aItem->m_head->m_status != kStatusOk) {
    return;
  }
  const auto version = aItem->m_head->m_version;
  if (version && spec.m_model) {
    m_engines.RecordVersion(*aItem->m_engine, *spec.m_model, *version);
    if (*version < spec.m_minVersion) {
      AbortRun(aItem, "version_too_old");
      return;
    }
  }
  aItem->m_transcript.BeginRun(version, aItem->m_software);
}

void JobRunner::OnBody(const ItemPtr& aItem, std::string_view aBody)
{
  if (!aItem->m_engine || !aItem->m_head ||
      aItem->m_head->m_status != kStatusOk) {
    return;
  }
  const TimePoint now = MonotonicClock::Now();
  const auto events = aItem->m_transcript.Feed(aBody);
  if (!events) {
    if (events.error() == TranscriptFault::TooLarge) {
      // The output so far is useless: it would only grow further.
      DiscardOutput(*aItem);
    }
    AbortRun(aItem, ToString(events.error()));
    return;
  }
  if (MixesVersions(*aItem, aItem->m_transcript.VersionCount())) {
    DiscardOutput(*aItem);
    AbortRun(aItem, "versions_mixed");
    return;
  }
  if (*events > 0) {
    const Duration gap =
      (now - aItem->m_lastEventAt) / static_cast<std::int64_t>(*events);
    if (!m_engines.IsLoading(*aItem->m_engine)) {
      m_engines.Scheduler().RecordEventInterval(*aItem->m_engine, gap);
    }
    aItem->m_lastEventAt = now;
    aItem->m_hasEvents = true;
  }
}

void JobRunner::OnDone(const ItemPtr& aItem,
                       tl::expected<void, http::CallFailure> aResult)
{
  if (!aItem->m_engine) {
    return;
  }
  const BackendId engine = *aItem->m_engine;
  const auto head = aItem->m_head;
  if (aResult && head && head->m_status == kStatusOk) {
    EndRun(*aItem);
    if (aItem->m_transcript.IsInsideEvent()) {
      AbortRun(aItem, "ended_within_event");
      return;
    }
    m_engines.RecordSuccess(engine);
    RecordRunTime(MonotonicClock::Now() - aItem->m_startedAt);
    OnOutputComplete(
      aItem, aItem->m_transcript.ToPartialOutput().value_or(PartialOutput{}));
    Dispatch();
    return;
  }
  if (!aResult) {
    m_engines.RecordFailure(engine);
    AbortRun(aItem, http::ToString(aResult.error()));
    return;
  }
  EndRun(*aItem);
  aItem->m_avoid = engine;
  if (!head) {
    Requeue(aItem);
  } else if (head->m_status == kStatusMisdirected) {
    m_engines.RecordMisdirection(engine);
    Requeue(aItem);
  } else if (head->m_notRun) {
    m_engines.RecordFull(engine);
    Requeue(aItem);
  } else {
    OnFailedAttempt(aItem, head->m_status);
  }
}

void JobRunner::OnFailedAttempt(const ItemPtr& aItem, int aStatus)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  const JobItem& item = spec.m_items[aItem->m_index];
  const Route* route = m_routes->Match(spec.m_host, item.m_path);
  ++aItem->m_failedAttempts;
  LogLine(LogLevel::Info, "item_attempt_failed")
    .Add("job", spec.m_id)
    .Add("item", item.m_id)
    .Add("status", aStatus)
    .Add("attempts", aItem->m_failedAttempts);
  const bool exhausted =
    route == nullptr || aItem->m_failedAttempts >= route->m_maxAttempts;
  if (aStatus == kStatusUnprocessable || exhausted) {
    Finish(aItem, ItemState::Lost);
    Dispatch();
  } else {
    Requeue(aItem);
  }
}

bool JobRunner::MixesVersions(const Item& aItem, std::size_t aVersions) const
{
  if (aVersions <= 1 || !m_routes) {
    return false;
  }
  const Route* route =
    m_routes->Match(aItem.m_job->m_spec->m_host, aItem.Spec().m_path);
  return route != nullptr && route->m_singleVersion;
}

void JobRunner::DiscardOutput(Item& aItem)
{
  aItem.m_transcript.Clear();
  aItem.m_recordedEvent.reset();
  aItem.m_recordedBytes = 0;
}

void JobRunner::EndRun(Item& aItem)
{
  if (!aItem.m_engine) {
    return;
  }
  const JobItem& item = aItem.m_job->m_spec->m_items[aItem.m_index];
  m_engines.Scheduler().RecordEnd(*aItem.m_engine, item.m_group);
  aItem.m_engine.reset();
  --aItem.m_job->m_running;
  if (const auto call = std::exchange(aItem.m_call, nullptr)) {
    call->Cancel();
  }
}

void JobRunner::AbortRun(const ItemPtr& aItem, std::string_view aReason)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  m_instruments.Count(observe::counters::kBrokenRuns, aReason);
  LogLine(LogLevel::Info, "item_run_broken")
    .Add("job", spec.m_id)
    .Add("item", spec.m_items[aItem->m_index].m_id)
    .Add("engine", aItem->m_engine ? aItem->m_engine->Get() : "none")
    .Add("reason", aReason)
    .Add("after_event", aItem->m_transcript.LastEvent().value_or(0));
  if (aItem->m_engine) {
    aItem->m_avoid = aItem->m_engine;
  }
  EndRun(*aItem);
  Requeue(aItem);
}

void JobRunner::Requeue(const ItemPtr& aItem)
{
  if (!aItem->m_job->m_ended) {
    if (std::exchange(aItem->m_hasEvents, false)) {
      aItem->m_waitsSince = MonotonicClock::Now();
    }
    aItem->m_job->m_waiting.push_front(aItem);
    Dispatch();
  }
}

void JobRunner::RunPeriodicChecks()
{
  const TimePoint now = MonotonicClock::Now();
  std::size_t running = 0;
  std::size_t waiting = 0;
  const auto jobs = m_order;
  for (const auto& job : jobs) {
    ProposeProgress(*job);
    waiting += job->m_waiting.size();
    const auto items = job->m_items;
    for (const auto& item : items) {
      if (item->m_engine && item->m_job) {
        ++running;
        CheckRun(item, now);
      }
    }
  }
  ExpireItems();
  m_instruments.SetGauge(observe::gauges::kRunningItems,
                         static_cast<double>(running));
  m_instruments.SetGauge(observe::gauges::kWaitingItems,
                         static_cast<double>(waiting));
  if (!m_order.empty()) {
    Dispatch();
  }
  m_loop.After(kCheckInterval, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      RunPeriodicChecks();
    }
  });
}

void JobRunner::CheckRun(const ItemPtr& aItem, TimePoint aNow)
{
  const BackendId engine = *aItem->m_engine;
  if (!m_engines.Exists(engine)) {
    AbortRun(aItem, "engine_gone");
    return;
  }
  if (m_engines.RecordOf(engine)->m_software != aItem->m_software) {
    // The engine has restarted with other software, and it is not known which
    // events it generated since.
    DiscardOutput(*aItem);
    AbortRun(aItem, "engine_updated");
    return;
  }
  const bool loading = m_engines.IsLoading(engine);
  const Duration limit = loading ? kLoadingStallTimeout : kStallTimeout;
  if (aNow - aItem->m_lastEventAt > limit) {
    m_engines.RecordFailure(engine);
    AbortRun(aItem, "stalled");
    return;
  }
  if (loading || aNow - aItem->m_startedAt < kMinMigrationAge) {
    return;
  }
  const JobSpec& spec = *aItem->m_job->m_spec;
  const Route* route =
    m_routes->Match(spec.m_host, spec.m_items[aItem->m_index].m_path);
  if (route == nullptr || route->m_targets.size() != 1) {
    return;
  }
  ItemRequirements requirements = RequirementsOf(*aItem);
  requirements.m_service = route->m_targets.front().m_service;
  if (m_engines.Scheduler().MigrationTarget(engine, requirements)) {
    AbortRun(aItem, "engine_slow");
  }
}

void JobRunner::ExpireItems()
{
  const WallTime now = WallNow();
  for (const auto& job : m_order) {
    if (!m_routes) {
      return;
    }
    const Route* route =
      m_routes->Match(job->m_spec->m_host, job->m_spec->m_path);
    if (route == nullptr || now <= job->m_acceptedAt + route->m_itemLifetime) {
      continue;
    }
    for (const auto& item : job->m_items) {
      if (!item->m_done) {
        EndRun(*item);
        Finish(item, ItemState::Lost);
      }
    }
  }
}

} // namespace auburntrestle::fleet
