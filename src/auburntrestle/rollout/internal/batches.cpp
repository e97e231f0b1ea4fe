#include "auburntrestle/rollout/batch.hpp"
#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace auburntrestle::rollout::internal {
namespace {

using GroupsOfSteps = std::map<StepNumber, std::set<GroupIndex>>;

GroupsOfSteps GroupsOf(const std::vector<SampleId>& aSamples)
{
  GroupsOfSteps groups;
  for (const SampleId& sample : aSamples) {
    groups[sample.m_step].insert(sample.m_group);
  }
  return groups;
}

} // namespace

void StateMachine::On(const BatchRequested& aEvent)
{
  if (!m_leading) {
    Emit(RefuseBatch{
      aEvent.m_request, NotRun(ErrorCode::NotReady), {}, std::nullopt });
    return;
  }
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_settings) {
    Emit(RefuseBatch{
      aEvent.m_request, NotRun(ErrorCode::NotFound), {}, std::nullopt });
    return;
  }
  // Schedule serves the request after this event.
  trainer->m_waitingRequests.push_back(
    { aEvent.m_request, aEvent.m_cursor, aEvent.m_waitUntil });
}

void StateMachine::On(const BatchRequestCancelled& aEvent)
{
  for (auto& [id, trainer] : m_trainers) {
    std::erase_if(trainer.m_waitingRequests,
                  [&](const WaitingRequest& aRequest) {
                    return aRequest.m_request == aEvent.m_request;
                  });
  }
}

void StateMachine::ServeRequests(Trainer& aTrainer)
{
  const auto requests = std::exchange(aTrainer.m_waitingRequests, {});
  for (const WaitingRequest& request : requests) {
    if (!ServeRequest(aTrainer, request)) {
      aTrainer.m_waitingRequests.push_back(request);
    }
  }
}

bool StateMachine::ServeRequest(Trainer& aTrainer,
                                const WaitingRequest& aRequest)
{
  const auto refuse = [&](ErrorCode aCode) {
    RefuseBatchRequest(aTrainer, aRequest.m_request, aCode);
    return true;
  };
  const Cursor cursor = aRequest.m_cursor;
  if (cursor == Cursor(0)) {
    return refuse(ErrorCode::BadRequest);
  }
  if (cursor == aTrainer.m_lastDiscarded) {
    RefuseBatchRequest(aTrainer,
                       aRequest.m_request,
                       ErrorCode::BatchExpired,
                       aTrainer.m_lastDiscardedSamples);
    return true;
  }
  if (cursor > HighestCursor(aTrainer) || cursor <= aTrainer.m_closedCursor) {
    return refuse(ErrorCode::Conflict);
  }
  if (!aTrainer.m_fixed || cursor != aTrainer.m_fixed->m_cursor) {
    return AdvanceCursor(aTrainer, aRequest);
  }
  if (aTrainer.m_acknowledging) {
    return refuse(ErrorCode::Conflict);
  }
  SendFixedBatch(aTrainer, aRequest.m_request);
  return true;
}

bool StateMachine::AdvanceCursor(Trainer& aTrainer,
                                 const WaitingRequest& aRequest)
{
  const auto isProposing = [&] {
    return aTrainer.m_proposed || aTrainer.m_acknowledging ||
           aTrainer.m_discarding;
  };
  if (!isProposing() && m_now >= aTrainer.m_nextProposal) {
    if (aTrainer.m_fixed) {
      aTrainer.m_acknowledging = true;
      Emit(ProposeAcknowledge{ aTrainer.m_id, aTrainer.m_fixed->m_cursor });
    } else {
      ProposeBatch(aTrainer);
    }
  }
  // A proposal in flight ends soon, by the ledger's result or by the loss of
  // leadership, so the request waits for it even past its time.
  if (isProposing() || m_now < aRequest.m_waitUntil) {
    return false;
  }
  Emit(SendNoBatch{ aRequest.m_request });
  return true;
}

Cursor StateMachine::HighestCursor(const Trainer& aTrainer)
{
  if (aTrainer.m_fixed) {
    return aTrainer.m_fixed->m_cursor.Next();
  }
  return aTrainer.m_closedCursor.Next();
}

bool StateMachine::HasExpired(const Trainer& aTrainer,
                              const PendingBatch& aBatch) const
{
  if (aBatch.m_oldest.size() != aBatch.m_samples.size()) {
    return true;
  }
  const WeightVersion newest = NewestVersion(aBatch.m_model);
  return std::any_of(
    aBatch.m_oldest.begin(), aBatch.m_oldest.end(), [&](WeightVersion aOldest) {
      return Staleness(newest, aOldest) > StalenessBound(aTrainer);
    });
}

void StateMachine::SendFixedBatch(Trainer& aTrainer, RequestId aRequest)
{
  PendingBatch& batch = *aTrainer.m_fixed;
  if (aTrainer.m_discarding || HasExpired(aTrainer, batch)) {
    ++m_metrics.m_batchesExpired;
    RefuseBatchRequest(
      aTrainer, aRequest, ErrorCode::BatchExpired, batch.m_samples);
    return;
  }
  if (batch.m_sent) {
    ++m_metrics.m_batchesResent;
  } else {
    batch.m_sent = true;
    TrainerMetrics& metrics = m_metrics.m_trainers[aTrainer.m_id];
    ++metrics.m_batchesDelivered;
    metrics.m_samplesDelivered += batch.m_samples.size();
    const WeightVersion newest = NewestVersion(batch.m_model);
    for (const WeightVersion oldest : batch.m_oldest) {
      const std::uint64_t staleness = Staleness(newest, oldest);
      ++metrics.m_staleness[std::min<std::uint64_t>(
        staleness, TrainerMetrics::kStalenessBuckets - 1)];
    }
  }
  Emit(SendBatch{ aRequest,
                  aTrainer.m_id,
                  batch.m_cursor,
                  batch.m_samples,
                  batch.m_payload });
}

void StateMachine::RefuseBatchRequest(Trainer& aTrainer,
                                      RequestId aRequest,
                                      ErrorCode aCode,
                                      std::vector<SampleId> aSamples)
{
  Emit(RefuseBatch{
    aRequest, NotRun(aCode), std::move(aSamples), HighestCursor(aTrainer) });
}

Step* StateMachine::StepForBatch(Trainer& aTrainer)
{
  if (!aTrainer.m_settings) {
    return nullptr;
  }
  // Above the limit of undelivered outputs no further group starts, so the
  // batch must not wait for its full number of groups.
  const bool isFull =
    aTrainer.m_undeliveredBytes > m_policy.m_maxUndeliveredBytes.Get();
  for (auto& [number, step] : aTrainer.m_steps) {
    const bool isEnough =
      step.m_completeGroups >= aTrainer.m_settings->m_batchGroups ||
      step.m_completeGroups == step.m_openGroups || isFull;
    if (step.m_completeGroups > 0 && isEnough) {
      return &step;
    }
  }
  return nullptr;
}

void StateMachine::ProposeBatch(Trainer& aTrainer)
{
  Step* const step = StepForBatch(aTrainer);
  if (step == nullptr) {
    return;
  }
  aTrainer.m_proposed = BuildBatch(aTrainer, *step);
  Emit(ProposeFixBatch{ aTrainer.m_id,
                        aTrainer.m_proposed->m_cursor,
                        aTrainer.m_proposed->m_samples,
                        aTrainer.m_proposed->m_payload });
}

PendingBatch StateMachine::BuildBatch(Trainer& aTrainer, Step& aStep)
{
  PendingBatch batch;
  batch.m_cursor = aTrainer.m_closedCursor.Next();
  batch.m_model = aStep.m_spec.m_model;
  std::vector<std::string> encoded;
  std::uint64_t bytes = 0;
  std::size_t taken = 0;
  for (std::uint32_t index = 0; index < aStep.m_groups.size() &&
                                taken < aTrainer.m_settings->m_batchGroups;
       ++index) {
    Group& group = aStep.m_groups[index];
    if (!group.IsComplete()) {
      continue;
    }
    std::vector<std::string> samples;
    std::uint64_t groupBytes = 0;
    std::uint32_t number = 0;
    for (const Sample& sample : group.m_samples) {
      samples.push_back(EncodeSample({ { aTrainer.m_id,
                                         aStep.m_spec.m_step,
                                         GroupIndex(index),
                                         SampleIndex(number++) },
                                       *group.m_prompt,
                                       *sample.m_result->m_text,
                                       sample.m_result->m_trail,
                                       sample.m_score }));
      groupBytes += samples.back().size() + 1;
    }
    if (taken > 0 && bytes + groupBytes > m_policy.m_maxBatchBytes.Get()) {
      break;
    }
    bytes += groupBytes;
    ++taken;
    std::move(samples.begin(), samples.end(), std::back_inserter(encoded));
    for (std::uint32_t sample = 0; sample < number; ++sample) {
      SampleRef found =
        At(aTrainer,
           { aStep.m_spec.m_step, GroupIndex(index), SampleIndex(sample) });
      batch.m_samples.push_back({ aTrainer.m_id,
                                  aStep.m_spec.m_step,
                                  GroupIndex(index),
                                  SampleIndex(sample) });
      batch.m_oldest.push_back(
        OldestVersion(found.m_sample->m_result->m_trail).value());
      if (found.m_sample->m_resultStarted) {
        aTrainer.m_estimate.RecordBatch(m_now -
                                        *found.m_sample->m_resultStarted);
      }
      SetState(found, SampleState::InBatch);
    }
  }
  aStep.m_openGroups -= taken;
  batch.m_payload = std::make_shared<const std::string>(
    JoinBatch(batch.m_cursor, batch.m_model, encoded));
  return batch;
}

void StateMachine::On(const BatchFixed& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_proposed ||
      trainer->m_proposed->m_cursor != aEvent.m_cursor) {
    return;
  }
  ++m_metrics.m_batchesFixed;
  trainer->m_fixed = std::exchange(trainer->m_proposed, std::nullopt);
  for (const SampleId& id : trainer->m_fixed->m_samples) {
    if (auto found = Find(id)) {
      ClearResult(*found);
    }
  }
}

void StateMachine::On(const BatchFixRefused& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_proposed ||
      trainer->m_proposed->m_cursor != aEvent.m_cursor) {
    return;
  }
  const auto batch = std::exchange(trainer->m_proposed, std::nullopt);
  RevertBatch(*trainer, *batch);
  trainer->m_nextProposal = m_now + m_policy.m_retryDelay;
}

void StateMachine::RevertBatch(Trainer& aTrainer, const PendingBatch& aBatch)
{
  ReopenGroups(aTrainer, aBatch.m_samples);
  for (const SampleId& id : aBatch.m_samples) {
    auto found = Find(id);
    if (!found) {
      continue;
    }
    SetState(*found, SampleState::Ready);
    if (IsStale(aTrainer, aBatch.m_model, found->m_sample->m_result->m_trail)) {
      ++m_metrics.m_droppedStale;
      Regenerate(*found, false);
    }
  }
}

void StateMachine::ReopenGroups(Trainer& aTrainer,
                                const std::vector<SampleId>& aSamples)
{
  for (const auto& [number, groups] : GroupsOf(aSamples)) {
    if (const auto step = aTrainer.m_steps.find(number);
        step != aTrainer.m_steps.end()) {
      step->second.m_openGroups += groups.size();
    }
  }
}

void StateMachine::CloseGroups(Trainer& aTrainer,
                               const std::vector<SampleId>& aSamples)
{
  for (const auto& [number, groups] : GroupsOf(aSamples)) {
    if (const auto step = aTrainer.m_steps.find(number);
        step != aTrainer.m_steps.end()) {
      step->second.m_openGroups -= groups.size();
    }
  }
}

void StateMachine::On(const BatchAcknowledged& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_fixed ||
      trainer->m_fixed->m_cursor != aEvent.m_cursor) {
    return;
  }
  const auto batch = std::exchange(trainer->m_fixed, std::nullopt);
  trainer->m_acknowledging = false;
  trainer->m_closedCursor = batch->m_cursor;
  MarkDelivered(*trainer, batch->m_samples);
}

void StateMachine::On(const AcknowledgeRefused& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer != nullptr && trainer->m_fixed &&
      trainer->m_fixed->m_cursor == aEvent.m_cursor) {
    trainer->m_acknowledging = false;
    trainer->m_nextProposal = m_now + m_policy.m_retryDelay;
  }
}

std::optional<ErrorCode> StateMachine::CheckDiscard(const Trainer& aTrainer,
                                                    Cursor aCursor) const
{
  if (!aTrainer.m_fixed || aTrainer.m_fixed->m_cursor != aCursor) {
    return aCursor > aTrainer.m_closedCursor ? ErrorCode::NotFound
                                             : ErrorCode::Conflict;
  }
  // A batch that has not expired is not discarded: a response to an earlier
  // request could still reach the trainer.
  if (aTrainer.m_acknowledging || !HasExpired(aTrainer, *aTrainer.m_fixed)) {
    return ErrorCode::Conflict;
  }
  return std::nullopt;
}

void StateMachine::On(const DiscardRequested& aEvent)
{
  const auto refuse = [&](ErrorCode aCode) {
    Emit(RefuseDiscard{ aEvent.m_request, NotRun(aCode) });
  };
  if (!m_leading) {
    return refuse(ErrorCode::NotReady);
  }
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr) {
    return refuse(ErrorCode::NotFound);
  }
  if (trainer->m_lastDiscarded == aEvent.m_cursor) {
    Emit(ConfirmDiscard{ aEvent.m_request });
    return;
  }
  if (const auto error = CheckDiscard(*trainer, aEvent.m_cursor)) {
    return refuse(*error);
  }
  trainer->m_discardRequests.push_back(aEvent.m_request);
  if (!trainer->m_discarding) {
    trainer->m_discarding = true;
    Emit(ProposeDiscard{ aEvent.m_trainer, aEvent.m_cursor });
  }
}

void StateMachine::On(const BatchDiscarded& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_fixed ||
      trainer->m_fixed->m_cursor != aEvent.m_cursor) {
    return;
  }
  ++m_metrics.m_batchesDiscarded;
  const auto batch = std::exchange(trainer->m_fixed, std::nullopt);
  trainer->m_discarding = false;
  trainer->m_closedCursor = batch->m_cursor;
  trainer->m_lastDiscarded = batch->m_cursor;
  trainer->m_lastDiscardedSamples = batch->m_samples;
  ReopenGroups(*trainer, batch->m_samples);
  for (const SampleId& id : batch->m_samples) {
    if (auto found = Find(id)) {
      Regenerate(*found, false);
    }
  }
  for (const RequestId request :
       std::exchange(trainer->m_discardRequests, {})) {
    Emit(ConfirmDiscard{ request });
  }
}

void StateMachine::On(const DiscardRefused& aEvent)
{
  Trainer* const trainer = FindTrainer(aEvent.m_trainer);
  if (trainer == nullptr || !trainer->m_fixed ||
      trainer->m_fixed->m_cursor != aEvent.m_cursor) {
    return;
  }
  trainer->m_discarding = false;
  for (const RequestId request :
       std::exchange(trainer->m_discardRequests, {})) {
    Emit(RefuseDiscard{ request, NotRun(ErrorCode::Conflict) });
  }
}

} // namespace auburntrestle::rollout::internal
