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
  if (recovered->m_torn) {
    aActions.emplace_back(TornRecordRemoved{ *recovered->m_torn });
  }
  const bool restarted = recovered->m_hardState.has_value();
  if (!restarted) {
    if (auto founded = Found(*recovered); !founded) {
      return founded;
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
        AnswersNeeded() > 0) {
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
  if (IsVoter() && Current().VoterCount() == 1) {
    m_electionDeadline = aNow;
  }
  m_heartbeatDeadline = aNow;
  return {};
}

tl::expected<void, StorageError> Node::Found(Recovered& aRecovered)
{
  const bool listed = std::find(m_options.m_founders.begin(),
                                m_options.m_founders.end(),
                                m_options.m_self) != m_options.m_founders.end();
  const bool founding =
    listed && (m_options.m_bootstrap ||
               !m_options.m_safeguards.m_newIncarnationAfterDiskLoss);
  HardState state;
  state.m_incarnation =
    founding ? kFoundingIncarnation : m_options.m_freshIncarnation;
  if (founding) {
    Snapshot initial;
    std::set<InstanceId> founders(m_options.m_founders.begin(),
                                  m_options.m_founders.end());
    for (const InstanceId& founder : founders) {
      initial.m_configuration.m_members.push_back(
        Member{ { founder, kFoundingIncarnation }, MemberRole::Voter });
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

void Node::LoadLog(const Recovered& aRecovered)
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
  m_synced = m_log.Last().m_index;
}

/** @param aKnown the highest incarnation known to have been used. */
void Node::Retire(Incarnation aKnown)
{
  BecomeFollower(m_hardState.m_term, std::nullopt);
  const MemberIdentity previous = m_identity;
  m_hardState = HardState{};
  m_hardState.m_incarnation =
    std::max(m_options.m_freshIncarnation, aKnown.Next());
  m_hardState.m_boot = BootCount(1);
  if (!Check(m_storage->Reset(m_hardState))) {
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
  m_synced = {};
  m_unsynced = false;
  m_verification.reset();
  m_voteFloor = {};
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
  Finish();
  m_actions = nullptr;
}

void Node::Finish()
{
  if (m_unsynced && m_role != NodeRole::Stopped) {
    if (m_options.m_safeguards.m_syncBeforeAcknowledge &&
        !Check(m_storage->Sync())) {
      return;
    }
    m_unsynced = false;
    m_synced = m_log.Last().m_index;
  }
  if (m_role == NodeRole::Leader) {
    AdvanceCommit();
  }
  if (m_role == NodeRole::Leader) {
    PromoteCaughtUp();
    StartReadRound();
  }
  if (m_role == NodeRole::Leader) {
    for (auto& [member, progress] : m_progress) {
      SendEntries(member, progress);
    }
  }
  if (m_role == NodeRole::Leader && m_heartbeatDue) {
    SendHeartbeats();
  }
  WantSnapshot();
  // A change appended above is synced before its actions become visible.
  if (m_unsynced && m_role != NodeRole::Stopped) {
    Finish();
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
    if (m_log.Last() >= m_voteFloor) {
      StartElection(m_options.m_safeguards.m_preVote, false);
    } else {
      ResetElectionDeadline();
    }
  }
  if (m_now >= m_heartbeatDeadline) {
    m_heartbeatDeadline = m_now + m_options.m_heartbeatInterval;
    if (m_role == NodeRole::Leader) {
      m_heartbeatDue = true;
    } else if (IsOutside()) {
      m_heartbeatDeadline = m_now + m_options.m_joinInterval;
      AskToJoin();
    } else if (m_verification) {
      AskForVerification();
    }
  }
}

bool Node::IsOutside() const
{
  // A configuration of its own may be from before it was removed.
  return Current().Find(m_identity) == nullptr ||
         (!m_namedMembers.empty() &&
          !m_namedMembers.contains(m_identity.m_instance));
}

void Node::Process(const MembersNamed& aEvent)
{
  m_namedMembers.clear();
  m_namedMembers.insert(aEvent.m_members.begin(), aEvent.m_members.end());
}

void Node::AskToJoin()
{
  if (m_leader && m_now < m_leaderContact + m_options.m_electionTimeout) {
    // The leader knows this member, from a change not yet received here.
    return;
  }
  std::set<InstanceId> asked(m_options.m_founders.begin(),
                             m_options.m_founders.end());
  for (const Member& member : Current().m_members) {
    asked.insert(member.m_identity.m_instance);
  }
  asked.insert(m_namedMembers.begin(), m_namedMembers.end());
  asked.erase(m_options.m_self);
  for (const InstanceId& instance : asked) {
    Send({ instance, kAnyIncarnation }, JoinRequest{});
  }
}

void Node::Process(const SnapshotTaken& aEvent)
{
  m_snapshotAsked = false;
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
  snapshot.m_configuration = ConfigurationFor(aEvent.m_index);
  snapshot.m_state = aEvent.m_state;
  // Entries appended in the same batch of events must not be lost between the
  // segments that the snapshot lets the storage delete.
  if (m_unsynced && !Check(m_storage->Sync())) {
    return;
  }
  if (!Check(m_storage->SaveSnapshot(snapshot, LogSuffix::Keep))) {
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
  const std::uint64_t trailing = m_options.m_trailingEntries;
  if (m_snapshot.m_index.Get() > trailing) {
    m_log.DropUpTo(std::max(m_log.Base().m_index,
                            LogIndex(m_snapshot.m_index.Get() - trailing)));
  }
}

void Node::WantSnapshot()
{
  const std::uint64_t entries = m_applied.Get() - m_snapshot.m_index.Get();
  if (m_snapshotAsked || m_role == NodeRole::Stopped || entries == 0 ||
      (m_bytesSinceSnapshot <= m_options.m_snapshotAfterBytes &&
       entries <= m_options.m_snapshotAfterEntries)) {
    return;
  }
  m_snapshotAsked = true;
  m_actions->emplace_back(SnapshotWanted{ m_applied });
}

TimePoint Node::NextTimeout() const noexcept
{
  if (m_role == NodeRole::Stopped) {
    return TimePoint::max();
  }
  if (m_role == NodeRole::Leader) {
    return std::min(m_heartbeatDeadline, m_quorumDeadline);
  }
  if (m_verification || Current().Find(m_identity) == nullptr) {
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
  status.m_configuration = Current();
  status.m_verified = !m_verification;
  for (const auto& [member, progress] : m_progress) {
    status.m_progress.push_back(
      { member, progress.m_match, progress.m_lastContact });
  }
  return status;
}

const Configuration& Node::Current() const noexcept
{
  static const Configuration kNone;
  return m_configurations.empty() ? kNone
                                  : m_configurations.back().m_configuration;
}

const Configuration& Node::ConfigurationFor(LogIndex aIndex) const
{
  const auto after = std::find_if(
    m_configurations.begin() + 1,
    m_configurations.end(),
    [&](const ConfigurationAt& aAt) { return aAt.m_index > aIndex; });
  return std::prev(after)->m_configuration;
}

bool Node::Counts(const Member& aMember) const noexcept
{
  return aMember.m_role == MemberRole::Voter ||
         !m_options.m_safeguards.m_learnersDoNotCount;
}

std::size_t Node::Majority() const noexcept
{
  return Current().VoterCount() / 2 + 1;
}

bool Node::IsVoter() const noexcept
{
  return Current().IsVoter(m_identity);
}

std::optional<InstanceId> Node::LeaderInstance() const
{
  return m_leader ? std::optional(m_leader->m_instance) : std::nullopt;
}

void Node::Reject(ProposalId aId, RejectionReason aReason)
{
  m_actions->emplace_back(ProposalRejected{ aId, aReason, LeaderInstance() });
}

bool Node::Check(const tl::expected<void, StorageError>& aResult)
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
    // Messages of this call may acknowledge what was not stored.
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
  LeaveLeadership();
  m_role = NodeRole::Stopped;
  SetLeader(std::nullopt);
  m_actions->emplace_back(MemberStopped{ aReason, std::move(aError) });
}

} // namespace auburntrestle::consensus
