#include "auburntrestle/http/internal/server_connection.hpp"

#include "auburntrestle/core/release_memory.hpp"

#include <asio/write.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <utility>

namespace auburntrestle::http::internal {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusUnavailable = 503;
/** Bodies up to this size are always received. */
constexpr std::size_t kMaxSmallBodyBytes = std::size_t{ 64 } * 1024;
/** Seconds after which a large request is worth sending again. */
constexpr std::string_view kBodyRetryAfter = "0.5";
/** Time for a client to read the last response of a connection. */
constexpr Duration kLingerTime = std::chrono::seconds(1);

} // namespace

ServerState::ServerState(event_loop::EventLoop& aLoop,
                         RequestHandler aHandler,
                         std::shared_ptr<ServerResources> aResources)
  : m_loop(aLoop)
  , m_handler(std::move(aHandler))
  , m_resources(std::move(aResources))
  , m_acceptor(aLoop.Context())
{
}

void ServerState::Accept()
{
  m_acceptor.async_accept(
    [self = shared_from_this()](const asio::error_code& aError,
                                asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        // Out of descriptors or memory; retrying immediately would spin.
        constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
        self->m_loop.After(kRetryDelay, [self] { self->Accept(); });
        return;
      }
      auto connection =
        std::make_shared<ServerConnection>(self, std::move(aSocket));
      self->m_connections.insert(connection);
      connection->Start();
      self->Accept();
    });
}

void ServerState::Close()
{
  asio::error_code ignored;
  m_acceptor.close(ignored);
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->Close();
  }
}

ServerConnection::ServerConnection(std::shared_ptr<ServerState> aState,
                                   asio::ip::tcp::socket aSocket)
  : m_state(std::move(aState))
  , m_socket(std::move(aSocket))
{
}

void ServerConnection::Start()
{
  m_usage = m_state->m_resources->TryAdd(
    [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    },
    MonotonicClock::Now());
  if (!m_usage || !TryHoldMemory()) {
    Close();
    return;
  }
  asio::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetStageTimer();
  Read();
}

void ServerConnection::Read()
{
  if (m_reading || m_closed) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    asio::buffer(m_buffer),
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aBytes) {
      self->m_reading = false;
      self->m_filledBuffer = aBytes == self->m_buffer.size();
      self->OnRead(aError, aBytes);
    });
}

void ServerConnection::ResizeBuffer()
{
  const bool large = m_filledBuffer && m_inRequest;
  const std::size_t bytes = large ? kLargeReadBytes : kReadBytes;
  if (m_buffer.size() != bytes) {
    m_buffer = std::vector<char>(bytes);
  }
}

std::size_t ServerConnection::HeldBytes() const
{
  // The socket and the entries in the lists of connections and timers.
  constexpr std::size_t kConnectionBytes = 1024;
  const std::size_t body = m_heldBodyBytes > 0 ? 0 : m_parser.BodyCapacity();
  return sizeof(ServerConnection) + kConnectionBytes + m_buffer.size() +
         m_input.capacity() + m_parser.HeldHeadBytes() + body +
         m_exchangeBytes + m_output.capacity() + m_nextOutput.capacity();
}

bool ServerConnection::TryHoldMemory()
{
  return m_closed || m_state->m_resources->TryHold(
                       *m_usage, HeldBytes(), MonotonicClock::Now());
}

void ServerConnection::HoldMemory()
{
  if (!m_closed) {
    m_state->m_resources->Hold(*m_usage, HeldBytes(), MonotonicClock::Now());
  }
}

ConnectionStage ServerConnection::Stage() const noexcept
{
  if (m_exchange) {
    return ConnectionStage::Handling;
  }
  if (m_writing || m_lingering) {
    return ConnectionStage::Sending;
  }
  return m_inRequest ? ConnectionStage::Receiving : ConnectionStage::Idle;
}

void ServerConnection::RecordProgress(std::size_t aBytes)
{
  if (m_closed) {
    return;
  }
  const ConnectionStage stage = Stage();
  auto& resources = *m_state->m_resources;
  if (std::exchange(m_stage, stage) != stage) {
    resources.EnterStage(*m_usage, stage, MonotonicClock::Now());
  } else {
    resources.RecordProgress(*m_usage, aBytes, MonotonicClock::Now());
  }
}

void ServerConnection::OnRead(const asio::error_code& aError,
                              std::size_t aBytes)
{
  if (m_closed) {
    return;
  }
  if (aError) {
    OnClientDisconnected();
    return;
  }
  if (m_lingering) {
    Read();
    return;
  }
  m_input.append(m_buffer.data(), aBytes);
  ProcessInput();
  if (m_input.empty()) {
    ReleaseMemory(m_input);
  }
  ResizeBuffer();
  if (!m_lingering && !TryHoldMemory()) {
    if (!m_exchange && !m_writing) {
      RefuseAndClose(kStatusUnavailable);
      return;
    }
    // The client sends ahead while its request is handled: nothing more is read
    // until the response has been sent.
    HoldMemory();
    return;
  }
  if (!m_exchange && !m_writing) {
    RecordProgress(aBytes);
  }
  if (m_input.size() < kMaxPipelinedBytes) {
    Read();
  }
}

bool ServerConnection::MayProcess() const noexcept
{
  return !m_input.empty() && !m_exchange && !m_writing && !m_closed &&
         !m_lingering;
}

void ServerConnection::ProcessInput()
{
  while (MayProcess()) {
    if (!m_inRequest) {
      m_inRequest = true;
      SetStageTimer();
    }
    const std::size_t used = m_parser.Feed(m_input);
    m_input.erase(0, used);
    if (const auto status = CheckLimits()) {
      RefuseAndClose(*status);
      return;
    }
    switch (m_parser.GetProgress()) {
      case Progress::Malformed:
        RefuseAndClose(kStatusBadRequest);
        return;
      case Progress::Complete:
        OnRequest();
        break;
      case Progress::Body:
        if (!m_bodyStarted) {
          m_bodyStarted = true;
          SetStageTimer();
          SendContinue();
        }
        break;
      case Progress::Headers:
        break;
    }
  }
}

void ServerConnection::SendContinue()
{
  const auto expect = m_parser.GetHeaders().Find("Expect");
  if (expect && EqualsIgnoreCase(*expect, "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n", false);
  }
}

std::optional<int> ServerConnection::CheckLimits()
{
  if (m_parser.HeaderBytes() > m_state->m_limits.m_headerBytes) {
    return kStatusHeadersTooLarge;
  }
  const std::uint64_t body = std::max<std::uint64_t>(
    m_parser.BodySize(), m_parser.ContentLength().value_or(0));
  if (body > m_state->m_limits.m_bodyBytes) {
    return kStatusTooLarge;
  }
  // The space for a body in chunks grows by doubling, beyond the largest body.
  const std::size_t held = std::max<std::size_t>(
    body, std::min(m_parser.BodyCapacity(), m_state->m_limits.m_bodyBytes));
  return TryHoldBody(body, held) ? std::nullopt
                                 : std::optional(kStatusUnavailable);
}

bool ServerConnection::TryHoldBody(std::size_t aBodyBytes,
                                   std::size_t aHeldBytes)
{
  if (aBodyBytes <= kMaxSmallBodyBytes) {
    m_parser.ReserveBody(m_parser.ContentLength().value_or(0));
    return true;
  }
  if (aHeldBytes <= m_heldBodyBytes) {
    return true;
  }
  const std::size_t further = aHeldBytes - m_heldBodyBytes;
  const std::size_t limit = m_state->m_limits.m_totalBodyBytes;
  while (m_state->m_totalBodyBytes + further > limit) {
    if (!m_state->m_resources->ShedStalledRequest(*m_usage,
                                                  MonotonicClock::Now())) {
      return false;
    }
  }
  m_state->m_totalBodyBytes += further;
  m_heldBodyBytes = aHeldBytes;
  m_parser.ReserveBody(m_parser.ContentLength().value_or(0));
  return true;
}

void ServerConnection::ReleaseBody()
{
  m_state->m_totalBodyBytes -= std::exchange(m_heldBodyBytes, 0);
}

void ServerConnection::OnRequest()
{
  Request request;
  request.m_method = m_parser.Method();
  request.m_target = m_parser.Target();
  m_keepAlive = m_parser.KeepAlive();
  // The request is copied for a backend server while it is handled.
  constexpr std::size_t kCopies = 2;
  m_exchangeBytes =
    kCopies * (m_parser.HeldHeadBytes() +
               (m_heldBodyBytes > 0 ? 0 : m_parser.BodyCapacity()));
  request.m_headers = m_parser.ExtractHeaders();
  request.m_body = m_parser.ExtractBody();
  m_parser.Reset();
  m_inRequest = false;
  m_bodyStarted = false;
  if (m_timer) {
    m_state->m_loop.Cancel(*std::exchange(m_timer, std::nullopt));
  }
  if (!TryHoldMemory()) {
    RefuseAndClose(kStatusUnavailable);
    return;
  }
  m_exchange = std::make_shared<Exchange>(std::move(request), weak_from_this());
  RecordProgress();
  m_active = true;
  ++m_state->m_activeExchanges;
  m_state->m_handler(m_exchange);
}

void ServerConnection::RefuseAndClose(int aStatus)
{
  m_keepAlive = false;
  ReleaseMemory(m_input);
  m_parser.Reset();
  m_exchangeBytes = 0;
  ReleaseBody();
  m_lingering = true;
  Response response{ aStatus, {}, {} };
  if (aStatus == kStatusUnavailable) {
    response.m_headers.Add("Retry-After", std::string(kBodyRetryAfter));
  }
  Write(Serialise(response, true), true);
}

void ServerConnection::Respond(const Response& aResponse)
{
  if (m_closed || !m_exchange) {
    return;
  }
  const bool close = !m_keepAlive || m_state->m_draining;
  m_exchange.reset();
  m_exchangeBytes = 0;
  ReleaseBody();
  Write(Serialise(aResponse, close), close);
}

void ServerConnection::RespondIfActive(const Response& aResponse)
{
  if (const auto exchange = m_exchange) {
    exchange->Respond(aResponse);
  }
}

void ServerConnection::Write(std::string aBytes, bool aClose)
{
  if (m_nextOutput.empty()) {
    m_nextOutput = std::move(aBytes);
  } else {
    m_nextOutput += aBytes;
  }
  m_closeAfterWrite = m_closeAfterWrite || aClose;
  if (!m_writing) {
    StartWrite();
  }
}

void ServerConnection::StartWrite()
{
  m_writing = true;
  m_output = std::exchange(m_nextOutput, {});
  m_sentBytes = 0;
  HoldMemory();
  RecordProgress();
  // A client that does not read its response is disconnected.
  SetTimer(m_state->m_limits.m_bodyTimeout);
  SendRest();
}

void ServerConnection::SendRest()
{
  m_socket.async_write_some(
    asio::buffer(m_output) + m_sentBytes,
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aBytes) {
      self->m_sentBytes += aBytes;
      const bool goesOn =
        !aError && !self->m_closed && self->m_sentBytes < self->m_output.size();
      if (!goesOn) {
        self->OnWritten(aError);
        return;
      }
      self->RecordProgress(aBytes);
      self->SendRest();
    });
}

void ServerConnection::OnWritten(const asio::error_code& aError)
{
  m_writing = false;
  ReleaseMemory(m_output);
  if (m_closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  if (!m_nextOutput.empty()) {
    StartWrite();
    return;
  }
  if (m_closeAfterWrite) {
    LingerAndClose();
    return;
  }
  if (!m_exchange) {
    EndActivity();
    SetStageTimer();
  }
  ProcessInput();
  HoldMemory();
  RecordProgress();
  Read();
}

void ServerConnection::LingerAndClose()
{
  // Closing with unread bytes would reset the connection, and the client could
  // lose the response.
  m_lingering = true;
  HoldMemory();
  RecordProgress();
  asio::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  SetTimer(kLingerTime, [this] { FinishLinger(); });
  Read();
}

void ServerConnection::FinishLinger()
{
  const std::size_t unsent = UnsentBytes();
  const bool progresses = unsent > 0 && unsent < m_unsentBytes;
  m_unsentBytes = unsent;
  if (progresses) {
    SetTimer(kLingerTime, [this] { FinishLinger(); });
  } else {
    Close();
  }
}

std::size_t ServerConnection::UnsentBytes()
{
  int bytes = 0;
  const bool known =
    ::ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return known ? static_cast<std::size_t>(bytes) : 0;
}

void ServerConnection::EndActivity()
{
  if (std::exchange(m_active, false)) {
    --m_state->m_activeExchanges;
  }
}

void ServerConnection::SetStageTimer()
{
  const auto& limits = m_state->m_limits;
  if (m_bodyStarted) {
    SetTimer(limits.m_bodyTimeout);
  } else if (m_inRequest) {
    SetTimer(limits.m_headerTimeout);
  } else {
    SetTimer(limits.m_idleTimeout);
  }
}

void ServerConnection::SetTimer(Duration aDelay)
{
  SetTimer(aDelay, [this] { Close(); });
}

void ServerConnection::SetTimer(Duration aDelay, std::function<void()> aWork)
{
  if (m_timer) {
    m_state->m_loop.Cancel(*m_timer);
  }
  m_timer = m_state->m_loop.After(
    aDelay, [weak = weak_from_this(), work = std::move(aWork)] {
      if (const auto self = weak.lock()) {
        self->m_timer.reset();
        work();
      }
    });
}

void ServerConnection::CloseIdleAfter(Duration aDelay)
{
  if (!m_exchange && !m_inRequest && !m_lingering && !m_writing) {
    SetTimer(aDelay);
  }
}

void ServerConnection::OnClientDisconnected()
{
  Close();
}

void ServerConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  ReleaseBody();
  if (m_usage) {
    m_state->m_resources->Remove(*std::exchange(m_usage, std::nullopt));
  }
  if (m_timer) {
    m_state->m_loop.Cancel(*std::exchange(m_timer, std::nullopt));
  }
  asio::error_code ignored;
  m_socket.close(ignored);
  const auto exchange = std::exchange(m_exchange, nullptr);
  const auto self = shared_from_this();
  m_state->m_connections.erase(self);
  EndActivity();
  if (exchange) {
    exchange->m_responded = true;
    if (const auto work = std::exchange(exchange->m_onClosed, nullptr)) {
      work();
    }
  }
}

} // namespace auburntrestle::http::internal
