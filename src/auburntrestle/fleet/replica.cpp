#include "auburntrestle/fleet/replica.hpp"

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
/** Bounds memory: the log since the last snapshot is also kept in memory. */
constexpr std::size_t kSnapshotThresholdBytes = std::size_t{ 4 } * 1024 * 1024;
/** Log entries before a snapshot that are kept, so that a member slightly
 * behind needs no snapshot. */
constexpr std::size_t kTrailingEntries = 128;
/** Retries are cheap: SnapshotSender skips chunks that an earlier attempt has
 * copied. */
constexpr Duration kSnapshotResendTimeout = std::chrono::milliseconds(500);
/** Fits one job with the largest request body that callers may send. */
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

std::vector<InstanceId> Replica::FindLostStores() const
{
  return m_contacts.FindLost(Status(),
                             *m_state,
                             m_options.m_membership.m_storeLossTimeout,
                             MonotonicClock::Now());
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
