#ifndef AUBURNTRESTLE_HTTP_SERVER_HPP
#define AUBURNTRESTLE_HTTP_SERVER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/http/message.hpp"
#include "auburntrestle/http/server_resources.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace auburntrestle::http {

/** Size and time limits for requests. */
struct ServerLimits
{
  /** Largest request line and header fields together, in bytes. */
  std::size_t m_headerBytes = std::size_t{ 16 } * 1024;
  /** Largest body, in bytes. */
  std::size_t m_bodyBytes = std::size_t{ 32 } * 1024 * 1024;
  /** Maximum bytes of all large bodies that are received or whose requests have
   * no response yet. A large request beyond it is refused with 503 before its
   * body is received. */
  std::size_t m_totalBodyBytes = std::numeric_limits<std::size_t>::max();
  /** Time from the first byte of a request to the end of its header fields. */
  Duration m_headerTimeout = std::chrono::seconds(3);
  /** Time for the body of a request; a slower client is disconnected. */
  Duration m_bodyTimeout = std::chrono::seconds(30);
  /** Time between two requests on a connection. */
  Duration m_idleTimeout = std::chrono::seconds(15);
};

/** @return the limits of a server whose requests have no bodies. */
[[nodiscard]] ServerLimits LimitsWithoutBodies() noexcept;

/** Why a server could not start. */
struct ListenError
{
  std::string m_address;
  std::string m_reason;
};

namespace internal {
class ServerConnection;
class ServerState;
} // namespace internal

/** A received request and the means to respond to it, once. */
class Exchange
{
public:
  Exchange(Request aRequest,
           std::weak_ptr<internal::ServerConnection> aConnection);

  [[nodiscard]] const Request& GetRequest() const noexcept { return m_request; }
  /** @return the request; the body may be moved out of it. */
  [[nodiscard]] Request& MutableRequest() noexcept { return m_request; }
  /** @return when the request was received completely. */
  [[nodiscard]] TimePoint ReceivedAt() const noexcept { return m_receivedAt; }

  /** Sends a complete response; later calls do nothing. */
  void Respond(const Response& aResponse);
  /** Closes the connection without a response. */
  void Abort();
  /** Sets a callback that is called once if the client disconnects before the
   * response. */
  void OnClosed(std::function<void()> aWork) { m_onClosed = std::move(aWork); }

private:
  friend class internal::ServerConnection;

  Request m_request;
  std::weak_ptr<internal::ServerConnection> m_connection;
  TimePoint m_receivedAt;
  std::function<void()> m_onClosed;
  bool m_responded = false;
};

/** Called on the event loop for each complete request. */
using RequestHandler = std::function<void(std::shared_ptr<Exchange>)>;

/**
 * An HTTP/1.1 server on an event loop. It keeps reading while a request is
 * processed, to detect a disconnected client immediately. Requests of one
 * connection are processed one at a time.
 */
class Server
{
public:
  /**
   * @param aAddress ip:port; port 0 selects any free port.
   * @param aResources shared by the servers of a process; null for no limits.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<Server>, ListenError>
  Listen(event_loop::EventLoop& aLoop,
         const std::string& aAddress,
         RequestHandler aHandler,
         std::shared_ptr<ServerResources> aResources = nullptr);

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  /** Sets the limits for requests that arrive later. */
  void SetLimits(const ServerLimits& aLimits);
  /** Closes each connection after its current response. Idle connections are
   * closed after aIdle, so that a request already on its way is still read. */
  void Drain(Duration aIdle);
  /** Responds to all requests in progress. */
  void RespondToAll(const Response& aResponse);
  /** @return the port listened on. */
  [[nodiscard]] std::uint16_t Port() const noexcept;
  /** @return the number of requests whose response has not been sent yet; with
   * Connection: close, whose client has not received it yet, as far as known.
   */
  [[nodiscard]] std::size_t ActiveExchanges() const noexcept;
  /** @return the number of open connections. */
  [[nodiscard]] std::size_t Connections() const noexcept;

private:
  explicit Server(std::shared_ptr<internal::ServerState> aState);

  std::shared_ptr<internal::ServerState> m_state;
};

} // namespace auburntrestle::http

#endif
