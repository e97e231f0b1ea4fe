#ifndef AUBURNTRESTLE_CONSENSUS_EVENTS_HPP
#define AUBURNTRESTLE_CONSENSUS_EVENTS_HPP

#include "auburntrestle/consensus/message.hpp"
#include "auburntrestle/consensus/storage.hpp"
#include "auburntrestle/consensus/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburntrestle::consensus {

/** A message arrived from another member. */
struct MessageReceived
{
  Message m_message;
};

/** Asks for a command to be replicated. Answered by ApplyEntry with the same
 * id, or by ProposalRejected. */
struct Propose
{
  ProposalId m_id;
  std::string m_command;
};

/** Asks for a confirmed read. Answered by ReadConfirmed or ReadRefused. */
struct ReadRequest
{
  ReadId m_id;
};

/** Time passed. Expected at least as often as Node::NextTimeout asks. */
struct Tick
{};

/** Adds a learner, or replaces an instance's earlier incarnation by it. */
struct AddLearner
{
  MemberIdentity m_member;
};

/** Turns a learner that has caught up into a voter. */
struct PromoteLearner
{
  InstanceId m_instance;
};

/** Removes a member. */
struct RemoveMember
{
  InstanceId m_instance;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveMember>;

/** Asks for a change of one member. Answered by ConfigurationApplied with the
 * same id, or by ProposalRejected. */
struct ChangeMembership
{
  ProposalId m_id;
  MembershipChange m_change;
};

/** The state machine's state after it applied the entry at `index`. */
struct SnapshotTaken
{
  LogIndex m_index;
  std::string m_state;
};

/** Asks the leader to hand its leadership to the most up-to-date voter, as
 * before a shutdown. Ignored by other members. */
struct TransferLeadership
{};

/** Names the members of the log to an instance that may not be one of them,
 * because it is new or was removed while it was down. */
struct MembersNamed
{
  std::vector<InstanceId> m_members;
};

using Event = std::variant<MessageReceived,
                           Propose,
                           ReadRequest,
                           Tick,
                           ChangeMembership,
                           SnapshotTaken,
                           TransferLeadership,
                           MembersNamed>;

/** Send a message; it may be lost. */
struct SendMessage
{
  Message m_message;
};

/** Apply a committed command to the state machine. */
struct ApplyEntry
{
  LogIndex m_index;
  Term m_term;
  SharedBytes m_command;
  /** Set on the member that proposed the command in this run. */
  std::optional<ProposalId> m_proposal;
};

/** A configuration has been committed. */
struct ConfigurationApplied
{
  LogIndex m_index;
  Configuration m_configuration;
  /** Set on the member on which the change was requested in this run. */
  std::optional<ProposalId> m_proposal;
};

/** Why a proposal or membership change was rejected. */
enum class RejectionReason : std::uint8_t
{
  /** Not run: this member is not the leader. */
  NotLeader,
  /** Not run: an earlier membership change is not yet committed. */
  MembershipChangeInProgress,
  /** Not run: the change does not fit the configuration, or would remove the
   * last voter. */
  InvalidChange,
  /** Not run: the learner has not caught up. */
  LearnerBehind,
  /** Not run: too many bytes are appended and not yet committed. */
  Overloaded,
  /** Not run: the command exceeds Options::maxCommandBytes. */
  TooLarge,
  /** Not run: the leader is handing over its leadership. */
  TransferringLeadership,
  /** Not run: this member has stopped. */
  Stopped,
  /** Not run: the instance to be added has not asked this leader to join. */
  NotJoining,
  /** Outcome unknown: the entry was appended, then leadership was lost. */
  LeadershipLost,
};

/** @return whether the rejected work certainly did and will not run. */
[[nodiscard]] constexpr bool IsNotRun(RejectionReason aReason) noexcept
{
  return aReason != RejectionReason::LeadershipLost;
}

/** @return the stable name of a reason, such as "not_leader". */
[[nodiscard]] std::string_view ToString(RejectionReason aReason) noexcept;

/** A proposal or membership change was rejected. */
struct ProposalRejected
{
  ProposalId m_id;
  RejectionReason m_reason = RejectionReason::NotLeader;
  /** The leader known to this member, if any. */
  std::optional<InstanceId> m_leader;
};

/**
 * A read is confirmed: once all actions before this one are carried out, the
 * state machine contains every command acknowledged before the read request.
 */
struct ReadConfirmed
{
  ReadId m_id;
  LogIndex m_index;
};

/** A read was not confirmed, because this member is not or no longer leader. */
struct ReadRefused
{
  ReadId m_id;
  std::optional<InstanceId> m_leader;
};

/** Replace the state of the state machine. */
struct InstallSnapshot
{
  LogPosition m_position;
  std::string m_state;
};

/** The log has grown; the caller is asked for a SnapshotTaken event. */
struct SnapshotWanted
{
  /** The last applied entry. */
  LogIndex m_index;
};

/** The leader known to this member, or its term, changed. */
struct LeadershipChanged
{
  Term m_term;
  std::optional<InstanceId> m_leader;
  /** Whether this member is the leader. */
  bool m_isLeader = false;
};

/** Sent on the leader: an instance in no configuration asks to join. */
struct JoinRequested
{
  MemberIdentity m_member;
};

/** A torn last record was removed during recovery. */
struct TornRecordRemoved
{
  TornRecord m_record;
};

/**
 * This member holds less than it once acknowledged, such as after a restore of
 * an old copy of its disk. It emptied its storage and rejoins as a learner.
 */
struct DiskLossDetected
{
  MemberIdentity m_previous;
  MemberIdentity m_current;
};

/** Why a member stopped. */
enum class StopReason : std::uint8_t
{
  /** A write, sync or read failed; see `error`. */
  StorageFailed,
  /** The member was removed from the configuration. */
  Removed,
};

/** This member handles no further event. */
struct MemberStopped
{
  StopReason m_reason = StopReason::StorageFailed;
  std::optional<StorageError> m_error;
};

using Action = std::variant<SendMessage,
                            ApplyEntry,
                            ConfigurationApplied,
                            ProposalRejected,
                            ReadConfirmed,
                            ReadRefused,
                            InstallSnapshot,
                            SnapshotWanted,
                            LeadershipChanged,
                            JoinRequested,
                            TornRecordRemoved,
                            DiskLossDetected,
                            MemberStopped>;

} // namespace auburntrestle::consensus

#endif
