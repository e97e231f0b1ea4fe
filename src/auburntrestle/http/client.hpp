#ifndef AUBURNTRESTLE_HTTP_CLIENT_HPP
#define AUBURNTRESTLE_HTTP_CLIENT_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/http/message.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::http {

/** Why a call ended without a complete response. */
enum class CallFailure : std::uint8_t
{
  /** The connection failed, so no byte of the request was sent. */
  ConnectFailed,
  /** The connection was closed before any byte of a response. */
  ClosedBeforeResponse,
  /** The connection was closed before the end of the response. */
  IncompleteResponse,
  /** The bytes received are not a response. */
  Malformed,
  /** The time limit passed. */
  TimedOut,
  /** The response exceeds a size limit, or all responses in progress together
   * exceed theirs. */
  TooLarge,
};

/** @return the stable name of a failure, such as "broken_off". */
[[nodiscard]] std::string_view ToString(CallFailure aFailure) noexcept;

/** Status and header fields of a response. */
struct ResponseHead
{
  int m_status = 0;
  Headers m_headers;
};

/** Callbacks of a call, run on the event loop. m_onDone is called exactly once
 * unless the call is cancelled. */
struct CallHandlers
{
  std::function<void(const ResponseHead&)> m_onHead;
  std::function<void(std::string_view)> m_onBody;
  std::function<void(tl::expected<void, CallFailure>)> m_onDone;
  /** A response to another request was received and is discarded. */
  std::function<void(const ResponseHead&)> m_onForeignHead = nullptr;
};

/** A header field by which a server marks the request that a response belongs
 * to. */
struct Correlation
{
  std::string m_field;
  /** The value that the server echoes; empty if the request has none. */
  std::string m_value;
};

/** Limits of a call, and how its response is recognised. */
struct CallOptions
{
  /** For establishing the connection. TCP retransmits a lost SYN only after a
   * second, so a slightly longer limit would not help. */
  Duration m_connectTimeout = std::chrono::milliseconds(250);
  /** For the whole call. */
  Duration m_timeout = std::chrono::seconds(10);
  /** Maximum bytes of the response with its head; the client's limit if absent.
   */
  std::optional<std::size_t> m_maxResponseBytes = std::nullopt;
  /** A response whose field has another value belongs to another request: it is
   * discarded, and the call waits for the next response of the connection. A
   * response without the field is accepted. */
  std::optional<Correlation> m_correlation = std::nullopt;
};

/** Limits of a client. */
struct ClientOptions
{
  /** Maximum number of idle connections per address. */
  std::size_t m_maxIdlePerAddress = 32;
  /** An idle connection is closed after this time, or earlier if the server
   * announces a shorter one. */
  Duration m_idleTimeout = std::chrono::seconds(8);
  /** Maximum bytes received for one response: head, interim responses, body and
   * its framing. A server in trouble may send without end. */
  std::size_t m_maxResponseBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Maximum bytes received for all responses in progress together. */
  std::size_t m_maxReceivedBytes = std::size_t{ 48 } * 1024 * 1024;
  /** A connection is reset when it is closed, so that the system discards what
   * was not sent. */
  bool m_resetsOnClose = false;
};

namespace internal {
class ClientConnection;
class ClientPool;
} // namespace internal

/** A call in progress. */
class Call
{
public:
  explicit Call(std::weak_ptr<internal::ClientConnection> aConnection);

  /** Closes the connection of the call; no handler is called afterwards. */
  void Cancel();

private:
  std::weak_ptr<internal::ClientConnection> m_connection;
};

/**
 * An HTTP/1.1 client on an event loop that reuses connections. A connection is
 * closed when it receives bytes that belong to no request, and when a response
 * ended before its request was sent completely. A server in trouble may repeat
 * the response to an earlier request, which CallOptions::m_correlation detects;
 * therefore a connection carries no two calls with the same correlation value,
 * and none without a value beside others.
 */
class Client
{
public:
  Client(event_loop::EventLoop& aLoop, ClientOptions aOptions);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  /** Sends a request to ip:port. */
  [[nodiscard]] std::shared_ptr<Call> Start(const std::string& aAddress,
                                            const Request& aRequest,
                                            const CallOptions& aOptions,
                                            CallHandlers aHandlers);

  /** Closes the idle connections to an address. */
  void CloseIdle(const std::string& aAddress);
  /** @return the bytes received for the responses in progress. */
  [[nodiscard]] std::size_t ReceivedBytes() const noexcept;

private:
  std::shared_ptr<internal::ClientPool> m_pool;
};

/** A complete response, or why there is none. */
using FetchResult = tl::expected<Response, CallFailure>;

/** @return handlers that collect the complete response of a call. */
[[nodiscard]] CallHandlers CollectResponse(
  std::function<void(FetchResult)> aCallback);

/** Sends a request and collects the complete response. */
[[nodiscard]] std::shared_ptr<Call> Fetch(
  Client& aClient,
  const std::string& aAddress,
  const Request& aRequest,
  const CallOptions& aOptions,
  std::function<void(FetchResult)> aCallback);

} // namespace auburntrestle::http

#endif
