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

/** The role of a member. */
enum class NodeRole : std::uint8_t
{
  /** Has no configuration and asks to be added. */
  Joining,
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Stopped,
};

/** @return the stable name of a role, such as "follower". */
[[nodiscard]] std::string_view ToString(NodeRole aRole) noexcept;

/** The replication progress of another member, as known to the leader. */
struct MemberProgress
{
  MemberIdentity m_identity;
  LogIndex m_match;
  TimePoint m_lastContact;
};

/** The state of a member, for operators and tests. */
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
  /** The newest configuration in the log. */
  Configuration m_configuration;
  bool m_isConfigurationCommitted = true;
  /** False while a restarted member waits for the responses that
   * Options::m_verifyAfterRestart requires. */
  bool m_verified = true;
  std::vector<MemberProgress> m_progress;
};

/**
 * A member of a Raft log. It handles events and returns actions, and persists
 * through a Storage before the actions become visible. It owns no thread,
 * socket or clock.
 */
class Node
{
public:
  /**
   * Recovers a member from its storage.
   *
   * @param aOptions the options of the member.
   * @param aStorage the member's storage; must outlive the node.
   * @param aNow the current time.
   * @param aActions receives the recovered snapshot and the configuration.
   * @return the member, or the error of its storage.
   */
  [[nodiscard]] static tl::expected<Node, StorageError> Create(
    Options aOptions,
    Storage& aStorage,
    TimePoint aNow,
    std::vector<Action>& aActions);

  /**
   * Handles one event.
   *
   * @param aEvent the event.
   * @param aNow the current time, never earlier than in the previous call.
   * @param aActions receives the actions to execute, in order.
   */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** Handles several events with one sync of the storage. */
  void Handle(std::span<const Event> aEvents,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** @return the time by which the next Tick is due. */
  [[nodiscard]] TimePoint NextTimeout() const noexcept;

  /** @return whether this member believes to be the leader. */
  [[nodiscard]] bool IsLeader() const noexcept
  {
    return m_role == NodeRole::Leader;
  }

  /** @return the identity; it changes when a disk loss is detected. */
  [[nodiscard]] const MemberIdentity& Identity() const noexcept
  {
    return m_identity;
  }

  /** @return the current state of this member. */
  [[nodiscard]] NodeStatus Status() const;

  /** @return the entry at an index, or null if it is not in memory. */
  [[nodiscard]] const Entry* EntryAt(LogIndex aIndex) const noexcept
  {
    return m_log.At(aIndex);
  }

private:
  struct IndexedConfiguration
  {
    LogIndex m_index;
    Configuration m_configuration;
  };

  struct PendingRead
  {
    ReadId m_id;
    LogIndex m_index;
  };

  /** The highest term and last entry that other voters reported since a
   * restart. */
  struct Verification
  {
    std::set<MemberIdentity> m_responders;
    Term m_term;
    LogPosition m_last;
  };

  Node(Options aOptions, Storage& aStorage);

  // Start.
  [[nodiscard]] tl::expected<void, StorageError> Recover(
    TimePoint aNow,
    std::vector<Action>& aActions);
  [[nodiscard]] tl::expected<void, StorageError> Bootstrap(
    RecoveredState& aRecovered);
  void LoadLog(const RecoveredState& aRecovered);
  void SendJoinRequests();
  /** @return whether this instance believes not to be a member. */
  [[nodiscard]] bool IsNonMember() const;
  /** Clears the storage and rejoins with a new incarnation. */
  void ResetAfterDiskLoss(Incarnation aHighestUsed);

  // Events.
  void Process(const MessageReceived& aEvent);
  void Process(const Propose& aEvent);
  void Process(const ReadRequest& aEvent);
  void Process(const Tick& aEvent);
  void Process(const ChangeMembership& aEvent);
  void Process(const SnapshotTaken& aEvent);
  void Process(const TransferLeadership& aEvent);
  void Process(const MemberListReceived& aEvent);
  /** Syncs, commits and sends after a batch of events. */
  void FinishBatch();

  // Messages.
  void Dispatch(const Message& aMessage);
  [[nodiscard]] bool CheckSession(const Message& aMessage);
  /** Follows a newer term. @return whether to handle the message. */
  [[nodiscard]] bool AcceptTerm(const Message& aMessage);
  void On(const Message& aMessage, const VoteRequest& aBody);
  void On(const Message& aMessage, const VoteResponse& aBody);
  void On(const Message& aMessage, const AppendRequest& aBody);
  void On(const Message& aMessage, const AppendResponse& aBody);
  void On(const Message& aMessage, const Heartbeat& aBody);
  void On(const Message& aMessage, const HeartbeatResponse& aBody);
  void On(const Message& aMessage, const SnapshotRequest& aBody);
  void On(const Message& aMessage, const JoinRequest& aBody);
  void On(const Message& aMessage, const DiskLossNotice& aBody);
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
  /** Rejects pending proposals and reads, and clears what only a leader has. */
  void ClearLeaderState();
  void SetLeader(std::optional<MemberIdentity> aLeader);
  [[nodiscard]] bool HasLease() const noexcept;
  [[nodiscard]] bool SaveHardState();
  void CheckQuorum();

  // Replication.
  void AppendAsLeader(EntryPayload aPayload);
  [[nodiscard]] bool AppendToLog(std::span<const Entry> aEntries);
  void SendEntries(const MemberIdentity& aTo, internal::Progress& aProgress);
  void SendAppendRequest(const MemberIdentity& aTo,
                         internal::Progress& aProgress);
  void SendSnapshots();
  /** @return the responsive members that need a snapshot and were sent none
   * recently: voters first, then those that have waited longest. */
  [[nodiscard]] std::vector<MemberIdentity> MembersWaitingForSnapshots() const;
  /** @return whether a snapshot was sent whose response is not overdue. */
  [[nodiscard]] bool AwaitsSnapshotResponse(
    const internal::Progress& aProgress) const noexcept;
  [[nodiscard]] bool NeedsSnapshot(
    const internal::Progress& aProgress) const noexcept;
  void SendSnapshot(const MemberIdentity& aTo, internal::Progress& aProgress);
  void ResendIfOverdue(internal::Progress& aProgress) const;
  void SendHeartbeats();
  void UpdateTrackedMembers();
  void AdvanceCommit();
  void CommitTo(LogIndex aIndex);
  void ApplyCommitted();
  void ApplyConfiguration(LogIndex aIndex,
                          const Configuration& aConfiguration,
                          std::optional<ProposalId> aProposal);
  void RequestSnapshotIfDue();
  [[nodiscard]] AppendResponse MakeRefusal(LogPosition aPrevious) const;

  // Reads.
  void StartReadRound();
  void ConfirmReads();

  // Membership.
  /** @return why no membership change can start now, if so. */
  [[nodiscard]] std::optional<RejectionReason> MembershipChangeRejection()
    const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> ConfigurationAfter(
    const AddLearner& aChange) const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> ConfigurationAfter(
    const PromoteLearner& aChange) const;
  [[nodiscard]] tl::expected<Configuration, RejectionReason> ConfigurationAfter(
    const RemoveMember& aChange) const;
  void PromoteCaughtUpLearner();
  [[nodiscard]] bool IsCaughtUp(const MemberIdentity& aMember) const;

  // Verification after a restart.
  [[nodiscard]] std::size_t RequiredVerifications() const noexcept;
  void SendVerifyRequests();
  void FinishVerification();

  // Acknowledgements of other members.
  void RecordAcknowledged(const AcknowledgedState& aAcknowledged);
  [[nodiscard]] bool ProvesDiskLoss(
    const AcknowledgedState& aAcknowledged) const;

  // Shared.
  [[nodiscard]] const Configuration& CurrentConfiguration() const noexcept;
  [[nodiscard]] const Configuration& ConfigurationAtIndex(
    LogIndex aIndex) const;
  [[nodiscard]] bool CountsTowardsMajority(
    const Member& aMember) const noexcept;
  [[nodiscard]] std::size_t Majority() const noexcept;
  [[nodiscard]] bool IsVoter() const noexcept;
  [[nodiscard]] bool HasCommittedInTerm() const noexcept;
  [[nodiscard]] std::optional<InstanceId> LeaderInstance() const;
  void Reject(ProposalId aId, RejectionReason aReason);
  void Stop(StopReason aReason, std::optional<StorageError> aError);
  /** Stops the member if a storage operation failed. @return its success. */
  [[nodiscard]] bool CheckStorage(
    const tl::expected<void, StorageError>& aResult);

  Options m_options;
  Storage* m_storage;
  RandomSource m_random;
  MemberIdentity m_identity;
  Session m_session;
  HardState m_hardState;
  internal::Log m_log;
  /** By index; the first one is that of the snapshot. */
  std::vector<IndexedConfiguration> m_configurations;
  LogPosition m_snapshot;
  LogIndex m_commit;
  LogIndex m_applied;
  /** The last entry known to be durable on this member. */
  LogIndex m_syncedIndex;
  bool m_hasUnsyncedEntries = false;
  bool m_snapshotRequested = false;
  std::size_t m_bytesSinceSnapshot = 0;

  NodeRole m_role = NodeRole::Joining;
  std::optional<MemberIdentity> m_leader;
  LeadershipChanged m_reportedLeadership;
  std::set<MemberIdentity> m_votes;
  std::optional<Verification> m_verification;
  /** Minimum last entry of a candidate that a restarted member votes for. */
  LogPosition m_minVotePosition;
  std::map<MemberIdentity, AcknowledgedState> m_acknowledged;

  // Leader only.
  std::map<MemberIdentity, internal::Progress> m_progress;
  std::map<LogIndex, ProposalId> m_proposals;
  std::size_t m_uncommittedBytes = 0;
  /** Reads that wait for the next confirmation round. */
  std::vector<ReadId> m_queuedReads;
  /** Reads of the current confirmation round. */
  std::vector<PendingRead> m_roundReads;
  std::uint64_t m_round = 0;
  bool m_heartbeatDue = false;
  std::optional<MemberIdentity> m_transferTarget;
  TimePoint m_transferDeadline;

  TimePoint m_now;
  TimePoint m_electionDeadline;
  TimePoint m_heartbeatDeadline;
  /** The members in the last MemberListReceived. */
  std::set<InstanceId> m_receivedMembers;
  TimePoint m_quorumDeadline;
  TimePoint m_leaderContact;
  std::vector<Action>* m_actions = nullptr;
  /** Index of the first action of the current Handle call. */
  std::size_t m_firstAction = 0;
};

} // namespace auburntrestle::consensus

#endif
