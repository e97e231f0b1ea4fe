#ifndef AUBURNTRESTLE_GATEWAY_SERVER_HPP
#define AUBURNTRESTLE_GATEWAY_SERVER_HPP

#include "auburntrestle/gateway/http.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace auburntrestle::gateway {

/** Address and limits of a server. */
struct ServerSettings
{
  std::string m_address = "127.0.0.1";
  /** 0 picks a free port. */
  std::uint16_t m_port = 0;
  std::size_t m_threads = 2;
  /** Larger bodies get 413 body_too_large; above four times this size the
   * connection is closed while the body is being read. */
  std::size_t m_maxBodyBytes = std::size_t{ 4 } << 20U;
  /** Larger header sections get 431 headers_too_large. */
  std::size_t m_maxHeaderBytes = std::size_t{ 16 } << 10U;
  /** A connection above this number gets 503 too_many_connections. */
  std::size_t m_maxConnections = 2000;
  /** Time limit for receiving a complete request; after it the connection is
   * closed. */
  std::chrono::milliseconds m_requestTimeout{ 30000 };
};

/** The server could not listen on its address. */
struct ListenError
{
  std::string m_address;
  std::uint16_t m_port = 0;
  std::string m_reason;
};

/** An HTTP server that passes requests to a handler. */
class Server
{
public:
  /**
   * Starts listening.
   *
   * @return the server, or why it could not listen.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<Server>, ListenError> Start(
    const ServerSettings& aSettings,
    Handler aHandler);

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /** Stops listening and closes all connections. */
  ~Server();

  /** @return the port on which the server listens. */
  [[nodiscard]] std::uint16_t Port() const noexcept;

private:
  struct Implementation;
  explicit Server(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::gateway

#endif
