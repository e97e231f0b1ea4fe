#include "auburntrestle/fleet/engine_pool.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Time that an engine takes for a load while few other engines load. */
constexpr Duration kExpectedLoadTime = std::chrono::milliseconds(920);
/** Delay between the expected end of a load and the report that confirms it. */
constexpr Duration kReportLag = std::chrono::milliseconds(300);
/** Margin for orders of the earlier leader that were sent shortly after their
 * record was applied on another member. */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(100);
constexpr Duration kReportInterval = std::chrono::milliseconds(300);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::seconds(1);
/** Of a report, and of the response to an order. */
constexpr std::size_t kMaxResponseBytes = std::size_t{ 256 } * 1024;
/** If an order gets no response, reports are checked for its effect for this
 * long. */
constexpr Duration kUnansweredOrderTimeout = std::chrono::milliseconds(2500);
constexpr Duration kFullBackoff = std::chrono::milliseconds(60);
constexpr Duration kMinFailureBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(2);

} // namespace

EnginePool::EnginePool(event_loop::EventLoop& aLoop,
                       BackendClient& aClient,
                       const EngineProtocol& aProtocol,
                       EnginePoolOptions aOptions,
                       RecordFunction aRecord,
                       observe::Instruments& aInstruments)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_record(std::move(aRecord))
  , m_instruments(aInstruments)
{
}

void EnginePool::Start(Fencing aFencing, std::optional<TimePoint> aLastOrder)
{
  const TimePoint now = MonotonicClock::Now();
  m_leads = true;
  ++m_epoch;
  m_fencing = aFencing;
  m_ordersAllowedFrom =
    aLastOrder
      ? std::max(now, *aLastOrder + m_options.m_leaseTime + kLeaseMargin)
      : now;
  RunAfter(m_ordersAllowedFrom - now, [this] { PlanLoads(); });
}

void EnginePool::Stop()
{
  m_leads = false;
  ++m_epoch;
  for (const auto& [id, engine] : m_engines) {
    m_scheduler.RemoveEngine(id);
  }
  m_engines.clear();
}

void EnginePool::RunAfter(Duration aDelay, std::function<void()> aWork)
{
  m_loop.After(aDelay, [this, epoch = m_epoch, work = std::move(aWork)] {
    if (epoch == m_epoch) {
      work();
    }
  });
}

EnginePool::Engine* EnginePool::Find(const BackendId& aId,
                                     Incarnation aIncarnation)
{
  const auto found = m_engines.find(aId);
  return found != m_engines.end() &&
             found->second.m_record.m_incarnation == aIncarnation
           ? &found->second
           : nullptr;
}

bool EnginePool::IsServing(const Engine& aEngine) const
{
  return aEngine.m_record.m_state == BackendState::Serving &&
         !m_client.Draining().Contains(aEngine.m_record.Process());
}

void EnginePool::SetDirectory(
  const std::map<BackendId, BackendRecord>& aBackends,
  const RouteTable& aRoutes)
{
  std::erase_if(m_engines, [&](const auto& aItem) {
    const auto found = aBackends.find(aItem.first);
    const bool removed = found == aBackends.end() ||
                         found->second.m_state == BackendState::Removed;
    if (removed) {
      m_scheduler.RemoveEngine(aItem.first);
      m_client.CloseIdle(aItem.second.m_record.m_address);
    }
    return removed;
  });
  for (const auto& [id, record] : aBackends) {
    const Service* service = aRoutes.FindService(record.m_service);
    if (record.m_state == BackendState::Removed || service == nullptr ||
        !service->m_engine) {
      continue;
    }
    Engine& engine = m_engines[id];
    const bool restarted =
      engine.m_record.m_incarnation != record.m_incarnation;
    if (restarted) {
      engine = Engine{};
    }
    engine.m_record = record;
    engine.m_slots = std::max(record.m_slots, 1U);
    engine.m_pinned = aRoutes.RequiresSingleVersion(record.m_service);
    if (restarted) {
      ReadReport(id);
    }
    UpdateScheduler(id);
  }
  m_onChange();
}

void EnginePool::SetNewest(std::map<ModelName, WeightVersion> aNewest)
{
  m_newest = std::move(aNewest);
  PlanLoads();
}

void EnginePool::SetDemand(const ModelName& aModel, double aDemand)
{
  m_rollout.SetDemand(aModel, aDemand);
}

void EnginePool::UpdateScheduler(const BackendId& aId)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end()) {
    return;
  }
  const TimePoint now = MonotonicClock::Now();
  const Engine& engine = found->second;
  const TimePoint permit =
    m_client.Limits().NextPermit(engine.m_record.Process());
  if (permit > now) {
    SchedulePermit(aId, permit - now);
  }
  EngineView view;
  view.m_service = engine.m_record.m_service;
  view.m_slots = engine.m_slots;
  view.m_versions = engine.m_versions;
  if (engine.m_load) {
    view.m_loading = engine.m_load->m_model;
  }
  view.m_software = engine.m_record.m_software;
  view.m_serving = IsServing(engine);
  view.m_accepting = engine.m_versionsKnown && view.m_serving &&
                     engine.m_avoidUntil <= now && permit <= now;
  m_scheduler.SetEngine(aId, view);
}

void EnginePool::Avoid(Engine& aEngine, Duration aTime)
{
  const TimePoint until = MonotonicClock::Now() + aTime;
  aEngine.m_avoidUntil = std::max(aEngine.m_avoidUntil, until);
  const BackendId id = aEngine.m_record.m_id;
  UpdateScheduler(id);
  RunAfter(aTime, [this, id] {
    UpdateScheduler(id);
    m_onChange();
  });
}

void EnginePool::RecordFailure(const BackendId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  constexpr std::uint32_t kMaxDoublings = 4;
  const auto factor = 1U << std::min(engine.m_failures, kMaxDoublings);
  ++engine.m_failures;
  Avoid(engine, std::min(kMinFailureBackoff * factor, kMaxFailureBackoff));
}

void EnginePool::RecordFull(const BackendId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found != m_engines.end()) {
    Avoid(found->second, kFullBackoff);
  }
}

void EnginePool::RefreshPermit(const BackendId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  const bool limited =
    m_client.Limits().LimitOf(engine.m_record.Process()).has_value();
  const bool draining = m_client.Draining().Contains(engine.m_record.Process());
  const bool wasDraining = std::exchange(engine.m_draining, draining);
  if (std::exchange(engine.m_limited, limited) || limited ||
      wasDraining != draining) {
    UpdateScheduler(aEngine);
  }
}

void EnginePool::SchedulePermit(const BackendId& aId, Duration aWait)
{
  Engine& engine = m_engines.at(aId);
  if (std::exchange(engine.m_permitScheduled, true)) {
    return;
  }
  RunAfter(aWait, [this, aId] {
    const auto found = m_engines.find(aId);
    if (found == m_engines.end()) {
      return;
    }
    found->second.m_permitScheduled = false;
    UpdateScheduler(aId);
    m_onChange();
  });
}

void EnginePool::RecordSuccess(const BackendId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found != m_engines.end()) {
    found->second.m_failures = 0;
  }
}

void EnginePool::RecordMisdirection(const BackendId& aEngine)
{
  const auto found = m_engines.find(aEngine);
  if (found != m_engines.end()) {
    LogLine(LogLevel::Warning, "engine_misdirected")
      .Add("engine", aEngine)
      .Add("address", found->second.m_record.m_address);
    m_client.CloseIdle(found->second.m_record.m_address);
    found->second.m_versionsKnown = false;
    UpdateScheduler(aEngine);
    ScheduleRead(aEngine, kReadRetryDelay);
  }
}

void EnginePool::RecordVersion(const BackendId& aEngine,
                               const ModelName& aModel,
                               WeightVersion aVersion)
{
  const auto found = m_engines.find(aEngine);
  if (found == m_engines.end()) {
    return;
  }
  auto& held = found->second.m_versions[aModel];
  if (held != aVersion) {
    held = aVersion;
    UpdateScheduler(aEngine);
  }
}

const BackendRecord* EnginePool::RecordOf(const BackendId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found == m_engines.end() ? nullptr : &found->second.m_record;
}

bool EnginePool::IsLoading(const BackendId& aEngine) const
{
  const auto found = m_engines.find(aEngine);
  return found != m_engines.end() && found->second.m_load.has_value();
}

bool EnginePool::Exists(const BackendId& aEngine) const
{
  return m_engines.contains(aEngine);
}

void EnginePool::ScheduleRead(const BackendId& aId, Duration aDelay)
{
  RunAfter(aDelay, [this, aId] { ReadReport(aId); });
}

void EnginePool::ReadReport(const BackendId& aId)
{
  const auto found = m_engines.find(aId);
  if (found == m_engines.end() || found->second.m_reportPending || !m_leads) {
    return;
  }
  Engine& engine = found->second;
  engine.m_reportPending = true;
  http::CallOptions options;
  options.m_timeout = kCallTimeout;
  options.m_maxResponseBytes = kMaxResponseBytes;
  std::ignore = m_client.Fetch(
    engine.m_record,
    m_protocol.m_reportRequest(aId),
    options,
    [this, aId, epoch = m_epoch, incarnation = engine.m_record.m_incarnation](
      const http::FetchResult& aResult) {
      if (epoch == m_epoch) {
        HandleReport(aId, incarnation, aResult);
      }
    });
}

void EnginePool::HandleReport(const BackendId& aId,
                              Incarnation aIncarnation,
                              const http::FetchResult& aResponse)
{
  Engine* engine = Find(aId, aIncarnation);
  if (engine == nullptr) {
    return;
  }
  engine->m_reportPending = false;
  RefreshPermit(aId);
  const auto report =
    aResponse ? m_protocol.m_readReport(*aResponse) : std::nullopt;
  if (!report) {
    LogLine(LogLevel::Warning, "engine_report_failed")
      .Add("engine", aId)
      .Add("reason",
           aResponse ? std::to_string(aResponse->m_status)
                     : std::string(http::ToString(aResponse.error())));
    ScheduleRead(aId, kReadRetryDelay);
    return;
  }
  engine->m_versionsKnown = true;
  if (engine->m_load) {
    const WeightLoad load = *engine->m_load;
    const auto held = report->m_versions.find(load.m_model);
    const bool loaded =
      held != report->m_versions.end() && held->second >= load.m_version;
    const bool waited =
      MonotonicClock::Now() >= engine->m_loadSentAt + kUnansweredOrderTimeout;
    if (!loaded && (report->m_busy || !waited)) {
      ScheduleRead(aId, kReportInterval);
      return;
    }
    LogLine(LogLevel::Info, loaded ? "weights_loaded" : "weights_not_loaded")
      .Add("engine", aId)
      .Add("model", load.m_model)
      .Add("version", load.m_version);
    engine->m_load.reset();
  } else if (report->m_busy) {
    // An order of an earlier leader is in progress.
    engine->m_versionsKnown = false;
    ScheduleRead(aId, kReportInterval);
  }
  engine->m_versions = report->m_versions;
  engine->m_orders = std::max(engine->m_orders, report->m_orders);
  UpdateScheduler(aId);
  PlanLoads();
  m_onChange();
}

void EnginePool::PlanLoads()
{
  if (!m_leads || MonotonicClock::Now() < m_ordersAllowedFrom) {
    return;
  }
  std::map<BackendId, EngineWeights> engines;
  for (const auto& [id, engine] : m_engines) {
    if (!IsServing(engine)) {
      continue;
    }
    EngineWeights weights;
    weights.m_service = engine.m_record.m_service;
    weights.m_versions = engine.m_versions;
    if (engine.m_load) {
      weights.m_loading = engine.m_load->m_model;
    }
    weights.m_ready = engine.m_versionsKnown && !engine.m_fencedOff;
    weights.m_running = m_scheduler.RunningOn(id);
    engines.emplace(id, std::move(weights));
  }
  for (const auto& load : m_rollout.Plan(engines, m_newest)) {
    StartLoad(load);
  }
}

void EnginePool::StartLoad(const WeightLoad& aLoad)
{
  Engine& engine = m_engines.at(aLoad.m_engine);
  engine.m_load = aLoad;
  engine.m_loadSentAt = MonotonicClock::Now();
  engine.m_loadAccepted = false;
  UpdateScheduler(aLoad.m_engine);
  m_record(aLoad, [this, aLoad, epoch = m_epoch](bool aLeads) {
    if (epoch != m_epoch) {
      return;
    }
    if (aLeads) {
      SendOrder(aLoad);
      return;
    }
    const auto found = m_engines.find(aLoad.m_engine);
    if (found != m_engines.end()) {
      found->second.m_load.reset();
      UpdateScheduler(aLoad.m_engine);
    }
  });
}

void EnginePool::SendOrder(const WeightLoad& aLoad)
{
  const auto found = m_engines.find(aLoad.m_engine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  LoadOrder order;
  order.m_engine = aLoad.m_engine;
  order.m_model = aLoad.m_model;
  order.m_version = aLoad.m_version;
  order.m_continueRuns = !engine.m_pinned;
  order.m_holder = m_options.m_self;
  order.m_fencing = m_fencing;
  order.m_ordersBefore = engine.m_orders;
  engine.m_loadSentAt = MonotonicClock::Now();
  http::CallOptions options;
  options.m_timeout = kCallTimeout;
  options.m_maxResponseBytes = kMaxResponseBytes;
  std::ignore = m_client.Fetch(
    engine.m_record,
    m_protocol.m_orderRequest(order),
    options,
    [this, aLoad, epoch = m_epoch, incarnation = engine.m_record.m_incarnation](
      const http::FetchResult& aResult) {
      if (epoch == m_epoch) {
        HandleOrderOutcome(aLoad, incarnation, aResult);
      }
    });
}

void EnginePool::HandleOrderOutcome(const WeightLoad& aLoad,
                                    Incarnation aIncarnation,
                                    const http::FetchResult& aResponse)
{
  RefreshPermit(aLoad.m_engine);
  Engine* engine = Find(aLoad.m_engine, aIncarnation);
  if (engine == nullptr || engine->m_load != aLoad) {
    return;
  }
  if (!aResponse) {
    m_instruments.Count(observe::counters::kOrders, "unanswered");
    LogLine(LogLevel::Warning, "order_unanswered")
      .Add("engine", aLoad.m_engine)
      .Add("reason", http::ToString(aResponse.error()));
    ScheduleRead(aLoad.m_engine, kReportInterval);
    return;
  }
  const OrderOutcome outcome = m_protocol.m_readOrderOutcome(*aResponse);
  m_instruments.Count(observe::counters::kOrders,
                      std::to_string(aResponse->m_status));
  LogLine(LogLevel::Info, "order_answered")
    .Add("engine", aLoad.m_engine)
    .Add("model", aLoad.m_model)
    .Add("version", aLoad.m_version)
    .Add("fencing", m_fencing)
    .Add("status", aResponse->m_status);
  switch (outcome) {
    case OrderOutcome::Accepted:
      ++engine->m_orders;
      engine->m_loadAccepted = true;
      RunAfter(kExpectedLoadTime, [this, aLoad] { AssumeLoaded(aLoad); });
      return;
    case OrderOutcome::AlreadyDone:
      ++engine->m_orders;
      engine->m_versions[aLoad.m_model] = aLoad.m_version;
      engine->m_load.reset();
      // Only the next report shows whether the engine counted this order.
      engine->m_orders = 0;
      engine->m_versionsKnown = false;
      ReadReport(aLoad.m_engine);
      break;
    case OrderOutcome::Busy:
      engine->m_load.reset();
      engine->m_versionsKnown = false;
      engine->m_orders = 0;
      ScheduleRead(aLoad.m_engine, kReportInterval);
      break;
    case OrderOutcome::StaleFencing:
      engine->m_load.reset();
      engine->m_fencedOff = true;
      break;
    case OrderOutcome::WrongEngine:
      engine->m_load.reset();
      RecordMisdirection(aLoad.m_engine);
      return;
    case OrderOutcome::Refused:
      engine->m_load.reset();
      engine->m_versionsKnown = false;
      ScheduleRead(aLoad.m_engine, kReadRetryDelay);
      break;
  }
  UpdateScheduler(aLoad.m_engine);
  m_onChange();
}

void EnginePool::AssumeLoaded(const WeightLoad& aLoad)
{
  const auto found = m_engines.find(aLoad.m_engine);
  if (found == m_engines.end() || found->second.m_load != aLoad) {
    return;
  }
  // Items can be sent at once: an engine that is not ready yet refuses them
  // without running them, and its response states its version. A later report
  // confirms the load.
  found->second.m_load.reset();
  found->second.m_versions[aLoad.m_model] = aLoad.m_version;
  UpdateScheduler(aLoad.m_engine);
  PlanLoads();
  m_onChange();
  ScheduleRead(aLoad.m_engine, kReportLag);
}

} // namespace auburntrestle::fleet
