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
  /** One message at a time, until the matching index is known. */
  Probe,
  /** Several messages at once, bounded in bytes. */
  Stream,
  /** A snapshot was sent and is not yet answered. */
  Snapshot,
};

/** What a leader knows of another member. */
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
  /** A probe was sent and neither answered nor given up. */
  bool m_probeSent = false;
  /** The member holds no configuration and needs a snapshot. */
  bool m_needsSnapshot = false;
  /** When entries were last acknowledged, or sent with none on their way. */
  TimePoint m_progressAt;
  std::deque<Inflight> m_inflight;
  std::size_t m_inflightBytes = 0;
  std::uint64_t m_round = 0;
  TimePoint m_lastContact;
  TimePoint m_snapshotSent;

  /** Returns to sending one message at a time from `match` on. */
  void BecomeProbe()
  {
    m_mode = SendMode::Probe;
    m_probeSent = false;
    m_next = m_match.Next();
    m_inflight.clear();
    m_inflightBytes = 0;
  }

  /** Sends the probe again when its answer is late; where the logs match is as
   * unknown as before. */
  void RepeatProbe() { m_probeSent = false; }

  /** Records that all entries up to an index are acknowledged. */
  void Acknowledge(LogIndex aIndex)
  {
    m_match = std::max(m_match, aIndex);
    if (m_mode != SendMode::Stream) {
      // What was sent before the match was known may have been refused.
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

  /** @return whether something that was sent waits for an acknowledgement. */
  [[nodiscard]] bool IsWaiting() const
  {
    return m_mode == SendMode::Probe
             ? m_probeSent
             : m_mode == SendMode::Stream && m_next > m_match.Next();
  }
};

} // namespace auburntrestle::consensus::internal

#endif
