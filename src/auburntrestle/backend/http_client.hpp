#ifndef AUBURNTRESTLE_BACKEND_HTTP_CLIENT_HPP
#define AUBURNTRESTLE_BACKEND_HTTP_CLIENT_HPP

#include "auburntrestle/core/strong_type.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::backend {

/** A call of the HTTP client, unique within the client's lifetime. */
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/** How a call ended. */
enum class CallStatus : std::uint8_t
{
  /** The complete response was received. */
  Complete,
  /** No connection was made; no byte of the request was sent. */
  ConnectFailed,
  /** The connection was lost before the first byte of the response. */
  LostBeforeResponse,
  /** The connection was lost during the response. */
  LostMidResponse,
  /** The time limit of the call expired. */
  TimedOut,
  /** The response exceeds the limit of the call; it was cut off. */
  TooLarge,
};

/** A call to a backend server or another instance. */
struct HttpCall
{
  std::string m_method = "POST";
  std::string m_url;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  /** Limit of the complete call; zero for none. */
  std::chrono::milliseconds m_timeout{ 0 };
  /** Maximum bytes of the response, head and body together. A server in trouble
   * may send without end. */
  std::size_t m_maxResponseBytes = std::size_t{ 64 } * 1024 * 1024;
  /**
   * Uses a new connection. On a cached connection that the server has closed
   * the library may send the request a second time, which is not allowed for
   * non-idempotent work.
   */
  bool m_newConnection = false;
};

/** The result of a call. */
struct CallResult
{
  CallStatus m_status = CallStatus::Complete;
  /** HTTP status; 0 without a response. */
  int m_httpStatus = 0;
  /** Header fields of the response by lower-case name. */
  std::map<std::string, std::string> m_headers;
};

/** Receives the progress of a call on the thread of the client. */
struct CallHandlers
{
  /** Called once with the HTTP status, before the first data. */
  std::function<void(int)> m_onHeaders;
  std::function<void(std::string)> m_onData;
  /** Called once, after all other handlers; not called after Cancel. */
  std::function<void(CallResult)> m_onDone;
};

/** The client could not be set up. */
struct ClientError
{
  std::string m_reason;
};

/** Runs many concurrent HTTP calls on a separate thread. */
class HttpClient
{
public:
  /** Starts the thread of the client. */
  [[nodiscard]] static tl::expected<std::unique_ptr<HttpClient>, ClientError>
  Create();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /** Cancels all calls and ends the thread. */
  ~HttpClient();

  /** Starts a call; may be used from any thread. */
  CallId Start(HttpCall aCall, CallHandlers aHandlers);

  /** Closes the connection of a call; its handlers are no longer called once
   * the client's thread has executed the cancellation. */
  void Cancel(CallId aCall);

private:
  class Implementation;
  explicit HttpClient(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::backend

#endif
