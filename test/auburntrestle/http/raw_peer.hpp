#ifndef AUBURNTRESTLE_TEST_HTTP_RAW_PEER_HPP
#define AUBURNTRESTLE_TEST_HTTP_RAW_PEER_HPP

#include "auburntrestle/event_loop/event_loop.hpp"

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::http::test {

using asio::ip::tcp;

/** Runs a loop until a condition holds; ctest ends a test that hangs. */
inline void RunUntil(event_loop::EventLoop& aLoop,
                     const std::function<bool()>& aCondition)
{
  while (!aCondition()) {
    aLoop.Context().run_one();
  }
}

/** One end of a connection that sends and receives raw bytes. */
class RawPeer : public std::enable_shared_from_this<RawPeer>
{
public:
  explicit RawPeer(tcp::socket aSocket)
    : m_socket(std::move(aSocket))
  {
  }

  /** Sets a callback that is called after each read. */
  void OnBytes(std::function<void(RawPeer&)> aWork)
  {
    m_onBytes = std::move(aWork);
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const asio::error_code& aError,
                                  std::size_t aBytes) {
        if (aError) {
          self->m_closed = true;
          return;
        }
        self->m_received.append(self->m_buffer.data(), aBytes);
        if (self->m_onBytes) {
          self->m_onBytes(*self);
        }
        if (self->m_socket.is_open() && !self->m_stoppedReading) {
          self->Read();
        }
      });
  }

  void Send(const std::string& aBytes)
  {
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(aBytes), ignored);
  }

  /** Sends bytes of any length while the loop runs. */
  void SendAll(const std::string& aBytes)
  {
    auto bytes = std::make_shared<std::string>(aBytes);
    asio::async_write(m_socket,
                      asio::buffer(*bytes),
                      [self = shared_from_this(),
                       bytes](const asio::error_code&, std::size_t) {});
  }

  /** Sends bytes again and again until the other end closes. */
  void SendForever(const std::string& aBytes)
  {
    asio::async_write(m_socket,
                      asio::buffer(aBytes),
                      [self = shared_from_this(), aBytes](
                        const asio::error_code& aError, std::size_t aSent) {
                        self->m_sent += aSent;
                        if (aError) {
                          self->m_closed = true;
                        } else {
                          self->SendForever(aBytes);
                        }
                      });
  }

  void Close()
  {
    EndStream();
    asio::error_code ignored;
    m_socket.close(ignored);
  }

  /** Ends this direction of the connection; the other one stays open. */
  void EndStream()
  {
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void Reset()
  {
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
  }

  /** Reads no more, so that the other end cannot write on, and resets the
   * connection when the other end has had time to receive what was sent. */
  void ResetLater()
  {
    m_stoppedReading = true;
    m_resetTimer.expires_after(kResetDelay);
    m_resetTimer.async_wait(
      [self = shared_from_this()](const asio::error_code&) { self->Reset(); });
  }

  [[nodiscard]] const std::string& Received() const { return m_received; }
  [[nodiscard]] bool IsClosed() const { return m_closed; }
  /** @return the bytes that SendForever has sent. */
  [[nodiscard]] std::size_t Sent() const { return m_sent; }

private:
  static constexpr std::size_t kReadBytes = 4096;
  static constexpr std::chrono::milliseconds kResetDelay{ 20 };

  tcp::socket m_socket;
  asio::steady_timer m_resetTimer{ m_socket.get_executor() };
  std::array<char, kReadBytes> m_buffer{};
  std::string m_received;
  std::size_t m_sent = 0;
  std::function<void(RawPeer&)> m_onBytes;
  bool m_closed = false;
  bool m_stoppedReading = false;
};

/** Accepts connections and calls a script after each read from one. */
class RawServer
{
public:
  RawServer(event_loop::EventLoop& aLoop, std::function<void(RawPeer&)> aScript)
    : m_acceptor(aLoop.Context(),
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_script(std::move(aScript))
  {
    Accept();
  }

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  [[nodiscard]] std::size_t AcceptedCount() const { return m_peers.size(); }
  [[nodiscard]] RawPeer& Peer(std::size_t aIndex) { return *m_peers[aIndex]; }

private:
  void Accept()
  {
    m_acceptor.async_accept(
      [this](const asio::error_code& aError, tcp::socket aSocket) {
        if (!aError) {
          m_peers.push_back(std::make_shared<RawPeer>(std::move(aSocket)));
          m_peers.back()->OnBytes(m_script);
          m_peers.back()->Read();
          Accept();
        }
      });
  }

  tcp::acceptor m_acceptor;
  std::function<void(RawPeer&)> m_script;
  std::vector<std::shared_ptr<RawPeer>> m_peers;
};

/** @return a connection to a port of this machine that reads nothing yet. */
inline std::shared_ptr<RawPeer> ConnectWithoutReading(
  event_loop::EventLoop& aLoop,
  std::uint16_t aPort)
{
  tcp::socket socket(aLoop.Context());
  socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), aPort));
  return std::make_shared<RawPeer>(std::move(socket));
}

/** @return a connection to a port of this machine. */
inline std::shared_ptr<RawPeer> ConnectTo(event_loop::EventLoop& aLoop,
                                          std::uint16_t aPort)
{
  auto peer = ConnectWithoutReading(aLoop, aPort);
  peer->Read();
  return peer;
}

} // namespace auburntrestle::http::test

#endif
