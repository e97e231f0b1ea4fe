#include "auburntrestle/fleet/replica.hpp"

#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/peer_link.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/consensus_codec.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(100);
constexpr Duration kResendAfter = std::chrono::milliseconds(500);
constexpr Duration kJoinInterval = std::chrono::milliseconds(400);
constexpr Duration kElectionTimeout = std::chrono::milliseconds(500);
constexpr Duration kFirstElectionTimeout = std::chrono::milliseconds(150);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(250);
/** Longer processing of events is logged, because it delays heartbeats. */
constexpr Duration kSlowProcessing = std::chrono::milliseconds(50);
/** Delay from a storage failure to the next attempt to open the storage. */
constexpr Duration kReopenDelay = std::chrono::seconds(1);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(50);
/** Bounds memory: the log since the last snapshot is also kept in memory. */
constexpr std::size_t kSnapshotThresholdBytes = std::size_t{ 4 } * 1024 * 1024;
/** Log entries before a snapshot that are kept, so that a member slightly
 * behind needs no snapshot. */
constexpr std::size_t kTrailingEntries = 128;
/** Retries are cheap: SnapshotSender skips chunks that an earlier attempt has
 * copied. */
constexpr Duration kSnapshotResendTimeout = std::chrono::milliseconds(500);
/** Maximum time spent on applying entries before the event loop handles timers
 * and messages. */
constexpr Duration kApplySlice = std::chrono::milliseconds(10);
/** Fits one job with the largest request body that callers may send. */
constexpr std::size_t kMaxCommandBytes = std::size_t{ 32 } * 1024 * 1024;

std::uint64_t RandomNumber()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{ device() } << kHalfBits) | device();
}

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

Replica::Replica(event_loop::EventLoop& aLoop,
                 ReplicaOptions aOptions,
                 ReplicaListener aListener)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_listener(std::move(aListener))
  , m_snapshotSender(m_listener.m_sendChunk, m_listener.m_send)
{
}

tl::expected<std::unique_ptr<Replica>, ReplicaError> Replica::Open(
  event_loop::EventLoop& aLoop,
  ReplicaOptions aOptions,
  ReplicaListener aListener)
{
  std::unique_ptr<Replica> replica(
    new Replica(aLoop, std::move(aOptions), std::move(aListener)));
  if (auto recovered = replica->Recover(); !recovered) {
    return tl::make_unexpected(recovered.error());
  }
  replica->UpdateMembership();
  return replica;
}

consensus::Options Replica::MakeOptions() const
{
  consensus::Options options;
  options.m_self = m_options.m_self;
  options.m_initialMembers = m_options.m_seeds;
  // Only the seeds are configured with each other's addresses, so only they can
  // create the log.
  options.m_bootstrap = m_options.m_bootstrap &&
                        std::find(m_options.m_seeds.begin(),
                                  m_options.m_seeds.end(),
                                  m_options.m_self) != m_options.m_seeds.end();
  options.m_newIncarnation = Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
  options.m_heartbeatInterval = kHeartbeatInterval;
  options.m_electionTimeout = kElectionTimeout;
  options.m_resendTimeout = kResendAfter;
  options.m_minTransferRate = kMinTransferRate;
  options.m_joinInterval = kJoinInterval;
  options.m_firstElectionTimeout = kFirstElectionTimeout;
  options.m_seed = RandomNumber();
  options.m_sessionNonce = RandomNumber();
  options.m_maxCommandBytes = kMaxCommandBytes;
  options.m_maxUncommittedBytes = 2 * kMaxCommandBytes;
  options.m_snapshotThresholdBytes = kSnapshotThresholdBytes;
  options.m_trailingEntries = kTrailingEntries;
  options.m_trailingBytes = kSnapshotThresholdBytes;
  options.m_snapshotResendTimeout = kSnapshotResendTimeout;
  options.m_maxSnapshotTransfers = SnapshotSender::kMaxTransfers;
  options.m_autoPromote = false;
  return options;
}

tl::expected<void, ReplicaError> Replica::Recover()
{
  auto storage = consensus::FileStorage::Open(m_options.m_dataFolder, m_files);
  if (!storage) {
    return tl::make_unexpected(
      ReplicaError{ consensus::Describe(storage.error()) });
  }
  m_storage = std::move(*storage);
  auto outputs = OutputStore::Open(m_options.m_dataFolder + "/texts",
                                   m_files,
                                   static_cast<std::uint32_t>(RandomNumber()));
  if (!outputs) {
    return tl::make_unexpected(ReplicaError{ outputs.error().m_file });
  }
  m_state.emplace(**outputs);
  m_outputs = std::move(*outputs);
  std::vector<consensus::Action> actions;
  auto node = consensus::Node::Create(
    MakeOptions(), *m_storage, MonotonicClock::Now(), actions);
  if (!node) {
    return tl::make_unexpected(
      ReplicaError{ consensus::Describe(node.error()) });
  }
  m_node.emplace(std::move(*node));
  m_recovering = m_node->Status().m_snapshot.m_index > LogIndex(0);
  if (!m_recovering) {
    m_outputs->KeepOnly({});
  }
  // Deferred, because the owner is not ready for callbacks until Open returns.
  m_loop.Post([this, actions = std::move(actions)] {
    Execute(actions);
    ArmTimer();
  });
  return {};
}

void Replica::Propose(SharedBytes aCommand, ProposeCallback aCallback)
{
  if (!m_isLeading) {
    aCallback(tl::make_unexpected(ProposeError::NotLeader));
    return;
  }
  const consensus::ProposalId id(m_nextId++);
  m_proposals.emplace(id, std::move(aCallback));
  Push(consensus::Propose{ id, std::move(aCommand) });
}

void Replica::ConfirmRead(std::function<void(bool)> aCallback)
{
  const consensus::ReadId id(m_nextId++);
  m_reads.emplace(id, std::move(aCallback));
  Push(consensus::ReadRequest{ id });
}

void Replica::HandleMessage(const std::string& aPayload)
{
  auto message = protocol::DecodeConsensus(aPayload);
  if (!message) {
    LogLine(LogLevel::Warning, "log_message_unreadable")
      .Add("error", protocol::ToString(message.error().m_code));
    return;
  }
  Push(consensus::MessageReceived{ std::move(*message) });
}

std::vector<InstanceId> Replica::GetLogMembers() const
{
  std::vector<InstanceId> members;
  for (const auto& member : Status().m_configuration.m_members) {
    members.push_back(member.m_identity.m_instance);
  }
  return members;
}

void Replica::SetKnownMembers(const std::vector<InstanceId>& aMembers)
{
  Push(consensus::MemberListReceived{ aMembers });
}

void Replica::TransferLeadership()
{
  Push(consensus::TransferLeadership{});
}

void Replica::Push(consensus::Event aEvent)
{
  if (!m_node) {
    // Closed after a storage failure; the other members continue.
    if (const auto* read = std::get_if<consensus::ReadRequest>(&aEvent)) {
      FinishRead(read->m_id, false);
    }
    return;
  }
  m_events.push_back(std::move(aEvent));
  if (!m_processScheduled) {
    m_processScheduled = true;
    // Events that arrive together are handled as one batch, with one fsync.
    m_loop.Post([this] { Process(); });
  }
}

void Replica::Process()
{
  m_processScheduled = false;
  const auto events = std::exchange(m_events, {});
  if (!m_node) {
    return;
  }
  std::vector<consensus::Action> actions;
  const TimePoint started = MonotonicClock::Now();
  m_node->Handle(events, started, actions);
  const TimePoint handled = MonotonicClock::Now();
  if (handled - started > kSlowProcessing) {
    LogLine(LogLevel::Warning, "replica_slow")
      .Add("events", events.size())
      .Add("actions", actions.size())
      .Add("log_us", (handled - started).count());
  }
  Execute(std::move(actions));
  ArmTimer();
}

void Replica::ArmTimer()
{
  if (!m_node) {
    return;
  }
  const TimePoint next = m_node->NextTimeout();
  if (next == TimePoint::max() || (m_timer && m_timerAt <= next)) {
    return;
  }
  if (m_timer) {
    m_loop.Cancel(*m_timer);
  }
  m_timerAt = next;
  m_timer = m_loop.After(next - MonotonicClock::Now(), [this] {
    m_timer.reset();
    if (m_node && MonotonicClock::Now() >= m_node->NextTimeout()) {
      Push(consensus::Tick{});
    } else {
      ArmTimer();
    }
  });
}

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

void Replica::Close()
{
  SetLeading(false);
  m_leader.reset();
  m_snapshotSender.CancelAll();
  m_node.reset();
  m_storage.reset();
  m_events.clear();
  m_actions.clear();
  for (const auto& [id, callback] : std::exchange(m_proposals, {})) {
    callback(tl::make_unexpected(ProposeError::OutcomeUnknown));
  }
  for (const auto& [id, callback] : std::exchange(m_reads, {})) {
    callback(false);
  }
  m_loop.After(kReopenDelay, [this] { Reopen(); });
}

void Replica::Reopen()
{
  if (const auto recovered = Recover(); !recovered) {
    LogLine(LogLevel::Warning, "replica_reopen_failed")
      .Add("reason", recovered.error().m_reason);
    m_storage.reset();
    m_loop.After(kReopenDelay, [this] { Reopen(); });
    return;
  }
  LogLine(LogLevel::Info, "replica_reopened")
    .Add("folder", m_options.m_dataFolder);
}

void Replica::UpdateMembership()
{
  if (m_isLeading) {
    const auto status = m_node->Status();
    const auto self = status.m_identity.m_instance;
    const auto change = PlanMembership(m_options.m_membership,
                                       status,
                                       *m_state,
                                       m_joining,
                                       MonotonicClock::Now());
    if (change) {
      Push(consensus::ChangeMembership{ consensus::ProposalId(m_nextId++),
                                        *change });
    } else if (m_state->IsRetiring(self)) {
      TransferLeadership();
    }
  }
  m_joining.resize(std::min(m_joining.size(), std::size_t{ 64 }));
  m_loop.After(kMembershipInterval, [this] { UpdateMembership(); });
}

} // namespace auburntrestle::fleet
