#ifndef AUBURNTRESTLE_CONSENSUS_OPTIONS_HPP
#define AUBURNTRESTLE_CONSENSUS_OPTIONS_HPP

#include "auburntrestle/consensus/types.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburntrestle::consensus {

/**
 * Safety rules that tests switch off one at a time, to show that the checks of
 * the tests notice the absence of each rule. Leave all of them on elsewhere.
 */
struct Safeguards
{
  /** Sync appended entries before they are acknowledged. */
  bool m_syncBeforeAcknowledge = true;
  /** Leave learners out of every majority. */
  bool m_learnersDoNotCount = true;
  /** Commit by counting only entries of the leader's own term. */
  bool m_commitOnlyOwnTerm = true;
  /** Ask for pre-votes before raising the term. */
  bool m_preVote = true;
  /** A leader without contact to a majority steps down. */
  bool m_checkQuorum = true;
  /** A member with an empty disk returns under a new incarnation. */
  bool m_newIncarnationAfterDiskLoss = true;
  /** Confirm a read by a round of heartbeats. */
  bool m_confirmReads = true;
  /** Refuse a member that holds less than it once acknowledged. */
  bool m_detectDiskLoss = true;
};

/** How a member behaves. Durations are in microseconds. */
struct Options
{
  /** The instance of this member. */
  InstanceId m_self;
  /** The instances that form the initial configuration, and that a member
   * without a configuration asks to be taken in. */
  std::vector<InstanceId> m_founders;
  /**
   * Allows a member with an empty storage to act as a founding member. Set for
   * the first start of a new log only: with it, a member whose disk was lost
   * would vote a second time under its old identity.
   */
  bool m_bootstrap = false;
  /**
   * The incarnation taken on an empty storage without `bootstrap`. Must exceed
   * kFoundingIncarnation and every incarnation that this instance used before;
   * microseconds of wall-clock time since the epoch meet this.
   */
  Incarnation m_freshIncarnation;
  /** Seed of the election timeouts; must differ between members. */
  std::uint64_t m_seed = 0;
  /** Distinguishes this run from other runs on the same or a copied disk; must
   * be drawn at random at each start. */
  std::uint64_t m_sessionNonce = 0;

  /** Time between heartbeats. */
  Duration m_heartbeatInterval = std::chrono::milliseconds(50);
  /** Least time without a leader before an election; the time used is drawn
   * between one and two times this. */
  Duration m_electionTimeout = std::chrono::milliseconds(300);
  /** As m_electionTimeout, for the first election after a start, when there
   * may be no leader at all; zero to use m_electionTimeout. A pre-vote keeps a
   * member that starts early from disturbing a leader. */
  Duration m_firstElectionTimeout{};
  /** Most bytes of entries in one message, unless one entry is larger. */
  std::size_t m_maxMessageBytes = std::size_t{ 256 } * 1024;
  /** Most bytes of entries sent to a member and not yet acknowledged. */
  std::size_t m_maxInflightBytes = std::size_t{ 1024 } * 1024;
  /** Time between requests of an instance that wants to become a member. */
  Duration m_joinInterval = std::chrono::milliseconds(50);
  /** Time without an acknowledgement after which entries are sent again. A
   * transport that loses messages only with a connection needs a long one:
   * what is merely slow must not be sent twice. */
  Duration m_resendAfter = std::chrono::milliseconds(50);
  /** Most bytes appended and not yet committed before proposals are refused. */
  std::size_t m_maxUncommittedBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Most bytes of one command. */
  std::size_t m_maxCommandBytes = std::size_t{ 4 } * 1024 * 1024;
  /** A snapshot is asked for when the log since the last one exceeds this. */
  std::size_t m_snapshotAfterBytes = std::size_t{ 4 } * 1024 * 1024;
  /** As above, in entries. */
  std::size_t m_snapshotAfterEntries = 10000;
  /** Time without an answer after which a snapshot is sent again. */
  Duration m_snapshotRetry = std::chrono::seconds(2);
  /** Entries before a snapshot kept in memory, so that a member that is a
   * little behind needs no snapshot. */
  std::size_t m_trailingEntries = 1000;
  /** A learner at most this many entries behind is promoted. */
  std::size_t m_promotionLag = 16;
  /** Promote learners without a PromoteLearner request. */
  bool m_autoPromote = true;
  /** Replace the earlier incarnation of an instance that asks to join. */
  bool m_autoRejoin = true;
  /**
   * After a restart, vote and acknowledge only once a majority of the other
   * voters confirmed what this disk should hold. Protects against an old copy
   * of a disk in every case, at the cost of availability: in a log of three, a
   * restarted member waits for both others.
   */
  bool m_verifyAfterRestart = false;

  Safeguards m_safeguards;
};

} // namespace auburntrestle::consensus

#endif
