#ifndef AUBURNTRESTLE_FLEET_REQUEST_RELAY_HPP
#define AUBURNTRESTLE_FLEET_REQUEST_RELAY_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/server.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::fleet {

/** Names of the header fields that callers and backend servers understand. */
struct RequestHeaders
{
  /** Identifies a request; echoed in its response. */
  std::string m_requestId;
  /** How many milliseconds the receiver may take. */
  std::string m_timeLeftMs;
  /** The only backend server that may run the request. */
  std::string m_expectedBackend;
  /** Present in a response to a request that was not run. */
  std::string m_notRun;
  /** Proves that a response was made by a backend server. */
  std::string m_signature;
};

/** How requests are relayed. */
struct RelayOptions
{
  /** Told to callers whose request was not run and may succeed soon. */
  Duration m_retryAfter = std::chrono::milliseconds(50);
  /** Share of the latency objective after which an idempotent request is sent
   * to a second backend server as well. */
  double m_hedgeAt = 0.45;
};

/**
 * Relays requests that get one whole response. A response is passed on only
 * when it is complete and answers this request. An idempotent request is sent
 * to another backend server after a failure, and after a delay beside the
 * first; any other request only when the first surely did not run it.
 */
class RequestRelay
{
public:
  RequestRelay(event_loop::EventLoop& aLoop,
               http::Client& aClient,
               BackendChooser& aChooser,
               RequestHeaders aHeaders,
               RelayOptions aOptions,
               observe::Instruments& aInstruments);

  /**
   * Relays a request and answers it.
   *
   * @param aConfiguration the version that the route is of, for the log.
   */
  void Relay(const std::shared_ptr<http::Exchange>& aExchange,
             const Route& aRoute,
             ConfigurationVersion aConfiguration,
             const ServiceName& aService);

private:
  struct Relayed;
  struct Attempt;

  void Next(const std::shared_ptr<Relayed>& aRelayed);
  void Hedge(const std::shared_ptr<Relayed>& aRelayed);
  void TakeResponse(const std::shared_ptr<Relayed>& aRelayed,
                    const std::shared_ptr<Attempt>& aAttempt,
                    http::FetchResult aResponse);
  [[nodiscard]] bool IsRefusal(const http::Response& aResponse) const;
  void TakeRefusal(const std::shared_ptr<Relayed>& aRelayed,
                   const std::shared_ptr<Attempt>& aAttempt,
                   int aStatus);
  void TakeFailure(const std::shared_ptr<Relayed>& aRelayed,
                   const std::shared_ptr<Attempt>& aAttempt,
                   http::CallFailure aFailure);
  void GoOn(const std::shared_ptr<Relayed>& aRelayed);
  void Finish(const std::shared_ptr<Relayed>& aRelayed,
              const http::Response& aResponse);
  void Refuse(const std::shared_ptr<Relayed>& aRelayed, int aStatus);
  void Close(const std::shared_ptr<Relayed>& aRelayed);
  void Record(const Relayed& aRelayed, int aStatus);

  event_loop::EventLoop& m_loop;
  http::Client& m_client;
  BackendChooser& m_chooser;
  RequestHeaders m_headers;
  RelayOptions m_options;
  observe::Instruments& m_instruments;
};

/** @return a response that says that the request was not run. */
[[nodiscard]] http::Response NotRunResponse(Duration aRetryAfter);

} // namespace auburntrestle::fleet

#endif
