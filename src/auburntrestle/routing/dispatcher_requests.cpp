#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/routing/dispatcher_core.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::routing::internal {

namespace {

constexpr Duration kDefaultRetryDelay = std::chrono::seconds(1);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(60);
// A quarter of the queue is reserved for application work, so that a step of
// training samples cannot cause application requests to be refused.
constexpr double kTrainingQueueShare = 0.75;
// A request whose engines crash repeatedly may be the cause of the crashes.
constexpr std::uint32_t kMaxResumptions = 8;
// Enough to measure the time per token of a slowed server.
constexpr TokenCount kProbeTokens{ 16 };

ErrorCode ErrorCodeOf(AttemptFailure aFailure)
{
  switch (aFailure) {
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::LostBeforeResponse:
    case AttemptFailure::LostMidStream:
      return ErrorCode::BackendLost;
    case AttemptFailure::Refused:
      return ErrorCode::BackendRefused;
    case AttemptFailure::TimedOut:
      return ErrorCode::BackendTimeout;
    case AttemptFailure::BadResponse:
    case AttemptFailure::WrongWeightVersion:
      break;
  }
  return ErrorCode::BadBackendResponse;
}

/** @return the evidence that the attempt did not run, if there is any. */
std::optional<NotRunEvidence> FindNotRunEvidence(const AttemptState& aAttempt,
                                                 AttemptFailure aFailure)
{
  // A server that has sent tokens has run the request, even if it reports a
  // refusal later. A server that has responded was connected.
  if (aFailure == AttemptFailure::ConnectFailed && !aAttempt.m_accepted &&
      !aAttempt.m_hasTokens) {
    return NotRunEvidence::ConnectFailed;
  }
  if (aFailure == AttemptFailure::Refused && !aAttempt.m_hasTokens) {
    return NotRunEvidence::BackendReportedNotRun;
  }
  return std::nullopt;
}

TokenCount Sum(TokenCount aLeft, TokenCount aRight)
{
  return TokenCount(aLeft.Get() + aRight.Get());
}

} // namespace

DispatcherCore::DispatcherCore(const Policy& aPolicy, std::uint64_t aSeed)
  : m_policy(aPolicy)
  , m_random(aSeed)
{
}

void DispatcherCore::Handle(const Event& aEvent,
                            TimePoint aNow,
                            std::vector<Action>& aActions)
{
  m_now = aNow;
  m_actions = &aActions;
  std::visit([this](const auto& aValue) { On(aValue); }, aEvent);
  for (std::size_t i = 0; i < m_dirtyPools.size(); ++i) {
    StartWaitingRequests(m_dirtyPools[i]);
  }
  m_dirtyPools.clear();
  m_actions = nullptr;
}

std::optional<ErrorCode> DispatcherCore::UnservableReason(
  const RequestSpec& aSpec) const
{
  const bool served =
    std::visit([this](const auto& aName) { return m_registry.Serves(aName); },
               aSpec.m_target);
  if (!served) {
    return std::holds_alternative<ModelName>(aSpec.m_target)
             ? ErrorCode::UnknownModel
             : ErrorCode::UnknownService;
  }
  const auto pool = FindPool(aSpec.m_target);
  if (!pool || m_pools[*pool].m_members.empty()) {
    return ErrorCode::NoBackend;
  }
  return std::nullopt;
}

bool DispatcherCore::IsQueueFull(const RequestSpec& aSpec) const
{
  const auto waiting = m_waitingByClass[0] + m_waitingByClass[1];
  auto bound = static_cast<double>(m_policy.m_admission.m_maxWaiting);
  if (aSpec.m_class == admission::RequestClass::Training) {
    bound = std::max(1.0, bound * kTrainingQueueShare);
  }
  if (static_cast<double>(waiting) >= bound) {
    return true;
  }
  const auto caller = m_waitingByCaller.find(aSpec.m_caller);
  return caller != m_waitingByCaller.end() &&
         caller->second >= CallerPolicyOf(aSpec.m_caller).m_maxWaiting;
}

std::optional<Duration> DispatcherCore::OverloadRetryDelay(
  const RequestState& aRequest,
  const Pool& aPool) const
{
  const auto& spec = aRequest.m_spec;
  const auto wait = EstimateWait(aPool, spec, aRequest.m_size);
  const bool missesDeadline =
    wait && spec.m_deadline && m_now + *wait > *spec.m_deadline;
  if (!IsQueueFull(spec) && !missesDeadline) {
    return std::nullopt;
  }
  return std::clamp(
    wait.value_or(kDefaultRetryDelay), kMinRetryDelay, kMaxRetryDelay);
}

void DispatcherCore::Refuse(RequestId aId,
                            ErrorCode aCode,
                            std::optional<Duration> aRetry)
{
  ++m_counters.m_refused;
  ++m_counters.m_failedNotRun;
  m_actions->push_back(
    FailRequest{ aId, NotRunError(aCode, NotRunEvidence::NeverSent), aRetry });
}

void DispatcherCore::On(const RequestArrived& aEvent)
{
  if (m_requests.contains(aEvent.m_id)) {
    ++m_counters.m_droppedEvents;
    return;
  }
  ++m_counters.m_arrived;
  const auto& spec = aEvent.m_spec;
  if (m_draining) {
    Refuse(aEvent.m_id, ErrorCode::Draining, kDefaultRetryDelay);
    return;
  }
  if (const auto reason = UnservableReason(spec)) {
    Refuse(aEvent.m_id,
           *reason,
           *reason == ErrorCode::NoBackend ? std::optional(kDefaultRetryDelay)
                                           : std::nullopt);
    return;
  }
  if (spec.m_deadline && *spec.m_deadline <= m_now) {
    Refuse(aEvent.m_id, ErrorCode::DeadlineExceeded, std::nullopt);
    return;
  }
  const auto pool = *FindPool(spec.m_target);
  auto request = MakeRequest(aEvent, pool);
  if (const auto delay = OverloadRetryDelay(request, m_pools[pool])) {
    Refuse(aEvent.m_id, ErrorCode::Overloaded, delay);
    return;
  }
  Admit(std::move(request));
}

RequestState DispatcherCore::MakeRequest(const RequestArrived& aEvent,
                                         PoolIndex aPool) const
{
  const auto& spec = aEvent.m_spec;
  RequestState request;
  request.m_id = aEvent.m_id;
  request.m_spec = spec;
  request.m_pool = aPool;
  request.m_receivedTokens = spec.m_resumeFromTokens;
  if (std::holds_alternative<ModelName>(spec.m_target)) {
    request.m_expectedOutput =
      m_outputEstimator.EstimateOutput(spec.m_caller, spec.m_maxTokens);
  }
  const auto cost = Sum(spec.m_promptLength, request.m_expectedOutput);
  request.m_size = cost <= m_policy.m_admission.m_shortWorkTokens
                     ? admission::WorkSize::Short
                     : admission::WorkSize::Long;
  return request;
}

void DispatcherCore::Admit(RequestState aRequest)
{
  const auto id = aRequest.m_id;
  const auto& spec = aRequest.m_spec;
  if (spec.m_class == admission::RequestClass::Application) {
    m_hedgeBudget.Deposit(m_policy.m_hedging.m_budget);
  }
  m_retryBudget.Deposit(m_policy.m_retry.m_budget);
  if (spec.m_deadline) {
    m_timers.Arm({ *spec.m_deadline, TimerKind::Deadline, id.Get() });
  }
  Enqueue(m_requests.emplace(id, std::move(aRequest)).first->second, false);
}

void DispatcherCore::On(const RequestCancelled& aEvent)
{
  const auto found = m_requests.find(aEvent.m_id);
  if (found == m_requests.end()) {
    ++m_counters.m_droppedEvents;
    return;
  }
  ++m_counters.m_cancelled;
  CancelAllAttempts(found->second);
  EraseRequest(found->second);
}

AttemptState* DispatcherCore::FindAttempt(RequestId aId, AttemptNumber aNumber)
{
  const auto found = m_requests.find(aId);
  if (found != m_requests.end()) {
    for (auto& attempt : found->second.m_attempts) {
      if (attempt.m_number == aNumber) {
        return &attempt;
      }
    }
  }
  ++m_counters.m_droppedEvents;
  return nullptr;
}

void DispatcherCore::On(const AttemptAccepted& aEvent)
{
  if (auto* attempt = FindAttempt(aEvent.m_id, aEvent.m_attempt)) {
    attempt->m_accepted = true;
  }
}

void DispatcherCore::On(const AttemptTokens& aEvent)
{
  auto* attempt = FindAttempt(aEvent.m_id, aEvent.m_attempt);
  if (attempt == nullptr) {
    return;
  }
  auto& request = m_requests.at(aEvent.m_id);
  if (RejectOldVersion(request, *attempt, aEvent.m_version)) {
    return;
  }
  RecordProgress(request, *attempt, aEvent.m_count);
  if (attempt->m_isProbe) {
    EndProbeIfMeasured(request, *attempt);
    return;
  }
  Select(request, aEvent.m_attempt);
  // Select may cancel other attempts, which moves this one within the vector.
  auto& selected = *FindAttempt(aEvent.m_id, aEvent.m_attempt);
  request.m_receivedTokens = Sum(request.m_receivedTokens, aEvent.m_count);
  ReclassifyIfLong(request, selected);
  MoveIfSlow(request);
}

void DispatcherCore::RecordProgress(RequestState& aRequest,
                                    AttemptState& aAttempt,
                                    TokenCount aCount)
{
  auto& backend = m_backends[aAttempt.m_backend];
  auto& pool = m_pools[aRequest.m_pool];
  const auto inFlight = static_cast<std::uint32_t>(backend.m_used.m_inFlight);
  const Duration elapsed = m_now - aAttempt.m_lastProgress;
  if (!aAttempt.m_hasTokens) {
    backend.m_speed.RecordFirstToken(elapsed, m_now);
    backend.m_limit.RecordFirstToken(
      elapsed, aRequest.m_spec.m_promptLength, inFlight, m_now);
    pool.m_firstTokenP95.Record(static_cast<double>(elapsed.count()));
    aAttempt.m_hasTokens = true;
  } else {
    backend.m_speed.RecordTokens(elapsed, aCount, m_now);
    backend.m_limit.RecordTokens(elapsed, aCount, inFlight, m_now);
  }
  aAttempt.m_accepted = true;
  aAttempt.m_lastProgress = m_now;
  aAttempt.m_tokens = Sum(aAttempt.m_tokens, aCount);
  backend.RecordSuccess();
  RefreshBackend(aAttempt.m_backend);
}

bool DispatcherCore::RejectOldVersion(
  RequestState& aRequest,
  AttemptState& aAttempt,
  const std::optional<WeightVersion>& aVersion)
{
  const auto* model = std::get_if<ModelName>(&aRequest.m_spec.m_target);
  if (!aVersion || model == nullptr) {
    return false;
  }
  const auto backend = aAttempt.m_backend;
  for (const auto& membership : m_backends[backend].m_memberships) {
    // Later tokens of a running stream may come from an older version than new
    // streams receive, so that only a newer version is evidence then.
    const bool isEvidence =
      !aAttempt.m_hasTokens || *aVersion > membership.m_version;
    if (isEvidence && membership.m_pool == aRequest.m_pool &&
        membership.m_version != *aVersion) {
      m_registry.RecordVersion(m_backends[backend].m_id, *model, *aVersion);
      SyncBackend(m_backends[backend].m_id, false);
      break;
    }
  }
  if (*aVersion >= aRequest.MinVersion()) {
    return false;
  }
  const auto number = aAttempt.m_number;
  m_actions->push_back(
    CancelAttempt{ aRequest.m_id, number, m_backends[backend].m_id });
  EndAttempt(aRequest, number, AttemptFailure::WrongWeightVersion);
  return true;
}

void DispatcherCore::Select(RequestState& aRequest, AttemptNumber aNumber)
{
  if (aRequest.m_selected == aNumber) {
    return;
  }
  aRequest.m_selected = aNumber;
  m_actions->push_back(SelectAttempt{ aRequest.m_id, aNumber });
  CancelIf(aRequest, [aNumber](const AttemptState& aAttempt) {
    return aAttempt.m_number != aNumber && !aAttempt.m_isProbe;
  });
}

void DispatcherCore::EndProbeIfMeasured(RequestState& aRequest,
                                        const AttemptState& aAttempt)
{
  if (aAttempt.m_tokens >= kProbeTokens) {
    CancelIf(aRequest,
             [](const AttemptState& aOther) { return aOther.m_isProbe; });
  }
}

void DispatcherCore::ReclassifyIfLong(RequestState& aRequest,
                                      AttemptState& aAttempt)
{
  if (aAttempt.m_isLong ||
      aAttempt.m_tokens <= m_policy.m_admission.m_shortWorkTokens) {
    return;
  }
  // The output exceeds its estimate: the request counts as long work from now
  // on.
  aAttempt.m_isLong = true;
  aRequest.m_size = admission::WorkSize::Long;
  ++m_backends[aAttempt.m_backend].m_used.m_longInFlight;
  RefreshBackend(aAttempt.m_backend);
}

void DispatcherCore::On(const AttemptFinished& aEvent)
{
  auto* attempt = FindAttempt(aEvent.m_id, aEvent.m_attempt);
  if (attempt == nullptr) {
    return;
  }
  auto& request = m_requests.at(aEvent.m_id);
  if (attempt->m_isProbe) {
    const AttemptState probe = *attempt;
    std::erase_if(request.m_attempts, [&probe](const AttemptState& aOther) {
      return aOther.m_number == probe.m_number;
    });
    request.m_mayHaveRun = true;
    ReleaseSlot(request, probe);
    return;
  }
  auto& pool = m_pools[request.m_pool];
  if (!attempt->m_hasTokens) {
    RecordProgress(request, *attempt, TokenCount(0));
  }
  if (pool.IsService()) {
    // A service call counts as one token, so that services are compared with
    // their peers in the same way as engines.
    m_backends[attempt->m_backend].m_speed.RecordTokens(
      m_now - attempt->m_startedAt, TokenCount(1), m_now);
  } else {
    m_outputEstimator.Record(request.m_spec.m_caller,
                             request.m_spec.m_maxTokens,
                             request.m_receivedTokens);
  }
  Select(request, aEvent.m_attempt);
  CancelIf(request, [&](const AttemptState& aOther) {
    return aOther.m_number != aEvent.m_attempt;
  });
  ReleaseSlot(request, request.m_attempts.front());
  request.m_attempts.clear();
  ++m_counters.m_finished;
  m_actions->push_back(FinishRequest{ aEvent.m_id });
  EraseRequest(request);
}

void DispatcherCore::On(const AttemptFailed& aEvent)
{
  if (FindAttempt(aEvent.m_id, aEvent.m_attempt) != nullptr) {
    EndAttempt(m_requests.at(aEvent.m_id), aEvent.m_attempt, aEvent.m_failure);
  }
}

void DispatcherCore::EndAttempt(RequestState& aRequest,
                                AttemptNumber aNumber,
                                AttemptFailure aFailure)
{
  const auto found = std::find_if(
    aRequest.m_attempts.begin(),
    aRequest.m_attempts.end(),
    [aNumber](const auto& aAttempt) { return aAttempt.m_number == aNumber; });
  const AttemptState attempt = *found;
  aRequest.m_attempts.erase(found);
  ReleaseSlot(aRequest, attempt);
  RecordHealth(attempt, aFailure);
  if (aFailure == AttemptFailure::WrongWeightVersion) {
    ++m_counters.m_wrongVersions;
  }
  const auto evidence = FindNotRunEvidence(attempt, aFailure);
  aRequest.m_mayHaveRun = aRequest.m_mayHaveRun || !evidence;
  if (attempt.m_isProbe) {
    return;
  }
  // A probe cannot replace the failed attempt, because its tokens were not
  // kept.
  CancelIf(aRequest,
           [](const AttemptState& aOther) { return aOther.m_isProbe; });
  aRequest.m_notRunEvidence = evidence.value_or(aRequest.m_notRunEvidence);
  aRequest.m_avoidedBackend = attempt.m_backend;
  if (attempt.m_tokens.Get() == 0) {
    ++aRequest.m_attemptsWithoutProgress;
  } else {
    ++aRequest.m_resumptions;
  }
  if (aRequest.m_attempts.empty()) {
    RetryOrFail(aRequest, aFailure);
  }
}

void DispatcherCore::RecordHealth(const AttemptState& aAttempt,
                                  AttemptFailure aFailure)
{
  auto& backend = m_backends[aAttempt.m_backend];
  std::optional<TimePoint> until;
  switch (aFailure) {
    case AttemptFailure::WrongWeightVersion:
      return;
    case AttemptFailure::Refused:
      until = backend.RecordRefusal(m_now);
      break;
    case AttemptFailure::TimedOut:
      // If other attempts on the server have made progress since, only this
      // connection is faulty.
      if (backend.m_speed.LastObserved() > aAttempt.m_lastProgress) {
        return;
      }
      if (!backend.m_pausedUntil) {
        // Several streams that stall on one server count once.
        backend.m_speed.RecordStall(m_now - aAttempt.m_lastProgress, m_now);
      }
      until = backend.RecordFailure(aAttempt.m_startedAt, m_now);
      break;
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::LostBeforeResponse:
    case AttemptFailure::LostMidStream:
    case AttemptFailure::BadResponse:
      until = backend.RecordFailure(aAttempt.m_startedAt, m_now);
      break;
  }
  m_timers.Arm({ *until, TimerKind::BackendRetry, aAttempt.m_backend });
  RefreshBackend(aAttempt.m_backend);
}

bool DispatcherCore::TryAcquireRetry(RequestState& aRequest, bool aResumes)
{
  if (aRequest.m_attemptsWithoutProgress >= m_policy.m_retry.m_maxAttempts ||
      aRequest.m_resumptions > kMaxResumptions) {
    return false;
  }
  if (!aRequest.m_spec.m_idempotent && aRequest.m_mayHaveRun) {
    return false;
  }
  // The loss of one server ends many streams at once. If the retry budget
  // limited their resumption, the tokens already received would be lost.
  return aResumes || m_retryBudget.TryWithdraw();
}

void DispatcherCore::RetryOrFail(RequestState& aRequest,
                                 AttemptFailure aFailure)
{
  const bool partial = aRequest.m_selected.has_value();
  const auto& pool = m_pools[aRequest.m_pool];
  if ((partial && !aRequest.IsResumable()) || pool.m_members.empty() ||
      !TryAcquireRetry(aRequest, partial)) {
    Fail(aRequest, ErrorCodeOf(aFailure));
    return;
  }
  ++(partial ? m_counters.m_resumptions : m_counters.m_retries);
  Enqueue(aRequest, true);
}

void DispatcherCore::ReleaseSlot(const RequestState& aRequest,
                                 const AttemptState& aAttempt)
{
  auto& used = m_backends[aAttempt.m_backend].m_used;
  --used.m_inFlight;
  --m_inFlight;
  if (aAttempt.m_isLong) {
    --used.m_longInFlight;
  }
  if (aRequest.m_spec.m_class == admission::RequestClass::Training) {
    --used.m_trainingInFlight;
  }
  m_timers.Disarm({ aAttempt.m_progressTimer,
                    TimerKind::Progress,
                    aRequest.m_id.Get(),
                    aAttempt.m_number.Get() });
  RefreshBackend(aAttempt.m_backend);
  ReleaseBackendIfUnused(aAttempt.m_backend);
}

template<typename Predicate>
void DispatcherCore::CancelIf(RequestState& aRequest, Predicate aPredicate)
{
  std::vector<AttemptState> kept;
  for (const auto& attempt : aRequest.m_attempts) {
    if (!aPredicate(attempt)) {
      kept.push_back(attempt);
      continue;
    }
    m_actions->push_back(CancelAttempt{
      aRequest.m_id, attempt.m_number, m_backends[attempt.m_backend].m_id });
    aRequest.m_mayHaveRun = true;
    ReleaseSlot(aRequest, attempt);
  }
  aRequest.m_attempts = std::move(kept);
}

void DispatcherCore::CancelAllAttempts(RequestState& aRequest)
{
  CancelIf(aRequest, [](const AttemptState&) { return true; });
}

void DispatcherCore::Fail(RequestState& aRequest,
                          ErrorCode aCode,
                          std::optional<Duration> aRetry)
{
  CancelAllAttempts(aRequest);
  const bool mayHaveRun = aRequest.m_mayHaveRun;
  ++(mayHaveRun ? m_counters.m_failedUnknown : m_counters.m_failedNotRun);
  const auto error =
    mayHaveRun ? RequestError(UnknownOutcomeError(aCode))
               : RequestError(NotRunError(aCode, aRequest.m_notRunEvidence));
  m_actions->push_back(FailRequest{ aRequest.m_id, error, aRetry });
  EraseRequest(aRequest);
}

void DispatcherCore::CorrectCallerCharge(const RequestState& aRequest)
{
  // Requests that were never started were not charged.
  if (IsBaseline() || aRequest.m_lastAttempt == 0) {
    return;
  }
  const auto actual = static_cast<double>(aRequest.m_receivedTokens.Get());
  const auto expected = static_cast<double>(aRequest.m_expectedOutput.Get());
  m_pools[aRequest.m_pool].m_queue.Charge(
    aRequest.m_spec.m_class, aRequest.m_spec.m_caller, actual - expected);
}

void DispatcherCore::EraseRequest(RequestState& aRequest)
{
  CorrectCallerCharge(aRequest);
  if (aRequest.m_waiting) {
    Dequeue(aRequest, false);
  }
  const auto id = aRequest.m_id;
  if (aRequest.m_spec.m_deadline) {
    m_timers.Disarm(
      { *aRequest.m_spec.m_deadline, TimerKind::Deadline, id.Get() });
  }
  if (aRequest.m_hedgeTimer) {
    m_timers.Disarm({ *aRequest.m_hedgeTimer, TimerKind::Hedge, id.Get() });
  }
  m_requests.erase(id);
}

} // namespace auburntrestle::routing::internal
