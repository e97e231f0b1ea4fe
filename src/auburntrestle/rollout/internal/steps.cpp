#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::rollout::internal {

std::optional<ErrorCode> StateMachine::CheckStep(const Trainer& aTrainer,
                                                 const StepSpec& aSpec) const
{
  if (aSpec.m_model != aTrainer.m_settings->m_model) {
    return ErrorCode::UnknownModel;
  }
  if (aSpec.m_groups.empty() || aSpec.m_maxTokens.Get() == 0) {
    return ErrorCode::BadRequest;
  }
  std::uint64_t bytes = 0;
  std::uint64_t samples = 0;
  for (const GroupSpec& group : aSpec.m_groups) {
    if (group.m_samples == 0) {
      return ErrorCode::BadRequest;
    }
    bytes += group.m_prompt.size();
    samples += group.m_samples;
  }
  if (bytes > m_policy.m_maxStepBytes.Get() ||
      samples > m_policy.m_maxStepSamples) {
    return ErrorCode::BodyTooLarge;
  }
  // Sample ids are never used twice, so a step number cannot be either.
  const bool isOld = aSpec.m_step <= aTrainer.m_lastStep;
  const bool isBelowProposed =
    !aTrainer.m_proposedSteps.empty() &&
    aSpec.m_step <= aTrainer.m_proposedSteps.rbegin()->first;
  if (isOld || isBelowProposed) {
    return ErrorCode::Conflict;
  }
  if (aTrainer.m_steps.size() + aTrainer.m_proposedSteps.size() >=
      aTrainer.m_settings->m_maxOutstandingSteps) {
    return ErrorCode::Overloaded;
  }
  return std::nullopt;
}

void StateMachine::On(const StepRequested& aEvent)
{
  const auto refuse = [&](ErrorCode aCode) {
    ++m_metrics.m_stepsRefused;
    Emit(RefuseStep{ aEvent.m_request, NotRun(aCode) });
  };
  if (!m_leading) {
    return refuse(ErrorCode::NotReady);
  }
  Trainer* const trainer = FindTrainer(aEvent.m_spec.m_trainer);
  if (trainer == nullptr || !trainer->m_settings) {
    return refuse(ErrorCode::NotFound);
  }
  const StepNumber number = aEvent.m_spec.m_step;
  if (const auto open = trainer->m_steps.find(number);
      open != trainer->m_steps.end() && open->second.m_spec == aEvent.m_spec) {
    Emit(ConfirmStep{ aEvent.m_request });
    return;
  }
  if (const auto proposed = trainer->m_proposedSteps.find(number);
      proposed != trainer->m_proposedSteps.end() &&
      proposed->second.m_spec == aEvent.m_spec) {
    proposed->second.m_requests.push_back(aEvent.m_request);
    return;
  }
  if (const auto error = CheckStep(*trainer, aEvent.m_spec)) {
    return refuse(*error);
  }
  trainer->m_proposedSteps.emplace(
    number, ProposedStep{ aEvent.m_spec, { aEvent.m_request } });
  Emit(ProposeOpenStep{ aEvent.m_spec });
}

void StateMachine::On(const StepOpened& aEvent)
{
  if (!m_leading) {
    return;
  }
  Trainer& trainer = GetTrainer(aEvent.m_spec.m_trainer);
  const StepNumber number = aEvent.m_spec.m_step;
  if (number > trainer.m_lastStep) {
    AddStep(trainer, aEvent.m_spec);
  }
  const auto proposed = trainer.m_proposedSteps.find(number);
  if (proposed == trainer.m_proposedSteps.end()) {
    return;
  }
  const bool isSame = proposed->second.m_spec == aEvent.m_spec;
  for (const RequestId request : proposed->second.m_requests) {
    if (isSame) {
      Emit(ConfirmStep{ request });
    } else {
      Emit(RefuseStep{ request, NotRun(ErrorCode::Conflict) });
    }
  }
  trainer.m_proposedSteps.erase(proposed);
}

void StateMachine::On(const StepOpenRefused& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr) {
    return;
  }
  const auto proposed = trainer->m_proposedSteps.find(aEvent.m_step);
  if (proposed == trainer->m_proposedSteps.end()) {
    return;
  }
  for (const RequestId request : proposed->second.m_requests) {
    ++m_metrics.m_stepsRefused;
    Emit(RefuseStep{ request, aEvent.m_error });
  }
  trainer->m_proposedSteps.erase(proposed);
}

void StateMachine::AddStep(Trainer& aTrainer, const StepSpec& aSpec)
{
  aTrainer.m_lastStep = std::max(aTrainer.m_lastStep, aSpec.m_step);
  Step step;
  step.m_spec = aSpec;
  step.m_openGroups = aSpec.m_groups.size();
  for (std::uint32_t index = 0; index < aSpec.m_groups.size(); ++index) {
    const GroupSpec& spec = aSpec.m_groups[index];
    Group group;
    group.m_prompt = std::make_shared<const std::string>(spec.m_prompt);
    group.m_samples.resize(spec.m_samples);
    step.m_undelivered += spec.m_samples;
    step.m_groups.push_back(std::move(group));
    for (std::uint32_t sample = 0; sample < spec.m_samples; ++sample) {
      aTrainer.m_waiting.insert(
        { aSpec.m_step, GroupIndex(index), SampleIndex(sample) });
    }
  }
  aTrainer.m_steps.emplace(aSpec.m_step, std::move(step));
}

void StateMachine::MarkDelivered(Trainer& aTrainer,
                                 const std::vector<SampleId>& aSamples)
{
  std::set<StepNumber> touched;
  for (const SampleId& id : aSamples) {
    auto found = Find(id);
    if (!found || found->m_sample->m_state == SampleState::Delivered) {
      continue;
    }
    ClearResult(*found);
    SetState(*found, SampleState::Delivered);
    --found->m_step->m_undelivered;
    touched.insert(id.m_step);
  }
  for (const StepNumber number : touched) {
    const auto step = aTrainer.m_steps.find(number);
    if (step != aTrainer.m_steps.end() && step->second.m_undelivered == 0) {
      aTrainer.m_steps.erase(step);
    }
  }
}

} // namespace auburntrestle::rollout::internal
