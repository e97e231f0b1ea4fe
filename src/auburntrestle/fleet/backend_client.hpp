#ifndef AUBURNTRESTLE_FLEET_BACKEND_CLIENT_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_CLIENT_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_rate_limits.hpp"
#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/backend_statement.hpp"
#include "auburntrestle/fleet/draining_backends.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::fleet {

/**
 * Sends all requests of this instance to backend servers, of whatever kind, and
 * tracks what the servers state about themselves in the heads of their
 * responses. A response that echoes the id of another request is discarded: it
 * says nothing about the request that waits on the connection.
 */
class BackendClient
{
public:
  /** @param aRequestIdField the header field with the id of a request. */
  BackendClient(event_loop::EventLoop& aLoop,
                http::ClientOptions aOptions,
                std::string aRequestIdField,
                BackendStatementReader aReadStatement,
                observe::Instruments& aInstruments);

  /** Sends a request to a backend server; see http::Client::Start. */
  [[nodiscard]] std::shared_ptr<http::Call> Start(
    const BackendRecord& aBackend,
    const http::Request& aRequest,
    const http::CallOptions& aOptions,
    http::CallHandlers aHandlers);
  /** Sends a request and collects the complete response; see http::Fetch. */
  [[nodiscard]] std::shared_ptr<http::Call> Fetch(
    const BackendRecord& aBackend,
    const http::Request& aRequest,
    const http::CallOptions& aOptions,
    std::function<void(http::FetchResult)> aCallback);
  /** Closes the idle connections to an address. */
  void CloseIdle(const std::string& aAddress);

  /** @return the limits that backend servers stated, and the requests sent. */
  [[nodiscard]] BackendRateLimits& Limits() noexcept { return m_limits; }
  [[nodiscard]] const BackendRateLimits& Limits() const noexcept
  {
    return m_limits;
  }
  /** @return the backend servers that stated that they are leaving. */
  [[nodiscard]] const DrainingBackends& Draining() const noexcept
  {
    return m_draining;
  }

private:
  void HandleHead(const BackendRecord& aBackend,
                  TimePoint aSentAt,
                  const http::ResponseHead& aHead);
  /** Records a response to another request than the one with this id. */
  void HandleForeignHead(const BackendRecord& aBackend,
                         std::string_view aRequestId,
                         const http::ResponseHead& aHead);
  void RecordDraining(const BackendRecord& aBackend);
  void RecordLimit(const BackendProcess& aBackend,
                   std::optional<RequestRate> aLimit,
                   TimePoint aSentAt);

  http::Client m_client;
  std::string m_requestIdField;
  BackendStatementReader m_readStatement;
  observe::Instruments& m_instruments;
  BackendRateLimits m_limits;
  DrainingBackends m_draining;
};

} // namespace auburntrestle::fleet

#endif
