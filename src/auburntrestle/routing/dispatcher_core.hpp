#ifndef AUBURNTRESTLE_ROUTING_DISPATCHER_CORE_HPP
#define AUBURNTRESTLE_ROUTING_DISPATCHER_CORE_HPP

#include "auburntrestle/admission/output_estimator.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/registry/registry.hpp"
#include "auburntrestle/routing/action.hpp"
#include "auburntrestle/routing/attempt_budget.hpp"
#include "auburntrestle/routing/dispatcher.hpp"
#include "auburntrestle/routing/event.hpp"
#include "auburntrestle/routing/pool.hpp"
#include "auburntrestle/routing/request_state.hpp"
#include "auburntrestle/routing/timer_set.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburntrestle::routing::internal {

/** The state machine that implements Dispatcher. */
class DispatcherCore
{
public:
  DispatcherCore(const Policy& aPolicy, std::uint64_t aSeed);

  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  [[nodiscard]] const registry::BackendRegistry& Registry() const noexcept
  {
    return m_registry;
  }
  [[nodiscard]] std::vector<registry::BackendView> BackendViews(
    TimePoint aNow) const;
  [[nodiscard]] std::optional<double> TypicalTimePerToken(
    const Target& aTarget) const;
  [[nodiscard]] std::size_t WaitingCount(admission::RequestClass aClass) const;
  [[nodiscard]] std::size_t InFlightCount() const noexcept
  {
    return m_inFlight;
  }
  [[nodiscard]] std::size_t RequestCount() const noexcept
  {
    return m_requests.size();
  }
  [[nodiscard]] bool IsDraining() const noexcept { return m_draining; }
  [[nodiscard]] std::optional<TimePoint> NextTimer() const
  {
    return m_timers.NextDue();
  }
  [[nodiscard]] const DispatcherCounters& Counters() const noexcept
  {
    return m_counters;
  }

private:
  // Requests and attempts (dispatcher_requests.cpp).
  void On(const RequestArrived& aEvent);
  void On(const RequestCancelled& aEvent);
  void On(const AttemptAccepted& aEvent);
  void On(const AttemptTokens& aEvent);
  void On(const AttemptFinished& aEvent);
  void On(const AttemptFailed& aEvent);
  [[nodiscard]] std::optional<ErrorCode> UnservableReason(
    const RequestSpec& aSpec) const;
  [[nodiscard]] std::optional<Duration> OverloadRetryDelay(
    const RequestState& aRequest,
    const Pool& aPool) const;
  [[nodiscard]] bool IsQueueFull(const RequestSpec& aSpec) const;
  void Refuse(RequestId aId, ErrorCode aCode, std::optional<Duration> aRetry);
  [[nodiscard]] RequestState MakeRequest(const RequestArrived& aEvent,
                                         PoolIndex aPool) const;
  void Admit(RequestState aRequest);
  AttemptState* FindAttempt(RequestId aId, AttemptNumber aNumber);
  void RecordProgress(RequestState& aRequest,
                      AttemptState& aAttempt,
                      TokenCount aCount);
  bool RejectOldVersion(RequestState& aRequest,
                        AttemptState& aAttempt,
                        const std::optional<WeightVersion>& aVersion);
  void EndProbeIfMeasured(RequestState& aRequest, const AttemptState& aAttempt);
  void Select(RequestState& aRequest, AttemptNumber aNumber);
  void ReclassifyIfLong(RequestState& aRequest, AttemptState& aAttempt);
  void EndAttempt(RequestState& aRequest,
                  AttemptNumber aNumber,
                  AttemptFailure aFailure);
  void RecordHealth(const AttemptState& aAttempt, AttemptFailure aFailure);
  // Checks the retry limits; a retry that is no resumption spends the budget.
  [[nodiscard]] bool TryAcquireRetry(RequestState& aRequest, bool aResumes);
  void RetryOrFail(RequestState& aRequest, AttemptFailure aFailure);
  void ReleaseSlot(const RequestState& aRequest, const AttemptState& aAttempt);
  template<typename Predicate>
  void CancelIf(RequestState& aRequest, Predicate aPredicate);
  void CancelAllAttempts(RequestState& aRequest);
  void Fail(RequestState& aRequest,
            ErrorCode aCode,
            std::optional<Duration> aRetry = std::nullopt);
  void CorrectCallerCharge(const RequestState& aRequest);
  void EraseRequest(RequestState& aRequest);

  // Scheduling (dispatcher_schedule.cpp).
  void Enqueue(RequestState& aRequest, bool aFront);
  void Dequeue(RequestState& aRequest, bool aIsStarting);
  void StartWaitingRequests(PoolIndex aPool);
  bool StartNext(PoolIndex aPool, admission::RequestClass aClass);
  bool StartNextBaseline(PoolIndex aPool);
  [[nodiscard]] std::optional<BackendIndex> ChooseBackend(
    Pool& aPool,
    const RequestState& aRequest);
  void StartProbe(RequestState& aRequest);
  [[nodiscard]] std::optional<BackendIndex> FindAffinityBackend(
    const Pool& aPool,
    const RequestState& aRequest) const;
  [[nodiscard]] double LoadScore(BackendIndex aBackend) const;
  void StartAttemptOn(RequestState& aRequest, BackendIndex aBackend);
  void ArmHedgeTimer(RequestState& aRequest);
  void OnHedgeTimer(RequestState& aRequest);
  void MoveIfSlow(RequestState& aRequest);
  void Move(RequestState& aRequest, BackendIndex aTo);
  void ArmProgressTimer(const RequestState& aRequest, AttemptState& aAttempt);
  void OnProgressTimer(RequestState& aRequest, AttemptNumber aNumber);
  [[nodiscard]] Duration ProgressTimeout(const RequestState& aRequest,
                                         const AttemptState& aAttempt) const;
  void OnDeadline(RequestState& aRequest);
  [[nodiscard]] std::optional<Duration> EstimateWait(
    const Pool& aPool,
    const RequestSpec& aSpec,
    admission::WorkSize aSize) const;
  [[nodiscard]] const admission::CallerPolicy& CallerPolicyOf(
    const CallerId& aCaller) const;
  [[nodiscard]] bool IsBaseline() const noexcept
  {
    return m_policy.m_name == PolicyName::Baseline;
  }

  // Backend servers (dispatcher_backends.cpp).
  void On(const BackendAnnounced& aEvent);
  void On(const LoadReported& aEvent);
  void On(const OwnedBackendsChanged& aEvent);
  void On(const PeerSpeedReported& aEvent);
  void On(const PolicyChanged& aEvent);
  void On(const DrainRequested& aEvent);
  void On(const Tick& aEvent);
  PoolIndex FindOrAddPool(const Target& aTarget);
  [[nodiscard]] std::optional<PoolIndex> FindPool(const Target& aTarget) const;
  void SyncBackend(const BackendId& aId, bool aReset);
  [[nodiscard]] std::uint32_t MaxLimitOf(
    const registry::Announcement& aAnnouncement) const;
  std::vector<Membership> MembershipsOf(
    const registry::Announcement& aAnnouncement);
  void SetMemberships(BackendIndex aBackend, std::vector<Membership> aNew);
  void ApplyLoad(const BackendId& aId);
  void RefreshBackend(BackendIndex aBackend);
  void ReleaseBackendIfUnused(BackendIndex aBackend);
  void CompareSpeeds();
  void UpdateTypicalTime(Pool& aPool);
  void FailRequestsOfEmptyPool(Pool& aPool);
  void RunTimers();
  void RunTimer(const Timer& aTimer);
  void MarkDirty(PoolIndex aPool);

  Policy m_policy;
  RandomSource m_random;
  registry::BackendRegistry m_registry;
  admission::OutputEstimator m_outputEstimator;
  // A deque, because references stay valid while pools are added.
  std::deque<Pool> m_pools;
  std::unordered_map<ModelName, PoolIndex> m_poolByModel;
  std::unordered_map<ServiceName, PoolIndex> m_poolByService;
  std::deque<BackendState> m_backends;
  std::unordered_map<BackendId, BackendIndex> m_backendById;
  std::vector<BackendIndex> m_freeBackends;
  std::unordered_map<RequestId, RequestState> m_requests;
  std::unordered_map<CallerId, std::size_t> m_waitingByCaller;
  std::array<std::size_t, 2> m_waitingByClass{};
  std::size_t m_inFlight = 0;
  TimerSet m_timers;
  AttemptBudget m_hedgeBudget{ 1.0 };
  // Not zero, so that a new instance can retry before it has received many
  // requests.
  AttemptBudget m_retryBudget{ 10.0 };
  std::vector<PoolIndex> m_dirtyPools;
  std::optional<TimePoint> m_lastComparison;
  bool m_draining = false;
  DispatcherCounters m_counters;

  // Set only during Handle.
  TimePoint m_now{};
  std::vector<Action>* m_actions = nullptr;
};

} // namespace auburntrestle::routing::internal

#endif
