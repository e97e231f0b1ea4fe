#ifndef AUBURNTRESTLE_PROTOCOL_INTERNAL_CONNECTION_HPP
#define AUBURNTRESTLE_PROTOCOL_INTERNAL_CONNECTION_HPP

#include "auburntrestle/core/quota.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/protocol/codec.hpp"
#include "auburntrestle/protocol/internal/counter_store.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::protocol::internal {

/** Which side opened a connection. */
enum class Side : std::uint8_t
{
  Initiator,
  Acceptor,
};

/** Callbacks of a connection to its owner, run on the transport's thread. */
struct ConnectionCallbacks
{
  std::function<void()> m_onEstablished;
  std::function<void(Frame aFrame)> m_onFrame;
  /** Called once; no other callback is called afterwards. */
  std::function<void(const ProtocolError& aError)> m_onClosed;
};

/** One authenticated TCP connection; used on the transport's thread only. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::ip::tcp::socket aSocket,
             Codec aCodec,
             Side aSide,
             const PeerTransportOptions& aOptions,
             CounterStore& aCounters);

  /** Starts the handshake. */
  void Start(ConnectionCallbacks aCallbacks);

  /**
   * Queues a frame of an established connection.
   *
   * @param aReservation released when the frame has been written.
   * @return TooLarge or ConnectionLost; the frame was then not queued.
   */
  Expected<void> Write(const Frame& aFrame, Reservation aReservation);

  /** Closes the connection; the first call passes aError to m_onClosed. */
  void Close(const ProtocolError& aError);

  [[nodiscard]] const InstanceId& Peer() const noexcept
  {
    return m_codec.Peer();
  }

private:
  struct Outgoing
  {
    std::string m_bytes;
    Reservation m_reservation;
  };

  void Enqueue(std::string aBytes, Reservation aReservation);
  void StartRead();
  void StartWrite();
  void OnRead(const std::error_code& aError, std::size_t aCount);
  void Deliver(ReceiveResult& aReceived);
  void OnEstablished();
  void StartTimer(Duration aDelay);
  void OnTimer();

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  Codec m_codec;
  Side m_side;
  const PeerTransportOptions& m_options;
  CounterStore& m_counters;
  ConnectionCallbacks m_callbacks;
  std::array<char, 16384> m_input;
  std::vector<Outgoing> m_queue;
  std::vector<Outgoing> m_writing;
  std::size_t m_queuedBytes = 0;
  TimePoint m_lastReceived;
  TimePoint m_lastSent;
  bool m_established = false;
  bool m_closed = false;
};

} // namespace auburntrestle::protocol::internal

#endif
