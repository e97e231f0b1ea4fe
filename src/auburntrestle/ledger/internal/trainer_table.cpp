#include "auburntrestle/ledger/internal/trainer_table.hpp"

#include "auburntrestle/ledger/internal/check.hpp"

#include <algorithm>
#include <set>

namespace auburntrestle::ledger::internal {

namespace {

constexpr char kFree = static_cast<char>(SampleState::Free);
constexpr char kFixed = static_cast<char>(SampleState::Fixed);
constexpr char kDelivered = static_cast<char>(SampleState::Delivered);

std::optional<std::size_t> CountSamples(
  const std::vector<std::uint32_t>& aGroupSizes,
  const Limits& aLimits)
{
  std::size_t count = 0;
  for (const std::uint32_t size : aGroupSizes) {
    if (size == 0 || size > aLimits.m_stepSamples) {
      return std::nullopt;
    }
    count += size;
    if (count > aLimits.m_stepSamples) {
      return std::nullopt;
    }
  }
  return count == 0 ? std::nullopt : std::optional(count);
}

Result ResultForKnownStep(const OpenStep& aCommand,
                          const Digest& aDigest,
                          LogIndex aOpenedAt)
{
  if (aDigest != aCommand.m_digest) {
    return Refuse(
      RefusalKind::StepConflict, aCommand.m_step.Get(), aDigest.Get());
  }
  return StepOpened{ aCommand.m_step, aOpenedAt };
}

/** @return the result for a step that was opened before, if it was. */
std::optional<Result> FindKnownStep(const OpenStep& aCommand,
                                    const TrainerState& aTrainer)
{
  const auto open = aTrainer.m_open.find(aCommand.m_step);
  if (open != aTrainer.m_open.end()) {
    return ResultForKnownStep(
      aCommand, open->second.m_digest, open->second.m_openedAt);
  }
  const auto closed = aTrainer.m_closed.find(aCommand.m_step);
  if (closed != aTrainer.m_closed.end()) {
    return ResultForKnownStep(
      aCommand, closed->second.m_digest, closed->second.m_openedAt);
  }
  if (aCommand.m_step < aTrainer.m_firstKnownStep) {
    return Refuse(RefusalKind::StepForgotten, aTrainer.m_firstKnownStep.Get());
  }
  return std::nullopt;
}

/** @return why samples cannot be fixed, or nothing if they can. */
std::optional<RefusalKind> CheckSamples(const std::vector<SampleRef>& aSamples,
                                        const TrainerState& aTrainer)
{
  std::set<SampleRef> unique;
  for (const SampleRef& sample : aSamples) {
    const auto step = aTrainer.m_open.find(sample.m_step);
    if (step == aTrainer.m_open.end()) {
      return aTrainer.m_closed.contains(sample.m_step)
               ? RefusalKind::SampleTaken
               : RefusalKind::UnknownStep;
    }
    const auto offset = SampleOffset(step->second, sample);
    if (!offset) {
      return RefusalKind::UnknownSample;
    }
    if (step->second.m_samples[*offset] != kFree ||
        !unique.insert(sample).second) {
      return RefusalKind::SampleTaken;
    }
  }
  return std::nullopt;
}

void MarkSamples(const std::vector<SampleRef>& aSamples,
                 char aState,
                 TrainerState& aTrainer)
{
  for (const SampleRef& sample : aSamples) {
    OpenStepState& step = aTrainer.m_open.at(sample.m_step);
    step.m_samples[*SampleOffset(step, sample)] = aState;
  }
}

} // namespace

std::optional<std::size_t> SampleOffset(const OpenStepState& aStep,
                                        const SampleRef& aSample)
{
  const std::size_t group = aSample.m_group.Get();
  if (group >= aStep.m_groupSizes.size() ||
      aSample.m_index.Get() >= aStep.m_groupSizes[group]) {
    return std::nullopt;
  }
  std::size_t offset = aSample.m_index.Get();
  for (std::size_t i = 0; i < group; ++i) {
    offset += aStep.m_groupSizes[i];
  }
  return offset;
}

void TrainerTable::Rebuild(const State& aState)
{
  m_payloadBytes = 0;
  for (const auto& [id, trainer] : aState.m_trainers) {
    for (const auto& [number, step] : trainer.m_open) {
      m_payloadBytes += step.m_payload.size();
    }
    if (trainer.m_outstanding) {
      m_payloadBytes += trainer.m_outstanding->m_payload.size();
    }
  }
}

Result TrainerTable::Apply(const OpenStep& aCommand,
                           LogIndex aIndex,
                           State& aState,
                           const Limits& aLimits)
{
  const auto count = CountSamples(aCommand.m_groupSizes, aLimits);
  if (!IsValidName(aCommand.m_trainer.Get(), aLimits) ||
      !IsValidName(aCommand.m_digest.Get(), aLimits) || !count) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  const auto known = aState.m_trainers.find(aCommand.m_trainer);
  if (known != aState.m_trainers.end()) {
    if (auto result = FindKnownStep(aCommand, known->second)) {
      return std::move(*result);
    }
    if (known->second.m_open.size() >= aLimits.m_openSteps) {
      return Refuse(RefusalKind::LimitReached, aLimits.m_openSteps);
    }
  } else if (aState.m_trainers.size() >= aLimits.m_trainers) {
    return Refuse(RefusalKind::LimitReached, aLimits.m_trainers);
  }
  if (aCommand.m_payload.size() > aLimits.m_stepPayloadBytes) {
    return Refuse(RefusalKind::PayloadTooLarge, aLimits.m_stepPayloadBytes);
  }
  if (m_payloadBytes + aCommand.m_payload.size() >
      aLimits.m_payloadTotalBytes) {
    return Refuse(RefusalKind::StoreFull, aLimits.m_payloadTotalBytes);
  }
  m_payloadBytes += aCommand.m_payload.size();
  aState.m_trainers[aCommand.m_trainer].m_open.emplace(
    aCommand.m_step,
    OpenStepState{ aCommand.m_digest,
                   aIndex,
                   aCommand.m_groupSizes,
                   std::string(*count, kFree),
                   aCommand.m_payload });
  return StepOpened{ aCommand.m_step, aIndex };
}

void TrainerTable::CloseStep(TrainerState& aTrainer,
                             StepNumber aStep,
                             const Limits& aLimits)
{
  const auto open = aTrainer.m_open.find(aStep);
  m_payloadBytes -= open->second.m_payload.size();
  aTrainer.m_closed.emplace(
    aStep,
    ClosedStep{ std::move(open->second.m_digest), open->second.m_openedAt });
  aTrainer.m_open.erase(open);
  while (aTrainer.m_closed.size() > aLimits.m_closedSteps) {
    aTrainer.m_firstKnownStep = std::max(
      aTrainer.m_firstKnownStep, aTrainer.m_closed.begin()->first.Next());
    aTrainer.m_closed.erase(aTrainer.m_closed.begin());
  }
}

Result TrainerTable::Apply(const AbandonStep& aCommand,
                           State& aState,
                           const Limits& aLimits)
{
  const auto known = aState.m_trainers.find(aCommand.m_trainer);
  if (known == aState.m_trainers.end()) {
    return Refuse(RefusalKind::UnknownStep);
  }
  TrainerState& trainer = known->second;
  const auto open = trainer.m_open.find(aCommand.m_step);
  if (open == trainer.m_open.end()) {
    const bool closed = trainer.m_closed.contains(aCommand.m_step) ||
                        aCommand.m_step < trainer.m_firstKnownStep;
    if (closed) {
      return Done{};
    }
    return Refuse(RefusalKind::UnknownStep);
  }
  if (open->second.m_samples.find(kFixed) != std::string::npos) {
    return Refuse(RefusalKind::StepInDelivery, trainer.m_lastCursor.Get());
  }
  CloseStep(trainer, aCommand.m_step, aLimits);
  return Done{};
}

Result TrainerTable::Apply(const PublishVersion& aCommand,
                           State& aState,
                           const Limits& aLimits)
{
  if (!IsValidName(aCommand.m_trainer.Get(), aLimits) ||
      !IsValidName(aCommand.m_model.Get(), aLimits)) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  const auto known = aState.m_models.find(aCommand.m_model);
  if (known == aState.m_models.end()) {
    if (aState.m_models.size() >= aLimits.m_models) {
      return Refuse(RefusalKind::LimitReached, aLimits.m_models);
    }
  } else if (aCommand.m_version < known->second.m_newest) {
    return Refuse(RefusalKind::VersionWentBack, known->second.m_newest.Get());
  }
  aState.m_models[aCommand.m_model] =
    ModelState{ aCommand.m_trainer, aCommand.m_version };
  return VersionPublished{ aCommand.m_version };
}

Result TrainerTable::Apply(const FixBatch& aCommand,
                           LogIndex aIndex,
                           Term aTerm,
                           State& aState,
                           const Limits& aLimits)
{
  if (aCommand.m_term != aTerm) {
    return Refuse(RefusalKind::NotCoordinator, aTerm.Get());
  }
  if (aCommand.m_samples.empty()) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  const auto known = aState.m_trainers.find(aCommand.m_trainer);
  if (known == aState.m_trainers.end()) {
    return Refuse(RefusalKind::UnknownStep);
  }
  TrainerState& trainer = known->second;
  const Cursor next = trainer.m_lastCursor.Next();
  if (aCommand.m_cursor == trainer.m_lastCursor && trainer.m_outstanding) {
    const OutstandingBatch& fixed = *trainer.m_outstanding;
    if (fixed.m_samples != aCommand.m_samples ||
        fixed.m_payload != aCommand.m_payload) {
      return Refuse(RefusalKind::CursorTaken, next.Get());
    }
    return BatchFixed{ aCommand.m_cursor, fixed.m_fixedAt };
  }
  if (aCommand.m_cursor != next) {
    return Refuse(RefusalKind::CursorNotNext, next.Get());
  }
  if (trainer.m_outstanding) {
    return Refuse(RefusalKind::BatchOutstanding, trainer.m_lastCursor.Get());
  }
  if (const auto fault = CheckSamples(aCommand.m_samples, trainer)) {
    return Refuse(*fault);
  }
  if (aCommand.m_payload.size() > aLimits.m_batchPayloadBytes) {
    return Refuse(RefusalKind::PayloadTooLarge, aLimits.m_batchPayloadBytes);
  }
  if (m_payloadBytes + aCommand.m_payload.size() >
      aLimits.m_payloadTotalBytes) {
    return Refuse(RefusalKind::StoreFull, aLimits.m_payloadTotalBytes);
  }
  m_payloadBytes += aCommand.m_payload.size();
  MarkSamples(aCommand.m_samples, kFixed, trainer);
  trainer.m_lastCursor = next;
  trainer.m_outstanding =
    OutstandingBatch{ aCommand.m_samples, aCommand.m_payload, aIndex };
  return BatchFixed{ next, aIndex };
}

Result TrainerTable::CloseBatch(const TrainerId& aTrainer,
                                Cursor aCursor,
                                Closing aClosing,
                                State& aState,
                                const Limits& aLimits)
{
  const bool discard = aClosing == Closing::Discarded;
  const auto known = aState.m_trainers.find(aTrainer);
  if (known == aState.m_trainers.end()) {
    return Refuse(RefusalKind::UnknownCursor);
  }
  TrainerState& trainer = known->second;
  const auto closed = trainer.m_closedCursors.find(aCursor);
  if (closed != trainer.m_closedCursors.end()) {
    if (closed->second == discard) {
      return Done{};
    }
    return Refuse(closed->second ? RefusalKind::BatchDiscarded
                                 : RefusalKind::BatchAcknowledged,
                  trainer.m_lastCursor.Get());
  }
  if (!trainer.m_outstanding || aCursor != trainer.m_lastCursor) {
    return Refuse(RefusalKind::UnknownCursor, trainer.m_lastCursor.Get());
  }
  const std::vector<SampleRef> samples =
    std::move(trainer.m_outstanding->m_samples);
  m_payloadBytes -= trainer.m_outstanding->m_payload.size();
  trainer.m_outstanding.reset();
  trainer.m_closedCursors.emplace(aCursor, discard);
  if (trainer.m_closedCursors.size() > aLimits.m_closedCursors) {
    trainer.m_closedCursors.erase(trainer.m_closedCursors.begin());
  }
  MarkSamples(samples, discard ? kFree : kDelivered, trainer);
  std::set<StepNumber> steps;
  for (const SampleRef& sample : samples) {
    steps.insert(sample.m_step);
  }
  for (const StepNumber step : steps) {
    const std::string& states = trainer.m_open.at(step).m_samples;
    if (states.find_first_not_of(kDelivered) == std::string::npos) {
      CloseStep(trainer, step, aLimits);
    }
  }
  return Done{};
}

Result TrainerTable::Apply(const AcknowledgeBatch& aCommand,
                           State& aState,
                           const Limits& aLimits)
{
  return CloseBatch(aCommand.m_trainer,
                    aCommand.m_cursor,
                    Closing::Acknowledged,
                    aState,
                    aLimits);
}

Result TrainerTable::Apply(const DiscardBatch& aCommand,
                           State& aState,
                           const Limits& aLimits)
{
  return CloseBatch(
    aCommand.m_trainer, aCommand.m_cursor, Closing::Discarded, aState, aLimits);
}

} // namespace auburntrestle::ledger::internal
