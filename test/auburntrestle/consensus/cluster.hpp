#ifndef AUBURNTRESTLE_TEST_CONSENSUS_CLUSTER_HPP
#define AUBURNTRESTLE_TEST_CONSENSUS_CLUSTER_HPP

#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/consensus/node.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::consensus::test {

/** Options of a Cluster. */
struct ClusterOptions
{
  std::size_t m_initialMembers = 3;
  std::uint64_t m_seed = 1;
  bool m_verifyAfterRestart = false;
  bool m_autoPromote = true;
  std::size_t m_maxMessageBytes = std::size_t{ 256 } * 1024;
  Duration m_resendTimeout = std::chrono::milliseconds(50);
  Duration m_electionTimeout = std::chrono::milliseconds(300);
  Safeguards m_safeguards;
};

/**
 * Members of one log in virtual time, connected by a network that can lose,
 * duplicate, delay and reorder messages. Each member runs the production node
 * and file storage on a device in memory. The safety rules are checked after
 * each event, and violations are recorded.
 */
class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);

  void Run(Duration aTime);
  /** @return whether the condition became true within the time. */
  bool RunUntil(const std::function<bool()>& aCondition, Duration aTime);

  void Crash(std::size_t aMember, bool aTear = false);
  /** Starts a member from the contents of its device. */
  void Start(std::size_t aMember);
  /** Starts another instance with an empty disk. @return its number. */
  std::size_t AddMember();
  [[nodiscard]] MemoryFiles& Device(std::size_t aMember);
  void EraseDisk(std::size_t aMember);

  void Block(std::size_t aFrom, std::size_t aTo)
  {
    m_blocked.emplace(aFrom, aTo);
  }
  void Isolate(std::size_t aMember);
  void Unblock() { m_blocked.clear(); }
  /** Removes all network faults and starts all members. */
  void Heal();
  void SetClockRate(std::size_t aMember, double aRate);
  void SetTicking(std::size_t aMember, bool aTicking);
  void SetAllTicking(bool aTicking);
  /** Called for each delivery; may change the message, or drop it by returning
   * false. */
  std::function<bool(Message&)> m_filter;
  /** Called when a leader receives a join request of an instance outside the
   * log. If not set, the instance is added at once. */
  std::function<void(std::size_t, const MemberIdentity&)> m_onJoin;
  /** Called after each event that a member has handled. */
  std::function<void()> m_afterStep;
  double m_dropChance = 0;
  double m_duplicateChance = 0;
  Duration m_maxDelay = std::chrono::milliseconds(2);

  /** Proposes a new command at a member. @return its number. */
  std::uint64_t Propose(std::size_t aMember);
  void Read(std::size_t aMember);
  void Change(std::size_t aMember, const MembershipChange& aChange);
  /** Tells a member the instances of the log, as a leader does. */
  void SetKnownMembers(std::size_t aMember,
                       const std::vector<InstanceId>& aMembers);
  /** Makes a leader hand over its leadership. */
  void TransferLeadership(std::size_t aMember);
  /** Proposes and reads at every member that believes to be the leader. */
  void ProposeAndReadOnAllLeaders();

  [[nodiscard]] bool IsRunning(std::size_t aMember) const;
  [[nodiscard]] NodeStatus Status(std::size_t aMember) const;
  /** @return the running leader with the highest term. */
  [[nodiscard]] std::optional<std::size_t> Leader() const;
  /** @return a running member that is not the leader. */
  [[nodiscard]] std::size_t Follower() const;
  [[nodiscard]] bool IsAcknowledged(std::uint64_t aCommand) const;
  [[nodiscard]] std::size_t AppliedBy(std::uint64_t aCommand) const;
  [[nodiscard]] bool IsInFlight(
    const std::function<bool(const Message&)>& aMatches) const;
  /** @return whether every member runs, is a voter and has applied all entries
   * of the leader. */
  [[nodiscard]] bool IsFullyReplicated() const;
  /** Proposes commands. @return whether one is committed within the time. */
  bool CommitsNewCommand(Duration aTime = std::chrono::seconds(20));

  /** @return the state of each member and the violations, for failed checks. */
  [[nodiscard]] std::string Describe() const;

  [[nodiscard]] TimePoint Now() const { return m_now; }
  /** @return the time of a member's own clock. */
  [[nodiscard]] TimePoint LocalNow(std::size_t aMember) const
  {
    return m_members[aMember]->m_localNow;
  }
  [[nodiscard]] std::size_t Size() const { return m_members.size(); }
  [[nodiscard]] InstanceId Name(std::size_t aMember) const;
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return m_violations;
  }
  [[nodiscard]] std::size_t ConfirmedReads() const { return m_confirmedReads; }
  [[nodiscard]] RandomSource& Random() { return m_random; }

private:
  struct MemberState
  {
    MemoryFiles m_device;
    std::unique_ptr<FileStorage> m_storage;
    std::optional<Node> m_node;
    TimePoint m_localNow;
    double m_clockRate = 1;
    bool m_ticking = true;
    bool m_wasStarted = false;
    /** Commands applied by the state machine, by index. */
    std::map<LogIndex, std::uint64_t> m_applied;
    LogIndex m_appliedIndex;
  };
  struct ObservedEntry
  {
    EntryPayload m_payload;
    std::optional<Term> m_previousTerm;
  };

  void Step(std::size_t aMember, const Event& aEvent);
  void Execute(std::size_t aMember, std::vector<Action>& aActions);
  void Enqueue(const Message& aMessage);
  void DeliverDue();
  void Advance(Duration aTime);
  void CheckMember(std::size_t aMember);
  void OnApply(std::size_t aMember, const ApplyEntry& aApply);
  void OnInstall(std::size_t aMember, const InstallSnapshot& aInstall);
  void OnLeader(std::size_t aMember, const LeadershipChanged& aChange);
  void OnRead(std::size_t aMember, ReadId aId);
  void RecordViolation(const std::string& aWhat);
  [[nodiscard]] std::optional<std::size_t> NumberOf(
    const InstanceId& aInstance) const;

  ClusterOptions m_options;
  RandomSource m_random;
  TimePoint m_now;
  std::vector<std::unique_ptr<MemberState>> m_members;
  std::multimap<TimePoint, Message> m_network;
  std::set<std::pair<std::size_t, std::size_t>> m_blocked;
  std::uint64_t m_nextId = 1;
  std::uint64_t m_nextIncarnation = 2;

  std::map<Term, MemberIdentity> m_leaders;
  std::map<LogIndex, std::pair<Term, std::uint64_t>> m_history;
  std::map<LogIndex, Term> m_committed;
  std::map<std::pair<LogIndex, Term>, ObservedEntry> m_entries;
  std::set<std::uint64_t> m_acknowledged;
  LogIndex m_acknowledgedIndex;
  std::map<ReadId, LogIndex> m_reads;
  std::size_t m_confirmedReads = 0;
  std::vector<std::string> m_violations;
};

} // namespace auburntrestle::consensus::test

#endif
