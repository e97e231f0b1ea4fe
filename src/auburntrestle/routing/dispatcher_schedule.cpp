#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/routing/dispatcher_core.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::routing::internal {

namespace {

using admission::RequestClass;
using admission::WorkSize;

// The preferred server may be loaded above the average by this factor, which is
// about what a cached prefix saves.
constexpr double kAffinityLoadBound = 1.25;
constexpr double kAffinityLoadSlack = 0.1;

// Timeouts without progress are multiples of the target's typical time.
constexpr double kFirstTokenTimeoutFactor = 8.0;
constexpr double kTokenTimeoutFactor = 30.0;
constexpr Duration kMinFirstTokenTimeout = std::chrono::seconds(2);
constexpr Duration kMinTokenTimeout = std::chrono::seconds(2);
// A response that cannot be resumed elsewhere is lost when it is given up, so
// its timeout is longer.
constexpr int kNotResumableTimeoutFactor = 10;
constexpr Duration kMinServiceTimeout = std::chrono::seconds(10);
// The timeout gets shorter when the first token arrives and as speeds become
// known, so it is evaluated again at least this often.
constexpr Duration kProgressCheckInterval = std::chrono::seconds(1);
constexpr Duration kUnknownSpeedTimeout = std::chrono::seconds(30);
// Under the baseline policy requests queue inside the engines, so that a long
// wait for the first token does not indicate a fault.
constexpr Duration kBaselineTimeout = std::chrono::seconds(120);

constexpr std::uint32_t kMaxMoves = 2;
// Remaining output below which a move would cost more than it saves.
constexpr std::uint64_t kMinMoveTokens = 64;

std::size_t IndexOf(RequestClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

Duration Scaled(double aMicroseconds, double aFactor)
{
  return Duration(static_cast<Duration::rep>(aMicroseconds * aFactor));
}

std::optional<std::uint64_t> AffinityKey(const RequestSpec& aSpec)
{
  return aSpec.m_affinity ? aSpec.m_affinity : aSpec.m_prefixHash;
}

} // namespace

const admission::CallerPolicy& DispatcherCore::CallerPolicyOf(
  const CallerId& aCaller) const
{
  static const admission::CallerPolicy kDefault;
  const auto found = m_policy.m_callers.find(aCaller);
  return found == m_policy.m_callers.end() ? kDefault : found->second;
}

void DispatcherCore::Enqueue(RequestState& aRequest, bool aFront)
{
  const auto& spec = aRequest.m_spec;
  admission::WaitingRequest waiting;
  waiting.m_id = aRequest.m_id;
  waiting.m_minVersion = aRequest.MinVersion();
  if (!IsBaseline()) {
    waiting.m_caller = spec.m_caller;
    waiting.m_class = spec.m_class;
    waiting.m_size = aRequest.m_size;
    waiting.m_cost = static_cast<double>(spec.m_promptLength.Get() +
                                         aRequest.m_expectedOutput.Get() + 1);
  }
  // The baseline policy uses a single first-come-first-served queue: all its
  // requests have the same class, size and (empty) caller.
  auto& queue = m_pools[aRequest.m_pool].m_queue;
  const double weight = CallerPolicyOf(spec.m_caller).m_weight;
  if (aFront) {
    queue.PushFront(waiting, weight);
  } else {
    queue.PushBack(waiting, weight);
  }
  aRequest.m_waiting = true;
  ++m_waitingByClass[IndexOf(spec.m_class)];
  ++m_waitingByCaller[spec.m_caller];
  MarkDirty(aRequest.m_pool);
}

void DispatcherCore::Dequeue(RequestState& aRequest, bool aIsStarting)
{
  auto& queue = m_pools[aRequest.m_pool].m_queue;
  if (aIsStarting) {
    queue.RemoveAndCharge(aRequest.m_id);
  } else {
    queue.Remove(aRequest.m_id);
  }
  aRequest.m_waiting = false;
  --m_waitingByClass[IndexOf(aRequest.m_spec.m_class)];
  const auto caller = m_waitingByCaller.find(aRequest.m_spec.m_caller);
  if (--caller->second == 0) {
    m_waitingByCaller.erase(caller);
  }
}

std::optional<Duration> DispatcherCore::EstimateWait(const Pool& aPool,
                                                     const RequestSpec& aSpec,
                                                     WorkSize aSize) const
{
  const auto eligible =
    aPool.EligibilityOf(aSpec.m_class, m_policy.m_admission.m_shortWorkShare);
  const bool free = aSize == WorkSize::Short
                      ? eligible.m_shortVersion.has_value()
                      : eligible.m_longVersion.has_value();
  if (IsBaseline() || free) {
    return std::nullopt;
  }
  const auto ahead =
    aPool.m_queue.CountAhead(aSpec.m_class, aSize, aSpec.m_caller);
  if (ahead == 0) {
    return std::nullopt;
  }
  return aPool.DrainRateOf(aSpec.m_class, aSize).TimeToDrain(ahead, m_now);
}

void DispatcherCore::StartWaitingRequests(PoolIndex aPool)
{
  if (IsBaseline()) {
    while (StartNextBaseline(aPool)) {
    }
    return;
  }
  auto& pool = m_pools[aPool];
  const double floor = m_policy.m_admission.m_trainingFloor;
  bool started = true;
  while (started && pool.m_queue.Size() > 0) {
    const bool trainingFirst = pool.IsTrainingDue(floor);
    const auto first =
      trainingFirst ? RequestClass::Training : RequestClass::Application;
    const auto second =
      trainingFirst ? RequestClass::Application : RequestClass::Training;
    started = StartNext(aPool, first) || StartNext(aPool, second);
  }
}

bool DispatcherCore::StartNext(PoolIndex aPool, RequestClass aClass)
{
  auto& pool = m_pools[aPool];
  const auto& admission = m_policy.m_admission;
  const auto next =
    pool.m_queue.Peek(pool.EligibilityOf(aClass, admission.m_shortWorkShare));
  if (!next) {
    return false;
  }
  auto& request = m_requests.at(next->m_id);
  const auto backend = ChooseBackend(pool, request);
  if (!backend) {
    return false;
  }
  Dequeue(request, true);
  pool.DrainRateOf(aClass, request.m_size).Record(m_now);
  if (aClass == RequestClass::Training) {
    pool.m_trainingCredit = std::max(0.0, pool.m_trainingCredit - 1.0);
  } else if (admission.m_trainingFloor < 1.0) {
    pool.m_trainingCredit =
      std::min(1.0,
               pool.m_trainingCredit +
                 admission.m_trainingFloor / (1.0 - admission.m_trainingFloor));
  }
  StartAttemptOn(request, *backend);
  ArmHedgeTimer(request);
  StartProbe(request);
  return true;
}

bool DispatcherCore::StartNextBaseline(PoolIndex aPool)
{
  auto& pool = m_pools[aPool];
  const auto newest = pool.m_loads.Newest();
  const auto next =
    pool.m_queue.Peek({ RequestClass::Application, newest, newest });
  if (!next) {
    return false;
  }
  auto& request = m_requests.at(next->m_id);
  const auto backend = pool.m_loads.LeastLoaded(request.MinVersion());
  if (!backend) {
    return false;
  }
  Dequeue(request, true);
  StartAttemptOn(request, *backend);
  return true;
}

double DispatcherCore::LoadScore(BackendIndex aBackend) const
{
  const auto& backend = m_backends[aBackend];
  const auto limit = std::max<std::uint64_t>(1, backend.m_contribution.m_limit);
  return (static_cast<double>(backend.m_used.m_inFlight) + 1.0) /
         static_cast<double>(limit) * backend.m_slowness;
}

std::optional<BackendIndex> DispatcherCore::FindAffinityBackend(
  const Pool& aPool,
  const RequestState& aRequest) const
{
  const auto key = AffinityKey(aRequest.m_spec);
  if (!key) {
    return std::nullopt;
  }
  const auto preferred = aPool.m_affinity.Find(*key);
  if (!preferred || preferred == aRequest.m_avoidedBackend ||
      !aPool.m_slots.IsFree(*preferred, aRequest.MinVersion(), Tier::Normal)) {
    return std::nullopt;
  }
  const auto& totals = aPool.m_totals;
  const double mean =
    (static_cast<double>(totals.m_inFlight) + 1.0) /
    static_cast<double>(std::max<std::uint64_t>(1, totals.m_limit));
  if (LoadScore(*preferred) > kAffinityLoadBound * mean + kAffinityLoadSlack) {
    return std::nullopt;
  }
  return preferred;
}

void DispatcherCore::StartProbe(RequestState& aRequest)
{
  auto& pool = m_pools[aRequest.m_pool];
  if (!aRequest.m_spec.m_idempotent || aRequest.m_lastAttempt != 1) {
    return;
  }
  for (const auto backend : pool.m_probeTargets) {
    if (m_backends[backend].m_probeDue &&
        pool.m_slots.IsFree(backend, aRequest.MinVersion(), Tier::Slow) &&
        m_hedgeBudget.TryWithdraw()) {
      StartAttemptOn(aRequest, backend);
      aRequest.m_attempts.back().m_isProbe = true;
      return;
    }
  }
}

std::optional<BackendIndex> DispatcherCore::ChooseBackend(
  Pool& aPool,
  const RequestState& aRequest)
{
  auto chosen = FindAffinityBackend(aPool, aRequest);
  const auto score = [this](BackendIndex aBackend) {
    return LoadScore(aBackend);
  };
  const auto minimum = aRequest.MinVersion();
  if (!chosen) {
    chosen = aPool.m_slots.Choose(
      Tier::Normal, minimum, aRequest.m_avoidedBackend, score, m_random);
  }
  const auto normal = aPool.m_slots.Newest(Tier::Normal);
  const bool slowAllowed = aRequest.m_spec.m_class == RequestClass::Training ||
                           !normal || *normal < minimum;
  if (!chosen && slowAllowed) {
    chosen = aPool.m_slots.Choose(
      Tier::Slow, minimum, aRequest.m_avoidedBackend, score, m_random);
  }
  return chosen;
}

void DispatcherCore::StartAttemptOn(RequestState& aRequest,
                                    BackendIndex aBackend)
{
  auto& backend = m_backends[aBackend];
  const auto& spec = aRequest.m_spec;
  AttemptState attempt;
  attempt.m_number = AttemptNumber(++aRequest.m_lastAttempt);
  attempt.m_backend = aBackend;
  attempt.m_startedAt = m_now;
  attempt.m_lastProgress = m_now;
  attempt.m_isLong = aRequest.m_size == WorkSize::Long;
  ++backend.m_used.m_inFlight;
  ++backend.m_reportedLoad;
  ++m_inFlight;
  if (attempt.m_isLong) {
    ++backend.m_used.m_longInFlight;
  }
  if (spec.m_class == RequestClass::Training) {
    ++backend.m_used.m_trainingInFlight;
  }
  backend.m_probeDue = false;
  if (const auto key = AffinityKey(spec)) {
    m_pools[aRequest.m_pool].m_affinity.Record(*key, aBackend);
  }
  ArmProgressTimer(aRequest, attempt);
  ++m_counters.m_attempts;
  m_actions->push_back(StartAttempt{ aRequest.m_id,
                                     attempt.m_number,
                                     backend.m_id,
                                     backend.m_address,
                                     aRequest.m_receivedTokens });
  aRequest.m_attempts.push_back(attempt);
  RefreshBackend(aBackend);
}

void DispatcherCore::ArmHedgeTimer(RequestState& aRequest)
{
  const auto& pool = m_pools[aRequest.m_pool];
  if (!m_policy.m_hedging.m_enabled || !aRequest.m_spec.m_idempotent) {
    return;
  }
  if (aRequest.m_hedgeTimer) {
    m_timers.Disarm(
      { *aRequest.m_hedgeTimer, TimerKind::Hedge, aRequest.m_id.Get() });
  }
  const Duration typical =
    Scaled(pool.m_firstTokenP95.Value().value_or(0.0), 1.0);
  aRequest.m_hedgeTimer = m_now + std::max(m_policy.m_hedging.m_delay, typical);
  m_timers.Arm(
    { *aRequest.m_hedgeTimer, TimerKind::Hedge, aRequest.m_id.Get() });
}

void DispatcherCore::OnHedgeTimer(RequestState& aRequest)
{
  aRequest.m_hedgeTimer.reset();
  if (aRequest.m_attempts.size() != 1 ||
      aRequest.m_attempts.front().m_hasTokens) {
    return;
  }
  const auto busy = aRequest.m_attempts.front().m_backend;
  auto& pool = m_pools[aRequest.m_pool];
  const auto other = pool.m_slots.Choose(
    Tier::Normal,
    aRequest.MinVersion(),
    busy,
    [this](BackendIndex aBackend) { return LoadScore(aBackend); },
    m_random);
  if (!other || other == busy) {
    ArmHedgeTimer(aRequest);
    return;
  }
  if (aRequest.m_spec.m_class == RequestClass::Training) {
    // Training requests are not hedged. One that waits on a slow server is
    // moved.
    if (m_backends[busy].m_isSlow && m_retryBudget.TryWithdraw()) {
      Move(aRequest, *other);
    }
    return;
  }
  if (m_hedgeBudget.TryWithdraw()) {
    ++m_counters.m_hedges;
    StartAttemptOn(aRequest, *other);
  }
}

void DispatcherCore::MoveIfSlow(RequestState& aRequest)
{
  if (IsBaseline() || aRequest.m_attempts.size() != 1 ||
      aRequest.m_moves >= kMaxMoves || !aRequest.IsResumable()) {
    return;
  }
  const auto from = aRequest.m_attempts.front().m_backend;
  auto& pool = m_pools[aRequest.m_pool];
  if (!m_backends[from].m_isSlow) {
    return;
  }
  const auto expected = aRequest.m_expectedOutput.Get();
  const auto received = aRequest.m_receivedTokens.Get();
  // Once the output exceeds its estimate, the estimate is of no more use. The
  // output is then expected to double.
  const auto remaining = expected > received ? expected - received : received;
  if (remaining < kMinMoveTokens) {
    return;
  }
  const auto to = pool.m_slots.Choose(
    Tier::Normal,
    aRequest.MinVersion(),
    from,
    [this](BackendIndex aBackend) { return LoadScore(aBackend); },
    m_random);
  if (to && to != from && m_retryBudget.TryWithdraw()) {
    Move(aRequest, *to);
  }
}

void DispatcherCore::Move(RequestState& aRequest, BackendIndex aTo)
{
  ++m_counters.m_moves;
  ++aRequest.m_moves;
  CancelAllAttempts(aRequest);
  StartAttemptOn(aRequest, aTo);
  ArmHedgeTimer(aRequest);
}

Duration DispatcherCore::ProgressTimeout(const RequestState& aRequest,
                                         const AttemptState& aAttempt) const
{
  const auto& pool = m_pools[aRequest.m_pool];
  const auto& backend = m_backends[aAttempt.m_backend];
  const auto firstToken = pool.m_firstTokenP95.Value();
  if (!aAttempt.m_hasTokens) {
    if (!firstToken) {
      return IsBaseline() ? kBaselineTimeout : kUnknownSpeedTimeout;
    }
    const Duration timeout =
      Scaled(*firstToken * backend.m_slowness, kFirstTokenTimeoutFactor);
    if (IsBaseline()) {
      return std::max(timeout, kBaselineTimeout);
    }
    if (!aRequest.m_spec.m_idempotent) {
      return std::max(timeout * kNotResumableTimeoutFactor,
                      kUnknownSpeedTimeout);
    }
    return std::max(
      timeout, pool.IsService() ? kMinServiceTimeout : kMinFirstTokenTimeout);
  }
  const double perToken = std::max(backend.m_speed.TimePerToken().value_or(0.0),
                                   pool.ReferenceTimePerToken().value_or(0.0));
  if (perToken <= 0.0) {
    return kUnknownSpeedTimeout;
  }
  const Duration timeout =
    std::max(Scaled(perToken, kTokenTimeoutFactor), kMinTokenTimeout);
  return aRequest.IsResumable() ? timeout
                                : timeout * kNotResumableTimeoutFactor;
}

void DispatcherCore::ArmProgressTimer(const RequestState& aRequest,
                                      AttemptState& aAttempt)
{
  const TimePoint due =
    aAttempt.m_lastProgress + ProgressTimeout(aRequest, aAttempt);
  aAttempt.m_progressTimer = std::min(due, m_now + kProgressCheckInterval);
  m_timers.Arm({ aAttempt.m_progressTimer,
                 TimerKind::Progress,
                 aRequest.m_id.Get(),
                 aAttempt.m_number.Get() });
}

void DispatcherCore::OnProgressTimer(RequestState& aRequest,
                                     AttemptNumber aNumber)
{
  const auto attempt = std::find_if(
    aRequest.m_attempts.begin(),
    aRequest.m_attempts.end(),
    [aNumber](const auto& aAttempt) { return aAttempt.m_number == aNumber; });
  if (attempt == aRequest.m_attempts.end()) {
    return;
  }
  const TimePoint due =
    attempt->m_lastProgress + ProgressTimeout(aRequest, *attempt);
  if (due > m_now) {
    ArmProgressTimer(aRequest, *attempt);
    return;
  }
  ++m_counters.m_timeouts;
  m_actions->push_back(CancelAttempt{
    aRequest.m_id, aNumber, m_backends[attempt->m_backend].m_id });
  EndAttempt(aRequest, aNumber, AttemptFailure::TimedOut);
}

void DispatcherCore::OnDeadline(RequestState& aRequest)
{
  Fail(aRequest, ErrorCode::DeadlineExceeded);
}

} // namespace auburntrestle::routing::internal
