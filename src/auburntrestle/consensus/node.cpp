#include "auburntrestle/consensus/node.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::consensus {

std::string_view ToString(NodeRole aRole) noexcept
{
  switch (aRole) {
    case NodeRole::Joining:
      return "joining";
    case NodeRole::Follower:
      return "follower";
    case NodeRole::PreCandidate:
      return "pre_candidate";
    case NodeRole::Candidate:
      return "candidate";
    case NodeRole::Leader:
      return "leader";
    case NodeRole::Stopped:
      return "stopped";
  }
  return "unknown";
}

Node::Node(Options aOptions, Storage& aStorage)
  : m_options(std::move(aOptions))
  , m_storage(&aStorage)
  , m_random(m_options.m_seed)
{
}

tl::expected<Node, StorageError> Node::Create(Options aOptions,
                                              Storage& aStorage,
                                              TimePoint aNow,
                                              std::vector<Action>& aActions)
{
  Node node(std::move(aOptions), aStorage);
  return node.Recover(aNow, aActions).map([&] { return std::move(node); });
}

tl::expected<void, StorageError> Node::Recover(TimePoint aNow,
                                               std::vector<Action>& aActions)
{
  m_now = aNow;
  auto recovered = m_storage->Load();
  if (!recovered) {
    return tl::unexpected(recovered.error());
  }
  if (recovered->m_tornRecord) {
    aActions.emplace_back(TornRecordRemoved{ *recovered->m_tornRecord });
  }
  const bool restarted = recovered->m_hardState.has_value();
  if (!restarted) {
    if (auto bootstrapped = Bootstrap(*recovered); !bootstrapped) {
      return bootstrapped;
    }
  }
  m_hardState = *recovered->m_hardState;
  m_hardState.m_boot = m_hardState.m_boot.Next();
  if (auto saved = m_storage->SaveHardState(m_hardState); !saved) {
    return saved;
  }
  m_identity = MemberIdentity{ m_options.m_self, m_hardState.m_incarnation };
  LoadLog(*recovered);
  m_session = Session{ m_hardState.m_boot,
                       m_options.m_sessionNonce,
                       m_hardState.m_term,
                       m_log.Last() };
  if (m_snapshot.m_index > LogIndex(0)) {
    aActions.emplace_back(
      InstallSnapshot{ m_snapshot, std::move(recovered->m_snapshot->m_state) });
  }
  if (m_role != NodeRole::Joining) {
    aActions.emplace_back(
      ConfigurationApplied{ m_snapshot.m_index,
                            m_configurations.front().m_configuration,
                            std::nullopt });
    if (restarted && m_options.m_verifyAfterRestart && IsVoter() &&
        RequiredVerifications() > 0) {
      m_verification.emplace();
    }
  }
  ResetElectionDeadline();
  if (m_options.m_firstElectionTimeout > Duration::zero()) {
    const auto spread =
      static_cast<std::uint64_t>(m_options.m_firstElectionTimeout.count());
    m_electionDeadline =
      m_now + m_options.m_firstElectionTimeout +
      Duration(static_cast<Duration::rep>(m_random.Below(spread)));
  }
  if (IsVoter() && CurrentConfiguration().VoterCount() == 1) {
    m_electionDeadline = aNow;
  }
  m_heartbeatDeadline = aNow;
  return {};
}

tl::expected<void, StorageError> Node::Bootstrap(RecoveredState& aRecovered)
{
  const bool listed =
    std::find(m_options.m_initialMembers.begin(),
              m_options.m_initialMembers.end(),
              m_options.m_self) != m_options.m_initialMembers.end();
  const bool isInitialMember =
    listed && (m_options.m_bootstrap ||
               !m_options.m_safeguards.m_newIncarnationAfterDiskLoss);
  HardState state;
  state.m_incarnation =
    isInitialMember ? kInitialIncarnation : m_options.m_newIncarnation;
  if (isInitialMember) {
    Snapshot initial;
    std::set<InstanceId> initialMembers(m_options.m_initialMembers.begin(),
                                        m_options.m_initialMembers.end());
    for (const InstanceId& instance : initialMembers) {
      initial.m_configuration.m_members.push_back(
        Member{ { instance, kInitialIncarnation }, MemberRole::Voter });
    }
    if (auto saved = m_storage->SaveSnapshot(initial, LogSuffix::Discard);
        !saved) {
      return saved;
    }
    aRecovered.m_snapshot = std::move(initial);
  }
  aRecovered.m_hardState = state;
  return {};
}

void Node::LoadLog(const RecoveredState& aRecovered)
{
  m_role = NodeRole::Joining;
  if (!aRecovered.m_snapshot) {
    return;
  }
  m_role = NodeRole::Follower;
  m_snapshot = aRecovered.m_snapshot->m_position;
  m_configurations = { { m_snapshot.m_index,
                         aRecovered.m_snapshot->m_configuration } };
  m_log = internal::Log(m_snapshot);
  m_log.Append(aRecovered.m_entries);
  for (const Entry& entry : aRecovered.m_entries) {
    if (const auto* changed = std::get_if<Configuration>(&entry.m_payload)) {
      m_configurations.push_back({ entry.m_index, *changed });
    }
  }
  m_commit = m_snapshot.m_index;
  m_applied = m_snapshot.m_index;
  m_syncedIndex = m_log.Last().m_index;
}

/** @param aHighestUsed the highest incarnation known to be in use. */
void Node::ResetAfterDiskLoss(Incarnation aHighestUsed)
{
  BecomeFollower(m_hardState.m_term, std::nullopt);
  const MemberIdentity previous = m_identity;
  m_hardState = HardState{};
  m_hardState.m_incarnation =
    std::max(m_options.m_newIncarnation, aHighestUsed.Next());
  m_hardState.m_boot = BootCount(1);
  if (!CheckStorage(m_storage->Reset(m_hardState))) {
    return;
  }
  m_identity.m_incarnation = m_hardState.m_incarnation;
  m_session = Session{ m_hardState.m_boot, m_options.m_sessionNonce, {}, {} };
  m_role = NodeRole::Joining;
  m_log = internal::Log();
  m_configurations.clear();
  m_snapshot = {};
  m_commit = {};
  m_applied = {};
  m_syncedIndex = {};
  m_hasUnsyncedEntries = false;
  m_verification.reset();
  m_minVotePosition = {};
  m_bytesSinceSnapshot = 0;
  m_actions->emplace_back(DiskLossDetected{ previous, m_identity });
  m_actions->emplace_back(InstallSnapshot{ {}, {} });
}

void Node::Handle(const Event& aEvent,
                  TimePoint aNow,
                  std::vector<Action>& aActions)
{
  Handle(std::span(&aEvent, 1), aNow, aActions);
}

void Node::Handle(std::span<const Event> aEvents,
                  TimePoint aNow,
                  std::vector<Action>& aActions)
{
  m_now = aNow;
  m_actions = &aActions;
  m_firstAction = aActions.size();
  for (const Event& event : aEvents) {
    std::visit([this](const auto& aEvent) { Process(aEvent); }, event);
  }
  FinishBatch();
  m_actions = nullptr;
}

void Node::FinishBatch()
{
  if (m_hasUnsyncedEntries && m_role != NodeRole::Stopped) {
    if (m_options.m_safeguards.m_syncBeforeAcknowledge &&
        !CheckStorage(m_storage->Sync())) {
      return;
    }
    m_hasUnsyncedEntries = false;
    m_syncedIndex = m_log.Last().m_index;
  }
  if (m_role == NodeRole::Leader) {
    AdvanceCommit();
  }
  if (m_role == NodeRole::Leader) {
    PromoteCaughtUpLearner();
    StartReadRound();
  }
  if (m_role == NodeRole::Leader) {
    for (auto& [member, progress] : m_progress) {
      SendEntries(member, progress);
    }
    SendSnapshots();
  }
  if (m_role == NodeRole::Leader && m_heartbeatDue) {
    SendHeartbeats();
  }
  RequestSnapshotIfDue();
  // A promotion appended above must be synced before the actions are visible.
  if (m_hasUnsyncedEntries && m_role != NodeRole::Stopped) {
    FinishBatch();
  }
}

void Node::Process(const Tick& /*aEvent*/)
{
  if (m_role == NodeRole::Stopped) {
    return;
  }
  if (m_role == NodeRole::Leader) {
    if (m_transferTarget && m_now >= m_transferDeadline) {
      m_transferTarget.reset();
    }
    CheckQuorum();
  } else if (IsVoter() && !m_verification && m_now >= m_electionDeadline) {
    if (m_log.Last() >= m_minVotePosition) {
      StartElection(m_options.m_safeguards.m_preVote, false);
    } else {
      ResetElectionDeadline();
    }
  } else if (!IsVoter() && m_now >= m_electionDeadline) {
    // A voter forgets a silent leader when it starts an election.
    SetLeader(std::nullopt);
    ResetElectionDeadline();
  }
  if (m_now >= m_heartbeatDeadline) {
    m_heartbeatDeadline = m_now + m_options.m_heartbeatInterval;
    if (m_role == NodeRole::Leader) {
      m_heartbeatDue = true;
    } else if (IsNonMember()) {
      m_heartbeatDeadline = m_now + m_options.m_joinInterval;
      SendJoinRequests();
    } else if (m_verification) {
      SendVerifyRequests();
    }
  }
}

bool Node::IsNonMember() const
{
  // Its own configuration may be older than its removal.
  return CurrentConfiguration().Find(m_identity) == nullptr ||
         (!m_receivedMembers.empty() &&
          !m_receivedMembers.contains(m_identity.m_instance));
}

void Node::Process(const MemberListReceived& aEvent)
{
  m_receivedMembers.clear();
  m_receivedMembers.insert(aEvent.m_members.begin(), aEvent.m_members.end());
}

void Node::SendJoinRequests()
{
  if (m_leader && m_now < m_leaderContact + m_options.m_electionTimeout) {
    // The leader knows this member; the change has not arrived here yet.
    return;
  }
  std::set<InstanceId> recipients(m_options.m_initialMembers.begin(),
                                  m_options.m_initialMembers.end());
  for (const Member& member : CurrentConfiguration().m_members) {
    recipients.insert(member.m_identity.m_instance);
  }
  recipients.insert(m_receivedMembers.begin(), m_receivedMembers.end());
  recipients.erase(m_options.m_self);
  for (const InstanceId& instance : recipients) {
    Send({ instance, kAnyIncarnation }, JoinRequest{});
  }
}

void Node::Process(const SnapshotTaken& aEvent)
{
  m_snapshotRequested = false;
  if (m_role == NodeRole::Stopped || m_role == NodeRole::Joining ||
      aEvent.m_index <= m_snapshot.m_index || aEvent.m_index > m_applied) {
    return;
  }
  const std::optional<Term> term = m_log.TermAt(aEvent.m_index);
  if (!term) {
    return;
  }
  Snapshot snapshot;
  snapshot.m_position = LogPosition{ *term, aEvent.m_index };
  snapshot.m_configuration = ConfigurationAtIndex(aEvent.m_index);
  snapshot.m_state = aEvent.m_state;
  // Sync entries of the same batch of events first: saving the snapshot deletes
  // older segments, and the unsynced entries must not be lost with them.
  if (m_hasUnsyncedEntries && !CheckStorage(m_storage->Sync())) {
    return;
  }
  if (!CheckStorage(m_storage->SaveSnapshot(snapshot, LogSuffix::Keep))) {
    return;
  }
  m_snapshot = snapshot.m_position;
  while (m_configurations.size() > 1 &&
         m_configurations[1].m_index <= m_snapshot.m_index) {
    m_configurations.erase(m_configurations.begin());
  }
  m_bytesSinceSnapshot = 0;
  for (LogIndex index = m_snapshot.m_index.Next(); index <= m_applied;
       index = index.Next()) {
    m_bytesSinceSnapshot += SizeOf(*m_log.At(index));
  }
  m_log.EraseUpTo(m_log.StartOfTrailing(m_snapshot.m_index,
                                        m_options.m_trailingEntries,
                                        m_options.m_trailingBytes));
}

void Node::RequestSnapshotIfDue()
{
  const std::uint64_t entries = m_applied.Get() - m_snapshot.m_index.Get();
  if (m_snapshotRequested || m_role == NodeRole::Stopped || entries == 0 ||
      (m_bytesSinceSnapshot <= m_options.m_snapshotThresholdBytes &&
       entries <= m_options.m_snapshotThresholdEntries)) {
    return;
  }
  m_snapshotRequested = true;
  m_actions->emplace_back(TakeSnapshot{ m_applied });
}

TimePoint Node::NextTimeout() const noexcept
{
  if (m_role == NodeRole::Stopped) {
    return TimePoint::max();
  }
  if (m_role == NodeRole::Leader) {
    return std::min(m_heartbeatDeadline, m_quorumDeadline);
  }
  if (m_verification || CurrentConfiguration().Find(m_identity) == nullptr) {
    return m_heartbeatDeadline;
  }
  return m_electionDeadline;
}

NodeStatus Node::Status() const
{
  NodeStatus status;
  status.m_identity = m_identity;
  status.m_role = m_role;
  status.m_term = m_hardState.m_term;
  status.m_leader = LeaderInstance();
  status.m_last = m_log.Last();
  status.m_commit = m_commit;
  status.m_applied = m_applied;
  status.m_snapshot = m_snapshot;
  status.m_configuration = CurrentConfiguration();
  status.m_isConfigurationCommitted =
    m_configurations.empty() || m_configurations.back().m_index <= m_commit;
  status.m_verified = !m_verification;
  for (const auto& [member, progress] : m_progress) {
    status.m_progress.push_back(
      { member, progress.m_match, progress.m_lastContact });
  }
  return status;
}

const Configuration& Node::CurrentConfiguration() const noexcept
{
  static const Configuration kNone;
  return m_configurations.empty() ? kNone
                                  : m_configurations.back().m_configuration;
}

const Configuration& Node::ConfigurationAtIndex(LogIndex aIndex) const
{
  const auto after = std::find_if(m_configurations.begin() + 1,
                                  m_configurations.end(),
                                  [&](const IndexedConfiguration& aIndexed) {
                                    return aIndexed.m_index > aIndex;
                                  });
  return std::prev(after)->m_configuration;
}

bool Node::CountsTowardsMajority(const Member& aMember) const noexcept
{
  return aMember.m_role == MemberRole::Voter ||
         !m_options.m_safeguards.m_learnersDoNotCount;
}

std::size_t Node::Majority() const noexcept
{
  return CurrentConfiguration().VoterCount() / 2 + 1;
}

bool Node::IsVoter() const noexcept
{
  return CurrentConfiguration().IsVoter(m_identity);
}

std::optional<InstanceId> Node::LeaderInstance() const
{
  return m_leader ? std::optional(m_leader->m_instance) : std::nullopt;
}

void Node::Reject(ProposalId aId, RejectionReason aReason)
{
  m_actions->emplace_back(ProposalRejected{ aId, aReason, LeaderInstance() });
}

bool Node::CheckStorage(const tl::expected<void, StorageError>& aResult)
{
  if (aResult) {
    return true;
  }
  Stop(StopReason::StorageFailed, aResult.error());
  return false;
}

void Node::Stop(StopReason aReason, std::optional<StorageError> aError)
{
  if (m_role == NodeRole::Stopped) {
    return;
  }
  if (aReason == StopReason::StorageFailed) {
    // Messages of this call may acknowledge data that was not stored.
    const auto first =
      m_actions->begin() + static_cast<std::ptrdiff_t>(m_firstAction);
    m_actions->erase(
      std::remove_if(first,
                     m_actions->end(),
                     [](const Action& aAction) {
                       return std::holds_alternative<SendMessage>(aAction);
                     }),
      m_actions->end());
  }
  ClearLeaderState();
  m_role = NodeRole::Stopped;
  SetLeader(std::nullopt);
  m_actions->emplace_back(MemberStopped{ aReason, std::move(aError) });
}

} // namespace auburntrestle::consensus
