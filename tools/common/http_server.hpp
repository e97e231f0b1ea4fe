#ifndef AUBURNTRESTLE_TOOLS_COMMON_HTTP_SERVER_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_HTTP_SERVER_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburntrestle::tools {

/** An HTTP request. */
struct HttpRequest
{
  /** Method in capitals, such as "POST". */
  std::string m_method;
  /** Path without the query, such as "/v1/load". */
  std::string m_path;
  /** Decoded query parameters. */
  std::map<std::string, std::string> m_query;
  /** Header fields; names are in lower case. */
  std::map<std::string, std::string> m_headers;
  std::string m_body;

  /** @return a query parameter as an integer, or the fallback. */
  [[nodiscard]] std::uint64_t QueryNumber(const std::string& aName,
                                          std::uint64_t aFallback) const;
  /** @return a header field, or an empty string. */
  [[nodiscard]] std::string Header(const std::string& aLowerName) const;
};

/** Header fields of a response. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/**
 * A request and its response. The response is one Send, or a BeginStream
 * followed by Write and End. All calls are made on the server's thread.
 */
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  /** @return the request. */
  [[nodiscard]] virtual const HttpRequest& Request() const noexcept = 0;

  /** Sends a complete response. */
  virtual void Send(int aStatus,
                    std::string aBody,
                    const HttpHeaders& aHeaders) = 0;
  /** Starts a chunked response with the given content type. */
  virtual void BeginStream(int aStatus,
                           const std::string& aContentType,
                           const HttpHeaders& aHeaders) = 0;
  /** Sends one chunk of a chunked response. */
  virtual void Write(std::string aChunk) = 0;
  /** Ends a chunked response. */
  virtual void End() = 0;
  /** Closes the connection in the middle of a response. */
  virtual void Abort() = 0;
  /** @return true once the peer has closed the connection. */
  [[nodiscard]] virtual bool IsClosed() const noexcept = 0;
  /** Calls a function when the peer closes the connection. */
  virtual void OnClosed(std::function<void()> aFunction) = 0;

  /** Sends a JSON text. */
  void SendJson(int aStatus, std::string aText, HttpHeaders aHeaders = {});
  /** Sends a typed error as JSON; outcome "not_run" adds X-Not-Run. */
  void SendError(int aStatus,
                 std::string_view aCode,
                 std::string_view aMessage,
                 std::string_view aOutcome,
                 HttpHeaders aHeaders = {});
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(const HttpExchangePtr&)>;

/**
 * An HTTP server whose handlers and timers all run on the thread that calls
 * Run, so that the fake programs need no locks.
 */
class HttpServer
{
public:
  HttpServer();
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * Binds to 127.0.0.1.
   *
   * @param aPort port, or 0 for a free one.
   * @param aHandler handles every request.
   * @return the port; throws when the port cannot be bound.
   */
  std::uint16_t Listen(std::uint16_t aPort, HttpHandler aHandler);
  /** Calls a function once on the first SIGTERM or SIGINT. */
  void OnTerminate(std::function<void()> aFunction);
  /** Serves until Stop. */
  void Run();
  /** Makes Run return; callable from any thread. */
  void Stop();
  /** Runs a function on the server's thread; callable from any thread. */
  void Post(std::function<void()> aFunction);
  /** Runs a function on the server's thread after a delay. */
  void After(Duration aDelay, std::function<void()> aFunction);
  /** Runs a function repeatedly on the server's thread. */
  void Every(Duration aInterval, std::function<void()> aFunction);

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

/** Prints the line that tells a supervisor on which port it listens. */
void PrintReady(std::uint16_t aPort);

} // namespace auburntrestle::tools

#endif
