#ifndef AUBURNTRESTLE_ROLLOUT_INTERNAL_STATE_MACHINE_HPP
#define AUBURNTRESTLE_ROLLOUT_INTERNAL_STATE_MACHINE_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/rollout/actions.hpp"
#include "auburntrestle/rollout/events.hpp"
#include "auburntrestle/rollout/internal/state.hpp"
#include "auburntrestle/rollout/metrics.hpp"
#include "auburntrestle/rollout/policy.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace auburntrestle::rollout::internal {

/** The implementation of Coordinator. */
class StateMachine
{
public:
  StateMachine(Policy aPolicy, std::uint64_t aSeed);

  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);
  [[nodiscard]] const Metrics& GetMetrics() const noexcept { return m_metrics; }

private:
  /** References to a sample and the objects that contain it. */
  struct SampleRef
  {
    Trainer* m_trainer = nullptr;
    Step* m_step = nullptr;
    Group* m_group = nullptr;
    Sample* m_sample = nullptr;
    SampleKey m_key;
  };

  // Leadership, configuration and scheduling: state_machine.cpp
  void On(const LedgerStateRestored& aEvent);
  void On(const LeadershipLost& aEvent);
  void On(const ConfigurationChanged& aEvent);
  void On(const PolicyChanged& aEvent);
  void On(const VersionPublished& aEvent);
  void On(const Tick& aEvent);
  void RestoreBatch(const RestoredBatch& aBatch);
  void EndLeadership();
  void Schedule();
  [[nodiscard]] std::map<TrainerId, std::size_t> ConcurrencyLimits() const;
  void UpdateIdle(Trainer& aTrainer);
  Trainer& GetTrainer(const TrainerId& aTrainer);
  Trainer* FindTrainer(const TrainerId& aTrainer);
  std::optional<SampleRef> Find(const SampleId& aSample);
  SampleRef At(Trainer& aTrainer, const SampleKey& aKey);
  void SetState(SampleRef& aSample, SampleState aState);
  void SetResult(SampleRef& aSample, Result aResult);
  void ClearResult(SampleRef& aSample);
  [[nodiscard]] WeightVersion NewestVersion(const ModelName& aModel) const;
  [[nodiscard]] std::uint64_t StalenessBound(const Trainer& aTrainer) const;
  [[nodiscard]] bool IsStale(const Trainer& aTrainer,
                             const ModelName& aModel,
                             const Trail& aTrail) const;
  AttemptNumber NextAttempt();
  Duration Backoff(std::size_t aFailures);

  template<typename T>
  void Emit(T&& aAction)
  {
    m_actions->push_back(std::forward<T>(aAction));
  }

  // Steps: steps.cpp
  void On(const StepRequested& aEvent);
  void On(const StepOpened& aEvent);
  void On(const StepOpenRefused& aEvent);
  std::optional<ErrorCode> CheckStep(const Trainer& aTrainer,
                                     const StepSpec& aSpec) const;
  void AddStep(Trainer& aTrainer, const StepSpec& aSpec);
  void MarkDelivered(Trainer& aTrainer, const std::vector<SampleId>& aSamples);

  // Attempts: generation.cpp
  void On(const SampleAccepted& aEvent);
  void On(const SampleTokens& aEvent);
  void On(const SampleFinished& aEvent);
  void On(const SampleFailed& aEvent);
  Attempt* FindAttempt(SampleRef& aSample, AttemptNumber aNumber);
  void StartWaitingSamples(Trainer& aTrainer, std::size_t aLimit);
  bool CanStartGroup(const Trainer& aTrainer, const SampleKey& aKey);
  bool ShouldDefer(Trainer& aTrainer, const ModelName& aModel);
  void StartAttempt(SampleRef& aSample,
                    std::optional<Output> aFrom,
                    bool aIsMitigation);
  WeightVersion MinimumVersion(const Trainer& aTrainer,
                               const ModelName& aModel) const;
  void DropAttempt(SampleRef& aSample, AttemptNumber aNumber, bool aCancel);
  void FinishAttempt(SampleRef& aSample, AttemptNumber aNumber);
  void CancelAttempts(SampleRef& aSample);
  void Regenerate(SampleRef& aSample, bool aDelayed);
  void CancelStaleSamples(Trainer& aTrainer);
  void CancelStaleAttempts(SampleRef& aSample);

  // Straggler mitigation: stragglers.cpp
  void MitigateStragglers(Trainer& aTrainer);
  void MitigateGroup(Trainer& aTrainer,
                     const std::vector<SampleKey>& aKeys,
                     std::size_t& aBudget);
  bool IsSlow(const Trainer& aTrainer,
              const Step& aStep,
              const Attempt& aAttempt,
              Duration& aRemaining) const;
  void MitigateSample(SampleRef& aSample);

  // Judging: judging.cpp
  void On(const JudgeSucceeded& aEvent);
  void On(const JudgeFailed& aEvent);
  void AcceptResult(SampleRef& aSample);
  std::optional<ServiceName> JudgeOf(const SampleRef& aSample) const;
  void ScheduleJudgeCalls(Trainer& aTrainer);
  void CallJudge(SampleRef& aSample);
  void CheckJudgeTimeouts(Trainer& aTrainer);
  bool IsJudgeRepeatable(const Trainer& aTrainer) const;
  void SetScore(SampleRef& aSample, std::optional<double> aScore);
  void ClearJudgeCalls(SampleRef& aSample);

  // Batches: batches.cpp
  void On(const BatchRequested& aEvent);
  void On(const BatchRequestCancelled& aEvent);
  void On(const BatchFixed& aEvent);
  void On(const BatchFixRefused& aEvent);
  void On(const BatchAcknowledged& aEvent);
  void On(const AcknowledgeRefused& aEvent);
  void On(const DiscardRequested& aEvent);
  void On(const BatchDiscarded& aEvent);
  void On(const DiscardRefused& aEvent);
  std::optional<ErrorCode> CheckDiscard(const Trainer& aTrainer,
                                        Cursor aCursor) const;
  void ServeRequests(Trainer& aTrainer);
  bool ServeRequest(Trainer& aTrainer, const WaitingRequest& aRequest);
  /** Proposes what the next cursor requires. @return whether the request got
   * its response. */
  bool AdvanceCursor(Trainer& aTrainer, const WaitingRequest& aRequest);
  void SendFixedBatch(Trainer& aTrainer, RequestId aRequest);
  void RefuseBatchRequest(Trainer& aTrainer,
                          RequestId aRequest,
                          ErrorCode aCode,
                          std::vector<SampleId> aSamples = {});
  [[nodiscard]] bool HasExpired(const Trainer& aTrainer,
                                const PendingBatch& aBatch) const;
  [[nodiscard]] static Cursor HighestCursor(const Trainer& aTrainer);
  void ProposeBatch(Trainer& aTrainer);
  Step* StepForBatch(Trainer& aTrainer);
  PendingBatch BuildBatch(Trainer& aTrainer, Step& aStep);
  void RevertBatch(Trainer& aTrainer, const PendingBatch& aBatch);
  void ReopenGroups(Trainer& aTrainer, const std::vector<SampleId>& aSamples);
  void CloseGroups(Trainer& aTrainer, const std::vector<SampleId>& aSamples);

  Policy m_policy;
  RandomSource m_random;
  Metrics m_metrics;
  bool m_leading = false;
  AttemptNumber m_lastAttempt;
  std::map<TrainerId, Trainer> m_trainers;
  std::map<ModelName, WeightVersion> m_versions;
  std::map<ModelName, PublishEstimate> m_publishing;

  // Valid only during Handle.
  TimePoint m_now{};
  std::vector<Action>* m_actions = nullptr;
};

/** @return an error for a request that was refused without being executed. */
[[nodiscard]] inline RequestError NotRun(ErrorCode aCode) noexcept
{
  return NotRunError(aCode, NotRunEvidence::NeverSent);
}

} // namespace auburntrestle::rollout::internal

#endif
