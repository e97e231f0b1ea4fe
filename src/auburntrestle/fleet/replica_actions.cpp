#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/replica.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/consensus_codec.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr Duration kReadRetryDelay = std::chrono::milliseconds(50);
/** Maximum time spent on applying entries before the event loop handles timers
 * and messages. */
constexpr Duration kApplySlice = std::chrono::milliseconds(10);

ProposeError ErrorOf(consensus::RejectionReason aReason)
{
  if (aReason == consensus::RejectionReason::TooLarge ||
      aReason == consensus::RejectionReason::Overloaded) {
    return ProposeError::NoRoom;
  }
  return consensus::IsNotRun(aReason) ? ProposeError::NotLeader
                                      : ProposeError::OutcomeUnknown;
}

} // namespace

void Replica::Execute(std::vector<consensus::Action> aActions)
{
  for (auto& action : aActions) {
    // Heartbeats are among the messages, so messages never wait for the state
    // machine.
    if (const auto* send = std::get_if<consensus::SendMessage>(&action)) {
      On(*send);
    } else {
      m_actions.push_back(std::move(action));
    }
  }
  if (!m_applyScheduled) {
    ApplyActions();
  }
}

void Replica::ApplyActions()
{
  const TimePoint until = MonotonicClock::Now() + kApplySlice;
  m_applyScheduled = true;
  while (!m_actions.empty() && MonotonicClock::Now() < until) {
    const auto action = std::move(m_actions.front());
    m_actions.pop_front();
    std::visit([this](const auto& aAction) { On(aAction); }, action);
  }
  m_applyScheduled = !m_actions.empty();
  if (m_applyScheduled) {
    m_loop.Post([this] { ApplyActions(); });
  }
}

void Replica::On(const consensus::SendMessage& aAction)
{
  const auto* snapshot =
    std::get_if<consensus::SnapshotRequest>(&aAction.m_message.m_body);
  if (snapshot != nullptr && !snapshot->m_snapshot.m_state.empty()) {
    SendSnapshot(aAction.m_message, *snapshot);
    return;
  }
  m_listener.m_send(aAction.m_message.m_to.m_instance,
                    protocol::EncodeConsensus(aAction.m_message));
}

void Replica::SendSnapshot(const consensus::Message& aMessage,
                           const consensus::SnapshotRequest& aBody)
{
  // The log requests the snapshot again while the member still lacks it.
  const TimePoint now = MonotonicClock::Now();
  if (!m_snapshotSender.CanStart(aMessage.m_to.m_instance, now)) {
    return;
  }
  const auto state = State::Restore(aBody.m_snapshot.m_state, *m_outputs);
  if (!state) {
    LogLine(LogLevel::Error, "snapshot_unreadable")
      .Add("index", aBody.m_snapshot.m_position.m_index);
    return;
  }
  const auto status = m_node->Status();
  LogLine(LogLevel::Info, "snapshot_wanted_by_member")
    .Add("member", aMessage.m_to.m_instance)
    .Add("last", status.m_last.m_index)
    .Add("commit", status.m_commit)
    .Add("applied", status.m_applied)
    .Add("snapshot", aBody.m_snapshot.m_position.m_index);
  m_snapshotSender.Start(aMessage.m_to.m_instance,
                         state->OutputSegments(),
                         protocol::EncodeConsensus(aMessage),
                         *m_outputs,
                         now);
}

tl::expected<std::uint64_t, OutputStoreError> Replica::AppendOutputChunk(
  const OutputChunk& aChunk)
{
  if (!m_node) {
    return tl::make_unexpected(OutputStoreError{});
  }
  return m_outputs->AppendChunk(
    aChunk.m_segment, aChunk.m_offset, aChunk.m_bytes, aChunk.m_last);
}

std::set<OutputSegment> Replica::SegmentsInUse() const
{
  std::set<OutputSegment> segments;
  for (const auto& [segment, end] : m_state->OutputSegments()) {
    segments.insert(segment);
  }
  return segments;
}

void Replica::OnStorageFailure(const OutputStoreError& aError)
{
  LogLine(LogLevel::Error, "replica_stopped")
    .Add("reason", "text_store")
    .Add("file", aError.m_file)
    .Add("error", aError.m_systemError);
  // Commands after the failed one must not be applied.
  m_actions.clear();
  m_loop.Post([this] { Close(); });
}

void Replica::On(const consensus::ApplyEntry& aAction)
{
  auto command = DecodeCommand(aAction.m_command.Get());
  if (!command) {
    LogLine(LogLevel::Error, "log_command_unreadable")
      .Add("index", aAction.m_index)
      .Add("error", protocol::ToString(command.error().m_code));
    return;
  }
  const auto applied = m_state->Apply(*command);
  if (!applied) {
    OnStorageFailure(applied.error());
    return;
  }
  const CommandResult result = *applied;
  m_listener.m_onApplied(*command);
  if (!aAction.m_proposal) {
    return;
  }
  const auto found = m_proposals.find(*aAction.m_proposal);
  if (found != m_proposals.end()) {
    const auto callback = std::move(found->second);
    m_proposals.erase(found);
    callback(result);
  }
}

void Replica::On(const consensus::ProposalRejected& aAction)
{
  const auto found = m_proposals.find(aAction.m_id);
  if (found == m_proposals.end()) {
    return;
  }
  const auto callback = std::move(found->second);
  m_proposals.erase(found);
  LogLine(LogLevel::Info, "proposal_rejected")
    .Add("reason", consensus::ToString(aAction.m_reason));
  callback(tl::make_unexpected(ErrorOf(aAction.m_reason)));
}

void Replica::On(const consensus::ReadConfirmed& aAction)
{
  FinishRead(aAction.m_id, true);
}

void Replica::On(const consensus::ReadRejected& aAction)
{
  FinishRead(aAction.m_id, false);
}

void Replica::FinishRead(consensus::ReadId aId, bool aConfirmed)
{
  const auto found = m_reads.find(aId);
  if (found != m_reads.end()) {
    const auto callback = std::move(found->second);
    m_reads.erase(found);
    callback(aConfirmed);
  }
}

void Replica::On(const consensus::InstallSnapshot& aAction)
{
  auto restored = State::Restore(aAction.m_state, *m_outputs);
  if (!restored) {
    LogLine(LogLevel::Error, "snapshot_unreadable")
      .Add("index", aAction.m_position.m_index);
    return;
  }
  m_state = std::move(*restored);
  m_snapshotSegments = SegmentsInUse();
  m_outputs->KeepOnly(m_snapshotSegments);
  if (std::exchange(m_recovering, false)) {
    if (const auto trimmed = m_outputs->Trim(m_state->OutputSegments());
        !trimmed) {
      OnStorageFailure(trimmed.error());
      return;
    }
  }
  m_listener.m_onRestored();
}

void Replica::On(const consensus::TakeSnapshot& aAction)
{
  if (const auto synced = m_outputs->Sync(); !synced) {
    OnStorageFailure(synced.error());
    return;
  }
  // Keeps the segments of the previous snapshot, which is durable until the new
  // one is; older snapshots no longer exist.
  auto keep = SegmentsInUse();
  const auto needed = keep;
  keep.insert(m_snapshotSegments.begin(), m_snapshotSegments.end());
  keep.merge(m_snapshotSender.SegmentsInTransfer());
  m_outputs->KeepOnly(keep);
  m_snapshotSegments = needed;
  Push(consensus::SnapshotTaken{ aAction.m_index, m_state->Snapshot() });
}

void Replica::On(const consensus::LeadershipChanged& aAction)
{
  LogLine(LogLevel::Info, "leadership_changed")
    .Add("term", aAction.m_term)
    .Add("leader", aAction.m_leader ? aAction.m_leader->Get() : "none")
    .Add("is_leader", aAction.m_isLeader);
  m_term = aAction.m_term;
  m_leader = aAction.m_leader;
  SetLeading(false);
  if (aAction.m_isLeader) {
    m_contacts.Restart(MonotonicClock::Now());
    PrepareLeadership(aAction.m_term);
  }
}

void Replica::PrepareLeadership(Term aTerm)
{
  // The state contains all commands of earlier terms only after a read has been
  // confirmed in this term.
  ConfirmRead([this, aTerm](bool aConfirmed) {
    if (!m_node || !m_node->IsLeader() || m_term != aTerm) {
      return;
    }
    if (aConfirmed) {
      SetLeading(true);
    } else {
      m_loop.After(kReadRetryDelay,
                   [this, aTerm] { PrepareLeadership(aTerm); });
    }
  });
}

void Replica::SetLeading(bool aIsLeading)
{
  if (std::exchange(m_isLeading, aIsLeading) != aIsLeading) {
    m_listener.m_onLeadershipChanged(aIsLeading);
  }
}

void Replica::On(const consensus::ConfigurationApplied& aAction)
{
  LogLine(LogLevel::Info, "members_changed")
    .Add("index", aAction.m_index)
    .Add("members", aAction.m_configuration.m_members.size())
    .Add("voters", aAction.m_configuration.VoterCount());
  std::erase_if(m_joining, [&](const consensus::MemberIdentity& aMember) {
    return aAction.m_configuration.Find(aMember) != nullptr;
  });
}

void Replica::On(const consensus::JoinRequested& aAction)
{
  m_contacts.RecordJoinRequest(aAction.m_member.m_instance,
                               MonotonicClock::Now());
  if (std::find(m_joining.begin(), m_joining.end(), aAction.m_member) !=
      m_joining.end()) {
    return;
  }
  std::erase_if(m_joining, [&](const consensus::MemberIdentity& aOther) {
    return aOther.m_instance == aAction.m_member.m_instance;
  });
  m_joining.push_back(aAction.m_member);
  LogLine(LogLevel::Info, "join_requested")
    .Add("member", aAction.m_member.m_instance)
    .Add("incarnation", aAction.m_member.m_incarnation);
}

void Replica::On(const consensus::TornRecordRemoved& aAction)
{
  LogLine(LogLevel::Warning, "torn_record_removed")
    .Add("file", aAction.m_record.m_file)
    .Add("offset", aAction.m_record.m_offset)
    .Add("bytes", aAction.m_record.m_bytes);
}

void Replica::On(const consensus::DiskLossDetected& aAction)
{
  LogLine(LogLevel::Error, "disk_loss_detected")
    .Add("previous_incarnation", aAction.m_previous.m_incarnation)
    .Add("incarnation", aAction.m_current.m_incarnation);
}

void Replica::On(const consensus::MemberStopped& aAction)
{
  LogLine(LogLevel::Error, "replica_stopped")
    .Add("reason",
         aAction.m_error ? consensus::Describe(*aAction.m_error) : "removed");
  m_loop.Post([this] { Close(); });
}

} // namespace auburntrestle::fleet
