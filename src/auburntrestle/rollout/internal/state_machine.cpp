#include "auburntrestle/rollout/internal/state_machine.hpp"

#include "auburntrestle/rollout/batch.hpp"
#include "auburntrestle/rollout/coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::rollout::internal {

StateMachine::StateMachine(Policy aPolicy, std::uint64_t aSeed)
  : m_policy(aPolicy)
  , m_random(aSeed)
{
}

void StateMachine::Handle(const Event& aEvent,
                          TimePoint aNow,
                          std::vector<Action>& aActions)
{
  m_now = aNow;
  m_actions = &aActions;
  std::visit([&](const auto& aValue) { On(aValue); }, aEvent);
  // Tokens are by far the most frequent events and never start an attempt or
  // complete a request, so they skip the scan over the trainers.
  if (!std::holds_alternative<SampleTokens>(aEvent)) {
    if (m_leading) {
      Schedule();
    }
    for (auto& [id, trainer] : m_trainers) {
      UpdateIdle(trainer);
    }
  }
  m_actions = nullptr;
}

void StateMachine::On(const LedgerStateRestored& aEvent)
{
  if (m_leading) {
    EndLeadership();
  }
  m_leading = true;
  for (const auto& [model, version] : aEvent.m_versions) {
    m_versions[model] = std::max(m_versions[model], version);
  }
  for (const auto& [id, step] : aEvent.m_lastSteps) {
    Trainer& trainer = GetTrainer(id);
    trainer.m_lastStep = std::max(trainer.m_lastStep, step);
  }
  for (const StepSpec& step : aEvent.m_steps) {
    AddStep(GetTrainer(step.m_trainer), step);
  }
  std::map<TrainerId, std::vector<SampleId>> delivered;
  for (const SampleId& sample : aEvent.m_delivered) {
    delivered[sample.m_trainer].push_back(sample);
  }
  for (const auto& [id, samples] : delivered) {
    Trainer& trainer = GetTrainer(id);
    CloseGroups(trainer, samples);
    MarkDelivered(trainer, samples);
  }
  for (const RestoredBatch& batch : aEvent.m_batches) {
    RestoreBatch(batch);
  }
}

void StateMachine::RestoreBatch(const RestoredBatch& aBatch)
{
  Trainer& trainer = GetTrainer(aBatch.m_trainer);
  if (aBatch.m_state != BatchState::Fixed) {
    trainer.m_closedCursor = aBatch.m_cursor;
    if (aBatch.m_state == BatchState::Discarded) {
      trainer.m_lastDiscarded = aBatch.m_cursor;
      trainer.m_lastDiscardedSamples = aBatch.m_samples;
    }
    return;
  }
  trainer.m_closedCursor = Cursor(aBatch.m_cursor.Get() - 1);
  PendingBatch pending;
  pending.m_cursor = aBatch.m_cursor;
  pending.m_samples = aBatch.m_samples;
  pending.m_payload = aBatch.m_payload;
  pending.m_sent = true;
  // If the payload cannot be decoded, the staleness is unknown and the batch
  // counts as expired.
  if (const auto batch =
        DecodeBatch(aBatch.m_payload ? *aBatch.m_payload : "")) {
    pending.m_model = batch->m_model;
    for (const BatchSample& sample : batch->m_samples) {
      pending.m_oldest.push_back(
        OldestVersion(sample.m_trail).value_or(WeightVersion(0)));
    }
  }
  for (const SampleId& id : pending.m_samples) {
    if (auto found = Find(id)) {
      SetState(*found, SampleState::InBatch);
    }
  }
  CloseGroups(trainer, pending.m_samples);
  trainer.m_fixed = std::move(pending);
}

void StateMachine::On(const LeadershipLost&)
{
  if (m_leading) {
    EndLeadership();
  }
}

void StateMachine::EndLeadership()
{
  m_leading = false;
  for (auto& [id, trainer] : m_trainers) {
    const auto generating = trainer.m_generating;
    for (const SampleKey& key : generating) {
      SampleRef found = At(trainer, key);
      CancelAttempts(found);
    }
    // The next leader may still apply a proposal in flight.
    const RequestError unknown = UnknownOutcomeError(ErrorCode::NoQuorum);
    const bool isProposing = trainer.m_proposed || trainer.m_acknowledging;
    for (const WaitingRequest& request : trainer.m_waitingRequests) {
      Emit(RefuseBatch{ request.m_request,
                        isProposing ? unknown : NotRun(ErrorCode::NotReady),
                        {},
                        std::nullopt });
    }
    for (const RequestId request : trainer.m_discardRequests) {
      Emit(RefuseDiscard{ request, unknown });
    }
    for (const auto& [step, proposed] : trainer.m_proposedSteps) {
      for (const RequestId request : proposed.m_requests) {
        Emit(RefuseStep{ request, unknown });
      }
    }
    trainer.m_waitingRequests.clear();
    UpdateIdle(trainer);
    Trainer fresh;
    fresh.m_id = id;
    fresh.m_settings = std::move(trainer.m_settings);
    fresh.m_estimate = trainer.m_estimate;
    trainer = std::move(fresh);
  }
}

void StateMachine::On(const ConfigurationChanged& aEvent)
{
  for (auto& [id, trainer] : m_trainers) {
    if (!aEvent.m_trainers.contains(id)) {
      trainer.m_settings.reset();
    }
  }
  for (const auto& [id, settings] : aEvent.m_trainers) {
    Trainer& trainer = GetTrainer(id);
    trainer.m_settings = settings;
    CancelStaleSamples(trainer);
  }
}

void StateMachine::On(const PolicyChanged& aEvent)
{
  if (CheckPolicy(aEvent.m_policy)) {
    m_policy = aEvent.m_policy;
  }
}

void StateMachine::On(const VersionPublished& aEvent)
{
  WeightVersion& newest = m_versions[aEvent.m_model];
  if (aEvent.m_version <= newest) {
    return;
  }
  newest = aEvent.m_version;
  m_publishing[aEvent.m_model].RecordPublication(m_now);
  for (auto& [id, trainer] : m_trainers) {
    trainer.m_deferredSince.reset();
    CancelStaleSamples(trainer);
  }
}

void StateMachine::On(const Tick&)
{
  if (!m_leading) {
    return;
  }
  for (auto& [id, trainer] : m_trainers) {
    CheckJudgeTimeouts(trainer);
    MitigateStragglers(trainer);
  }
}

void StateMachine::Schedule()
{
  for (auto& [id, trainer] : m_trainers) {
    ScheduleJudgeCalls(trainer);
    ServeRequests(trainer);
  }
  for (const auto& [id, limit] : ConcurrencyLimits()) {
    StartWaitingSamples(m_trainers.at(id), limit);
  }
}

std::map<TrainerId, std::size_t> StateMachine::ConcurrencyLimits() const
{
  std::map<TrainerId, std::size_t> limits;
  double weights = 0.0;
  for (const auto& [id, trainer] : m_trainers) {
    const bool hasWork = !trainer.m_waiting.empty() ||
                         !trainer.m_delayed.empty() ||
                         !trainer.m_generating.empty();
    if (trainer.m_settings && trainer.m_settings->m_weight > 0.0 && hasWork) {
      weights += trainer.m_settings->m_weight;
      limits[id] = 0;
    }
  }
  for (auto& [id, limit] : limits) {
    const double share = m_trainers.at(id).m_settings->m_weight / weights;
    const double bound =
      std::floor(share * static_cast<double>(m_policy.m_maxGenerating));
    limit = std::max<std::size_t>(1, static_cast<std::size_t>(bound));
  }
  return limits;
}

void StateMachine::UpdateIdle(Trainer& aTrainer)
{
  if (aTrainer.m_idleCountedUntil) {
    m_metrics.m_trainers[aTrainer.m_id].m_idle +=
      m_now - *aTrainer.m_idleCountedUntil;
  }
  const bool isProposing =
    aTrainer.m_proposed || aTrainer.m_acknowledging || aTrainer.m_discarding;
  const bool isIdle = !aTrainer.m_waitingRequests.empty() &&
                      (aTrainer.m_idleCountedUntil || !isProposing);
  aTrainer.m_idleCountedUntil = isIdle ? std::optional(m_now) : std::nullopt;
}

Trainer& StateMachine::GetTrainer(const TrainerId& aTrainer)
{
  Trainer& trainer = m_trainers[aTrainer];
  trainer.m_id = aTrainer;
  return trainer;
}

Trainer* StateMachine::FindTrainer(const TrainerId& aTrainer)
{
  const auto found = m_trainers.find(aTrainer);
  return found == m_trainers.end() ? nullptr : &found->second;
}

std::optional<StateMachine::SampleRef> StateMachine::Find(
  const SampleId& aSample)
{
  Trainer* const trainer = FindTrainer(aSample.m_trainer);
  if (trainer == nullptr) {
    return std::nullopt;
  }
  const auto step = trainer->m_steps.find(aSample.m_step);
  if (step == trainer->m_steps.end() ||
      aSample.m_group.Get() >= step->second.m_groups.size()) {
    return std::nullopt;
  }
  const Group& group = step->second.m_groups[aSample.m_group.Get()];
  if (aSample.m_index.Get() >= group.m_samples.size()) {
    return std::nullopt;
  }
  return At(*trainer, { aSample.m_step, aSample.m_group, aSample.m_index });
}

StateMachine::SampleRef StateMachine::At(Trainer& aTrainer,
                                         const SampleKey& aKey)
{
  Step& step = aTrainer.m_steps.at(aKey.m_step);
  Group& group = step.m_groups[aKey.m_group.Get()];
  return {
    &aTrainer, &step, &group, &group.m_samples[aKey.m_index.Get()], aKey
  };
}

void StateMachine::SetState(SampleRef& aSample, SampleState aState)
{
  Trainer& trainer = *aSample.m_trainer;
  Group& group = *aSample.m_group;
  Sample& sample = *aSample.m_sample;
  trainer.m_waiting.erase(aSample.m_key);
  trainer.m_delayed.erase({ sample.m_notBefore, aSample.m_key });
  trainer.m_generating.erase(aSample.m_key);
  trainer.m_judging.erase(aSample.m_key);
  trainer.m_judgeQueue.erase(aSample.m_key);
  if (sample.m_state == SampleState::Ready) {
    aSample.m_step->m_completeGroups -= group.IsComplete() ? 1 : 0;
    --group.m_ready;
  }
  sample.m_state = aState;
  switch (aState) {
    case SampleState::Waiting:
      if (sample.m_notBefore > m_now) {
        trainer.m_delayed.insert({ sample.m_notBefore, aSample.m_key });
      } else {
        trainer.m_waiting.insert(aSample.m_key);
      }
      break;
    case SampleState::Generating:
      trainer.m_generating.insert(aSample.m_key);
      break;
    case SampleState::Judging:
      trainer.m_judging.insert(aSample.m_key);
      trainer.m_judgeQueue.insert(aSample.m_key);
      break;
    case SampleState::Ready:
      ++group.m_ready;
      aSample.m_step->m_completeGroups += group.IsComplete() ? 1 : 0;
      break;
    case SampleState::InBatch:
    case SampleState::Delivered:
      break;
  }
}

void StateMachine::SetResult(SampleRef& aSample, Result aResult)
{
  ClearResult(aSample);
  aSample.m_trainer->m_undeliveredBytes += aResult.m_text->size();
  aSample.m_sample->m_result = std::move(aResult);
}

void StateMachine::ClearResult(SampleRef& aSample)
{
  Sample& sample = *aSample.m_sample;
  if (sample.m_result) {
    aSample.m_trainer->m_undeliveredBytes -= sample.m_result->m_text->size();
  }
  sample.m_result.reset();
  sample.m_score.reset();
  sample.m_judgeCalls = 0;
  sample.m_judgeCallsNotRun = 0;
}

WeightVersion StateMachine::NewestVersion(const ModelName& aModel) const
{
  const auto found = m_versions.find(aModel);
  return found == m_versions.end() ? WeightVersion(0) : found->second;
}

std::uint64_t StateMachine::StalenessBound(const Trainer& aTrainer) const
{
  return aTrainer.m_settings ? aTrainer.m_settings->m_stalenessBound : 0;
}

bool StateMachine::IsStale(const Trainer& aTrainer,
                           const ModelName& aModel,
                           const Trail& aTrail) const
{
  const auto oldest = OldestVersion(aTrail);
  return oldest &&
         Staleness(NewestVersion(aModel), *oldest) > StalenessBound(aTrainer);
}

AttemptNumber StateMachine::NextAttempt()
{
  m_lastAttempt = m_lastAttempt.Next();
  return m_lastAttempt;
}

Duration StateMachine::Backoff(std::size_t aFailures)
{
  const auto first = static_cast<double>(m_policy.m_retryDelay.count());
  const auto largest = static_cast<double>(m_policy.m_maxRetryDelay.count());
  const double exponent = std::min<double>(static_cast<double>(aFailures), 32);
  const double delay = std::min(largest, first * std::exp2(exponent));
  // Jitter prevents samples that failed together from retrying together.
  return Duration(
    static_cast<Duration::rep>(delay * (0.5 + m_random.Unit() / 2)));
}

} // namespace auburntrestle::rollout::internal
