#ifndef AUBURNTRESTLE_PROTOCOL_DATAGRAM_HPP
#define AUBURNTRESTLE_PROTOCOL_DATAGRAM_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/protocol/authentication.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/** An authenticated datagram. */
struct Datagram
{
  InstanceId m_from;
  Incarnation m_incarnation;
  /**
   * True when the sender addressed it to the id of this instance. A joining
   * instance knows only the address of a seed and sends undirected datagrams.
   * Handlers must accept nothing but a request to join from those, since an
   * undirected datagram can be replayed to another instance.
   */
  bool m_directed = false;
  std::string m_payload;
};

/**
 * Authenticates datagrams under the shared key. The tag covers the sender, its
 * incarnation, a counter and, in a directed datagram, the id of the receiver,
 * which is not sent. A receiver keeps the newest incarnation of each sender and
 * a sliding window of the last kWindow counters, so that each datagram is
 * accepted at most once, also when datagrams are reordered. Not thread-safe.
 */
class DatagramCodec
{
public:
  /** Length of the replay window in datagrams; older ones are rejected. */
  static constexpr std::uint64_t kWindow = 64;
  /** Maximum number of tracked senders; beyond it the least recently active one
   * is evicted. */
  static constexpr std::size_t kMaxSenders = 4096;

  DatagramCodec(const SharedKey& aKey,
                InstanceId aSelf,
                Incarnation aIncarnation);

  /** @param aTo the receiver, or nothing when only its address is known. */
  [[nodiscard]] std::string Encode(const std::optional<InstanceId>& aTo,
                                   std::string_view aPayload);

  /** @return the datagram, or Malformed, BadAuthentication or Replayed. */
  [[nodiscard]] Expected<Datagram> Decode(std::string_view aBytes);

private:
  struct Sender
  {
    Incarnation m_incarnation;
    std::uint64_t m_newestCounter = 0;
    /** Bit n is set when the counter m_newestCounter - n was received. */
    std::uint64_t m_receivedMask = 0;
    std::uint64_t m_lastUse = 0;
  };

  [[nodiscard]] bool AcceptCounter(const InstanceId& aFrom,
                                   Incarnation aIncarnation,
                                   std::uint64_t aCounter);
  void EvictOldestSender();

  Authenticator m_shared;
  InstanceId m_self;
  Incarnation m_incarnation;
  std::uint64_t m_counter = 0;
  std::uint64_t m_useCount = 0;
  std::map<InstanceId, Sender> m_senders;
};

} // namespace auburntrestle::protocol

#endif
