#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::rollout::internal {

Attempt* StateMachine::FindAttempt(SampleRef& aSample, AttemptNumber aNumber)
{
  auto& attempts = aSample.m_sample->m_attempts;
  const auto found =
    std::find_if(attempts.begin(), attempts.end(), [&](const Attempt& aEntry) {
      return aEntry.m_number == aNumber;
    });
  return found == attempts.end() ? nullptr : &*found;
}

void StateMachine::On(const SampleAccepted& aEvent)
{
  auto found = Find(aEvent.m_sample);
  Attempt* const attempt =
    found ? FindAttempt(*found, aEvent.m_attempt) : nullptr;
  if (attempt == nullptr) {
    ++m_metrics.m_lateEvents;
    return;
  }
  attempt->m_accepted = true;
}

void StateMachine::On(const SampleTokens& aEvent)
{
  auto found = Find(aEvent.m_sample);
  Attempt* const attempt =
    found ? FindAttempt(*found, aEvent.m_attempt) : nullptr;
  if (attempt == nullptr) {
    ++m_metrics.m_lateEvents;
    return;
  }
  if (!aEvent.m_version) {
    ++m_metrics.m_unknownVersion;
    DropAttempt(*found, aEvent.m_attempt, true);
    if (found->m_sample->m_attempts.empty()) {
      found->m_sample->m_partial.reset();
      Regenerate(*found, true);
    }
    return;
  }
  attempt->m_accepted = true;
  if (!attempt->m_firstToken) {
    attempt->m_firstToken = m_now;
  }
  Output& output = attempt->m_output;
  const std::size_t spans = output.m_trail.size();
  output.m_text += aEvent.m_text;
  output.m_tokens = TokenCount(output.m_tokens.Get() + aEvent.m_count.Get());
  AppendTokens(output.m_trail, *aEvent.m_version, aEvent.m_count);
  if (output.m_trail.size() != spans) {
    CancelStaleAttempts(*found);
  }
}

void StateMachine::On(const SampleFinished& aEvent)
{
  auto found = Find(aEvent.m_sample);
  if (!found) {
    ++m_metrics.m_duplicatesDropped;
    return;
  }
  if (FindAttempt(*found, aEvent.m_attempt) == nullptr) {
    const bool hasResult = found->m_sample->m_state != SampleState::Waiting &&
                           found->m_sample->m_state != SampleState::Generating;
    ++(hasResult ? m_metrics.m_duplicatesDropped : m_metrics.m_lateEvents);
    return;
  }
  FinishAttempt(*found, aEvent.m_attempt);
}

void StateMachine::FinishAttempt(SampleRef& aSample, AttemptNumber aNumber)
{
  Sample& sample = *aSample.m_sample;
  Attempt& attempt = *FindAttempt(aSample, aNumber);
  // Without a trail the version that generated the output is unknown.
  if (attempt.m_output.m_trail.empty()) {
    ++m_metrics.m_unknownVersion;
    DropAttempt(aSample, aNumber, false);
    if (sample.m_attempts.empty()) {
      Regenerate(aSample, true);
    }
    return;
  }
  Trainer& trainer = *aSample.m_trainer;
  trainer.m_estimate.RecordResult(
    m_now - sample.m_resultStarted.value_or(attempt.m_started),
    attempt.m_output.m_tokens.Get());
  const std::uint64_t generated =
    attempt.m_output.m_tokens.Get() - attempt.m_resumedTokens.Get();
  if (attempt.m_firstToken && generated > 1) {
    trainer.m_estimate.RecordTokenTimes(
      *attempt.m_firstToken - attempt.m_started,
      (m_now - *attempt.m_firstToken) / static_cast<std::int64_t>(generated));
  }
  Result result{ std::make_shared<const std::string>(
                   std::move(attempt.m_output.m_text)),
                 std::move(attempt.m_output.m_trail) };
  DropAttempt(aSample, aNumber, false);
  CancelAttempts(aSample);
  SetResult(aSample, std::move(result));
  AcceptResult(aSample);
}

void StateMachine::On(const SampleFailed& aEvent)
{
  auto found = Find(aEvent.m_sample);
  Attempt* const attempt =
    found ? FindAttempt(*found, aEvent.m_attempt) : nullptr;
  if (attempt == nullptr) {
    ++m_metrics.m_lateEvents;
    return;
  }
  ++m_metrics.m_attemptsFailed;
  const bool isComplete =
    attempt->m_output.m_tokens >= found->m_step->m_spec.m_maxTokens;
  if (isComplete && !attempt->m_output.m_trail.empty()) {
    FinishAttempt(*found, aEvent.m_attempt);
    return;
  }
  Sample& sample = *found->m_sample;
  const bool isLongest =
    !sample.m_partial ||
    attempt->m_output.m_tokens.Get() > sample.m_partial->m_tokens.Get();
  if (isLongest && !attempt->m_output.m_trail.empty()) {
    sample.m_partial = std::move(attempt->m_output);
  }
  DropAttempt(*found, aEvent.m_attempt, false);
  if (sample.m_attempts.empty()) {
    Regenerate(*found, true);
  }
}

void StateMachine::DropAttempt(SampleRef& aSample,
                               AttemptNumber aNumber,
                               bool aCancel)
{
  auto& attempts = aSample.m_sample->m_attempts;
  std::erase_if(attempts, [&](const Attempt& aAttempt) {
    return aAttempt.m_number == aNumber;
  });
  if (aCancel) {
    Emit(CancelSample{ { aSample.m_trainer->m_id,
                         aSample.m_key.m_step,
                         aSample.m_key.m_group,
                         aSample.m_key.m_index },
                       aNumber });
  }
}

void StateMachine::CancelAttempts(SampleRef& aSample)
{
  while (!aSample.m_sample->m_attempts.empty()) {
    DropAttempt(aSample, aSample.m_sample->m_attempts.back().m_number, true);
  }
}

void StateMachine::Regenerate(SampleRef& aSample, bool aDelayed)
{
  Sample& sample = *aSample.m_sample;
  CancelAttempts(aSample);
  ClearJudgeCalls(aSample);
  ClearResult(aSample);
  ++m_metrics.m_regenerated;
  sample.m_notBefore =
    aDelayed ? m_now + Backoff(sample.m_failures) : TimePoint{};
  sample.m_failures = aDelayed ? sample.m_failures + 1 : 0;
  sample.m_mitigations = 0;
  if (!sample.m_partial) {
    sample.m_resultStarted.reset();
  }
  SetState(aSample, SampleState::Waiting);
}

bool StateMachine::CanStartGroup(const Trainer& aTrainer, const SampleKey& aKey)
{
  if (aTrainer.m_undeliveredBytes <= m_policy.m_maxUndeliveredBytes.Get()) {
    return true;
  }
  // The undelivered outputs exceed the limit. A single group may still start if
  // no group is complete or in progress; otherwise the trainer would stall.
  const bool hasComplete = std::any_of(
    aTrainer.m_steps.begin(), aTrainer.m_steps.end(), [](const auto& aEntry) {
      return aEntry.second.m_completeGroups > 0;
    });
  const auto isStarted = [&](const SampleKey& aOther) {
    return aTrainer.m_steps.at(aOther.m_step)
      .m_groups[aOther.m_group.Get()]
      .m_started;
  };
  return !hasComplete && aTrainer.m_generating.empty() &&
         aTrainer.m_judging.empty() && aTrainer.m_delayed.empty() &&
         std::none_of(aTrainer.m_waiting.lower_bound(aKey),
                      aTrainer.m_waiting.end(),
                      isStarted);
}

bool StateMachine::ShouldDefer(Trainer& aTrainer, const ModelName& aModel)
{
  const auto publishing = m_publishing.find(aModel);
  // A trainer that waits for a batch publishes nothing until it receives one,
  // so deferring its work could stall it.
  if (!m_policy.m_deferStaleWork || !aTrainer.m_waitingRequests.empty() ||
      !aTrainer.m_estimate.HasResults() || publishing == m_publishing.end() ||
      !publishing->second.Interval()) {
    aTrainer.m_deferredSince.reset();
    return false;
  }
  const std::uint64_t expected = publishing->second.ExpectedPublications(
    m_now + aTrainer.m_estimate.DeliveryTime(), m_now);
  if (expected <= StalenessBound(aTrainer)) {
    aTrainer.m_deferredSince.reset();
    return false;
  }
  if (!aTrainer.m_deferredSince) {
    aTrainer.m_deferredSince = m_now;
    ++m_metrics.m_deferrals;
  }
  const auto interval =
    static_cast<double>(publishing->second.Interval()->count());
  const Duration limit(
    static_cast<Duration::rep>(m_policy.m_maxDeferralIntervals * interval));
  return m_now - *aTrainer.m_deferredSince < limit;
}

void StateMachine::StartWaitingSamples(Trainer& aTrainer, std::size_t aLimit)
{
  while (!aTrainer.m_delayed.empty() &&
         aTrainer.m_delayed.begin()->first <= m_now) {
    aTrainer.m_waiting.insert(aTrainer.m_delayed.begin()->second);
    aTrainer.m_delayed.erase(aTrainer.m_delayed.begin());
  }
  auto next = aTrainer.m_waiting.begin();
  while (next != aTrainer.m_waiting.end() &&
         aTrainer.m_generating.size() < aLimit) {
    const SampleKey key = *next;
    SampleRef found = At(aTrainer, key);
    if (ShouldDefer(aTrainer, found.m_step->m_spec.m_model)) {
      return;
    }
    if (!found.m_group->m_started && !CanStartGroup(aTrainer, key)) {
      next = aTrainer.m_waiting.lower_bound(
        { key.m_step, key.m_group.Next(), SampleIndex(0) });
      continue;
    }
    found.m_group->m_started = true;
    std::optional<Output> from;
    from.swap(found.m_sample->m_partial);
    StartAttempt(found, std::move(from), false);
    next = aTrainer.m_waiting.upper_bound(key);
  }
}

WeightVersion StateMachine::MinimumVersion(const Trainer& aTrainer,
                                           const ModelName& aModel) const
{
  const std::uint64_t newest = NewestVersion(aModel).Get();
  std::uint64_t expected = 0;
  // No publication is expected after two intervals without one, so a stuck
  // rollout does not exclude older versions for long.
  const auto publishing = m_publishing.find(aModel);
  if (m_policy.m_deferStaleWork && publishing != m_publishing.end() &&
      aTrainer.m_estimate.HasResults()) {
    expected = publishing->second.ExpectedPublications(
      m_now + aTrainer.m_estimate.DeliveryTime(), m_now);
  }
  const std::uint64_t allowed = StalenessBound(aTrainer);
  const std::uint64_t behind = allowed > expected ? allowed - expected : 0;
  return WeightVersion(newest > behind ? newest - behind : 0);
}

void StateMachine::StartAttempt(SampleRef& aSample,
                                std::optional<Output> aFrom,
                                bool aIsMitigation)
{
  Sample& sample = *aSample.m_sample;
  const StepSpec& spec = aSample.m_step->m_spec;
  if (aFrom && IsStale(*aSample.m_trainer, spec.m_model, aFrom->m_trail)) {
    aFrom.reset();
  }
  GenerateSample action;
  action.m_sample = { aSample.m_trainer->m_id,
                      aSample.m_key.m_step,
                      aSample.m_key.m_group,
                      aSample.m_key.m_index };
  action.m_attempt = NextAttempt();
  action.m_model = spec.m_model;
  action.m_prompt = aSample.m_group->m_prompt;
  action.m_maxTokens = spec.m_maxTokens;
  action.m_minimumVersion = MinimumVersion(*aSample.m_trainer, spec.m_model);
  for (const Attempt& other : sample.m_attempts) {
    action.m_avoid.push_back(other.m_number);
  }
  Attempt attempt;
  attempt.m_number = action.m_attempt;
  attempt.m_started = m_now;
  attempt.m_isMitigation = aIsMitigation;
  if (aFrom) {
    action.m_resume = Resume{ aFrom->m_text, aFrom->m_tokens };
    attempt.m_resumedTokens = aFrom->m_tokens;
    attempt.m_output = std::move(*aFrom);
  }
  sample.m_attempts.push_back(std::move(attempt));
  if (!sample.m_resultStarted) {
    sample.m_resultStarted = m_now;
  }
  SetState(aSample, SampleState::Generating);
  ++m_metrics.m_attempts;
  Emit(std::move(action));
}

void StateMachine::CancelStaleAttempts(SampleRef& aSample)
{
  Sample& sample = *aSample.m_sample;
  std::vector<AttemptNumber> stale;
  for (const Attempt& attempt : sample.m_attempts) {
    if (IsStale(*aSample.m_trainer,
                aSample.m_step->m_spec.m_model,
                attempt.m_output.m_trail)) {
      stale.push_back(attempt.m_number);
    }
  }
  for (const AttemptNumber number : stale) {
    ++m_metrics.m_cancelledStale;
    DropAttempt(aSample, number, true);
  }
  if (!stale.empty() && sample.m_attempts.empty()) {
    sample.m_partial.reset();
    Regenerate(aSample, false);
  }
}

void StateMachine::CancelStaleSamples(Trainer& aTrainer)
{
  for (auto& [number, step] : aTrainer.m_steps) {
    for (std::uint32_t group = 0; group < step.m_groups.size(); ++group) {
      const auto size =
        static_cast<std::uint32_t>(step.m_groups[group].m_samples.size());
      for (std::uint32_t index = 0; index < size; ++index) {
        SampleRef found =
          At(aTrainer, { number, GroupIndex(group), SampleIndex(index) });
        Sample& sample = *found.m_sample;
        if (sample.m_state == SampleState::Generating) {
          CancelStaleAttempts(found);
        } else if ((sample.m_state == SampleState::Judging ||
                    sample.m_state == SampleState::Ready) &&
                   IsStale(
                     aTrainer, step.m_spec.m_model, sample.m_result->m_trail)) {
          ++m_metrics.m_droppedStale;
          Regenerate(found, false);
        }
      }
    }
  }
}

} // namespace auburntrestle::rollout::internal
