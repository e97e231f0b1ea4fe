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

/** Proposes a command for replication. Completed by ApplyEntry with the same id
 * or by ProposalRejected. */
struct Propose
{
  ProposalId m_id;
  SharedBytes m_command;
};

/**
 * Requests a linearizable read. Completed by ReadConfirmed or ReadRejected.
 */
struct ReadRequest
{
  ReadId m_id;
};

/** Time has passed. Due at the latest at Node::NextTimeout. */
struct Tick
{};

/** Adds a learner, or replaces the previous incarnation of its instance. */
struct AddLearner
{
  MemberIdentity m_member;
};

/** Makes a learner that has caught up a voter. */
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

/** Requests a change of one member. Completed by ConfigurationApplied with the
 * same id or by ProposalRejected. */
struct ChangeMembership
{
  ProposalId m_id;
  MembershipChange m_change;
};

/** The state of the state machine after the entry at `m_index`. */
struct SnapshotTaken
{
  LogIndex m_index;
  std::string m_state;
};

/** Transfers leadership to the most up-to-date voter, for example before a
 * shutdown. Ignored unless this member is the leader. */
struct TransferLeadership
{};

/** Reports the current members of the log, as received from another instance.
 * This instance may not be one of them, because it is new or was removed while
 * it was down. */
struct MemberListReceived
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
                           MemberListReceived>;

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
  /** Set only on the member that proposed the command, if in the same run. */
  std::optional<ProposalId> m_proposal;
};

/** A configuration has been committed. */
struct ConfigurationApplied
{
  LogIndex m_index;
  Configuration m_configuration;
  /** Set only on the member that proposed the change, if in the same run. */
  std::optional<ProposalId> m_proposal;
};

/** Why a proposal or membership change was rejected. */
enum class RejectionReason : std::uint8_t
{
  /** Not run: this member is not the leader. */
  NotLeader,
  /** Not run: an earlier membership change is not yet committed. */
  MembershipChangeInProgress,
  /** Not run: the change is not valid for the configuration, or would remove
   * the last voter. */
  InvalidChange,
  /** Not run: the learner has not caught up. */
  LearnerBehind,
  /** Not run: too many bytes are uncommitted. */
  Overloaded,
  /** Not run: the command exceeds Options::maxCommandBytes. */
  TooLarge,
  /** Not run: the leader is transferring its leadership. */
  TransferringLeadership,
  /** Not run: this member has stopped. */
  Stopped,
  /** Not run: the instance to be added has sent this leader no join request. */
  NotJoining,
  /** Outcome unknown: the entry was appended, then leadership was lost. */
  LeadershipLost,
};

/** @return whether a rejected proposal has not run and never will. */
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
 * A read is confirmed: once all actions before this one are executed, the state
 * machine contains every command acknowledged before the read request.
 */
struct ReadConfirmed
{
  ReadId m_id;
  LogIndex m_index;
};

/** A read was rejected because this member is not, or no longer, the leader. */
struct ReadRejected
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

/** Take a snapshot, since the log has grown, and report it by SnapshotTaken. */
struct TakeSnapshot
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

/** On the leader: an instance that is in no configuration asks to join. */
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
 * This member holds less than it has acknowledged, for example after an old
 * copy of its disk was restored. It cleared its storage and rejoins as a
 * learner.
 */
struct DiskLossDetected
{
  MemberIdentity m_previous;
  MemberIdentity m_current;
};

/** Why a member stopped. */
enum class StopReason : std::uint8_t
{
  /** A write, sync or read failed; see `m_error`. */
  StorageFailed,
  /** The member was removed from the configuration. */
  Removed,
};

/** This member has stopped and handles no further events. */
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
                            ReadRejected,
                            InstallSnapshot,
                            TakeSnapshot,
                            LeadershipChanged,
                            JoinRequested,
                            TornRecordRemoved,
                            DiskLossDetected,
                            MemberStopped>;

} // namespace auburntrestle::consensus

#endif
