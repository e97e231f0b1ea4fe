#ifndef AUBURNTRESTLE_TOOLS_COMMON_HTTP_CLIENT_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_HTTP_CLIENT_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::tools {

/** A request of a client. */
struct HttpCall
{
  std::string m_method = "GET";
  std::string m_url;
  /** Lines such as "X-Caller: catalogo". */
  std::vector<std::string> m_headers;
  std::string m_body;
  Duration m_timeout = std::chrono::seconds(30);
};

/** The response to a request. */
struct HttpResponse
{
  /** HTTP status, or 0 when no status line arrived. */
  int m_status = 0;
  std::string m_body;
  /** Value of the header Retry-After, in seconds. */
  std::uint64_t m_retryAfterSeconds = 0;
  /** Description of a transport failure; empty for a complete response. */
  std::string m_failure;

  /** @return true when a complete response with a 2xx status arrived. */
  [[nodiscard]] bool IsOk() const noexcept
  {
    return m_failure.empty() && m_status >= 200 && m_status < 300;
  }
};

/** Sends a request and waits for the response. */
[[nodiscard]] HttpResponse Fetch(const HttpCall& aCall);

/**
 * Runs any number of requests concurrently on its own thread. The callbacks run
 * on that thread.
 */
class AsyncHttpClient
{
public:
  using OnData = std::function<void(std::string_view aChunk)>;
  using OnDone = std::function<void(const HttpResponse& aResponse)>;

  AsyncHttpClient();
  /** Aborts running requests without calling their callbacks. */
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /**
   * Starts a request; callable from any thread.
   *
   * @param aOnData receives the body of a 2xx response in chunks; when empty,
   *        the body is stored in the response. The body of any other response
   *        is always stored.
   */
  void Start(HttpCall aCall, OnDone aOnDone, OnData aOnData = {});
  /** Runs a function on the client's thread. */
  void Post(std::function<void()> aFunction);

private:
  struct Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::tools

#endif
