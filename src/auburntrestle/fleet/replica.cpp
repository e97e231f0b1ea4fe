#include "auburntrestle/fleet/replica.hpp"

#include "auburntrestle/fleet/codec.hpp"
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
/** Longer processing is logged, because it delays heartbeats. */
constexpr Duration kSlowProcessing = std::chrono::milliseconds(50);
/** From a failure of the storage until it is opened again. */
constexpr Duration kReopenDelay = std::chrono::seconds(1);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(50);
/** The log since the last snapshot is also kept in memory. */
constexpr std::size_t kSnapshotAfterBytes = std::size_t{ 4 } * 1024 * 1024;
/** Entries kept before a snapshot for members that are a little behind. */
constexpr std::size_t kTrailingEntries = 128;
/** The sender of snapshots leaves out what a try before has copied. */
constexpr Duration kSnapshotRetry = std::chrono::milliseconds(500);
/** Work on the state machine before timers and messages get their turn. */
constexpr Duration kApplySlice = std::chrono::milliseconds(10);
/** One job of the largest body that callers may send. */
constexpr std::size_t kMaxCommandBytes = std::size_t{ 32 } * 1024 * 1024;

std::uint64_t RandomNumber()
{
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{ device() } << kHalfBits) | device();
}

} // namespace

Replica::Replica(event_loop::EventLoop& aLoop,
                 ReplicaOptions aOptions,
                 ReplicaListener aListener)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_listener(std::move(aListener))
  , m_sender(m_listener.m_callPart, m_listener.m_send)
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
  replica->PlanMembers();
  return replica;
}

consensus::Options Replica::MakeOptions() const
{
  consensus::Options options;
  options.m_self = m_options.m_self;
  options.m_initialMembers = m_options.m_seeds;
  // Only the seeds know of each other, so only they can found the log.
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
  options.m_joinInterval = kJoinInterval;
  options.m_firstElectionTimeout = kFirstElectionTimeout;
  options.m_seed = RandomNumber();
  options.m_sessionNonce = RandomNumber();
  options.m_maxCommandBytes = kMaxCommandBytes;
  options.m_maxUncommittedBytes = 2 * kMaxCommandBytes;
  options.m_snapshotThresholdBytes = kSnapshotAfterBytes;
  options.m_trailingEntries = kTrailingEntries;
  options.m_snapshotResendTimeout = kSnapshotRetry;
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
  auto texts = OutputStore::Open(m_options.m_dataFolder + "/texts",
                                 m_files,
                                 static_cast<std::uint32_t>(RandomNumber()));
  if (!texts) {
    return tl::make_unexpected(ReplicaError{ texts.error().m_file });
  }
  m_state.emplace(**texts);
  m_texts = std::move(*texts);
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
    m_texts->KeepOnly({});
  }
  // The owner is not ready for callbacks before Open has returned.
  m_loop.Post([this, actions = std::move(actions)] {
    Carry(actions);
    ArmTimer();
  });
  return {};
}

void Replica::Propose(const Command& aCommand, ProposeCallback aCallback)
{
  if (!m_leads) {
    aCallback(tl::make_unexpected(ProposeError::NotLeader));
    return;
  }
  const consensus::ProposalId id(m_nextId++);
  m_proposals.emplace(id, std::move(aCallback));
  Push(consensus::Propose{ id, Encode(aCommand) });
}

void Replica::ConfirmRead(std::function<void(bool)> aCallback)
{
  const consensus::ReadId id(m_nextId++);
  m_reads.emplace(id, std::move(aCallback));
  Push(consensus::ReadRequest{ id });
}

void Replica::TakeMessage(const std::string& aPayload)
{
  auto message = protocol::DecodeConsensus(aPayload);
  if (!message) {
    LogLine(LogLevel::Warning, "log_message_unreadable")
      .Add("error", protocol::ToString(message.error().m_code));
    return;
  }
  Push(consensus::MessageReceived{ std::move(*message) });
}

std::vector<InstanceId> Replica::LogMembers() const
{
  std::vector<InstanceId> members;
  for (const auto& member : Status().m_configuration.m_members) {
    members.push_back(member.m_identity.m_instance);
  }
  return members;
}

void Replica::NameMembers(const std::vector<InstanceId>& aMembers)
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
    // Closed after a failure of the storage; other members go on.
    if (const auto* read = std::get_if<consensus::ReadRequest>(&aEvent)) {
      FinishRead(read->m_id, false);
    }
    return;
  }
  m_events.push_back(std::move(aEvent));
  if (!m_scheduled) {
    m_scheduled = true;
    // Events that arrive together share one sync of the storage.
    m_loop.Post([this] { Process(); });
  }
}

void Replica::Process()
{
  m_scheduled = false;
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
  Carry(std::move(actions));
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

void Replica::Carry(std::vector<consensus::Action> aActions)
{
  for (auto& action : aActions) {
    // Messages keep leadership alive, so they never wait for the state machine.
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
  const auto state = State::Restore(aBody.m_snapshot.m_state, *m_texts);
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
  m_sender.Start(aMessage.m_to.m_instance,
                 state->OutputSegments(),
                 protocol::EncodeConsensus(aMessage),
                 *m_texts,
                 MonotonicClock::Now());
}

tl::expected<std::uint64_t, OutputStoreError> Replica::TakeTextPart(
  const OutputChunk& aPart)
{
  if (!m_node) {
    return tl::make_unexpected(OutputStoreError{});
  }
  return m_texts->AppendChunk(
    aPart.m_segment, aPart.m_offset, aPart.m_bytes, aPart.m_last);
}

std::set<OutputSegment> Replica::SegmentsInUse() const
{
  std::set<OutputSegment> segments;
  for (const auto& [segment, end] : m_state->OutputSegments()) {
    segments.insert(segment);
  }
  return segments;
}

void Replica::StorageFailed(const OutputStoreError& aError)
{
  LogLine(LogLevel::Error, "replica_stopped")
    .Add("reason", "text_store")
    .Add("file", aError.m_file)
    .Add("error", aError.m_systemError);
  // Nothing after the failed command may be applied.
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
    StorageFailed(applied.error());
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
  callback(tl::make_unexpected(consensus::IsNotRun(aAction.m_reason)
                                 ? ProposeError::NotLeader
                                 : ProposeError::OutcomeUnknown));
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
  auto restored = State::Restore(aAction.m_state, *m_texts);
  if (!restored) {
    LogLine(LogLevel::Error, "snapshot_unreadable")
      .Add("index", aAction.m_position.m_index);
    return;
  }
  m_state = std::move(*restored);
  m_snapshotSegments = SegmentsInUse();
  m_texts->KeepOnly(m_snapshotSegments);
  if (std::exchange(m_recovering, false)) {
    if (const auto cut = m_texts->Trim(m_state->OutputSegments()); !cut) {
      StorageFailed(cut.error());
      return;
    }
  }
  m_listener.m_onRestored();
}

void Replica::On(const consensus::TakeSnapshot& aAction)
{
  if (const auto synced = m_texts->Sync(); !synced) {
    StorageFailed(synced.error());
    return;
  }
  // The snapshot before this one is durable, and older ones are gone.
  auto keep = SegmentsInUse();
  const auto needed = keep;
  keep.insert(m_snapshotSegments.begin(), m_snapshotSegments.end());
  keep.merge(m_sender.Segments());
  m_texts->KeepOnly(keep);
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
  SetLeads(false);
  if (aAction.m_isLeader) {
    PrepareLeadership(aAction.m_term);
  }
}

void Replica::PrepareLeadership(Term aTerm)
{
  // The state is complete only once the first read is confirmed.
  ConfirmRead([this, aTerm](bool aConfirmed) {
    if (!m_node || !m_node->IsLeader() || m_term != aTerm) {
      return;
    }
    if (aConfirmed) {
      SetLeads(true);
    } else {
      m_loop.After(kReadRetryDelay,
                   [this, aTerm] { PrepareLeadership(aTerm); });
    }
  });
}

void Replica::SetLeads(bool aLeads)
{
  if (std::exchange(m_leads, aLeads) != aLeads) {
    m_listener.m_onLeading(aLeads);
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
  SetLeads(false);
  m_leader.reset();
  m_sender.Stop();
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

void Replica::PlanMembers()
{
  if (m_leads) {
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
  m_loop.After(kMembershipInterval, [this] { PlanMembers(); });
}

} // namespace auburntrestle::fleet
