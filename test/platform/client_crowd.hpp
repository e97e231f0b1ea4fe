#ifndef AUBURNTRESTLE_TEST_PLATFORM_CLIENT_CROWD_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_CLIENT_CROWD_HPP

#include "auburntrestle/event_loop/event_loop.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::platform::test {

/** @return a text repeated as often as it fits into a number of bytes. */
[[nodiscard]] inline std::string Repeat(const std::string& aText,
                                        std::size_t aBytes)
{
  std::string repeated;
  repeated.reserve(aBytes);
  while (repeated.size() + aText.size() <= aBytes) {
    repeated += aText;
  }
  return repeated;
}

/** How a client sends its bytes. */
struct SendPace
{
  /** Bytes sent at a time; 0 for all at once. */
  std::size_t m_pieceBytes = 0;
  /** The time between two pieces. */
  Duration m_interval{};
};

/** How much the system buffers for a connection. */
enum class Buffering : std::uint8_t
{
  /** Megabytes, as is usual on loopback. */
  Loopback,
  /** Some kilobytes, as for a client that is reached over a network. */
  Network,
};

/** A client that sends bytes and never reads. A client that sends in pieces
 * starts again on a new connection when it has sent all or is disconnected. */
class CrowdClient : public std::enable_shared_from_this<CrowdClient>
{
public:
  CrowdClient(event_loop::EventLoop& aLoop,
              asio::ip::tcp::endpoint aServer,
              std::shared_ptr<const std::string> aBytes,
              SendPace aPace,
              Buffering aBuffering)
    : m_loop(aLoop)
    , m_server(std::move(aServer))
    , m_bytes(std::move(aBytes))
    , m_pace(aPace)
    , m_buffering(aBuffering)
    , m_socket(aLoop.Context())
  {
  }

  /** Connects and begins to send. */
  void Start()
  {
    m_sent = 0;
    m_socket = asio::ip::tcp::socket(m_loop.Context());
    asio::error_code error;
    m_socket.open(m_server.protocol(), error);
    if (m_buffering == Buffering::Network) {
      LimitBuffers();
    }
    m_socket.connect(m_server, error);
    if (error) {
      StartAgain();
    } else {
      SendNext();
    }
  }

  /** Disconnects for good. */
  void Stop()
  {
    m_stopped = true;
    asio::error_code ignored;
    m_socket.close(ignored);
  }

private:
  [[nodiscard]] bool SendsInPieces() const { return m_pace.m_pieceBytes > 0; }

  /** The peer sizes its buffer by the segments that this end accepts. */
  void LimitBuffers()
  {
    constexpr int kReceiveBytes = 16'384;
    constexpr int kSegmentBytes = 1460;
    using MaxSegment =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    m_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    m_socket.set_option(MaxSegment(kSegmentBytes));
  }

  void SendNext()
  {
    const std::size_t rest = m_bytes->size() - m_sent;
    const std::size_t piece =
      SendsInPieces() ? std::min(rest, m_pace.m_pieceBytes) : rest;
    asio::async_write(m_socket,
                      asio::buffer(m_bytes->data() + m_sent, piece),
                      [self = shared_from_this()](
                        const asio::error_code& aError, std::size_t aSent) {
                        self->m_sent += aSent;
                        self->OnSent(!aError);
                      });
  }

  void OnSent(bool aConnected)
  {
    if (m_stopped || !SendsInPieces()) {
      return;
    }
    if (!aConnected || m_sent == m_bytes->size()) {
      StartAgain();
      return;
    }
    m_loop.After(m_pace.m_interval, [self = shared_from_this()] {
      if (!self->m_stopped) {
        self->SendNext();
      }
    });
  }

  void StartAgain()
  {
    if (m_stopped || !SendsInPieces()) {
      return;
    }
    m_loop.After(m_pace.m_interval, [self = shared_from_this()] {
      if (!self->m_stopped) {
        self->Start();
      }
    });
  }

  event_loop::EventLoop& m_loop;
  asio::ip::tcp::endpoint m_server;
  std::shared_ptr<const std::string> m_bytes;
  SendPace m_pace;
  Buffering m_buffering;
  asio::ip::tcp::socket m_socket;
  std::size_t m_sent = 0;
  bool m_stopped = false;
};

/** Clients that all send the same to one address. */
class ClientCrowd
{
public:
  explicit ClientCrowd(event_loop::EventLoop& aLoop,
                       Buffering aBuffering = Buffering::Loopback)
    : m_loop(aLoop)
    , m_buffering(aBuffering)
  {
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;
  ~ClientCrowd()
  {
    for (const auto& client : m_clients) {
      client->Stop();
    }
  }

  /** Connects clients, which send their bytes as far as they are taken. */
  void Connect(int aClients,
               const std::string& aAddress,
               std::string aBytes,
               SendPace aPace = {})
  {
    const auto colon = aAddress.find(':');
    const asio::ip::tcp::endpoint server(
      asio::ip::make_address(aAddress.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    const auto bytes = std::make_shared<const std::string>(std::move(aBytes));
    for (int client = 0; client < aClients; ++client) {
      m_clients.push_back(std::make_shared<CrowdClient>(
        m_loop, server, bytes, aPace, m_buffering));
      m_clients.back()->Start();
      m_loop.Context().poll();
    }
  }

private:
  event_loop::EventLoop& m_loop;
  Buffering m_buffering;
  std::vector<std::shared_ptr<CrowdClient>> m_clients;
};

} // namespace auburntrestle::platform::test

#endif
