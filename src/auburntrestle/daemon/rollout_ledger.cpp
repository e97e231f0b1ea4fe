#include "auburntrestle/daemon/rollout_ledger.hpp"

#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/pack.hpp"
#include "auburntrestle/settings/digest.hpp"

#include <set>

namespace auburntrestle::protocol {

void Fields(auto& aArchive, MaybeConst<rollout::GroupSpec> auto& aValue)
{
  aArchive(aValue.m_prompt, aValue.m_samples);
}

void Fields(auto& aArchive, MaybeConst<rollout::StepSpec> auto& aValue)
{
  aArchive(aValue.m_trainer,
           aValue.m_step,
           aValue.m_model,
           aValue.m_maxTokens,
           aValue.m_groups,
           aValue.m_judge);
}

} // namespace auburntrestle::protocol

namespace auburntrestle::daemon {

namespace internal {

rollout::SampleId ToSampleId(const TrainerId& aTrainer,
                             const ledger::SampleRef& aSample)
{
  return rollout::SampleId{
    aTrainer, aSample.m_step, aSample.m_group, aSample.m_index
  };
}

/** Lists the samples of a step that are neither free nor outstanding. */
void ListDelivered(const TrainerId& aTrainer,
                   const ledger::StepView& aStep,
                   const std::set<ledger::SampleRef>& aOutstanding,
                   std::vector<rollout::SampleId>& aDelivered)
{
  const std::set<ledger::SampleRef> free(aStep.m_free.begin(),
                                         aStep.m_free.end());
  for (std::uint32_t group = 0; group < aStep.m_groupSizes.size(); ++group) {
    for (std::uint32_t index = 0; index < aStep.m_groupSizes[group]; ++index) {
      const ledger::SampleRef sample{ aStep.m_step,
                                      GroupIndex(group),
                                      SampleIndex(index) };
      if (!free.contains(sample) && !aOutstanding.contains(sample)) {
        aDelivered.push_back(ToSampleId(aTrainer, sample));
      }
    }
  }
}

rollout::RestoredBatch ReadBatch(const TrainerId& aTrainer,
                                 const ledger::TrainerView& aView)
{
  rollout::RestoredBatch batch;
  batch.m_trainer = aTrainer;
  batch.m_cursor = aView.m_lastCursor;
  if (!aView.m_outstanding) {
    batch.m_state = aView.m_lastDiscarded ? rollout::BatchState::Discarded
                                          : rollout::BatchState::Acknowledged;
    return batch;
  }
  batch.m_state = rollout::BatchState::Fixed;
  for (const auto& sample : aView.m_outstanding->m_samples) {
    batch.m_samples.push_back(ToSampleId(aTrainer, sample));
  }
  batch.m_payload =
    std::make_shared<const std::string>(aView.m_outstanding->m_payload);
  return batch;
}

void ReadTrainer(const TrainerId& aTrainer,
                 const ledger::TrainerView& aView,
                 rollout::LedgerStateRestored& aRestored)
{
  aRestored.m_lastSteps[aTrainer] = aView.m_lastStep;
  std::set<ledger::SampleRef> outstanding;
  if (aView.m_outstanding) {
    outstanding.insert(aView.m_outstanding->m_samples.begin(),
                       aView.m_outstanding->m_samples.end());
  }
  if (aView.m_lastCursor.Get() > 0) {
    aRestored.m_batches.push_back(ReadBatch(aTrainer, aView));
  }
  for (const auto& step : aView.m_openSteps) {
    auto spec = protocol::Unpack<rollout::StepSpec>(step.m_payload);
    if (!spec) {
      observe::LogLine(observe::LogLevel::Error, "step_unreadable")
        .Add("trainer", aTrainer)
        .Add("step", step.m_step);
      continue;
    }
    aRestored.m_steps.push_back(std::move(*spec));
    ListDelivered(aTrainer, step, outstanding, aRestored.m_delivered);
  }
}

} // namespace internal

ledger::SampleRef ToSampleRef(const rollout::SampleId& aSample)
{
  return ledger::SampleRef{ aSample.m_step, aSample.m_group, aSample.m_index };
}

ledger::OpenStep MakeOpenStep(const rollout::StepSpec& aSpec)
{
  ledger::OpenStep command;
  command.m_trainer = aSpec.m_trainer;
  command.m_step = aSpec.m_step;
  command.m_payload = protocol::Pack(aSpec);
  command.m_digest = settings::DigestOf(command.m_payload);
  for (const auto& group : aSpec.m_groups) {
    command.m_groupSizes.push_back(group.m_samples);
  }
  return command;
}

rollout::LedgerStateRestored ReadRestored(const ledger::StateMachine& aState)
{
  rollout::LedgerStateRestored restored;
  restored.m_versions = aState.Versions();
  for (const auto& trainer : aState.Trainers()) {
    if (const auto view = aState.Trainer(trainer)) {
      internal::ReadTrainer(trainer, *view, restored);
    }
  }
  return restored;
}

} // namespace auburntrestle::daemon
