#include "auburntrestle/protocol/internal/link.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace auburntrestle::protocol::internal {

Link::Link(asio::io_context& aIo,
           const PeerTransportOptions& aOptions,
           CounterStore& aCounters,
           InstanceId aPeer,
           asio::ip::tcp::endpoint aEndpoint)
  : m_io(aIo)
  , m_options(aOptions)
  , m_counters(aCounters)
  , m_peer(std::move(aPeer))
  , m_endpoint(std::move(aEndpoint))
  , m_frameQuota(std::make_shared<Quota>(aOptions.m_maxQueuedFrames,
                                         aOptions.m_maxQueuedBytes))
  , m_callQuota(std::make_shared<Quota>(aOptions.m_maxPendingCalls, 0))
  , m_timer(aIo)
  , m_random(std::random_device()())
  , m_backOffDelay(aOptions.m_firstBackOff)
{
}

std::optional<Reservation> Link::ReserveFrame(std::size_t aBytes)
{
  if (!m_frameQuota->TryAcquire(aBytes)) {
    return std::nullopt;
  }
  return Reservation(m_frameQuota, aBytes);
}

std::optional<Reservation> Link::ReserveCall()
{
  if (!m_callQuota->TryAcquire(0)) {
    return std::nullopt;
  }
  return Reservation(m_callQuota, 0);
}

void Link::Send(MessageFrame aFrame, Reservation aReservation)
{
  Enqueue(std::move(aFrame), std::move(aReservation));
}

void Link::Call(CallFrame aFrame,
                Reservation aReservation,
                Reservation aCallReservation,
                ReplyCallback aCallback)
{
  if (m_stage == Stage::Ended) {
    aCallback(protocol::Fail(ProtocolErrorCode::NotSent, "peer removed"));
    return;
  }
  const CallId id = aFrame.m_id;
  auto timer = std::make_unique<asio::steady_timer>(m_io, aFrame.m_timeout);
  timer->async_wait(
    [self = shared_from_this(), id](const std::error_code& aError) {
      if (!aError) {
        self->OnCallTimeout(id);
      }
    });
  m_calls.emplace(id,
                  PendingCall{ std::move(aCallback),
                               std::move(aCallReservation),
                               std::move(timer) });
  Enqueue(std::move(aFrame), std::move(aReservation));
}

void Link::Enqueue(Frame aFrame, Reservation aReservation)
{
  m_lastUse = MonotonicClock::Now();
  QueuedFrame queued{ std::move(aFrame), std::move(aReservation) };
  if (m_stage == Stage::Ready) {
    WriteToConnection(std::move(queued));
    return;
  }
  if (m_stage == Stage::Ended) {
    return;
  }
  m_queue.push_back(std::move(queued));
  DiscardOldMessages();
  if (m_stage == Stage::Idle) {
    Connect();
  }
}

void Link::DiscardOldMessages()
{
  const auto isMessage = [](const QueuedFrame& aItem) {
    return std::holds_alternative<MessageFrame>(aItem.m_frame);
  };
  const auto messages = static_cast<std::size_t>(
    std::count_if(m_queue.begin(), m_queue.end(), isMessage));
  if (messages > m_options.m_maxWaitingMessages) {
    m_queue.erase(std::find_if(m_queue.begin(), m_queue.end(), isMessage));
  }
}

void Link::WriteToConnection(QueuedFrame aQueued)
{
  const auto* call = std::get_if<CallFrame>(&aQueued.m_frame);
  if (call != nullptr) {
    const auto found = m_calls.find(call->m_id);
    if (found == m_calls.end()) {
      return;
    }
    found->second.m_sent = true;
  }
  // A local copy, because a failed write may reset m_connection.
  const auto connection = m_connection;
  const auto result =
    connection->Write(aQueued.m_frame, std::move(aQueued.m_reservation));
  if (!result && call != nullptr) {
    FinishCall(call->m_id,
               protocol::Fail(ProtocolErrorCode::NotSent,
                              std::string(ToString(result.error().m_code))));
  }
}

void Link::SetEndpoint(const asio::ip::tcp::endpoint& aEndpoint)
{
  if (m_endpoint == aEndpoint || m_stage == Stage::Ended) {
    return;
  }
  m_endpoint = aEndpoint;
  m_backOffDelay = m_options.m_firstBackOff;
  if (m_connection != nullptr) {
    m_connection->Close(
      { ProtocolErrorCode::ConnectionLost, "the peer's address changed" });
  } else if (m_stage == Stage::Connecting ||
             (m_stage == Stage::BackingOff && !m_queue.empty())) {
    Connect();
  } else if (m_stage == Stage::BackingOff) {
    ++m_attempt;
    m_timer.cancel();
    m_stage = Stage::Idle;
  }
}

void Link::Shutdown(ProtocolErrorCode aCode)
{
  if (std::exchange(m_stage, Stage::Ended) == Stage::Ended) {
    return;
  }
  ++m_attempt;
  m_timer.cancel();
  DiscardQueue();
  if (m_socket != nullptr) {
    std::error_code ignored;
    m_socket->close(ignored);
  }
  if (const auto connection = std::exchange(m_connection, nullptr)) {
    connection->Close({ aCode, "shutdown" });
  }
  FailCalls(true, { aCode, "shutdown" });
}

void Link::Connect()
{
  m_stage = Stage::Connecting;
  const std::uint64_t attempt = ++m_attempt;
  if (m_socket != nullptr) {
    std::error_code ignored;
    m_socket->close(ignored);
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
  m_socket = socket;
  socket->async_connect(m_endpoint,
                        [self = shared_from_this(), socket, attempt](
                          const std::error_code& aError) {
                          if (attempt == self->m_attempt) {
                            self->OnConnected(socket, aError);
                          }
                        });
  m_timer.expires_after(m_options.m_connectTimeout);
  m_timer.async_wait(
    [self = shared_from_this(), attempt](const std::error_code& aError) {
      // m_socket is reset once connected, but the handler of a timer that had
      // expired by then may still run.
      if (!aError && attempt == self->m_attempt && self->m_socket != nullptr) {
        self->OnConnectFailed(
          { ProtocolErrorCode::NotSent, "connecting timed out" });
      }
    });
}

void Link::OnConnected(const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
                       const std::error_code& aError)
{
  m_timer.cancel();
  m_socket.reset();
  if (aError) {
    OnConnectFailed({ ProtocolErrorCode::NotSent, aError.message() });
    return;
  }
  m_connection =
    std::make_shared<Connection>(std::move(*aSocket),
                                 Codec::Initiate(m_options.m_key,
                                                 m_options.m_self,
                                                 m_peer,
                                                 RandomNonce(),
                                                 m_options.m_maxFrameBytes),
                                 Side::Initiator,
                                 m_options,
                                 m_counters);
  // The link outlives its connection: the callbacks hold it until m_onClosed,
  // and Shutdown closes the connection first.
  m_connection->Start(
    { [self = shared_from_this()] { self->OnReady(); },
      [self = shared_from_this()](Frame aFrame) {
        self->OnFrame(std::move(aFrame));
      },
      [self = shared_from_this()](const ProtocolError& aClosed) {
        self->OnClosed(aClosed);
      } });
}

void Link::OnReady()
{
  if (m_stage != Stage::Connecting) {
    return;
  }
  m_stage = Stage::Ready;
  m_backOffDelay = m_options.m_firstBackOff;
  while (!m_queue.empty() && m_stage == Stage::Ready) {
    QueuedFrame queued = std::move(m_queue.front());
    m_queue.pop_front();
    WriteToConnection(std::move(queued));
  }
  if (m_stage == Stage::Ready) {
    StartIdleTimer();
  }
}

void Link::OnFrame(Frame aFrame)
{
  std::visit(
    Overloaded{ [this](ReplyFrame& aReply) {
                 FinishCall(aReply.m_id, std::move(aReply.m_payload));
               },
                [this](FailureFrame& aFailure) {
                  FinishCall(
                    aFailure.m_id,
                    protocol::Fail(aFailure.m_failure == CallFailure::Refused
                                     ? ProtocolErrorCode::CallRefused
                                     : ProtocolErrorCode::CallFailed,
                                   std::move(aFailure.m_detail)));
                },
                [this](auto&) {
                  m_counters.AddDropped(ProtocolErrorCode::Malformed);
                  m_connection->Close({ ProtocolErrorCode::Malformed,
                                        "unexpected kind of frame" });
                } },
    aFrame);
}

void Link::OnClosed(const ProtocolError& aError)
{
  m_connection.reset();
  m_timer.cancel();
  if (m_stage == Stage::Ended || m_stage == Stage::Idle) {
    return;
  }
  if (m_stage == Stage::Connecting) {
    OnConnectFailed(aError);
    return;
  }
  StartBackOff();
  FailCalls(false, { ProtocolErrorCode::ConnectionLost, aError.m_detail });
}

void Link::OnConnectFailed(const ProtocolError& aError)
{
  m_counters.Update(
    [](TransportCounters& aCounters) { ++aCounters.m_connectFailures; });
  if (m_socket != nullptr) {
    std::error_code ignored;
    m_socket->close(ignored);
    m_socket.reset();
  }
  DiscardQueue();
  StartBackOff();
  FailCalls(true,
            { ProtocolErrorCode::NotSent,
              std::string(ToString(aError.m_code)) + ": " + aError.m_detail });
}

void Link::StartBackOff()
{
  m_stage = Stage::BackingOff;
  const std::uint64_t attempt = ++m_attempt;
  // Jitter keeps instances that lost the same peer from reconnecting to it at
  // the same time.
  const auto half = static_cast<std::uint64_t>(m_backOffDelay.count() / 2);
  const Duration delay(
    static_cast<std::int64_t>(half + m_random.Below(half + 1)));
  m_backOffDelay = std::min(m_backOffDelay * 2, m_options.m_maxBackOff);
  m_timer.expires_after(delay);
  m_timer.async_wait(
    [self = shared_from_this(), attempt](const std::error_code& aError) {
      if (aError || attempt != self->m_attempt) {
        return;
      }
      self->m_stage = Stage::Idle;
      if (!self->m_queue.empty()) {
        self->Connect();
      }
    });
}

void Link::StartIdleTimer()
{
  const std::uint64_t attempt = m_attempt;
  m_timer.expires_after(m_options.m_idleLimit);
  m_timer.async_wait(
    [self = shared_from_this(), attempt](const std::error_code& aError) {
      if (!aError && attempt == self->m_attempt) {
        self->OnIdleTimer();
      }
    });
}

void Link::OnIdleTimer()
{
  const Duration unused = MonotonicClock::Now() - m_lastUse;
  if (unused < m_options.m_idleLimit || !m_calls.empty()) {
    StartIdleTimer();
    return;
  }
  ++m_attempt;
  m_stage = Stage::Idle;
  const auto connection = std::exchange(m_connection, nullptr);
  connection->Close({ ProtocolErrorCode::ConnectionLost, "idle" });
}

void Link::OnCallTimeout(CallId aId)
{
  const auto found = m_calls.find(aId);
  if (found == m_calls.end()) {
    return;
  }
  const bool sent = found->second.m_sent;
  if (!sent) {
    std::erase_if(m_queue, [aId](const QueuedFrame& aQueued) {
      const auto* call = std::get_if<CallFrame>(&aQueued.m_frame);
      return call != nullptr && call->m_id == aId;
    });
  }
  FinishCall(aId,
             protocol::Fail(sent ? ProtocolErrorCode::TimedOut
                                 : ProtocolErrorCode::NotSent,
                            sent ? "no reply in time" : "not sent in time"));
}

void Link::DiscardQueue()
{
  const auto messages =
    std::count_if(m_queue.begin(), m_queue.end(), [](const QueuedFrame& aItem) {
      return std::holds_alternative<MessageFrame>(aItem.m_frame);
    });
  m_queue.clear();
  m_counters.Update([messages](TransportCounters& aCounters) {
    aCounters.m_discardedMessages += static_cast<std::uint64_t>(messages);
  });
}

void Link::FinishCall(CallId aId, Expected<std::string> aReply)
{
  auto call = m_calls.extract(aId);
  if (call.empty()) {
    m_counters.Update(
      [](TransportCounters& aCounters) { ++aCounters.m_lateReplies; });
    return;
  }
  call.mapped().m_timer->cancel();
  call.mapped().m_reservation = Reservation();
  call.mapped().m_callback(std::move(aReply));
}

void Link::FailCalls(bool aIncludeUnsent, const ProtocolError& aError)
{
  std::vector<std::pair<CallId, bool>> ended;
  for (const auto& [id, call] : m_calls) {
    if (call.m_sent || aIncludeUnsent) {
      ended.emplace_back(id, call.m_sent);
    }
  }
  for (const auto& [id, sent] : ended) {
    // A call that was never passed to a connection did not run.
    const ProtocolErrorCode code =
      sent ? ProtocolErrorCode::ConnectionLost : ProtocolErrorCode::NotSent;
    FinishCall(id, protocol::Fail(code, aError.m_detail));
  }
}

} // namespace auburntrestle::protocol::internal
