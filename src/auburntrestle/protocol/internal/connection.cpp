#include "auburntrestle/protocol/internal/connection.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace auburntrestle::protocol::internal {

Connection::Connection(asio::ip::tcp::socket aSocket,
                       Codec aCodec,
                       Side aSide,
                       const PeerTransportOptions& aOptions,
                       CounterStore& aCounters)
  : m_socket(std::move(aSocket))
  , m_timer(m_socket.get_executor())
  , m_codec(std::move(aCodec))
  , m_side(aSide)
  , m_options(aOptions)
  , m_counters(aCounters)
  , m_input{}
{
}

void Connection::Start(ConnectionCallbacks aCallbacks)
{
  m_callbacks = std::move(aCallbacks);
  m_lastReceived = MonotonicClock::Now();
  m_lastSent = m_lastReceived;
  std::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (m_side == Side::Initiator) {
    std::string hello = m_codec.EncodeHello();
    m_counters.AddSent(TrafficKind::Handshake, hello.size());
    Enqueue(std::move(hello), {});
  }
  StartRead();
  StartTimer(m_options.m_connectTimeout);
}

Expected<void> Connection::Write(const Frame& aFrame, Reservation aReservation)
{
  if (m_closed || !m_established) {
    return protocol::Fail(ProtocolErrorCode::ConnectionLost);
  }
  auto bytes = m_codec.Encode(aFrame);
  if (!bytes) {
    return tl::unexpected(std::move(bytes).error());
  }
  m_counters.AddSent(KindOf(aFrame), bytes->size());
  Enqueue(std::move(*bytes), std::move(aReservation));
  return {};
}

void Connection::Enqueue(std::string aBytes, Reservation aReservation)
{
  m_queuedBytes += aBytes.size();
  m_queue.push_back({ std::move(aBytes), std::move(aReservation) });
  m_lastSent = MonotonicClock::Now();
  // Bounds the memory of replies for a peer that does not read them.
  if (m_queuedBytes > m_options.m_maxQueuedBytes + m_options.m_maxFrameBytes) {
    Close({ ProtocolErrorCode::QueueFull, "the peer does not read" });
    return;
  }
  if (m_writing.empty()) {
    StartWrite();
  }
}

void Connection::StartWrite()
{
  m_writing.swap(m_queue);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_writing.size());
  for (const Outgoing& outgoing : m_writing) {
    buffers.emplace_back(outgoing.m_bytes.data(), outgoing.m_bytes.size());
  }
  asio::async_write(
    m_socket,
    buffers,
    [self = shared_from_this()](const std::error_code& aError,
                                std::size_t aCount) {
      self->m_writing.clear();
      self->m_queuedBytes -= aCount;
      if (aError) {
        self->Close({ ProtocolErrorCode::ConnectionLost, aError.message() });
      } else if (!self->m_queue.empty() && !self->m_closed) {
        self->StartWrite();
      }
    });
}

void Connection::Close(const ProtocolError& aError)
{
  if (std::exchange(m_closed, true)) {
    return;
  }
  std::error_code ignored;
  m_socket.close(ignored);
  m_timer.cancel();
  m_queue.clear();
  const ConnectionCallbacks callbacks = std::exchange(m_callbacks, {});
  if (callbacks.m_onClosed) {
    callbacks.m_onClosed(aError);
  }
}

void Connection::StartRead()
{
  m_socket.async_read_some(
    asio::buffer(m_input),
    [self = shared_from_this()](const std::error_code& aError,
                                std::size_t aCount) {
      self->OnRead(aError, aCount);
    });
}

void Connection::OnRead(const std::error_code& aError, std::size_t aCount)
{
  if (m_closed) {
    return;
  }
  if (aError) {
    Close({ ProtocolErrorCode::ConnectionLost, aError.message() });
    return;
  }
  ReceiveResult received;
  const auto result = m_codec.Receive({ m_input.data(), aCount }, received);
  Deliver(received);
  if (m_closed) {
    return;
  }
  if (!result) {
    m_counters.AddDropped(result.error().m_code);
    Close(result.error());
    return;
  }
  StartRead();
}

void Connection::Deliver(ReceiveResult& aReceived)
{
  if (aReceived.m_handshakeBytes > 0) {
    m_counters.AddReceived(TrafficKind::Handshake, aReceived.m_handshakeBytes);
  }
  if (!aReceived.m_handshakeReply.empty()) {
    m_counters.AddSent(TrafficKind::Handshake,
                       aReceived.m_handshakeReply.size());
    Enqueue(std::move(aReceived.m_handshakeReply), {});
  }
  if (m_codec.IsEstablished() && !m_established) {
    OnEstablished();
  }
  for (ReceivedFrame& frame : aReceived.m_frames) {
    if (m_closed) {
      return;
    }
    m_lastReceived = MonotonicClock::Now();
    m_counters.AddReceived(KindOf(frame.m_frame), frame.m_wireBytes);
    if (!std::holds_alternative<HeartbeatFrame>(frame.m_frame)) {
      m_callbacks.m_onFrame(std::move(frame.m_frame));
    } else if (m_side == Side::Acceptor) {
      (void)Write(HeartbeatFrame{}, {});
    }
  }
}

void Connection::OnEstablished()
{
  m_established = true;
  m_lastReceived = MonotonicClock::Now();
  m_counters.Update(
    [](TransportCounters& aCounters) { ++aCounters.m_connections; });
  if (m_side == Side::Initiator) {
    // The acceptor considers the connection established from the first frame.
    (void)Write(HeartbeatFrame{}, {});
  }
  StartTimer(m_options.m_heartbeatInterval);
  if (!m_closed && m_callbacks.m_onEstablished) {
    m_callbacks.m_onEstablished();
  }
}

void Connection::StartTimer(Duration aDelay)
{
  m_timer.expires_after(aDelay);
  m_timer.async_wait(
    [self = shared_from_this()](const std::error_code& aError) {
      if (!aError && !self->m_closed) {
        self->OnTimer();
      }
    });
}

void Connection::OnTimer()
{
  const TimePoint now = MonotonicClock::Now();
  if (!m_established) {
    Close({ ProtocolErrorCode::ConnectionLost, "handshake timed out" });
    return;
  }
  if (now - m_lastReceived >= m_options.m_silenceLimit) {
    m_counters.Update(
      [](TransportCounters& aCounters) { ++aCounters.m_silentConnections; });
    Close({ ProtocolErrorCode::ConnectionLost, "no data received" });
    return;
  }
  // Half an interval, because the last heartbeat was sent slightly after the
  // previous expiry of this timer.
  const Duration quietTime = m_options.m_heartbeatInterval / 2;
  const bool quiet =
    now - m_lastSent >= quietTime || now - m_lastReceived >= quietTime;
  if (m_side == Side::Initiator && quiet) {
    (void)Write(HeartbeatFrame{}, {});
  }
  if (!m_closed) {
    StartTimer(m_options.m_heartbeatInterval);
  }
}

} // namespace auburntrestle::protocol::internal
