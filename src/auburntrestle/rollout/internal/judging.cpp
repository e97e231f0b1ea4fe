#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::rollout::internal {
namespace {

/** The key depends on nothing but the sample and its text, so that every
 * leader claims one call by the same key. */
IdempotencyKey ClaimKey(const SampleId& aSample, const std::string& aText)
{
  return IdempotencyKey("judge/" + ToText(aSample) + "/" +
                        std::to_string(XXH64(aText.data(), aText.size(), 0)));
}

} // namespace

std::optional<ServiceName> StateMachine::JudgeOf(const Found& aFound) const
{
  if (aFound.m_step->m_spec.m_judge) {
    return aFound.m_step->m_spec.m_judge;
  }
  const auto& settings = aFound.m_trainer->m_settings;
  return settings ? settings->m_judge : std::nullopt;
}

bool StateMachine::IsRepeatable(const Trainer& aTrainer) const
{
  return aTrainer.m_settings && aTrainer.m_settings->m_judgeRepeatable;
}

void StateMachine::Accept(Found& aFound)
{
  Sample& sample = *aFound.m_sample;
  sample.m_partial.reset();
  sample.m_failures = 0;
  if (IsStale(*aFound.m_trainer,
              aFound.m_step->m_spec.m_model,
              sample.m_result->m_trail)) {
    ++m_metrics.m_droppedStale;
    Regenerate(aFound, false);
    return;
  }
  sample.m_notBefore = TimePoint{};
  SetState(aFound, JudgeOf(aFound) ? SampleState::Judging : SampleState::Ready);
}

void StateMachine::ScheduleJudgements(Trainer& aTrainer)
{
  const std::vector<SampleKey> queue(aTrainer.m_judgeQueue.begin(),
                                     aTrainer.m_judgeQueue.end());
  for (const SampleKey& key : queue) {
    if (aTrainer.m_judgeCallsInFlight >= m_policy.m_maxParallelJudgements) {
      return;
    }
    Found found = At(aTrainer, key);
    if (found.m_sample->m_notBefore <= m_now) {
      CallJudge(found);
    }
  }
}

void StateMachine::CallJudge(Found& aFound)
{
  Sample& sample = *aFound.m_sample;
  const auto judge = JudgeOf(aFound);
  if (!judge) {
    Score(aFound, std::nullopt);
    return;
  }
  JudgeSample action;
  action.m_sample = { aFound.m_trainer->m_id,
                      aFound.m_key.m_step,
                      aFound.m_key.m_group,
                      aFound.m_key.m_index };
  action.m_attempt = NextAttempt();
  action.m_judge = *judge;
  action.m_prompt = aFound.m_group->m_prompt;
  action.m_text = sample.m_result->m_text;
  if (!IsRepeatable(*aFound.m_trainer)) {
    action.m_claim = ClaimKey(action.m_sample, *action.m_text);
  }
  aFound.m_trainer->m_judgeCallsInFlight += sample.m_judgements.empty() ? 1 : 0;
  aFound.m_trainer->m_judgeQueue.erase(aFound.m_key);
  sample.m_judgements.push_back({ action.m_attempt, m_now });
  ++sample.m_judgeCalls;
  ++m_metrics.m_judgeCalls;
  Emit(std::move(action));
}

void StateMachine::CheckJudgeTimeouts(Trainer& aTrainer)
{
  const auto judging = aTrainer.m_judging;
  for (const SampleKey& key : judging) {
    Found found = At(aTrainer, key);
    const Sample& sample = *found.m_sample;
    if (sample.m_judgements.empty() ||
        m_now - sample.m_judgements.back().m_started <
          m_policy.m_judgeTimeout) {
      continue;
    }
    ++m_metrics.m_judgeFailures;
    if (IsRepeatable(aTrainer) &&
        sample.m_judgeCalls < m_policy.m_maxJudgeCalls) {
      CallJudge(found);
    } else {
      ++m_metrics.m_judgeGivenUp;
      Score(found, std::nullopt);
    }
  }
}

void StateMachine::On(const JudgeAnswered& aEvent)
{
  auto found = Find(aEvent.m_sample);
  const auto isCall = [&](const Judgement& aCall) {
    return aCall.m_number == aEvent.m_attempt;
  };
  if (!found || std::none_of(found->m_sample->m_judgements.begin(),
                             found->m_sample->m_judgements.end(),
                             isCall)) {
    ++m_metrics.m_lateEvents;
    return;
  }
  if (std::isfinite(aEvent.m_score)) {
    Score(*found, aEvent.m_score);
  } else {
    ++m_metrics.m_judgeGivenUp;
    Score(*found, std::nullopt);
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
    std::erase_if(sample.m_judgements, [&](const Judgement& aCall) {
      return aCall.m_number == aEvent.m_attempt;
    });
  if (removed == 0) {
    ++m_metrics.m_lateEvents;
    return;
  }
  ++m_metrics.m_judgeFailures;
  if (!sample.m_judgements.empty()) {
    return;
  }
  --trainer.m_judgeCallsInFlight;
  const bool notRun = std::holds_alternative<NotRunError>(aEvent.m_error);
  if (notRun) {
    // Judges may be unknown for a while after a start. A call that did not run
    // uses up nothing, so the sample waits for its score.
    --sample.m_judgeCalls;
    ++sample.m_judgeRefusals;
  }
  const bool mayRepeat =
    notRun ||
    (IsRepeatable(trainer) && sample.m_judgeCalls < m_policy.m_maxJudgeCalls);
  if (mayRepeat) {
    const auto failures = sample.m_judgeCalls + sample.m_judgeRefusals;
    sample.m_notBefore = m_now + Backoff(failures - 1);
    trainer.m_judgeQueue.insert(found->m_key);
    return;
  }
  ++m_metrics.m_judgeGivenUp;
  Score(*found, std::nullopt);
}

void StateMachine::Score(Found& aFound, std::optional<double> aScore)
{
  EndJudgements(aFound);
  aFound.m_sample->m_score = aScore;
  aFound.m_sample->m_notBefore = TimePoint{};
  SetState(aFound, SampleState::Ready);
}

void StateMachine::EndJudgements(Found& aFound)
{
  if (!aFound.m_sample->m_judgements.empty()) {
    --aFound.m_trainer->m_judgeCallsInFlight;
    aFound.m_sample->m_judgements.clear();
  }
}

} // namespace auburntrestle::rollout::internal
