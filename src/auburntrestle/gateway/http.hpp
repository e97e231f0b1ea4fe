#ifndef AUBURNTRESTLE_GATEWAY_HTTP_HPP
#define AUBURNTRESTLE_GATEWAY_HTTP_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::gateway {

/** A received HTTP request, independent of the server library. */
struct HttpRequest
{
  std::string m_method;
  /** Path without the query, percent-encoding kept. */
  std::string m_path;
  /** Decoded parameters of the query. */
  std::map<std::string, std::string> m_query;
  /** Header fields by lower-case name; the last one of equal names is kept. */
  std::map<std::string, std::string> m_headers;
  std::string m_body;

  /** @return the value of a header by lower-case name; empty when absent. */
  [[nodiscard]] std::string_view Header(const std::string& aName) const;
  /** @return the non-empty segments of the path. */
  [[nodiscard]] std::vector<std::string> PathSegments() const;
};

/** A complete HTTP response. */
struct HttpResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_headers;
};

/**
 * Responds to one request, either at once by Send or as a stream by Begin,
 * Write and End. Calls for one request must not be concurrent. They have no
 * effect after the caller has closed its connection.
 */
class Responder
{
public:
  Responder() = default;
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  virtual ~Responder() = default;

  /** Sends a complete response. */
  virtual void Send(HttpResponse aResponse) = 0;
  /** Sends status and headers of a streamed response. */
  virtual void Begin(int aStatus, const std::string& aContentType) = 0;
  /** Sends a chunk of a streamed response. */
  virtual void Write(std::string aData) = 0;
  /** Ends a streamed response. */
  virtual void End() = 0;
  /**
   * Sets the callback for the caller closing its connection before the response
   * has ended. It is called once, on a thread of the server.
   */
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};

/** Receives requests on a thread of the server; must not block. */
using Handler = std::function<void(HttpRequest, std::shared_ptr<Responder>)>;

} // namespace auburntrestle::gateway

#endif
