#include "auburntrestle/protocol/peer_transport.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/protocol/internal/address.hpp"
#include "auburntrestle/protocol/internal/connection.hpp"
#include "auburntrestle/protocol/internal/link.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace auburntrestle::protocol {

namespace internal {

// Upper bound of the encoded fields of a frame without its payload; see
// frame.hpp.
constexpr std::size_t kMaxFrameFieldBytes = 64;
// Delay before accepting again after an error such as a lack of descriptors,
// which would otherwise recur immediately.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

/** State of a received call, shared by the copies of its Reply. */
class ReplyState
{
public:
  ReplyState(std::weak_ptr<TransportCore> aCore,
             std::weak_ptr<Connection> aConnection,
             CallId aId,
             Duration aTimeout)
    : m_core(std::move(aCore))
    , m_connection(std::move(aConnection))
    , m_id(aId)
    , m_timeout(aTimeout)
  {
  }
  ReplyState(const ReplyState&) = delete;
  ReplyState& operator=(const ReplyState&) = delete;
  ~ReplyState()
  {
    Finish(FailureFrame{ m_id, CallFailure::Failed, "the call was dropped" });
  }

  void Finish(Frame aFrame);
  [[nodiscard]] CallId Id() const noexcept { return m_id; }
  [[nodiscard]] Duration Timeout() const noexcept { return m_timeout; }

private:
  std::weak_ptr<TransportCore> m_core;
  std::weak_ptr<Connection> m_connection;
  CallId m_id;
  Duration m_timeout;
  std::atomic<bool> m_finished{ false };
};

/** State of a transport, and the work done on its thread. */
class TransportCore : public std::enable_shared_from_this<TransportCore>
{
public:
  TransportCore(PeerTransportOptions aOptions, PeerHandlers aHandlers)
    : m_options(std::move(aOptions))
    , m_handlers(std::move(aHandlers))
    , m_acceptor(m_io)
    , m_acceptTimer(m_io)
  {
  }

  Expected<void> Listen();
  void Run();
  void Stop();
  Expected<void> SetPeer(const InstanceId& aPeer, const std::string& aAddress);
  void RemovePeer(const InstanceId& aPeer);
  Expected<void> Send(const InstanceId& aPeer, MessageFrame aFrame);
  Expected<void> Call(const InstanceId& aPeer,
                      CallFrame aFrame,
                      ReplyCallback aCallback);
  void PostReply(const std::weak_ptr<Connection>& aConnection, Frame aFrame);
  [[nodiscard]] std::size_t QueuedReplyBytes() const
  {
    return m_replies->Bytes();
  }

  [[nodiscard]] TransportCounters Counters() const { return m_counters.Copy(); }
  [[nodiscard]] std::uint16_t Port() const noexcept { return m_port; }

private:
  Expected<std::shared_ptr<Link>> FindLink(const InstanceId& aPeer,
                                           std::size_t aPayloadBytes);
  Expected<Reservation> CheckReservation(
    std::optional<Reservation> aReservation);
  void Accept();
  void OnAccepted(const std::error_code& aError, asio::ip::tcp::socket aSocket);
  void OnAcceptedFrame(const std::shared_ptr<Connection>& aConnection,
                       Frame aFrame);
  void OnCall(const std::shared_ptr<Connection>& aConnection,
              CallFrame& aFrame);
  void Shutdown();

  // First, so that it is destroyed last: sockets and timers refer to it.
  asio::io_context m_io;
  PeerTransportOptions m_options;
  PeerHandlers m_handlers;
  CounterStore m_counters;
  /** Counts the replies that are not written yet. */
  std::shared_ptr<Quota> m_replies =
    std::make_shared<Quota>(std::numeric_limits<std::size_t>::max(),
                            std::numeric_limits<std::size_t>::max());
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptTimer;
  std::uint16_t m_port = 0;
  std::set<std::shared_ptr<Connection>> m_accepted;
  std::thread m_thread;

  // Guards the members below. Work is posted while it is locked, so that
  // nothing is posted after the shutdown.
  std::mutex m_mutex;
  std::map<InstanceId, std::shared_ptr<Link>> m_links;
  std::uint64_t m_lastCallId = 0;
  bool m_stopped = false;
};

void ReplyState::Finish(Frame aFrame)
{
  if (m_finished.exchange(true)) {
    return;
  }
  if (const auto core = m_core.lock()) {
    core->PostReply(m_connection, std::move(aFrame));
  }
}

Expected<void> TransportCore::Listen()
{
  const auto address = ParseAddress(m_options.m_listenAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const asio::ip::tcp::endpoint endpoint(address->m_host, address->m_port);
  try {
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
  } catch (const std::system_error& error) {
    return Fail(ProtocolErrorCode::ListenFailed,
                m_options.m_listenAddress + ": " + error.what());
  }
  return {};
}

void TransportCore::Run()
{
  Accept();
  m_thread = std::thread([this] {
    const auto guard = asio::make_work_guard(m_io);
    m_io.run();
  });
}

void TransportCore::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_stopped, true)) {
      return;
    }
    asio::post(m_io, [this] { Shutdown(); });
  }
  m_thread.join();
}

void TransportCore::Shutdown()
{
  std::error_code ignored;
  m_acceptor.close(ignored);
  m_acceptTimer.cancel();
  std::map<InstanceId, std::shared_ptr<Link>> links;
  {
    const std::lock_guard lock(m_mutex);
    links.swap(m_links);
  }
  for (const auto& [peer, link] : links) {
    link->Shutdown(ProtocolErrorCode::Stopped);
  }
  for (const auto& connection : std::exchange(m_accepted, {})) {
    connection->Close({ ProtocolErrorCode::Stopped, "shutdown" });
  }
  m_io.stop();
}

Expected<void> TransportCore::SetPeer(const InstanceId& aPeer,
                                      const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const asio::ip::tcp::endpoint endpoint(address->m_host, address->m_port);
  const std::lock_guard lock(m_mutex);
  if (m_stopped) {
    return Fail(ProtocolErrorCode::Stopped);
  }
  auto& link = m_links[aPeer];
  if (link == nullptr) {
    link = std::make_shared<Link>(m_io, m_options, m_counters, aPeer, endpoint);
  } else {
    asio::post(m_io, [link, endpoint] { link->SetEndpoint(endpoint); });
  }
  return {};
}

void TransportCore::RemovePeer(const InstanceId& aPeer)
{
  const std::lock_guard lock(m_mutex);
  auto found = m_links.extract(aPeer);
  if (!found.empty() && !m_stopped) {
    asio::post(m_io, [link = std::move(found.mapped())] {
      link->Shutdown(ProtocolErrorCode::UnknownPeer);
    });
  }
}

Expected<std::shared_ptr<Link>> TransportCore::FindLink(
  const InstanceId& aPeer,
  std::size_t aPayloadBytes)
{
  if (m_stopped) {
    return Fail(ProtocolErrorCode::Stopped);
  }
  if (aPayloadBytes + kMaxFrameFieldBytes > m_options.m_maxFrameBytes) {
    return Fail(ProtocolErrorCode::TooLarge,
                "payload of " + std::to_string(aPayloadBytes) + " bytes");
  }
  const auto found = m_links.find(aPeer);
  if (found == m_links.end()) {
    return Fail(ProtocolErrorCode::UnknownPeer, aPeer.Get());
  }
  return found->second;
}

Expected<Reservation> TransportCore::CheckReservation(
  std::optional<Reservation> aReservation)
{
  if (!aReservation.has_value()) {
    m_counters.Update(
      [](TransportCounters& aCounters) { ++aCounters.m_queueRefusals; });
    return Fail(ProtocolErrorCode::QueueFull);
  }
  return std::move(*aReservation);
}

Expected<void> TransportCore::Send(const InstanceId& aPeer, MessageFrame aFrame)
{
  const std::lock_guard lock(m_mutex);
  auto link = FindLink(aPeer, aFrame.m_payload.size());
  if (!link) {
    return tl::unexpected(std::move(link).error());
  }
  auto reservation =
    CheckReservation((*link)->ReserveFrame(aFrame.m_payload.size()));
  if (!reservation) {
    return tl::unexpected(std::move(reservation).error());
  }
  asio::post(m_io,
             [link = std::move(*link),
              frame = std::move(aFrame),
              reservation = std::move(*reservation)]() mutable {
               link->Send(std::move(frame), std::move(reservation));
             });
  return {};
}

Expected<void> TransportCore::Call(const InstanceId& aPeer,
                                   CallFrame aFrame,
                                   ReplyCallback aCallback)
{
  const std::lock_guard lock(m_mutex);
  auto link = FindLink(aPeer, aFrame.m_payload.size());
  if (!link) {
    return tl::unexpected(std::move(link).error());
  }
  auto reservation =
    CheckReservation((*link)->ReserveFrame(aFrame.m_payload.size()));
  if (!reservation) {
    return tl::unexpected(std::move(reservation).error());
  }
  auto callReservation = CheckReservation((*link)->ReserveCall());
  if (!callReservation) {
    return tl::unexpected(std::move(callReservation).error());
  }
  aFrame.m_id = CallId(++m_lastCallId);
  asio::post(m_io,
             [link = std::move(*link),
              frame = std::move(aFrame),
              reservation = std::move(*reservation),
              callReservation = std::move(*callReservation),
              callback = std::move(aCallback)]() mutable {
               link->Call(std::move(frame),
                          std::move(reservation),
                          std::move(callReservation),
                          std::move(callback));
             });
  return {};
}

void TransportCore::PostReply(const std::weak_ptr<Connection>& aConnection,
                              Frame aFrame)
{
  const auto* sent = std::get_if<ReplyFrame>(&aFrame);
  const std::size_t bytes = sent != nullptr ? sent->m_payload.size() : 0;
  m_replies->Acquire(bytes);
  asio::post(
    m_io,
    [aConnection,
     frame = std::move(aFrame),
     reservation = Reservation(m_replies, bytes)]() mutable {
      const auto connection = aConnection.lock();
      if (connection == nullptr) {
        return;
      }
      const auto result = connection->Write(frame, std::move(reservation));
      const auto* reply = std::get_if<ReplyFrame>(&frame);
      if (!result && result.error().m_code == ProtocolErrorCode::TooLarge &&
          reply != nullptr) {
        (void)connection->Write(FailureFrame{ reply->m_id,
                                              CallFailure::Failed,
                                              "the answer is too large" },
                                {});
      }
    });
}

void TransportCore::Accept()
{
  m_acceptor.async_accept(
    [this](const std::error_code& aError, asio::ip::tcp::socket aSocket) {
      OnAccepted(aError, std::move(aSocket));
    });
}

void TransportCore::OnAccepted(const std::error_code& aError,
                               asio::ip::tcp::socket aSocket)
{
  if (!m_acceptor.is_open()) {
    return;
  }
  if (aError) {
    m_acceptTimer.expires_after(kAcceptRetryDelay);
    m_acceptTimer.async_wait([this](const std::error_code& aCancelled) {
      if (!aCancelled) {
        Accept();
      }
    });
    return;
  }
  if (m_accepted.size() >= m_options.m_maxAccepted) {
    m_counters.Update(
      [](TransportCounters& aCounters) { ++aCounters.m_refusedConnections; });
    Accept();
    return;
  }
  const auto connection =
    std::make_shared<Connection>(std::move(aSocket),
                                 Codec::Accept(m_options.m_key,
                                               m_options.m_self,
                                               RandomNonce(),
                                               m_options.m_maxFrameBytes),
                                 Side::Acceptor,
                                 m_options,
                                 m_counters);
  m_accepted.insert(connection);
  const std::weak_ptr<Connection> weak = connection;
  connection->Start({ {},
                      [this, weak](Frame aFrame) {
                        OnAcceptedFrame(weak.lock(), std::move(aFrame));
                      },
                      [this, weak](const ProtocolError& /*aClosed*/) {
                        m_accepted.erase(weak.lock());
                      } });
  Accept();
}

void TransportCore::OnAcceptedFrame(
  const std::shared_ptr<Connection>& aConnection,
  Frame aFrame)
{
  std::visit(Overloaded{ [&](MessageFrame& aMessage) {
                          if (m_handlers.m_onMessage) {
                            m_handlers.m_onMessage(
                              aConnection->Peer(),
                              aMessage.m_channel,
                              std::move(aMessage.m_payload));
                          }
                        },
                         [&](CallFrame& aCall) { OnCall(aConnection, aCall); },
                         [&](auto&) {
                           m_counters.AddDropped(ProtocolErrorCode::Malformed);
                           aConnection->Close({ ProtocolErrorCode::Malformed,
                                                "unexpected kind of frame" });
                         } },
             aFrame);
}

void TransportCore::OnCall(const std::shared_ptr<Connection>& aConnection,
                           CallFrame& aFrame)
{
  Reply reply(std::make_shared<ReplyState>(
    weak_from_this(), aConnection, aFrame.m_id, aFrame.m_timeout));
  if (!m_handlers.m_onCall) {
    reply.Refuse("no calls are served");
    return;
  }
  m_handlers.m_onCall(aConnection->Peer(),
                      aFrame.m_method,
                      std::move(aFrame.m_payload),
                      std::move(reply));
}

} // namespace internal

Reply::Reply(std::shared_ptr<internal::ReplyState> aState)
  : m_state(std::move(aState))
{
}

void Reply::Send(std::string aPayload) const
{
  m_state->Finish(ReplyFrame{ m_state->Id(), std::move(aPayload) });
}

void Reply::Refuse(std::string aDetail) const
{
  m_state->Finish(
    FailureFrame{ m_state->Id(), CallFailure::Refused, std::move(aDetail) });
}

void Reply::Fail(std::string aDetail) const
{
  m_state->Finish(
    FailureFrame{ m_state->Id(), CallFailure::Failed, std::move(aDetail) });
}

Duration Reply::Timeout() const noexcept
{
  return m_state->Timeout();
}

Expected<std::unique_ptr<PeerTransport>> PeerTransport::Start(
  PeerTransportOptions aOptions,
  PeerHandlers aHandlers)
{
  auto core = std::make_shared<internal::TransportCore>(std::move(aOptions),
                                                        std::move(aHandlers));
  if (auto listening = core->Listen(); !listening) {
    return tl::unexpected(std::move(listening).error());
  }
  core->Run();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(core)));
}

PeerTransport::PeerTransport(std::shared_ptr<internal::TransportCore> aCore)
  : m_core(std::move(aCore))
{
}

PeerTransport::~PeerTransport()
{
  m_core->Stop();
}

Expected<void> PeerTransport::SetPeer(const InstanceId& aPeer,
                                      const std::string& aAddress)
{
  return m_core->SetPeer(aPeer, aAddress);
}

void PeerTransport::RemovePeer(const InstanceId& aPeer)
{
  m_core->RemovePeer(aPeer);
}

Expected<void> PeerTransport::Send(const InstanceId& aPeer,
                                   Channel aChannel,
                                   std::string aPayload)
{
  return m_core->Send(aPeer, MessageFrame{ aChannel, std::move(aPayload) });
}

Expected<void> PeerTransport::Call(const InstanceId& aPeer,
                                   Method aMethod,
                                   std::string aPayload,
                                   Duration aTimeout,
                                   ReplyCallback aCallback)
{
  return m_core->Call(
    aPeer,
    CallFrame{ CallId(), aMethod, aTimeout, std::move(aPayload) },
    std::move(aCallback));
}

std::size_t PeerTransport::QueuedReplyBytes() const
{
  return m_core->QueuedReplyBytes();
}

TransportCounters PeerTransport::Counters() const
{
  return m_core->Counters();
}

std::uint16_t PeerTransport::Port() const noexcept
{
  return m_core->Port();
}

} // namespace auburntrestle::protocol
