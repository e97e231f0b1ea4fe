#ifndef AUBURNTRESTLE_CONSENSUS_NODE_HPP
#define AUBURNTRESTLE_CONSENSUS_NODE_HPP

#include "auburntrestle/consensus/events.hpp"
#include "auburntrestle/consensus/internal/log.hpp"
#include "auburntrestle/consensus/internal/progress.hpp"
#include "auburntrestle/consensus/message.hpp"
#include "auburntrestle/consensus/options.hpp"
#include "auburntrestle/consensus/storage.hpp"
#include "auburntrestle/consensus/types.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/core/time.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace auburntrestle::consensus {

/** What a member does at present. */
enum class NodeRole : std::uint8_t
{
  /** In no configuration; asks to be taken in. */
  Joining,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Stopped,
};

/** @return the stable name of a role, such as "follower". */
[[nodiscard]] std::string_view ToString(NodeRole aRole) noexcept;

/** How far another member has followed; known to the leader only. */
struct MemberProgress
{
  MemberIdentity m_identity;
  LogIndex m_match;
  TimePoint m_lastContact;
};

/** A view of a member for operators and tests. */
struct NodeStatus
{
  MemberIdentity m_identity;
  NodeRole m_role = NodeRole::Joining;
  Term m_term;
  std::optional<InstanceId> m_leader;
  LogPosition m_last;
  LogIndex m_commit;
  LogIndex m_applied;
  /** The position of the newest snapshot. */
  LogPosition m_snapshot;
  Configuration m_configuration;
  /** False while a restarted member waits for the answers that
   * Options::verifyAfterRestart asks for. */
  bool m_verified = true;
  std::vector<MemberProgress> m_progress;
};

/**
 * A member of the replicated log: decision code that handles one event at a
 * time and stores through a Storage before its actions are visible. It owns no
 * thread, socket or clock.
 */
class Node
{
public:
  /**
   * Recovers a member from its storage.
   *
   * @param aOptions how the member behaves.
   * @param aStorage the member's storage; must outlive the node.
   * @param aNow the present time.
   * @param aActions receives the recovered snapshot and the configuration.
   * @return the member, or why its storage could not be used.
   */
  [[nodiscard]] static tl::expected<Node, StorageError> Create(
    Options aOptions,
    Storage& aStorage,
    TimePoint aNow,
    std::vector<Action>& aActions);

  /**
   * Handles one event.
   *
   * @param aEvent what happened.
   * @param aNow the present time, never earlier than in the previous call.
   * @param aActions receives what is to be done, in order.
   */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** Handles several events with one sync of the storage. */
  void Handle(std::span<const Event> aEvents,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** @return when the next Tick is needed at the latest. */
  [[nodiscard]] TimePoint NextTimeout() const noexcept;

  /** @return whether this member is the leader, as far as it knows. */
  [[nodiscard]] bool IsLeader() const noexcept
  {
    return m_role == NodeRole::Leader;
  }

  /** @return this member's identity; it changes after a detected disk loss. */
  [[nodiscard]] const MemberIdentity& Identity() const noexcept
  {
    return m_identity;
  }

  /** @return a view of this member. */
  [[nodiscard]] NodeStatus Status() const;

  /** @return the entry at an index, or null when it is not in memory. */
  [[nodiscard]] const Entry* EntryAt(LogIndex aIndex) const noexcept
  {
    return m_log.At(aIndex);
  }

private:
  struct ConfigurationAt
  {
    LogIndex m_index;
    Configuration m_configuration;
  };

  struct PendingRead
  {
    ReadId m_id;
    LogIndex m_index;
  };

  /** Collects what a restarted member should hold. */
  struct Verification
  {
    std::set<MemberIdentity> m_answered;
    Term m_term;
    LogPosition m_last;
  };

  Node(Options aOptions, Storage& aStorage);

  // Start.
  [[nodiscard]] tl::expected<void, StorageError> Recover(
    TimePoint aNow,
    std::vector<Action>& aActions);
  [[nodiscard]] tl::expected<void, StorageError> Found(Recovered& aRecovered);
  void LoadLog(const Recovered& aRecovered);
  void AskToJoin();
  /** @return whether this instance is no member as far as it knows. */
  [[nodiscard]] bool IsOutside() const;
  void Retire(Incarnation aKnown);

  // Events.
  void Process(const MessageReceived& aEvent);
  void Process(const Propose& aEvent);
  void Process(const ReadRequest& aEvent);
  void Process(const Tick& aEvent);
  void Process(const ChangeMembership& aEvent);
  void Process(const SnapshotTaken& aEvent);
  void Process(const TransferLeadership& aEvent);
  void Process(const MembersNamed& aEvent);
  void Finish();

  // Messages.
  void Dispatch(const Message& aMessage);
  [[nodiscard]] bool CheckSession(const Message& aMessage);
  [[nodiscard]] bool AcceptTerm(const Message& aMessage);
  void On(const Message& aMessage, const VoteRequest& aBody);
  void On(const Message& aMessage, const VoteResponse& aBody);
  void On(const Message& aMessage, const AppendRequest& aBody);
  void On(const Message& aMessage, const AppendResponse& aBody);
  void On(const Message& aMessage, const Heartbeat& aBody);
  void On(const Message& aMessage, const HeartbeatResponse& aBody);
  void On(const Message& aMessage, const SnapshotRequest& aBody);
  void On(const Message& aMessage, const JoinRequest& aBody);
  void On(const Message& aMessage, const LossNotice& aBody);
  void On(const Message& aMessage, const VerifyRequest& aBody);
  void On(const Message& aMessage, const VerifyResponse& aBody);
  void On(const Message& aMessage, const TimeoutNow& aBody);
  void Send(const MemberIdentity& aTo, MessageBody aBody);

  // Elections.
  void ResetElectionDeadline();
  void StartElection(bool aPreVote, bool aTransfer);
  void CountVotes();
  void BecomeLeader();
  void BecomeFollower(Term aTerm, std::optional<MemberIdentity> aLeader);
  void FollowLeader(const Message& aMessage);
  void LeaveLeadership();
  void SetLeader(std::optional<MemberIdentity> aLeader);
  [[nodiscard]] bool HasLease() const noexcept;
  [[nodiscard]] bool SaveHardState();
  void CheckQuorum();

  // Replication.
  void AppendLocally(EntryPayload aPayload);
  [[nodiscard]] bool Store(std::span<const Entry> aEntries);
  void SendEntries(const MemberIdentity& aTo, internal::Progress& aProgress);
  void SendOne(const MemberIdentity& aTo, internal::Progress& aProgress);
  void SendSnapshot(const MemberIdentity& aTo, internal::Progress& aProgress);
  void SendAgainWhenLate(internal::Progress& aProgress) const;
  void SendHeartbeats();
  void SyncProgress();
  void AdvanceCommit();
  void CommitTo(LogIndex aIndex);
  void ApplyCommitted();
  void ApplyConfiguration(LogIndex aIndex,
                          const Configuration& aConfiguration,
                          std::optional<ProposalId> aProposal);
  void WantSnapshot();
  [[nodiscard]] AppendResponse Refuse(LogPosition aPrevious) const;

  // Reads.
  void StartReadRound();
  void ConfirmReads();

  // Membership.
  [[nodiscard]] std::optional<RejectionReason> WhyNotChange() const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> Changed(
    const AddLearner& aChange) const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> Changed(
    const PromoteLearner& aChange) const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> Changed(
    const RemoveMember& aChange) const;
  void PromoteCaughtUp();
  [[nodiscard]] bool IsCaughtUp(const MemberIdentity& aMember) const;

  // Verification after a restart.
  [[nodiscard]] std::size_t AnswersNeeded() const noexcept;
  void AskForVerification();
  void FinishVerification();

  // Acknowledgements of other members.
  void Remember(const Acknowledged& aAcknowledged);
  [[nodiscard]] bool ProvesLoss(const Acknowledged& aAcknowledged) const;

  // Shared.
  [[nodiscard]] const Configuration& Current() const noexcept;
  [[nodiscard]] const Configuration& ConfigurationFor(LogIndex aIndex) const;
  [[nodiscard]] bool Counts(const Member& aMember) const noexcept;
  [[nodiscard]] std::size_t Majority() const noexcept;
  [[nodiscard]] bool IsVoter() const noexcept;
  [[nodiscard]] bool HasCommittedInTerm() const noexcept;
  [[nodiscard]] std::optional<InstanceId> LeaderInstance() const;
  void Reject(ProposalId aId, RejectionReason aReason);
  void Stop(StopReason aReason, std::optional<StorageError> aError);
  /** Stops the member when a storage operation failed. */
  [[nodiscard]] bool Check(const tl::expected<void, StorageError>& aResult);

  Options m_options;
  Storage* m_storage;
  RandomSource m_random;
  MemberIdentity m_identity;
  Session m_session;
  HardState m_hardState;
  internal::Log m_log;
  /** In order of index; the first is that of the snapshot. */
  std::vector<ConfigurationAt> m_configurations;
  LogPosition m_snapshot;
  LogIndex m_commit;
  LogIndex m_applied;
  /** The last entry known to be durable on this member. */
  LogIndex m_synced;
  bool m_unsynced = false;
  bool m_snapshotAsked = false;
  std::size_t m_bytesSinceSnapshot = 0;

  NodeRole m_role = NodeRole::Joining;
  std::optional<MemberIdentity> m_leader;
  LeadershipChanged m_announced;
  std::set<MemberIdentity> m_votes;
  std::optional<Verification> m_verification;
  /** Least last entry of a candidate that a restarted member votes for. */
  LogPosition m_voteFloor;
  std::map<MemberIdentity, Acknowledged> m_acknowledged;

  // Leader only.
  std::map<MemberIdentity, internal::Progress> m_progress;
  std::map<LogIndex, ProposalId> m_proposals;
  std::size_t m_uncommittedBytes = 0;
  std::vector<ReadId> m_waitingReads;
  std::vector<PendingRead> m_roundReads;
  std::uint64_t m_round = 0;
  bool m_heartbeatDue = false;
  std::optional<MemberIdentity> m_transferTarget;
  TimePoint m_transferDeadline;

  TimePoint m_now;
  TimePoint m_electionDeadline;
  TimePoint m_heartbeatDeadline;
  /** The members as another instance named them last. */
  std::set<InstanceId> m_namedMembers;
  TimePoint m_quorumDeadline;
  TimePoint m_leaderContact;
  std::vector<Action>* m_actions = nullptr;
  std::size_t m_firstAction = 0;
};

} // namespace auburntrestle::consensus

#endif
