#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
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
/** An item with a partial output waits no longer for an engine that can
 * continue it if another one can start the item again. */
constexpr Duration kMaxContinuationWait = std::chrono::seconds(1);

} // namespace

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

} // namespace auburntrestle::fleet
