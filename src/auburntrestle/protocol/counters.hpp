#ifndef AUBURNTRESTLE_PROTOCOL_COUNTERS_HPP
#define AUBURNTRESTLE_PROTOCOL_COUNTERS_HPP

#include "auburntrestle/protocol/frame.hpp"

#include <array>
#include <cstdint>

namespace auburntrestle::protocol {

/** Traffic of one kind in one direction. */
struct Traffic
{
  std::uint64_t m_count = 0;
  /** Bytes of TCP or UDP payload, including lengths and tags. */
  std::uint64_t m_bytes = 0;
};

/** Counters of a transport since its start. */
struct TransportCounters
{
  /** Indexed by TrafficKind. */
  std::array<Traffic, kTrafficKinds> m_sent{};
  std::array<Traffic, kTrafficKinds> m_received{};
  /** Frames or datagrams without valid authentication. */
  std::uint64_t m_unauthenticated = 0;
  /** Datagrams rejected as replays. */
  std::uint64_t m_replayed = 0;
  /** Other frames or datagrams that were rejected. */
  std::uint64_t m_malformed = 0;
  /** Connections opened and accepted, after the handshake. */
  std::uint64_t m_connections = 0;
  /** Attempts to connect that failed. */
  std::uint64_t m_connectFailures = 0;
  /** Connections closed because nothing was received on them. */
  std::uint64_t m_silentConnections = 0;
  /** Accepted connections closed immediately above the limit. */
  std::uint64_t m_refusedConnections = 0;
  /** Messages and calls refused because a queue was full. */
  std::uint64_t m_queueRefusals = 0;
  /** Messages discarded because the peer could not be reached. */
  std::uint64_t m_discardedMessages = 0;
  /** Replies received after their call had ended. */
  std::uint64_t m_lateReplies = 0;

  /** @return the sent traffic of a kind. */
  [[nodiscard]] const Traffic& SentTraffic(TrafficKind aKind) const noexcept
  {
    return m_sent[static_cast<std::size_t>(aKind)];
  }
  /** @return the received traffic of a kind. */
  [[nodiscard]] const Traffic& ReceivedTraffic(TrafficKind aKind) const noexcept
  {
    return m_received[static_cast<std::size_t>(aKind)];
  }
};

} // namespace auburntrestle::protocol

#endif
