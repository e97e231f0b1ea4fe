#ifndef AUBURNTRESTLE_CONSENSUS_OPTIONS_HPP
#define AUBURNTRESTLE_CONSENSUS_OPTIONS_HPP

#include "auburntrestle/consensus/types.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburntrestle::consensus {

/**
 * Safety rules. Tests disable them one at a time to prove that their checks
 * detect a missing rule. Keep all of them enabled elsewhere.
 */
struct Safeguards
{
  /** Sync appended entries before they are acknowledged. */
  bool m_syncBeforeAcknowledge = true;
  /** Exclude learners from every quorum. */
  bool m_learnersDoNotCount = true;
  /** Commit only entries of the leader's current term by counting replicas. */
  bool m_commitOnlyOwnTerm = true;
  /** Hold a pre-vote before incrementing the term. */
  bool m_preVote = true;
  /** A leader that has lost contact with a majority steps down. */
  bool m_checkQuorum = true;
  /** A member with an empty disk rejoins with a new incarnation. */
  bool m_newIncarnationAfterDiskLoss = true;
  /** Confirm a read with a round of heartbeats. */
  bool m_confirmReads = true;
  /** Reject a member whose disk holds less than it has acknowledged. */
  bool m_detectDiskLoss = true;
};

/** Options of a member. Durations are in microseconds. */
struct Options
{
  /** The instance of this member. */
  InstanceId m_self;
  /** The instances of the initial configuration. A member without a
   * configuration sends its join requests to them. */
  std::vector<InstanceId> m_initialMembers;
  /**
   * Allows a member with an empty storage to act as an initial member. Set it
   * only for the first start of a new log: with it, a member that lost its disk
   * would vote a second time under its old identity.
   */
  bool m_bootstrap = false;
  /**
   * The incarnation used with an empty storage unless `m_bootstrap` is set.
   * Must exceed kInitialIncarnation and every previous incarnation of this
   * instance; microseconds of wall-clock time since the epoch satisfy this.
   */
  Incarnation m_newIncarnation;
  /** Seed of the election timeouts; must differ between members. */
  std::uint64_t m_seed = 0;
  /** Distinguishes this run from other runs on the same or a copied disk; must
   * be random for each start. */
  std::uint64_t m_sessionNonce = 0;

  /** Time between heartbeats. */
  Duration m_heartbeatInterval = std::chrono::milliseconds(50);
  /** Minimum time without a leader before an election; the actual timeout is
   * random between one and two times this value. */
  Duration m_electionTimeout = std::chrono::milliseconds(300);
  /** Election timeout for the first election after a start, when there may be
   * no leader at all; zero to use m_electionTimeout. The pre-vote prevents a
   * member that times out early from disrupting a leader. */
  Duration m_firstElectionTimeout{};
  /** Maximum bytes of entries in one message; a single entry may exceed it. */
  std::size_t m_maxMessageBytes = std::size_t{ 256 } * 1024;
  /** Maximum bytes of entries sent to a member and not yet acknowledged. */
  std::size_t m_maxInflightBytes = std::size_t{ 1024 } * 1024;
  /** Interval between the join requests of an instance that is no member. */
  Duration m_joinInterval = std::chrono::milliseconds(50);
  /** Time without an acknowledgement after which entries are resent. Use a long
   * timeout with a transport that loses messages only when a connection breaks:
   * entries that are only slow must not be sent twice. */
  Duration m_resendTimeout = std::chrono::milliseconds(50);
  /** Bytes per second at which entries reach a member at the least; large
   * entries are resent correspondingly later. */
  std::size_t m_minTransferRate = std::size_t{ 8 } * 1024 * 1024;
  /** Maximum bytes of uncommitted entries; further proposals are rejected. */
  std::size_t m_maxUncommittedBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Maximum bytes of one command. */
  std::size_t m_maxCommandBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Bytes of log since the last snapshot above which a new one is taken. */
  std::size_t m_snapshotThresholdBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Entries since the last snapshot above which a new one is taken. */
  std::size_t m_snapshotThresholdEntries = 10000;
  /** Time without an acknowledgement after which a snapshot is resent. */
  Duration m_snapshotResendTimeout = std::chrono::seconds(2);
  /** Maximum number of members to which snapshots are sent at the same time;
   * the others wait. Reading and sending a large snapshot takes time in which
   * the leader does nothing else. */
  std::size_t m_maxSnapshotTransfers = 2;
  /** Number of entries before a snapshot that stay in memory, so that a member
   * that is slightly behind needs no snapshot. */
  std::size_t m_trailingEntries = 1000;
  /** Maximum bytes of these entries. */
  std::size_t m_trailingBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Maximum number of entries that a promoted learner may be behind. */
  std::size_t m_maxPromotionLag = 16;
  /** Promote learners that have caught up without a PromoteLearner change. */
  bool m_autoPromote = true;
  /** Replace the previous incarnation of an instance that asks to join. */
  bool m_autoRejoin = true;
  /**
   * After a restart, vote and acknowledge only once enough other voters have
   * reported their term and last entry, which show what this disk should hold.
   * Protects against an old copy of a disk in every case, at the cost of
   * availability: with three members, a restarted one waits for both others.
   */
  bool m_verifyAfterRestart = false;

  Safeguards m_safeguards;
};

} // namespace auburntrestle::consensus

#endif
