#include "auburntrestle/daemon/internal/ledger_implementation.hpp"

#include "auburntrestle/daemon/peer_methods.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/consensus_codec.hpp"

#include <chrono>
#include <random>
#include <utility>

namespace auburntrestle::daemon {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(50);
// Leases and claims expire by the ledger's clock, which only commands advance.
constexpr Duration kAdvanceInterval = std::chrono::seconds(1);

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

Incarnation WallClockIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
}

consensus::Options MakeOptions(const settings::InstanceSettings& aSettings,
                               bool aBootstrap)
{
  consensus::Options options;
  options.m_self = aSettings.m_instance.m_id;
  for (const auto& member : aSettings.m_ledger.m_members) {
    options.m_initialMembers.push_back(member.m_id);
  }
  // A ledger of one member is lost with its disk, so a start on an empty folder
  // is always treated as the first one.
  options.m_bootstrap = aBootstrap || options.m_initialMembers.size() == 1;
  options.m_newIncarnation = WallClockIncarnation();
  // At 50 ms an idle leader with two followers sends and receives 15.7 KB/s,
  // which exceeds the control traffic budget of 13 KB/s.
  options.m_heartbeatInterval = std::chrono::milliseconds(100);
  options.m_electionTimeout = std::chrono::milliseconds(500);
  options.m_seed = RandomNumber();
  options.m_sessionNonce = RandomNumber();
  return options;
}

} // namespace

LedgerService::Implementation::Implementation(
  const settings::InstanceSettings& aSettings,
  ControlLoop& aMainLoop,
  protocol::PeerTransport* aTransport,
  ledger::InstanceIdentity aIdentity,
  LedgerListener aListener)
  : m_self(aSettings.m_instance.m_id)
  , m_site(aSettings.m_instance.m_site)
  , m_mainLoop(aMainLoop)
  , m_transport(aTransport)
  , m_identity(std::move(aIdentity))
  , m_listener(std::move(aListener))
{
  for (const auto& member : aSettings.m_ledger.m_members) {
    if (member.m_id != m_self) {
      m_otherMembers.push_back(member.m_id);
    }
  }
}

void LedgerService::Implementation::Stop()
{
  m_loop.Stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

tl::expected<void, LedgerOpenError> LedgerService::Implementation::Open(
  const settings::InstanceSettings& aSettings,
  bool aBootstrap)
{
  auto storage = consensus::FileStorage::Open(
    (aSettings.m_ledger.m_dataFolder / "ledger").string(), m_files);
  if (!storage) {
    return tl::make_unexpected(
      LedgerOpenError{ consensus::Describe(storage.error()) });
  }
  m_storage = std::move(*storage);
  std::vector<consensus::Action> actions;
  auto node = consensus::Node::Create(MakeOptions(aSettings, aBootstrap),
                                      *m_storage,
                                      MonotonicClock::Now(),
                                      actions);
  if (!node) {
    return tl::make_unexpected(
      LedgerOpenError{ consensus::Describe(node.error()) });
  }
  m_node.emplace(std::move(*node));
  Execute(actions);
  return {};
}

void LedgerService::Implementation::Start()
{
  if (m_node) {
    m_loop.RunPeriodically(kTickInterval, [this] {
      if (MonotonicClock::Now() >= m_node->NextTimeout()) {
        Push(consensus::Tick{});
      }
    });
    m_loop.RunPeriodically(kAdvanceInterval, [this] { AdvanceTime(); });
  }
  m_thread = std::thread([this] { m_loop.Run(); });
}

void LedgerService::Implementation::HandleMessage(const std::string& aPayload)
{
  auto message = protocol::DecodeConsensus(aPayload);
  if (message) {
    Post([this, message = std::move(*message)]() mutable {
      if (m_node) {
        Push(consensus::MessageReceived{ std::move(message) });
      }
    });
  }
}

void LedgerService::Implementation::Status(
  std::function<void(consensus::NodeStatus)> aCallback)
{
  Post([this, callback = std::move(aCallback)] {
    auto status = m_node ? m_node->Status() : consensus::NodeStatus{};
    if (!m_node) {
      status.m_leader = m_lastTarget;
    }
    m_mainLoop.Post(
      [callback, status = std::move(status)] { callback(status); });
  });
}

void LedgerService::Implementation::ChangeMembership(
  consensus::MembershipChange aChange,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  Post([this, change = std::move(aChange), callback = std::move(aCallback)] {
    if (!m_node) {
      m_mainLoop.Post([callback] {
        callback(tl::make_unexpected(consensus::RejectionReason::NotLeader));
      });
      return;
    }
    const consensus::ProposalId id(m_nextProposal++);
    m_changes.emplace(id, callback);
    Push(consensus::ChangeMembership{ id, change });
  });
}

void LedgerService::Implementation::AddMember(
  const InstanceId& aInstance,
  const std::string& aAddress,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  Post([this,
        instance = aInstance,
        address = aAddress,
        callback = std::move(aCallback)] {
    const auto joining = m_joining.find(instance);
    if (joining == m_joining.end()) {
      const bool isLeader = m_node && m_node->IsLeader();
      m_mainLoop.Post([callback, isLeader] {
        callback(tl::make_unexpected(
          isLeader ? consensus::RejectionReason::NotJoining
                   : consensus::RejectionReason::NotLeader));
      });
      return;
    }
    if (m_transport != nullptr) {
      std::ignore = m_transport->SetPeer(instance, address);
    }
    ChangeMembership(consensus::AddLearner{ consensus::MemberIdentity{
                       instance, joining->second } },
                     callback);
  });
}

void LedgerService::Implementation::TransferLeadership()
{
  Post([this] {
    if (m_node) {
      Push(consensus::TransferLeadership{});
    }
  });
}

void LedgerService::Implementation::Read(ReadCallback aCallback)
{
  const consensus::ReadId id(m_nextRead++);
  m_reads.emplace(id, std::move(aCallback));
  Push(consensus::ReadRequest{ id });
}

void LedgerService::Implementation::AdvanceTime()
{
  const auto size = m_state.Size();
  if (CanPropose() && size.m_claims + size.m_leases > 0) {
    auto pending = std::make_shared<PendingCommand>();
    pending->m_command = ledger::AdvanceTime{};
    pending->m_deadline = MonotonicClock::Now();
    pending->m_callback = [](const LedgerResult&) {};
    ProposeLocally(pending);
  }
}

void LedgerService::Implementation::Push(consensus::Event aEvent)
{
  m_events.push_back(std::move(aEvent));
  if (!m_scheduled) {
    m_scheduled = true;
    Post([this] { Process(); });
  }
}

void LedgerService::Implementation::Process()
{
  m_scheduled = false;
  const auto events = std::exchange(m_events, {});
  std::vector<consensus::Action> actions;
  m_node->Handle(events, MonotonicClock::Now(), actions);
  Execute(actions);
}

void LedgerService::Implementation::Execute(
  const std::vector<consensus::Action>& aActions)
{
  for (const auto& action : aActions) {
    std::visit([this](const auto& aAction) { On(aAction); }, action);
  }
}

void LedgerService::Implementation::On(const consensus::SendMessage& aAction)
{
  if (m_transport) {
    std::ignore =
      m_transport->Send(aAction.m_message.m_to.m_instance,
                        kConsensusChannel,
                        protocol::EncodeConsensus(aAction.m_message));
  }
}

void LedgerService::Implementation::On(const consensus::ApplyEntry& aAction)
{
  const auto result =
    m_state.Apply(aAction.m_index, aAction.m_term, aAction.m_command.Get());
  AnnounceConfiguration();
  if (!aAction.m_proposal) {
    return;
  }
  const auto found = m_proposals.find(*aAction.m_proposal);
  if (found != m_proposals.end()) {
    const auto pending = std::move(found->second);
    m_proposals.erase(found);
    Complete(pending, result);
  }
}

void LedgerService::Implementation::On(
  const consensus::ProposalRejected& aAction)
{
  const auto change = m_changes.find(aAction.m_id);
  if (change != m_changes.end()) {
    m_mainLoop.Post([callback = change->second, reason = aAction.m_reason] {
      callback(tl::make_unexpected(reason));
    });
    m_changes.erase(change);
    return;
  }
  const auto found = m_proposals.find(aAction.m_id);
  if (found == m_proposals.end()) {
    return;
  }
  const auto pending = std::move(found->second);
  m_proposals.erase(found);
  const bool notRun = consensus::IsNotRun(aAction.m_reason);
  if (pending->m_forwardedReply) {
    const std::string reason(consensus::ToString(aAction.m_reason));
    if (notRun) {
      pending->m_forwardedReply->Refuse(reason);
    } else {
      pending->m_forwardedReply->Fail(reason);
    }
    return;
  }
  pending->m_maybeCommitted = pending->m_maybeCommitted || !notRun;
  ScheduleRetry(pending);
}

void LedgerService::Implementation::On(const consensus::ReadConfirmed& aAction)
{
  FinishRead(aAction.m_id, true);
}

void LedgerService::Implementation::On(const consensus::ReadRejected& aAction)
{
  FinishRead(aAction.m_id, false);
}

void LedgerService::Implementation::FinishRead(consensus::ReadId aId,
                                               bool aConfirmed)
{
  const auto found = m_reads.find(aId);
  if (found != m_reads.end()) {
    const auto callback = std::move(found->second);
    m_reads.erase(found);
    callback(aConfirmed);
  }
}

void LedgerService::Implementation::On(
  const consensus::InstallSnapshot& aAction)
{
  auto restored = ledger::StateMachine::Restore(aAction.m_state);
  if (!restored) {
    observe::LogLine(observe::LogLevel::Error, "ledger_snapshot_unreadable")
      .Add("index", aAction.m_position.m_index);
    return;
  }
  m_state = std::move(*restored);
  AnnounceConfiguration();
}

void LedgerService::Implementation::On(const consensus::TakeSnapshot& aAction)
{
  Push(consensus::SnapshotTaken{ aAction.m_index, m_state.Snapshot() });
}

void LedgerService::Implementation::On(
  const consensus::LeadershipChanged& aAction)
{
  observe::LogLine(observe::LogLevel::Info, "ledger_leadership")
    .Add("term", aAction.m_term)
    .Add("leader", aAction.m_leader ? aAction.m_leader->Get() : "none")
    .Add("is_leader", aAction.m_isLeader);
  m_clock.reset();
  m_leadership = Leadership{ aAction.m_term, aAction.m_leader, false };
  AnnounceLeadership();
  if (aAction.m_isLeader) {
    PrepareLeadership(aAction.m_term);
  }
}

void LedgerService::Implementation::PrepareLeadership(Term aTerm)
{
  Read([this, aTerm](bool aConfirmed) {
    if (!m_node->IsLeader() || m_leadership.m_term != aTerm) {
      return;
    }
    if (!aConfirmed) {
      m_loop.RunAfter(kReadRetryDelay,
                      [this, aTerm] { PrepareLeadership(aTerm); });
      return;
    }
    m_clock.emplace(m_state.Now(), MonotonicClock::Now());
    m_leadership.m_isLeading = true;
    AnnounceLeadership();
  });
}

void LedgerService::Implementation::AnnounceLeadership()
{
  m_mainLoop.Post([this, leadership = m_leadership] {
    m_listener.m_onLeadership(leadership);
  });
}

void LedgerService::Implementation::AnnounceConfiguration()
{
  if (m_state.NewestRevision() > m_announcedRevision) {
    m_announcedRevision = m_state.NewestRevision();
    m_mainLoop.Post([this, found = m_state.ConfigurationOf(m_site)] {
      m_listener.m_onConfiguration(found);
    });
  }
}

void LedgerService::Implementation::On(
  const consensus::ConfigurationApplied& aAction)
{
  observe::LogLine(observe::LogLevel::Info, "ledger_members_changed")
    .Add("index", aAction.m_index)
    .Add("members", aAction.m_configuration.m_members.size())
    .Add("voters", aAction.m_configuration.VoterCount());
  if (!aAction.m_proposal) {
    return;
  }
  const auto found = m_changes.find(*aAction.m_proposal);
  if (found != m_changes.end()) {
    m_mainLoop.Post([callback = found->second] { callback({}); });
    m_changes.erase(found);
  }
}

void LedgerService::Implementation::On(const consensus::JoinRequested& aAction)
{
  observe::LogLine(observe::LogLevel::Info, "ledger_join_requested")
    .Add("member", aAction.m_member.m_instance)
    .Add("incarnation", aAction.m_member.m_incarnation);
  m_joining.insert_or_assign(aAction.m_member.m_instance,
                             aAction.m_member.m_incarnation);
}

void LedgerService::Implementation::On(
  const consensus::TornRecordRemoved& aAction)
{
  observe::LogLine(observe::LogLevel::Warning, "ledger_torn_record_removed")
    .Add("file", aAction.m_record.m_file)
    .Add("offset", aAction.m_record.m_offset)
    .Add("bytes", aAction.m_record.m_bytes);
}

void LedgerService::Implementation::On(
  const consensus::DiskLossDetected& aAction)
{
  observe::LogLine(observe::LogLevel::Error, "ledger_disk_loss")
    .Add("previous_incarnation", aAction.m_previous.m_incarnation)
    .Add("incarnation", aAction.m_current.m_incarnation);
}

void LedgerService::Implementation::On(const consensus::MemberStopped& aAction)
{
  observe::LogLine(observe::LogLevel::Error, "ledger_member_stopped")
    .Add("removed", aAction.m_reason == consensus::StopReason::Removed)
    .Add("reason",
         aAction.m_error ? consensus::Describe(*aAction.m_error) : "none");
}

} // namespace auburntrestle::daemon
