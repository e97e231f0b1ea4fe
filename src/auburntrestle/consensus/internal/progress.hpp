#ifndef AUBURNTRESTLE_CONSENSUS_INTERNAL_PROGRESS_HPP
#define AUBURNTRESTLE_CONSENSUS_INTERNAL_PROGRESS_HPP

#include "auburntrestle/consensus/types.hpp"
#include "auburntrestle/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace auburntrestle::consensus::internal {

/** How a leader sends the log to a member. */
enum class SendMode : std::uint8_t
{
  /** One message at a time until the matching index is known. */
  Probe,
  /** Several messages in flight, limited in bytes. */
  Stream,
  /** A snapshot was sent and is not yet acknowledged. */
  Snapshot,
};

/** The replication progress of another member, as known to the leader. */
struct Progress
{
  struct Inflight
  {
    LogIndex m_last;
    std::size_t m_bytes = 0;
  };

  LogIndex m_match;
  LogIndex m_next;
  SendMode m_mode = SendMode::Probe;
  /** A probe was sent and is neither acknowledged nor due for a resend. */
  bool m_probeSent = false;
  /** The member has no configuration and needs a snapshot. */
  bool m_needsSnapshot = false;
  /** When entries were last acknowledged, or sent with none in flight. */
  TimePoint m_lastProgress;
  std::deque<Inflight> m_inflight;
  std::size_t m_inflightBytes = 0;
  /** Bytes sent since m_lastProgress, or before it and not acknowledged. */
  std::size_t m_unacknowledgedBytes = 0;
  std::uint64_t m_round = 0;
  TimePoint m_lastContact;
  TimePoint m_snapshotSent;

  /** Returns to sending one message at a time, starting after `m_match`. */
  void BecomeProbe()
  {
    m_mode = SendMode::Probe;
    m_probeSent = false;
    m_next = m_match.Next();
    m_inflight.clear();
    m_inflightBytes = 0;
  }

  /** Makes the leader resend the probe, whose response is overdue. The matching
   * index is still unknown. */
  void AllowProbeResend() { m_probeSent = false; }

  /** Records the acknowledgement of all entries up to an index. */
  void Acknowledge(LogIndex aIndex)
  {
    m_match = std::max(m_match, aIndex);
    if (m_mode != SendMode::Stream) {
      // Entries sent before the match was known may have been refused.
      m_next = m_match.Next();
    }
    m_next = std::max(m_next, m_match.Next());
    while (!m_inflight.empty() && m_inflight.front().m_last <= m_match) {
      m_inflightBytes -= m_inflight.front().m_bytes;
      m_inflight.pop_front();
    }
    m_mode = SendMode::Stream;
    m_probeSent = false;
    m_needsSnapshot = false;
  }

  /** @return whether sent entries or a probe are not yet acknowledged. */
  [[nodiscard]] bool IsAwaitingAcknowledgement() const
  {
    return m_mode == SendMode::Probe
             ? m_probeSent
             : m_mode == SendMode::Stream && m_next > m_match.Next();
  }
};

} // namespace auburntrestle::consensus::internal

#endif
