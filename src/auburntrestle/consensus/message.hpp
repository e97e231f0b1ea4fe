#ifndef AUBURNTRESTLE_CONSENSUS_MESSAGE_HPP
#define AUBURNTRESTLE_CONSENSUS_MESSAGE_HPP

#include "auburntrestle/consensus/types.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace auburntrestle::consensus {

/** Identifies one run of a member and the state that it recovered from disk. */
struct Session
{
  BootCount m_boot;
  /** Random for each start, so that it differs between copies of a disk. */
  std::uint64_t m_nonce = 0;
  /** The persisted term at the start. */
  Term m_recoveredTerm;
  /** The last entry or snapshot at the start. */
  LogPosition m_recoveredLast;

  friend bool operator==(const Session&, const Session&) = default;
};

/**
 * The highest term and log position that a member is known to have
 * acknowledged. A member that starts with less has lost data of its disk.
 */
struct AcknowledgedState
{
  MemberIdentity m_member;
  BootCount m_boot;
  std::uint64_t m_nonce = 0;
  /** The highest term in which the member sent a message. */
  Term m_term;
  /** The last entry that the member acknowledged as stored. */
  LogPosition m_last;

  friend bool operator==(const AcknowledgedState&,
                         const AcknowledgedState&) = default;
};

/** Requests a vote, or with `m_preVote` asks whether one would be granted. */
struct VoteRequest
{
  bool m_preVote = false;
  /** The term of the election; a pre-vote does not raise Message::m_term. */
  Term m_electionTerm;
  /** The candidate's last entry. */
  LogPosition m_last;
  /** The leader started this election itself, so its lease does not block it.
   */
  bool m_leadershipTransfer = false;
};

/** Reply to a VoteRequest. */
struct VoteResponse
{
  bool m_preVote = false;
  Term m_electionTerm;
  bool m_granted = false;
};

/** Sends the entries that follow `m_previous`. */
struct AppendRequest
{
  LogPosition m_previous;
  std::vector<Entry> m_entries;
  LogIndex m_commit;
};

/** Reply to an AppendRequest or a SnapshotRequest. */
struct AppendResponse
{
  bool m_accepted = false;
  /** If accepted, the last stored index that matches the leader's log. */
  LogIndex m_match;
  /** If refused, the index of `m_previous` in the request. */
  LogIndex m_refusedIndex;
  /** If refused, the highest index at which the logs may still match. */
  LogIndex m_hint;
  /** If refused, the term of the follower's entry at `m_hint`. */
  Term m_hintTerm;
  /** The member has no configuration and needs a snapshot first. */
  bool m_needsSnapshot = false;
};

/**
 * Maintains leadership, confirms reads and distributes what the members have
 * acknowledged.
 */
struct Heartbeat
{
  /** The commit index, limited to the receiver's known matching index. */
  LogIndex m_commit;
  /** The number of the current read confirmation round. */
  std::uint64_t m_round = 0;
  std::vector<AcknowledgedState> m_acknowledged;
};

/** Reply to a Heartbeat. */
struct HeartbeatResponse
{
  std::uint64_t m_round = 0;
};

/** Sends a complete snapshot to a member that is behind the leader's log. */
struct SnapshotRequest
{
  Snapshot m_snapshot;
};

/** Asks the leader to add the sender, which is in no configuration. */
struct JoinRequest
{};

/** Sends a member what it is known to have acknowledged before its start. */
struct DiskLossNotice
{
  AcknowledgedState m_acknowledged;
};

/** Asks for the receiver's term and last entry after a restart. */
struct VerifyRequest
{};

/** Reply to a VerifyRequest; the term is in Message::m_term. */
struct VerifyResponse
{
  /** Session::m_nonce of the request. */
  std::uint64_t m_nonce = 0;
  LogPosition m_last;
};

/** Makes the most up-to-date voter start an election immediately. */
struct TimeoutNow
{};

using MessageBody = std::variant<VoteRequest,
                                 VoteResponse,
                                 AppendRequest,
                                 AppendResponse,
                                 Heartbeat,
                                 HeartbeatResponse,
                                 SnapshotRequest,
                                 JoinRequest,
                                 DiskLossNotice,
                                 VerifyRequest,
                                 VerifyResponse,
                                 TimeoutNow>;

/** A message between members; it may be lost, duplicated or reordered. */
struct Message
{
  MemberIdentity m_from;
  /** kAnyIncarnation when the sender does not know the incarnation. */
  MemberIdentity m_to;
  /** The sender's current term. */
  Term m_term;
  Session m_session;
  MessageBody m_body;
};

} // namespace auburntrestle::consensus

#endif
