#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/core/transfer_time.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace auburntrestle::consensus {

void Node::Process(const Propose& aEvent)
{
  if (m_role == NodeRole::Stopped) {
    Reject(aEvent.m_id, RejectionReason::Stopped);
  } else if (m_role != NodeRole::Leader) {
    Reject(aEvent.m_id, RejectionReason::NotLeader);
  } else if (m_transferTarget) {
    Reject(aEvent.m_id, RejectionReason::TransferringLeadership);
  } else if (aEvent.m_command.size() > m_options.m_maxCommandBytes) {
    Reject(aEvent.m_id, RejectionReason::TooLarge);
  } else if (m_uncommittedBytes + aEvent.m_command.size() >
             m_options.m_maxUncommittedBytes) {
    Reject(aEvent.m_id, RejectionReason::Overloaded);
  } else {
    m_proposals.emplace(m_log.Last().m_index.Next(), aEvent.m_id);
    AppendAsLeader(Command{ aEvent.m_command });
  }
}

void Node::AppendAsLeader(EntryPayload aPayload)
{
  const Entry entry{ m_log.Last().m_index.Next(),
                     m_hardState.m_term,
                     std::move(aPayload) };
  m_uncommittedBytes += SizeOf(entry);
  if (!AppendToLog(std::span(&entry, 1))) {
    return;
  }
  if (std::holds_alternative<Configuration>(entry.m_payload)) {
    UpdateTrackedMembers();
  }
}

bool Node::AppendToLog(std::span<const Entry> aEntries)
{
  if (!CheckStorage(m_storage->Append(aEntries))) {
    return false;
  }
  m_hasUnsyncedEntries = true;
  m_syncedIndex =
    std::min(m_syncedIndex, LogIndex(aEntries.front().m_index.Get() - 1));
  m_log.Append(aEntries);
  while (m_configurations.size() > 1 &&
         m_configurations.back().m_index >= aEntries.front().m_index) {
    m_configurations.pop_back();
  }
  for (const Entry& entry : aEntries) {
    if (const auto* changed = std::get_if<Configuration>(&entry.m_payload)) {
      m_configurations.push_back({ entry.m_index, *changed });
    }
  }
  return true;
}

void Node::UpdateTrackedMembers()
{
  std::erase_if(m_progress, [&](const auto& aItem) {
    return CurrentConfiguration().Find(aItem.first) == nullptr;
  });
  for (const Member& member : CurrentConfiguration().m_members) {
    if (member.m_identity == m_identity ||
        m_progress.contains(member.m_identity)) {
      continue;
    }
    internal::Progress progress;
    progress.m_next = m_log.Last().m_index.Next();
    progress.m_lastContact = m_now;
    m_progress.emplace(member.m_identity, progress);
  }
}

void Node::SendEntries(const MemberIdentity& aTo, internal::Progress& aProgress)
{
  if (NeedsSnapshot(aProgress) ||
      aProgress.m_mode == internal::SendMode::Snapshot) {
    return;
  }
  if (aProgress.m_mode == internal::SendMode::Probe) {
    if (!aProgress.m_probeSent) {
      aProgress.m_probeSent = true;
      SendAppendRequest(aTo, aProgress);
    }
    return;
  }
  while (aProgress.m_next <= m_log.Last().m_index &&
         aProgress.m_inflightBytes < m_options.m_maxInflightBytes) {
    SendAppendRequest(aTo, aProgress);
  }
}

void Node::SendAppendRequest(const MemberIdentity& aTo,
                             internal::Progress& aProgress)
{
  if (aProgress.m_mode == internal::SendMode::Probe ||
      !aProgress.IsAwaitingAcknowledgement()) {
    aProgress.m_lastProgress = m_now;
    aProgress.m_unacknowledgedBytes = 0;
  }
  const LogIndex previous(aProgress.m_next.Get() - 1);
  AppendRequest request;
  request.m_previous =
    LogPosition{ m_log.TermAt(previous).value_or(Term{}), previous };
  request.m_entries =
    m_log.Slice(aProgress.m_next, m_options.m_maxMessageBytes);
  request.m_commit = m_commit;
  const std::size_t bytes = SizeOf(request.m_entries);
  aProgress.m_unacknowledgedBytes += bytes;
  if (aProgress.m_mode == internal::SendMode::Stream &&
      !request.m_entries.empty()) {
    const LogIndex last = request.m_entries.back().m_index;
    aProgress.m_inflight.push_back({ last, bytes });
    aProgress.m_inflightBytes += bytes;
    aProgress.m_next = last.Next();
  }
  Send(aTo, std::move(request));
}

bool Node::NeedsSnapshot(const internal::Progress& aProgress) const noexcept
{
  return aProgress.m_needsSnapshot || aProgress.m_next <= m_log.Base().m_index;
}

bool Node::AwaitsSnapshotResponse(
  const internal::Progress& aProgress) const noexcept
{
  return aProgress.m_mode == internal::SendMode::Snapshot &&
         m_now < aProgress.m_snapshotSent + m_options.m_snapshotResendTimeout;
}

std::vector<MemberIdentity> Node::MembersWaitingForSnapshots() const
{
  std::vector<std::tuple<bool, TimePoint, MemberIdentity>> waiting;
  for (const Member& member : CurrentConfiguration().m_members) {
    const auto found = m_progress.find(member.m_identity);
    if (found == m_progress.end()) {
      continue;
    }
    const internal::Progress& progress = found->second;
    // An unresponsive member gets its snapshot once it responds again.
    const bool responds =
      m_now <= progress.m_lastContact + m_options.m_electionTimeout;
    if (responds && NeedsSnapshot(progress) &&
        !AwaitsSnapshotResponse(progress)) {
      waiting.emplace_back(member.m_role == MemberRole::Learner,
                           progress.m_snapshotSent,
                           member.m_identity);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<MemberIdentity> members;
  members.reserve(waiting.size());
  for (auto& [isLearner, lastSent, member] : waiting) {
    members.push_back(std::move(member));
  }
  return members;
}

void Node::SendSnapshots()
{
  auto transfers = static_cast<std::size_t>(std::count_if(
    m_progress.begin(), m_progress.end(), [this](const auto& aItem) {
      return AwaitsSnapshotResponse(aItem.second);
    }));
  if (transfers >= m_options.m_maxSnapshotTransfers) {
    return;
  }
  for (const MemberIdentity& member : MembersWaitingForSnapshots()) {
    SendSnapshot(member, m_progress.at(member));
    ++transfers;
    if (m_role != NodeRole::Leader ||
        transfers >= m_options.m_maxSnapshotTransfers) {
      return;
    }
  }
}

void Node::SendSnapshot(const MemberIdentity& aTo,
                        internal::Progress& aProgress)
{
  auto snapshot = m_storage->ReadSnapshot();
  if (!snapshot) {
    Stop(StopReason::StorageFailed, snapshot.error());
    return;
  }
  aProgress.m_mode = internal::SendMode::Snapshot;
  aProgress.m_snapshotSent = m_now;
  Send(aTo, SnapshotRequest{ std::move(*snapshot) });
}

void Node::ResendIfOverdue(internal::Progress& aProgress) const
{
  // A message that is still being transferred must not be sent twice.
  const Duration transfer =
    TransferTime(aProgress.m_unacknowledgedBytes, m_options.m_minTransferRate);
  if (!aProgress.IsAwaitingAcknowledgement() ||
      m_now < aProgress.m_lastProgress + m_options.m_resendTimeout + transfer) {
    return;
  }
  if (aProgress.m_mode == internal::SendMode::Probe) {
    aProgress.AllowProbeResend();
  } else {
    aProgress.BecomeProbe();
  }
}

void Node::SendHeartbeats()
{
  m_heartbeatDue = false;
  std::vector<AcknowledgedState> acknowledged;
  for (const Member& member : CurrentConfiguration().m_members) {
    const auto found = m_acknowledged.find(member.m_identity);
    if (found != m_acknowledged.end()) {
      acknowledged.push_back(found->second);
    }
  }
  acknowledged.push_back(AcknowledgedState{
    m_identity,
    m_session.m_boot,
    m_session.m_nonce,
    m_hardState.m_term,
    { m_log.TermAt(m_syncedIndex).value_or(Term{}), m_syncedIndex } });
  for (auto& [member, progress] : m_progress) {
    ResendIfOverdue(progress);
    Send(
      member,
      Heartbeat{ std::min(m_commit, progress.m_match), m_round, acknowledged });
  }
}

AppendResponse Node::MakeRefusal(LogPosition aPrevious) const
{
  AppendResponse response;
  response.m_refusedIndex = aPrevious.m_index;
  response.m_hint = std::max(
    m_commit, m_log.LastIndexWithTermUpTo(aPrevious.m_index, aPrevious.m_term));
  response.m_hintTerm = m_log.TermAt(response.m_hint).value_or(Term{});
  return response;
}

void Node::On(const Message& aMessage, const AppendRequest& aBody)
{
  FollowLeader(aMessage);
  if (m_role == NodeRole::Joining) {
    AppendResponse response;
    response.m_refusedIndex = aBody.m_previous.m_index;
    response.m_needsSnapshot = true;
    Send(aMessage.m_from, response);
    return;
  }
  AppendResponse accepted;
  accepted.m_accepted = true;
  if (aBody.m_previous.m_index < m_commit) {
    // The start of the message is committed and may no longer be in memory.
    accepted.m_match = m_commit;
    Send(aMessage.m_from, accepted);
    return;
  }
  if (!m_log.Contains(aBody.m_previous)) {
    Send(aMessage.m_from, MakeRefusal(aBody.m_previous));
    return;
  }
  const auto firstNew = std::find_if(
    aBody.m_entries.begin(), aBody.m_entries.end(), [&](const Entry& aEntry) {
      return m_log.TermAt(aEntry.m_index) != aEntry.m_term;
    });
  if (firstNew != aBody.m_entries.end()) {
    if (firstNew->m_index <= m_commit ||
        !AppendToLog(std::span(firstNew, aBody.m_entries.end()))) {
      return;
    }
  }
  accepted.m_match = aBody.m_entries.empty() ? aBody.m_previous.m_index
                                             : aBody.m_entries.back().m_index;
  CommitTo(std::min(aBody.m_commit, accepted.m_match));
  Send(aMessage.m_from, accepted);
}

void Node::On(const Message& aMessage, const AppendResponse& aBody)
{
  const auto found = m_progress.find(aMessage.m_from);
  if (m_role != NodeRole::Leader || found == m_progress.end()) {
    return;
  }
  internal::Progress& progress = found->second;
  progress.m_lastContact = m_now;
  if (aBody.m_accepted) {
    if (aBody.m_match > m_log.Last().m_index) {
      return;
    }
    progress.Acknowledge(aBody.m_match);
    progress.m_lastProgress = m_now;
    progress.m_unacknowledgedBytes = progress.m_inflightBytes;
    RecordAcknowledged(AcknowledgedState{
      aMessage.m_from,
      aMessage.m_session.m_boot,
      aMessage.m_session.m_nonce,
      aMessage.m_term,
      { m_log.TermAt(progress.m_match).value_or(Term{}), progress.m_match } });
    if (m_transferTarget == aMessage.m_from &&
        progress.m_match == m_log.Last().m_index) {
      Send(aMessage.m_from, TimeoutNow{});
    }
    return;
  }
  if (aBody.m_needsSnapshot) {
    progress.m_needsSnapshot = progress.m_match == LogIndex(0);
    return;
  }
  const bool stale = progress.m_mode == internal::SendMode::Snapshot ||
                     aBody.m_refusedIndex <= progress.m_match ||
                     (progress.m_mode == internal::SendMode::Probe &&
                      aBody.m_refusedIndex.Get() + 1 != progress.m_next.Get());
  if (stale) {
    return;
  }
  const LogIndex candidate =
    m_log.LastIndexWithTermUpTo(aBody.m_hint, aBody.m_hintTerm);
  progress.BecomeProbe();
  progress.m_next =
    std::max(progress.m_match,
             std::min(candidate, LogIndex(aBody.m_refusedIndex.Get() - 1)))
      .Next();
}

void Node::On(const Message& aMessage, const Heartbeat& aBody)
{
  FollowLeader(aMessage);
  for (const AcknowledgedState& acknowledged : aBody.m_acknowledged) {
    if (!m_options.m_safeguards.m_detectDiskLoss) {
      break;
    }
    if (ProvesDiskLoss(acknowledged)) {
      ResetAfterDiskLoss(m_identity.m_incarnation);
      return;
    }
    if (acknowledged.m_member != m_identity) {
      RecordAcknowledged(acknowledged);
    }
  }
  if (m_role != NodeRole::Joining && aBody.m_commit <= m_log.Last().m_index) {
    CommitTo(aBody.m_commit);
  }
  Send(aMessage.m_from, HeartbeatResponse{ aBody.m_round });
}

void Node::On(const Message& aMessage, const HeartbeatResponse& aBody)
{
  const auto found = m_progress.find(aMessage.m_from);
  if (m_role != NodeRole::Leader || found == m_progress.end()) {
    return;
  }
  found->second.m_lastContact = m_now;
  found->second.m_round = std::max(found->second.m_round, aBody.m_round);
  ConfirmReads();
}

void Node::On(const Message& aMessage, const SnapshotRequest& aBody)
{
  FollowLeader(aMessage);
  AppendResponse accepted;
  accepted.m_accepted = true;
  const Snapshot& snapshot = aBody.m_snapshot;
  if (m_role != NodeRole::Joining && snapshot.m_position.m_index <= m_commit) {
    accepted.m_match = m_commit;
    Send(aMessage.m_from, accepted);
    return;
  }
  const bool keep =
    m_role != NodeRole::Joining && m_log.Contains(snapshot.m_position);
  if (m_hasUnsyncedEntries && !CheckStorage(m_storage->Sync())) {
    return;
  }
  if (!CheckStorage(m_storage->SaveSnapshot(
        snapshot, keep ? LogSuffix::Keep : LogSuffix::Discard))) {
    return;
  }
  if (keep) {
    m_log.EraseUpTo(snapshot.m_position.m_index);
    std::erase_if(m_configurations, [&](const IndexedConfiguration& aIndexed) {
      return aIndexed.m_index <= snapshot.m_position.m_index;
    });
  } else {
    m_log = internal::Log(snapshot.m_position);
    m_configurations.clear();
    m_hasUnsyncedEntries = false;
  }
  m_configurations.insert(m_configurations.begin(),
                          IndexedConfiguration{ snapshot.m_position.m_index,
                                                snapshot.m_configuration });
  if (m_role == NodeRole::Joining) {
    m_role = NodeRole::Follower;
    ResetElectionDeadline();
  }
  m_snapshot = snapshot.m_position;
  m_commit = snapshot.m_position.m_index;
  m_applied = snapshot.m_position.m_index;
  m_syncedIndex = m_log.Last().m_index;
  m_bytesSinceSnapshot = 0;
  m_snapshotRequested = false;
  if (m_snapshot.m_index > LogIndex(0)) {
    m_actions->emplace_back(InstallSnapshot{ m_snapshot, snapshot.m_state });
  }
  m_actions->emplace_back(ConfigurationApplied{
    m_snapshot.m_index, snapshot.m_configuration, std::nullopt });
  accepted.m_match = m_snapshot.m_index;
  Send(aMessage.m_from, accepted);
}

void Node::AdvanceCommit()
{
  std::vector<LogIndex> matches;
  for (const Member& member : CurrentConfiguration().m_members) {
    if (!CountsTowardsMajority(member)) {
      continue;
    }
    const auto found = m_progress.find(member.m_identity);
    if (member.m_identity == m_identity) {
      matches.push_back(m_syncedIndex);
    } else if (found != m_progress.end()) {
      matches.push_back(found->second.m_match);
    }
  }
  if (matches.size() < Majority()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex majorityMatch = matches[Majority() - 1];
  if (majorityMatch <= m_commit ||
      (m_options.m_safeguards.m_commitOnlyOwnTerm &&
       m_log.TermAt(majorityMatch) != m_hardState.m_term)) {
    return;
  }
  // The next message lets the followers apply the committed entries.
  m_heartbeatDue = true;
  CommitTo(majorityMatch);
}

void Node::CommitTo(LogIndex aIndex)
{
  if (aIndex <= m_commit) {
    return;
  }
  m_commit = std::min(aIndex, m_log.Last().m_index);
  ApplyCommitted();
}

void Node::ApplyCommitted()
{
  while (m_applied < m_commit && m_role != NodeRole::Stopped) {
    m_applied = m_applied.Next();
    const Entry& entry = *m_log.At(m_applied);
    const std::size_t bytes = SizeOf(entry);
    m_bytesSinceSnapshot += bytes;
    m_uncommittedBytes -= std::min(bytes, m_uncommittedBytes);
    std::optional<ProposalId> proposal;
    if (const auto found = m_proposals.find(m_applied);
        found != m_proposals.end()) {
      proposal = found->second;
      m_proposals.erase(found);
    }
    std::visit(Overloaded{
                 [](const NoOp&) {},
                 [&](const Command& aCommand) {
                   m_actions->emplace_back(ApplyEntry{
                     entry.m_index, entry.m_term, aCommand.m_bytes, proposal });
                 },
                 [&](const Configuration& aConfiguration) {
                   ApplyConfiguration(entry.m_index, aConfiguration, proposal);
                 } },
               entry.m_payload);
  }
}

bool Node::HasCommittedInTerm() const noexcept
{
  return m_log.TermAt(m_commit) == m_hardState.m_term;
}

void Node::Process(const ReadRequest& aEvent)
{
  if (m_role != NodeRole::Leader) {
    m_actions->emplace_back(ReadRejected{ aEvent.m_id, LeaderInstance() });
  } else if (!m_options.m_safeguards.m_confirmReads) {
    m_actions->emplace_back(ReadConfirmed{ aEvent.m_id, m_commit });
  } else {
    m_queuedReads.push_back(aEvent.m_id);
  }
}

void Node::StartReadRound()
{
  if (!m_roundReads.empty() || m_queuedReads.empty() || !HasCommittedInTerm()) {
    return;
  }
  ++m_round;
  for (const ReadId id : std::exchange(m_queuedReads, {})) {
    m_roundReads.push_back({ id, m_commit });
  }
  m_heartbeatDue = true;
  ConfirmReads();
}

void Node::ConfirmReads()
{
  if (m_roundReads.empty()) {
    return;
  }
  const auto confirmed = static_cast<std::size_t>(std::count_if(
    CurrentConfiguration().m_members.begin(),
    CurrentConfiguration().m_members.end(),
    [&](const Member& aMember) {
      if (!CountsTowardsMajority(aMember)) {
        return false;
      }
      const auto found = m_progress.find(aMember.m_identity);
      return aMember.m_identity == m_identity ||
             (found != m_progress.end() && found->second.m_round >= m_round);
    }));
  if (confirmed < Majority()) {
    return;
  }
  for (const PendingRead& read : std::exchange(m_roundReads, {})) {
    m_actions->emplace_back(ReadConfirmed{ read.m_id, read.m_index });
  }
}

} // namespace auburntrestle::consensus
