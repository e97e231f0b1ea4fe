#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::rollout::internal {
namespace {

/** @return the claim key of a judge call. It depends only on the sample and its
 * text, so that every leader uses the same key for the same call. */
IdempotencyKey ClaimKey(const SampleId& aSample, const std::string& aText)
{
  return IdempotencyKey("judge/" + ToText(aSample) + "/" +
                        std::to_string(XXH64(aText.data(), aText.size(), 0)));
}

} // namespace

std::optional<ServiceName> StateMachine::JudgeOf(const SampleRef& aSample) const
{
  if (aSample.m_step->m_spec.m_judge) {
    return aSample.m_step->m_spec.m_judge;
  }
  const auto& settings = aSample.m_trainer->m_settings;
  return settings ? settings->m_judge : std::nullopt;
}

bool StateMachine::IsJudgeRepeatable(const Trainer& aTrainer) const
{
  return aTrainer.m_settings && aTrainer.m_settings->m_judgeRepeatable;
}

void StateMachine::AcceptResult(SampleRef& aSample)
{
  Sample& sample = *aSample.m_sample;
  sample.m_partial.reset();
  sample.m_failures = 0;
  if (IsStale(*aSample.m_trainer,
              aSample.m_step->m_spec.m_model,
              sample.m_result->m_trail)) {
    ++m_metrics.m_droppedStale;
    Regenerate(aSample, false);
    return;
  }
  sample.m_notBefore = TimePoint{};
  SetState(aSample,
           JudgeOf(aSample) ? SampleState::Judging : SampleState::Ready);
}

void StateMachine::ScheduleJudgeCalls(Trainer& aTrainer)
{
  const std::vector<SampleKey> queue(aTrainer.m_judgeQueue.begin(),
                                     aTrainer.m_judgeQueue.end());
  for (const SampleKey& key : queue) {
    if (aTrainer.m_judgeCallsInFlight >= m_policy.m_maxParallelJudgeCalls) {
      return;
    }
    SampleRef found = At(aTrainer, key);
    if (found.m_sample->m_notBefore <= m_now) {
      CallJudge(found);
    }
  }
}

void StateMachine::CallJudge(SampleRef& aSample)
{
  Sample& sample = *aSample.m_sample;
  const auto judge = JudgeOf(aSample);
  if (!judge) {
    SetScore(aSample, std::nullopt);
    return;
  }
  JudgeSample action;
  action.m_sample = { aSample.m_trainer->m_id,
                      aSample.m_key.m_step,
                      aSample.m_key.m_group,
                      aSample.m_key.m_index };
  action.m_attempt = NextAttempt();
  action.m_judge = *judge;
  action.m_prompt = aSample.m_group->m_prompt;
  action.m_text = sample.m_result->m_text;
  if (!IsJudgeRepeatable(*aSample.m_trainer)) {
    action.m_claim = ClaimKey(action.m_sample, *action.m_text);
  }
  aSample.m_trainer->m_judgeCallsInFlight +=
    sample.m_activeJudgeCalls.empty() ? 1 : 0;
  aSample.m_trainer->m_judgeQueue.erase(aSample.m_key);
  sample.m_activeJudgeCalls.push_back({ action.m_attempt, m_now });
  ++sample.m_judgeCalls;
  ++m_metrics.m_judgeCalls;
  Emit(std::move(action));
}

void StateMachine::CheckJudgeTimeouts(Trainer& aTrainer)
{
  const auto judging = aTrainer.m_judging;
  for (const SampleKey& key : judging) {
    SampleRef found = At(aTrainer, key);
    const Sample& sample = *found.m_sample;
    if (sample.m_activeJudgeCalls.empty() ||
        m_now - sample.m_activeJudgeCalls.back().m_started <
          m_policy.m_judgeTimeout) {
      continue;
    }
    ++m_metrics.m_judgeFailures;
    if (IsJudgeRepeatable(aTrainer) &&
        sample.m_judgeCalls < m_policy.m_maxJudgeCalls) {
      CallJudge(found);
    } else {
      ++m_metrics.m_unscoredSamples;
      SetScore(found, std::nullopt);
    }
  }
}

void StateMachine::On(const JudgeSucceeded& aEvent)
{
  auto found = Find(aEvent.m_sample);
  const auto isCall = [&](const JudgeCall& aCall) {
    return aCall.m_number == aEvent.m_attempt;
  };
  if (!found || std::none_of(found->m_sample->m_activeJudgeCalls.begin(),
                             found->m_sample->m_activeJudgeCalls.end(),
                             isCall)) {
    ++m_metrics.m_lateEvents;
    return;
  }
  if (std::isfinite(aEvent.m_score)) {
    SetScore(*found, aEvent.m_score);
  } else {
    ++m_metrics.m_unscoredSamples;
    SetScore(*found, std::nullopt);
  }
}

void StateMachine::On(const JudgeFailed& aEvent)
{
  auto found = Find(aEvent.m_sample);
  if (!found) {
    ++m_metrics.m_lateEvents;
    return;
  }
  Trainer& trainer = *found->m_trainer;
  Sample& sample = *found->m_sample;
  const auto removed =
    std::erase_if(sample.m_activeJudgeCalls, [&](const JudgeCall& aCall) {
      return aCall.m_number == aEvent.m_attempt;
    });
  if (removed == 0) {
    ++m_metrics.m_lateEvents;
    return;
  }
  ++m_metrics.m_judgeFailures;
  if (!sample.m_activeJudgeCalls.empty()) {
    return;
  }
  --trainer.m_judgeCallsInFlight;
  const bool notRun = std::holds_alternative<NotRunError>(aEvent.m_error);
  if (notRun) {
    // Judges may be unknown for a while after a start. A call that did not run
    // does not count towards the limit, so the sample keeps waiting for a
    // score.
    --sample.m_judgeCalls;
    ++sample.m_judgeCallsNotRun;
  }
  const bool mayRepeat =
    notRun || (IsJudgeRepeatable(trainer) &&
               sample.m_judgeCalls < m_policy.m_maxJudgeCalls);
  if (mayRepeat) {
    const auto failures = sample.m_judgeCalls + sample.m_judgeCallsNotRun;
    sample.m_notBefore = m_now + Backoff(failures - 1);
    trainer.m_judgeQueue.insert(found->m_key);
    return;
  }
  ++m_metrics.m_unscoredSamples;
  SetScore(*found, std::nullopt);
}

void StateMachine::SetScore(SampleRef& aSample, std::optional<double> aScore)
{
  ClearJudgeCalls(aSample);
  aSample.m_sample->m_score = aScore;
  aSample.m_sample->m_notBefore = TimePoint{};
  SetState(aSample, SampleState::Ready);
}

void StateMachine::ClearJudgeCalls(SampleRef& aSample)
{
  if (!aSample.m_sample->m_activeJudgeCalls.empty()) {
    --aSample.m_trainer->m_judgeCallsInFlight;
    aSample.m_sample->m_activeJudgeCalls.clear();
  }
}

} // namespace auburntrestle::rollout::internal
