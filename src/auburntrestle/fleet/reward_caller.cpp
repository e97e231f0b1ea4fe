#include "auburntrestle/fleet/reward_caller.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** While calls wait, backend servers whose backoff ended are looked for at this
 * interval. */
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
/** A call whose route is missing waits for a new configuration. */
constexpr Duration kRouteRetryDelay = std::chrono::milliseconds(500);
/** Only the head of a response matters. */
constexpr std::size_t kMaxResponseBytes = std::size_t{ 1024 } * 1024;
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(10);

} // namespace

struct RewardCaller::Attempt
{
  BackendId m_backend;
  std::shared_ptr<http::Call> m_call;
  TimePoint m_sentAt{};
};

struct RewardCaller::PendingCall
{
  RewardTicket m_ticket;
  RewardTask m_task;
  DoneCallback m_onDone;
  TimePoint m_startedAt{};
  /** The target drawn for the next attempt. */
  std::optional<ServiceName> m_service;
  std::vector<std::shared_ptr<Attempt>> m_running;
  std::uint32_t m_attempts = 0;
  std::uint32_t m_retries = 0;
  /** Responses that count as failed attempts. */
  std::uint32_t m_failures = 0;
  /** The backend server of the last unsuccessful attempt. */
  std::optional<BackendId> m_avoid;
  std::optional<timer::TimerId> m_hedgeTimer;
  bool m_closed = false;

  [[nodiscard]] const JobItem& Item() const
  {
    return m_task.m_job->m_items[m_task.m_item];
  }
  [[nodiscard]] const RewardCall& Reward() const { return *Item().m_reward; }
};

RewardCaller::RewardCaller(event_loop::EventLoop& aLoop,
                           BackendClient& aClient,
                           const EngineProtocol& aProtocol,
                           RewardCallerOptions aOptions,
                           observe::Instruments& aInstruments,
                           std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_instruments(aInstruments)
  , m_random(aSeed)
  , m_chooser(m_options.m_home, ChooserLimits{ m_options.m_slotShare, false })
{
  m_chooser.SetStatements(m_client.Limits(), m_client.Draining());
}

RewardCaller::~RewardCaller()
{
  Stop();
}

void RewardCaller::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
  for (const auto& [ticket, call] : m_calls) {
    call->m_service.reset();
  }
  Dispatch();
}

void RewardCaller::SetBackends(
  const std::map<BackendId, BackendRecord>& aBackends)
{
  std::vector<BackendRecord> records;
  records.reserve(aBackends.size());
  for (const auto& [id, record] : aBackends) {
    records.push_back(record);
  }
  m_chooser.SetBackends(records);
  Dispatch();
}

RewardTicket RewardCaller::Start(RewardTask aTask, DoneCallback aCallback)
{
  m_lastTicket = m_lastTicket.Next();
  auto call = std::make_shared<PendingCall>();
  call->m_ticket = m_lastTicket;
  call->m_task = std::move(aTask);
  call->m_onDone = std::move(aCallback);
  call->m_startedAt = MonotonicClock::Now();
  m_calls.emplace(call->m_ticket, call);
  m_queue.Add(call->m_ticket, call->m_task.m_group, call->m_startedAt);
  m_hedgeBudget.Deposit(m_options.m_policy.m_hedgeShare);
  Dispatch();
  return call->m_ticket;
}

void RewardCaller::Cancel(RewardTicket aTicket)
{
  const auto found = m_calls.find(aTicket);
  if (found != m_calls.end()) {
    const CallPtr call = found->second;
    Close(*call);
  }
}

void RewardCaller::Stop()
{
  for (const auto& [ticket, call] : std::exchange(m_calls, {})) {
    Close(*call);
  }
  m_queue.Clear();
  if (const auto timer = std::exchange(m_pollTimer, std::nullopt)) {
    m_loop.Cancel(*timer);
  }
}

void RewardCaller::Dispatch()
{
  if (!m_routes || std::exchange(m_dispatching, true)) {
    return;
  }
  std::set<ServiceName> busy;
  for (const RewardTicket ticket : m_queue.Ready(MonotonicClock::Now())) {
    const CallPtr call = m_calls.at(ticket);
    if (call->m_service && busy.contains(*call->m_service)) {
      continue;
    }
    if (TryStart(call)) {
      continue;
    }
    if (call->m_service) {
      busy.insert(*call->m_service);
    }
  }
  m_dispatching = false;
  if (!m_queue.empty()) {
    SchedulePoll();
  }
}

void RewardCaller::SchedulePoll()
{
  if (!m_pollTimer) {
    m_pollTimer = m_loop.After(kPollInterval, [this] {
      m_pollTimer.reset();
      Dispatch();
    });
  }
}

const Route* RewardCaller::RouteOf(const RewardCall& aCall) const
{
  return m_routes ? m_routes->Match(aCall.m_host, aCall.m_path) : nullptr;
}

std::uint32_t RewardCaller::MaxFailures(const PendingCall& aCall) const
{
  const Route* own = RouteOf(aCall.Reward());
  const Route* item =
    m_routes->Match(aCall.m_task.m_job->m_host, aCall.Item().m_path);
  std::uint32_t failures = 1;
  for (const Route* route : { own, item }) {
    failures = std::max(failures, route == nullptr ? 1U : route->m_maxAttempts);
  }
  return failures;
}

const BackendRecord* RewardCaller::ChooseBackend(const PendingCall& aCall,
                                                 TimePoint aNow) const
{
  std::set<BackendId> exclude;
  for (const auto& attempt : aCall.m_running) {
    exclude.insert(attempt->m_backend);
  }
  if (aCall.m_avoid) {
    auto others = exclude;
    others.insert(*aCall.m_avoid);
    if (const auto* other = m_chooser.Choose(*aCall.m_service, others, aNow)) {
      return other;
    }
  }
  return m_chooser.Choose(*aCall.m_service, exclude, aNow);
}

bool RewardCaller::TryStart(const CallPtr& aCall)
{
  const TimePoint now = MonotonicClock::Now();
  const Route* route = RouteOf(aCall->Reward());
  if (route == nullptr) {
    LogLine(LogLevel::Warning, "reward_without_route")
      .Add("job", aCall->m_task.m_job->m_id)
      .Add("item", aCall->Item().m_id)
      .Add("reward", aCall->Reward().m_id);
    m_queue.Add(aCall->m_ticket, aCall->m_task.m_group, now + kRouteRetryDelay);
    return true;
  }
  if (!aCall->m_service) {
    if (const auto* service = ChooseTarget(*route, m_random.Unit())) {
      aCall->m_service = *service;
    } else {
      return false;
    }
  }
  const auto* backend = ChooseBackend(*aCall, now);
  const auto reward = backend == nullptr ? std::nullopt : Load(*aCall);
  if (!reward) {
    return false;
  }
  m_queue.Remove(aCall->m_ticket);
  StartAttempt(aCall, *reward, *route, *backend);
  ScheduleHedge(aCall);
  return true;
}

std::optional<RewardCall> RewardCaller::Load(const PendingCall& aCall) const
{
  if (!aCall.Reward().m_storedBody) {
    return aCall.Reward();
  }
  auto loaded = m_options.m_loadItem(aCall.m_task.m_job->m_id, aCall.Item());
  if (!loaded) {
    return std::nullopt;
  }
  return std::move(loaded->m_reward);
}

void RewardCaller::StartAttempt(const CallPtr& aCall,
                                const RewardCall& aReward,
                                const Route& aRoute,
                                const BackendRecord& aBackend)
{
  const Duration left(aCall->m_task.m_expiresAt - WallNow());
  http::CallOptions options;
  options.m_timeout = std::max(kMinTimeLeft, std::min(left, aRoute.m_timeout));
  options.m_maxResponseBytes = kMaxResponseBytes;
  auto attempt = std::make_shared<Attempt>();
  attempt->m_backend = aBackend.m_id;
  attempt->m_sentAt = MonotonicClock::Now();
  aCall->m_running.push_back(attempt);
  ++aCall->m_attempts;
  m_chooser.RecordSent(aBackend.m_id);
  LogLine(LogLevel::Info, "reward_started")
    .Add("job", aCall->m_task.m_job->m_id)
    .Add("item", aCall->Item().m_id)
    .Add("reward", aCall->Reward().m_id)
    .Add("backend", aBackend.m_id)
    .Add("attempt", aCall->m_attempts);
  attempt->m_call = m_client.Fetch(
    aBackend,
    m_protocol.m_rewardRequest(aReward, aBackend.m_id, options.m_timeout),
    options,
    [this, aCall, attempt](const http::FetchResult& aResult) {
      std::erase(aCall->m_running, attempt);
      if (!aCall->m_closed) {
        HandleResult(aCall, attempt, aResult);
        Dispatch();
      }
    });
}

void RewardCaller::ScheduleHedge(const CallPtr& aCall)
{
  if (aCall->m_hedgeTimer) {
    m_loop.Cancel(*aCall->m_hedgeTimer);
  }
  const auto delay =
    HedgeDelay(m_options.m_policy, m_chooser.MedianLatency(*aCall->m_service));
  aCall->m_hedgeTimer = m_loop.After(delay, [this, aCall] {
    aCall->m_hedgeTimer.reset();
    StartHedge(aCall);
  });
}

void RewardCaller::StartHedge(const CallPtr& aCall)
{
  const Route* route = RouteOf(aCall->Reward());
  if (aCall->m_closed || aCall->m_running.size() != 1 || route == nullptr ||
      !aCall->m_service) {
    return;
  }
  const auto* backend = ChooseBackend(*aCall, MonotonicClock::Now());
  const auto reward = backend == nullptr ? std::nullopt : Load(*aCall);
  if (!reward || !m_hedgeBudget.TryWithdraw()) {
    return;
  }
  m_instruments.Count(observe::counters::kHedges, aCall->m_service->Get());
  StartAttempt(aCall, *reward, *route, *backend);
}

void RewardCaller::HandleResult(const CallPtr& aCall,
                                const std::shared_ptr<Attempt>& aAttempt,
                                const http::FetchResult& aResult)
{
  const TimePoint now = MonotonicClock::Now();
  const auto& policy = m_options.m_policy;
  const BackendId& backend = aAttempt->m_backend;
  const auto recordUnsuccessful = [&](std::string_view aReason) {
    m_instruments.Count(observe::counters::kRewards, aReason);
    LogLine(LogLevel::Info, "reward_unsuccessful")
      .Add("job", aCall->m_task.m_job->m_id)
      .Add("item", aCall->Item().m_id)
      .Add("reward", aCall->Reward().m_id)
      .Add("backend", backend)
      .Add("reason", aReason);
    aCall->m_avoid = backend;
  };
  if (!aResult) {
    m_chooser.RecordFailure(backend, now);
    recordUnsuccessful(http::ToString(aResult.error()));
    Retry(aCall, RetryDelay(policy, aCall->m_retries));
    return;
  }
  std::visit(
    Overloaded{ [&](const RewardScored& aScored) {
                 m_chooser.RecordResponse(backend, now - aAttempt->m_sentAt);
                 Finish(aCall, aScored.m_score);
               },
                [&](const RewardNotRun& aNotRun) {
                  if (aNotRun.m_misdirected) {
                    m_chooser.RecordMisdirection(backend);
                  } else {
                    m_chooser.RecordRefusal(backend, now);
                  }
                  recordUnsuccessful("not_run");
                  Retry(aCall, RetryDelay(policy, aCall->m_retries));
                },
                [&](const RewardFailed& aFailed) {
                  m_chooser.RecordResponse(backend, now - aAttempt->m_sentAt);
                  recordUnsuccessful("failed");
                  HandleFailedAttempt(aCall, aFailed.m_status);
                },
                [&](const RewardUnusable&) {
                  m_chooser.RecordFailure(backend, now);
                  recordUnsuccessful("unusable");
                  Retry(aCall, RetryDelay(policy, aCall->m_retries));
                } },
    m_protocol.m_readRewardResponse(aCall->Reward(), *aResult));
}

void RewardCaller::HandleFailedAttempt(const CallPtr& aCall, int aStatus)
{
  ++aCall->m_failures;
  LogLine(LogLevel::Info, "reward_attempt_failed")
    .Add("job", aCall->m_task.m_job->m_id)
    .Add("item", aCall->Item().m_id)
    .Add("reward", aCall->Reward().m_id)
    .Add("status", aStatus)
    .Add("failures", aCall->m_failures);
  if (aCall->m_failures >= MaxFailures(*aCall)) {
    Finish(aCall, tl::make_unexpected(RewardFailure::AttemptsExhausted));
    return;
  }
  Retry(aCall, RetryDelay(m_options.m_policy, aCall->m_retries));
}

void RewardCaller::Retry(const CallPtr& aCall, Duration aDelay)
{
  if (!aCall->m_running.empty()) {
    // The other attempt may still succeed.
    return;
  }
  ++aCall->m_retries;
  aCall->m_service.reset();
  m_queue.Add(
    aCall->m_ticket, aCall->m_task.m_group, MonotonicClock::Now() + aDelay);
}

void RewardCaller::Finish(const CallPtr& aCall, const RewardResult& aResult)
{
  const auto label = aResult ? "scored" : "exhausted";
  const Duration took = MonotonicClock::Now() - aCall->m_startedAt;
  m_instruments.Count(observe::counters::kRewards, label);
  m_instruments.ObserveDuration(observe::histograms::kRewardTime, label, took);
  LogLine(LogLevel::Info, "reward_finished")
    .Add("job", aCall->m_task.m_job->m_id)
    .Add("item", aCall->Item().m_id)
    .Add("reward", aCall->Reward().m_id)
    .Add("scored", aResult.has_value())
    .Add("attempts", aCall->m_attempts)
    .Add("took_us", took.count());
  const auto callback = std::move(aCall->m_onDone);
  Close(*aCall);
  callback(aResult);
}

void RewardCaller::Close(PendingCall& aCall)
{
  aCall.m_closed = true;
  m_queue.Remove(aCall.m_ticket);
  if (const auto timer = std::exchange(aCall.m_hedgeTimer, std::nullopt)) {
    m_loop.Cancel(*timer);
  }
  const TimePoint now = MonotonicClock::Now();
  for (const auto& attempt : std::exchange(aCall.m_running, {})) {
    attempt->m_call->Cancel();
    m_chooser.RecordCancellation(attempt->m_backend, now - attempt->m_sentAt);
  }
  m_calls.erase(aCall.m_ticket);
}

} // namespace auburntrestle::fleet
