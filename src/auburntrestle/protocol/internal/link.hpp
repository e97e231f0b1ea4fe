#ifndef AUBURNTRESTLE_PROTOCOL_INTERNAL_LINK_HPP
#define AUBURNTRESTLE_PROTOCOL_INTERNAL_LINK_HPP

#include "auburntrestle/core/quota.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/protocol/internal/connection.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>

namespace auburntrestle::protocol::internal {

/**
 * The outgoing connection to one peer, with its queue of frames and its calls
 * without a reply. Used on the transport's thread only, except ReserveFrame and
 * ReserveCall.
 */
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::io_context& aIo,
       const PeerTransportOptions& aOptions,
       CounterStore& aCounters,
       InstanceId aPeer,
       asio::ip::tcp::endpoint aEndpoint);

  /** @return a reservation for a frame, or nothing when the queue is full. */
  [[nodiscard]] std::optional<Reservation> ReserveFrame(std::size_t aBytes);
  /** @return a reservation for a call, or nothing at the maximum of calls. */
  [[nodiscard]] std::optional<Reservation> ReserveCall();

  void Send(MessageFrame aFrame, Reservation aReservation);
  void Call(CallFrame aFrame,
            Reservation aReservation,
            Reservation aCallReservation,
            ReplyCallback aCallback);
  /** Changes the address; a connection to the old one is closed. */
  void SetEndpoint(const asio::ip::tcp::endpoint& aEndpoint);
  /** Closes the connection and ends all calls; the link is not used again. */
  void Shutdown(ProtocolErrorCode aCode);

private:
  enum class Stage : std::uint8_t
  {
    Idle,
    Connecting,
    Ready,
    BackingOff,
    Ended,
  };

  struct QueuedFrame
  {
    Frame m_frame;
    Reservation m_reservation;
  };

  struct PendingCall
  {
    ReplyCallback m_callback;
    Reservation m_reservation;
    std::unique_ptr<asio::steady_timer> m_timer;
    bool m_sent = false;
  };

  void Enqueue(Frame aFrame, Reservation aReservation);
  void DiscardOldMessages();
  void WriteToConnection(QueuedFrame aQueued);
  void Connect();
  void OnConnected(const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
                   const std::error_code& aError);
  void OnReady();
  void OnFrame(Frame aFrame);
  void OnClosed(const ProtocolError& aError);
  void OnConnectFailed(const ProtocolError& aError);
  void StartBackOff();
  void StartIdleTimer();
  void OnIdleTimer();
  void OnCallTimeout(CallId aId);
  void DiscardQueue();
  void FinishCall(CallId aId, Expected<std::string> aReply);
  void FailCalls(bool aIncludeUnsent, const ProtocolError& aError);

  asio::io_context& m_io;
  const PeerTransportOptions& m_options;
  CounterStore& m_counters;
  InstanceId m_peer;
  asio::ip::tcp::endpoint m_endpoint;
  std::shared_ptr<Quota> m_frameQuota;
  std::shared_ptr<Quota> m_callQuota;
  asio::steady_timer m_timer;
  RandomSource m_random;
  Stage m_stage = Stage::Idle;
  /** Distinguishes the current attempt to connect from abandoned ones. */
  std::uint64_t m_attempt = 0;
  Duration m_backOffDelay;
  TimePoint m_lastUse;
  std::shared_ptr<asio::ip::tcp::socket> m_socket;
  std::shared_ptr<Connection> m_connection;
  std::deque<QueuedFrame> m_queue;
  std::map<CallId, PendingCall> m_calls;
};

} // namespace auburntrestle::protocol::internal

#endif
