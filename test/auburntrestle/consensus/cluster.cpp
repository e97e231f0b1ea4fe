#include "auburntrestle/consensus/cluster.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>
#include <sstream>

namespace auburntrestle::consensus::test {

namespace {

constexpr std::string_view kFolder = "disk";
constexpr Duration kTick = std::chrono::milliseconds(10);

} // namespace

Cluster::Cluster(ClusterOptions aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
{
  for (std::size_t member = 0; member < aOptions.m_initialMembers; ++member) {
    m_members.push_back(std::make_unique<MemberState>());
  }
  for (std::size_t member = 0; member < aOptions.m_initialMembers; ++member) {
    Start(member);
  }
}

InstanceId Cluster::Name(std::size_t aMember) const
{
  return InstanceId(std::string(1, static_cast<char>('a' + aMember)));
}

std::optional<std::size_t> Cluster::NumberOf(const InstanceId& aInstance) const
{
  for (std::size_t member = 0; member < Size(); ++member) {
    if (Name(member) == aInstance) {
      return member;
    }
  }
  return std::nullopt;
}

std::size_t Cluster::AddMember()
{
  m_members.push_back(std::make_unique<MemberState>());
  m_members.back()->m_wasStarted = true;
  Start(Size() - 1);
  return Size() - 1;
}

MemoryFiles& Cluster::Device(std::size_t aMember)
{
  return m_members[aMember]->m_device;
}

void Cluster::Start(std::size_t aMember)
{
  MemberState& member = *m_members[aMember];
  Options options;
  options.m_self = Name(aMember);
  for (std::size_t member = 0; member < m_options.m_initialMembers; ++member) {
    options.m_initialMembers.push_back(Name(member));
  }
  options.m_bootstrap = !member.m_wasStarted;
  options.m_newIncarnation = Incarnation(m_nextIncarnation++);
  options.m_seed = m_random.Below(UINT64_MAX);
  options.m_sessionNonce = m_random.Below(UINT64_MAX);
  options.m_verifyAfterRestart = m_options.m_verifyAfterRestart;
  options.m_autoPromote = m_options.m_autoPromote;
  options.m_maxMessageBytes = m_options.m_maxMessageBytes;
  options.m_resendTimeout = m_options.m_resendTimeout;
  options.m_electionTimeout = m_options.m_electionTimeout;
  options.m_safeguards = m_options.m_safeguards;
  options.m_snapshotThresholdEntries = 8;
  options.m_trailingEntries = 2;
  member.m_wasStarted = true;
  member.m_device.StopFailing();
  member.m_applied.clear();
  member.m_appliedIndex = LogIndex(0);
  auto storage = FileStorage::Open(
    std::string(kFolder), member.m_device, FileStorageOptions{ 256 });
  std::vector<Action> actions;
  auto node = Node::Create(options, **storage, member.m_localNow, actions);
  if (!node) {
    RecordViolation("member did not start: " +
                    consensus::Describe(node.error()));
    return;
  }
  member.m_storage = std::move(*storage);
  member.m_node.emplace(std::move(*node));
  Execute(aMember, actions);
}

void Cluster::Crash(std::size_t aMember, bool aTear)
{
  MemberState& member = *m_members[aMember];
  member.m_node.reset();
  member.m_storage.reset();
  member.m_device.Crash(aTear ? &m_random : nullptr);
}

void Cluster::EraseDisk(std::size_t aMember)
{
  Crash(aMember);
  Device(aMember).Restore({});
}

void Cluster::Isolate(std::size_t aMember)
{
  for (std::size_t other = 0; other < Size(); ++other) {
    if (other != aMember) {
      Block(aMember, other);
      Block(other, aMember);
    }
  }
}

void Cluster::Heal()
{
  m_blocked.clear();
  m_filter = nullptr;
  m_dropChance = 0;
  m_duplicateChance = 0;
  m_maxDelay = std::chrono::milliseconds(2);
  SetAllTicking(true);
  for (std::size_t member = 0; member < Size(); ++member) {
    m_members[member]->m_clockRate = 1;
    Device(member).StopFailing();
    if (!IsRunning(member)) {
      Crash(member);
      Start(member);
    }
  }
}

void Cluster::SetClockRate(std::size_t aMember, double aRate)
{
  m_members[aMember]->m_clockRate = aRate;
}

void Cluster::SetTicking(std::size_t aMember, bool aTicking)
{
  m_members[aMember]->m_ticking = aTicking;
}

void Cluster::SetAllTicking(bool aTicking)
{
  for (const auto& member : m_members) {
    member->m_ticking = aTicking;
  }
}

bool Cluster::IsRunning(std::size_t aMember) const
{
  const auto& node = m_members[aMember]->m_node;
  return node && node->Status().m_role != NodeRole::Stopped;
}

NodeStatus Cluster::Status(std::size_t aMember) const
{
  return m_members[aMember]->m_node ? m_members[aMember]->m_node->Status()
                                    : NodeStatus{};
}

std::optional<std::size_t> Cluster::Leader() const
{
  std::optional<std::size_t> leader;
  for (std::size_t member = 0; member < Size(); ++member) {
    if (IsRunning(member) && m_members[member]->m_node->IsLeader() &&
        (!leader || Status(member).m_term > Status(*leader).m_term)) {
      leader = member;
    }
  }
  return leader;
}

std::size_t Cluster::Follower() const
{
  const auto leader = Leader();
  for (std::size_t member = 0; member < Size(); ++member) {
    if (IsRunning(member) && leader != member) {
      return member;
    }
  }
  return 0;
}

bool Cluster::IsAcknowledged(std::uint64_t aCommand) const
{
  return m_acknowledged.contains(aCommand);
}

std::size_t Cluster::AppliedBy(std::uint64_t aCommand) const
{
  return static_cast<std::size_t>(
    std::count_if(m_members.begin(), m_members.end(), [&](const auto& aMember) {
      return std::any_of(
        aMember->m_applied.begin(),
        aMember->m_applied.end(),
        [&](const auto& aItem) { return aItem.second == aCommand; });
    }));
}

bool Cluster::IsInFlight(
  const std::function<bool(const Message&)>& aMatches) const
{
  return std::any_of(m_network.begin(),
                     m_network.end(),
                     [&](const auto& aItem) { return aMatches(aItem.second); });
}

bool Cluster::IsFullyReplicated() const
{
  const auto leader = Leader();
  if (!leader) {
    return false;
  }
  const NodeStatus status = Status(*leader);
  for (std::size_t member = 0; member < Size(); ++member) {
    if (!IsRunning(member) ||
        !status.m_configuration.IsVoter(Status(member).m_identity) ||
        Status(member).m_applied < status.m_commit) {
      return false;
    }
  }
  return status.m_commit == status.m_last.m_index;
}

std::string Cluster::Describe() const
{
  std::ostringstream text;
  for (std::size_t member = 0; member < Size(); ++member) {
    const NodeStatus status = Status(member);
    text << Name(member) << '.' << status.m_identity.m_incarnation << ' '
         << (m_members[member]->m_node ? ToString(status.m_role) : "down")
         << " term=" << status.m_term << " last=" << status.m_last.m_term << '/'
         << status.m_last.m_index << " commit=" << status.m_commit
         << " snapshot=" << status.m_snapshot.m_index << " members=";
    for (const Member& known : status.m_configuration.m_members) {
      text << known.m_identity.m_instance << '.'
           << known.m_identity.m_incarnation
           << (known.m_role == MemberRole::Voter ? "v " : "l ");
    }
    for (const MemberProgress& progress : status.m_progress) {
      text << " match " << progress.m_identity.m_instance << '='
           << progress.m_match;
    }
    text << '\n';
  }
  for (const std::string& violation : m_violations) {
    text << violation << '\n';
  }
  return text.str();
}

bool Cluster::CommitsNewCommand(Duration aTime)
{
  std::uint64_t command = 0;
  return RunUntil(
    [&] {
      if (IsAcknowledged(command)) {
        return true;
      }
      if (const auto leader = Leader();
          leader && m_now.time_since_epoch() % std::chrono::milliseconds(100) ==
                      Duration(0)) {
        command = Propose(*leader);
      }
      return IsAcknowledged(command);
    },
    aTime);
}

std::uint64_t Cluster::Propose(std::size_t aMember)
{
  const std::uint64_t command = m_nextId++;
  Step(aMember,
       consensus::Propose{ ProposalId(command), std::to_string(command) });
  return command;
}

void Cluster::Read(std::size_t aMember)
{
  const ReadId id(m_nextId++);
  m_reads[id] = m_acknowledgedIndex;
  Step(aMember, ReadRequest{ id });
}

void Cluster::Change(std::size_t aMember, const MembershipChange& aChange)
{
  Step(aMember, ChangeMembership{ ProposalId(m_nextId++), aChange });
}

void Cluster::TransferLeadership(std::size_t aMember)
{
  Step(aMember, consensus::TransferLeadership{});
}

void Cluster::SetKnownMembers(std::size_t aMember,
                              const std::vector<InstanceId>& aMembers)
{
  Step(aMember, MemberListReceived{ aMembers });
}

void Cluster::ProposeAndReadOnAllLeaders()
{
  for (std::size_t member = 0; member < Size(); ++member) {
    if (IsRunning(member) && m_members[member]->m_node->IsLeader()) {
      Read(member);
      Propose(member);
    }
  }
}

void Cluster::Step(std::size_t aMember, const Event& aEvent)
{
  MemberState& member = *m_members[aMember];
  if (!member.m_node) {
    return;
  }
  std::vector<Action> actions;
  member.m_node->Handle(aEvent, member.m_localNow, actions);
  Execute(aMember, actions);
  CheckMember(aMember);
  if (m_afterStep) {
    const auto hook = m_afterStep;
    hook();
  }
}

void Cluster::Execute(std::size_t aMember, std::vector<Action>& aActions)
{
  std::optional<LogIndex> wanted;
  for (const Action& action : aActions) {
    std::visit(
      Overloaded{
        [&](const SendMessage& aSend) { Enqueue(aSend.m_message); },
        [&](const ApplyEntry& aApply) { OnApply(aMember, aApply); },
        [&](const InstallSnapshot& aInstall) { OnInstall(aMember, aInstall); },
        [&](const LeadershipChanged& aChange) { OnLeader(aMember, aChange); },
        [&](const ReadConfirmed& aRead) { OnRead(aMember, aRead.m_id); },
        [&](const TakeSnapshot& aWanted) { wanted = aWanted.m_index; },
        [&](const JoinRequested& aJoin) {
          if (m_onJoin) {
            m_onJoin(aMember, aJoin.m_member);
          } else {
            Change(aMember, AddLearner{ aJoin.m_member });
          }
        },
        [](const auto&) {},

      },
      action);
  }
  if (wanted) {
    std::ostringstream state;
    for (const auto& [index, command] : m_members[aMember]->m_applied) {
      state << index.Get() << ' ' << command << ' ';
    }
    Step(aMember, SnapshotTaken{ *wanted, state.str() });
  }
}

void Cluster::OnApply(std::size_t aMember, const ApplyEntry& aApply)
{
  MemberState& member = *m_members[aMember];
  const std::uint64_t command = std::stoull(aApply.m_command.Get());
  const auto [found, added] =
    m_history.try_emplace(aApply.m_index, aApply.m_term, command);
  if (found->second != std::pair(aApply.m_term, command)) {
    RecordViolation(
      "state machine safety: different commands applied at one index");
  }
  if (aApply.m_index <= member.m_appliedIndex) {
    RecordViolation("state machine safety: an entry applied out of order");
  }
  member.m_applied[aApply.m_index] = command;
  member.m_appliedIndex = aApply.m_index;
  if (aApply.m_proposal) {
    m_acknowledged.insert(aApply.m_proposal->Get());
    m_acknowledgedIndex = std::max(m_acknowledgedIndex, aApply.m_index);
  }
}

void Cluster::OnInstall(std::size_t aMember, const InstallSnapshot& aInstall)
{
  MemberState& member = *m_members[aMember];
  member.m_applied.clear();
  std::istringstream state(aInstall.m_state);
  std::uint64_t index = 0;
  std::uint64_t command = 0;
  while (state >> index >> command) {
    member.m_applied[LogIndex(index)] = command;
  }
  member.m_appliedIndex = aInstall.m_position.m_index;
  std::map<LogIndex, std::uint64_t> expected;
  for (const auto& [at, entry] : m_history) {
    if (at <= aInstall.m_position.m_index) {
      expected[at] = entry.second;
    }
  }
  if (member.m_applied != expected) {
    RecordViolation(
      "state machine safety: a snapshot differs from the history");
  }
}

void Cluster::OnLeader(std::size_t aMember, const LeadershipChanged& aChange)
{
  if (!aChange.m_isLeader) {
    return;
  }
  const Node& node = *m_members[aMember]->m_node;
  const auto [found, added] =
    m_leaders.try_emplace(aChange.m_term, node.Identity());
  if (found->second != node.Identity()) {
    RecordViolation("election safety: two leaders in one term");
  }
  const NodeStatus status = node.Status();
  for (const auto& [index, term] : m_committed) {
    const Entry* entry = node.EntryAt(index);
    if (index > status.m_last.m_index ||
        (entry != nullptr && entry->m_term != term)) {
      RecordViolation("leader completeness: a leader lacks a committed entry");
      return;
    }
  }
}

void Cluster::OnRead(std::size_t aMember, ReadId aId)
{
  ++m_confirmedReads;
  const LogIndex needed = m_reads.at(aId);
  if (needed > LogIndex(0) && m_members[aMember]->m_appliedIndex < needed) {
    RecordViolation(
      "confirmed read: the state lacks a command acknowledged before");
  }
}

void Cluster::CheckMember(std::size_t aMember)
{
  const Node& node = *m_members[aMember]->m_node;
  const NodeStatus status = node.Status();
  // Earlier entries were checked when they were appended.
  constexpr std::uint64_t kWindow = 24;
  const std::uint64_t last = status.m_last.m_index.Get();
  for (std::uint64_t at = last > kWindow ? last - kWindow : 1; at <= last;
       ++at) {
    const Entry* entry = node.EntryAt(LogIndex(at));
    if (entry == nullptr) {
      continue;
    }
    const Entry* previous = node.EntryAt(LogIndex(at - 1));
    const ObservedEntry observed{ entry->m_payload,
                                  previous != nullptr
                                    ? std::optional(previous->m_term)
                                    : std::nullopt };
    auto [found, added] =
      m_entries.try_emplace({ entry->m_index, entry->m_term }, observed);
    ObservedEntry& known = found->second;
    if (known.m_payload != observed.m_payload ||
        (known.m_previousTerm && observed.m_previousTerm &&
         known.m_previousTerm != observed.m_previousTerm)) {
      RecordViolation("log matching: entries of equal index and term differ");
    }
    if (!known.m_previousTerm) {
      known.m_previousTerm = observed.m_previousTerm;
    }
    if (entry->m_index <= status.m_commit) {
      const auto committed =
        m_committed.try_emplace(entry->m_index, entry->m_term).first;
      if (committed->second != entry->m_term) {
        RecordViolation("leader completeness: a committed entry was replaced");
      }
    }
  }
}

void Cluster::RecordViolation(const std::string& aWhat)
{
  if (std::find(m_violations.begin(), m_violations.end(), aWhat) ==
      m_violations.end()) {
    m_violations.push_back(aWhat);
  }
}

void Cluster::Enqueue(const Message& aMessage)
{
  if (m_random.Chance(m_dropChance)) {
    return;
  }
  const int copies = m_random.Chance(m_duplicateChance) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto delay =
      m_random.Below(static_cast<std::uint64_t>(m_maxDelay.count()));
    m_network.emplace(m_now + Duration(static_cast<std::int64_t>(delay) + 1),
                      aMessage);
  }
}

void Cluster::DeliverDue()
{
  while (!m_network.empty() && m_network.begin()->first <= m_now) {
    Message message = std::move(m_network.begin()->second);
    m_network.erase(m_network.begin());
    const auto from = NumberOf(message.m_from.m_instance);
    const auto to = NumberOf(message.m_to.m_instance);
    if (!from || !to || m_blocked.contains({ *from, *to }) || !IsRunning(*to) ||
        (m_filter && !m_filter(message))) {
      continue;
    }
    Step(*to, MessageReceived{ std::move(message) });
  }
}

void Cluster::Advance(Duration aTime)
{
  m_now += aTime;
  for (const auto& member : m_members) {
    member->m_localNow += Duration(static_cast<std::int64_t>(
      static_cast<double>(aTime.count()) * member->m_clockRate));
  }
}

bool Cluster::RunUntil(const std::function<bool()>& aCondition, Duration aTime)
{
  constexpr Duration kSlice = std::chrono::milliseconds(1);
  const TimePoint end = m_now + aTime;
  while (m_now < end) {
    Advance(kSlice);
    DeliverDue();
    if (m_now.time_since_epoch() % kTick == Duration(0)) {
      for (std::size_t member = 0; member < Size(); ++member) {
        if (IsRunning(member) && m_members[member]->m_ticking) {
          Step(member, Tick{});
        }
      }
    }
    if (aCondition()) {
      return true;
    }
  }
  return false;
}

void Cluster::Run(Duration aTime)
{
  RunUntil([] { return false; }, aTime);
}

} // namespace auburntrestle::consensus::test
