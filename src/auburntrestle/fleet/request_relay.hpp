#ifndef AUBURNTRESTLE_FLEET_REQUEST_RELAY_HPP
#define AUBURNTRESTLE_FLEET_REQUEST_RELAY_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/authentication.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/backend_client.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/server.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace auburntrestle::fleet {

/** Names of the header fields exchanged with callers and backend servers. */
struct RequestHeaders
{
  /** Identifies a request; echoed in its response. */
  std::string m_requestId;
  /** The time left until the deadline of the request, in milliseconds. */
  std::string m_timeLeftMs;
  /** The only backend server that may run the request. */
  std::string m_expectedBackend;
  /** Present in a response if the request was not run. */
  std::string m_notRun;
  /** Identifies a response as made by a backend server. */
  std::string m_signature;
  /** The API key of a caller, which backend servers never get. */
  std::string m_apiKey = {};
  /** The client account of a request. */
  std::string m_account = {};
  /** In a request that resumes a stream: its StreamId and the last event that
   * the caller has. */
  std::string m_resumedStream = {};
  std::string m_lastEvent = {};
};

/** Settings of a RequestRelay. */
struct RelayOptions
{
  /** Sent as Retry-After to callers whose request was not run and may succeed
   * soon. */
  Duration m_retryAfter = std::chrono::milliseconds(50);
  /** Share of the latency objective of a route after which an idempotent
   * request is hedged: sent to a second backend server as well. */
  double m_hedgeDelayShare = 0.45;
};

/** Counts the requests of client accounts that backend servers begin to run. */
struct UsageHooks
{
  /** A request is sent to its first backend server. @return its window. */
  std::function<UsageWindow(const AccountName&)> m_onStart;
  /** No backend server runs the request after all. */
  std::function<void(const AccountName&, UsageWindow)> m_onNotRun;
};

/** Remembers which software began the streams that callers may resume, at any
 * instance and also after all entry instances have restarted. */
struct StreamHooks
{
  /** Records the origin of a stream. Calls back once it is recorded or has
   * failed; then the stream can't be resumed. */
  std::function<
    void(const StreamId&, const StreamOrigin&, std::function<void()>)>
    m_record;
  /** Calls back with the origin of a stream, or nothing if it is unknown. */
  std::function<void(const StreamId&,
                     std::function<void(std::optional<StreamOrigin>)>)>
    m_find;
};

/** Asks whether a request may be sent to a backend server that stated a rate
 * limit. The callback receives nothing if it may, otherwise the time after
 * which it is worth asking again. */
using PermitFunction =
  std::function<void(const RequestPermit&,
                     std::function<void(std::optional<Duration>)>)>;

/**
 * Relays requests whose response is not streamed. A response is forwarded only
 * when it is complete and its request id matches. An idempotent request is
 * retried on another backend server after a failure, and hedged after a delay.
 * Any other request is retried only when it certainly was not run. A stream is
 * resumed only on backend servers with the software that began it.
 */
class RequestRelay
{
public:
  RequestRelay(event_loop::EventLoop& aLoop,
               BackendClient& aClient,
               BackendChooser& aChooser,
               RequestHeaders aHeaders,
               RelayOptions aOptions,
               PermitFunction aRequestPermit,
               observe::Instruments& aInstruments);

  /** Sets what counts the requests of accounts; without, they are not counted.
   */
  void SetUsageHooks(UsageHooks aHooks) { m_usage = std::move(aHooks); }

  /** Sets what remembers the origins of streams; without, none is resumed. */
  void SetStreamHooks(StreamHooks aHooks) { m_streams = std::move(aHooks); }

  /** @return the longest time that a request of a route may take: the timeout
   * of the route, or what the caller has left. */
  [[nodiscard]] Duration TimeLimit(const http::Request& aRequest,
                                   const Route& aRoute) const;

  /**
   * Relays a request and responds to it.
   *
   * @param aConfiguration the version of the route's configuration, for the
   * log.
   * @param aService the service to whose backend servers it is sent.
   * @param aAccount see RequestAccount; without accounts, the header fields for
   * keys and accounts are relayed like any other.
   */
  void Relay(const std::shared_ptr<http::Exchange>& aExchange,
             const Route& aRoute,
             ConfigurationVersion aConfiguration,
             const ServiceName& aService,
             const RequestAccount& aAccount = std::nullopt);

private:
  struct RelayedRequest;
  struct Attempt;

  /** @return the header fields for a backend server, without those that are
   * set for each attempt. */
  [[nodiscard]] http::Headers MakeHeaders(const http::Headers& aReceived,
                                          const RequestAccount& aAccount) const;
  /** Starts a request that resumes a stream once it is known which software
   * began it; refuses it if that is unknown. */
  void StartResumption(const std::shared_ptr<RelayedRequest>& aRelayed,
                       const Route& aRoute,
                       const StreamId& aStream);
  void StartAttempt(const std::shared_ptr<RelayedRequest>& aRelayed);
  /** Sends a request once another instance has granted a permit for it. */
  void StartWithPermit(const std::shared_ptr<RelayedRequest>& aRelayed,
                       const BackendRecord& aBackend,
                       RequestRate aLimit);
  void Send(const std::shared_ptr<RelayedRequest>& aRelayed,
            const BackendRecord& aBackend);
  /** @return the Retry-After of a refusal. */
  [[nodiscard]] Duration RetryAfter(const RelayedRequest& aRelayed) const;
  [[nodiscard]] static bool HasTimeLeft(const RelayedRequest& aRelayed);
  /** @return the backend server for the next attempt, or null. */
  [[nodiscard]] const BackendRecord* Choose(
    const RelayedRequest& aRelayed) const;
  void StartHedge(const std::shared_ptr<RelayedRequest>& aRelayed);
  void HandleResponse(const std::shared_ptr<RelayedRequest>& aRelayed,
                      const std::shared_ptr<Attempt>& aAttempt,
                      http::FetchResult aResponse);
  [[nodiscard]] bool IsRefusal(const http::Response& aResponse) const;
  void HandleRefusal(const std::shared_ptr<RelayedRequest>& aRelayed,
                     const std::shared_ptr<Attempt>& aAttempt,
                     int aStatus);
  void HandleFailure(const std::shared_ptr<RelayedRequest>& aRelayed,
                     const std::shared_ptr<Attempt>& aAttempt,
                     http::CallFailure aFailure);
  void RetryOrFinish(const std::shared_ptr<RelayedRequest>& aRelayed);
  /** Passes a response on. The origin of a new stream is recorded before. */
  void Deliver(const std::shared_ptr<RelayedRequest>& aRelayed,
               const Attempt& aAttempt,
               const http::Response& aResponse);
  void Finish(const std::shared_ptr<RelayedRequest>& aRelayed,
              const http::Response& aResponse);
  void Refuse(const std::shared_ptr<RelayedRequest>& aRelayed, int aStatus);
  void Close(const std::shared_ptr<RelayedRequest>& aRelayed);
  void RecordMetrics(const RelayedRequest& aRelayed, int aStatus);
  /** Counts a request with its first attempt. */
  void CountUsage(RelayedRequest& aRelayed) const;
  /** Takes back a request that certainly does not run. */
  void TakeBackUsage(RelayedRequest& aRelayed) const;

  event_loop::EventLoop& m_loop;
  BackendClient& m_client;
  BackendChooser& m_chooser;
  RequestHeaders m_headers;
  RelayOptions m_options;
  PermitFunction m_requestPermit;
  UsageHooks m_usage;
  StreamHooks m_streams;
  observe::Instruments& m_instruments;
};

/** @return a response which states that the request was not run. */
[[nodiscard]] http::Response NotRunResponse(Duration aRetryAfter);

} // namespace auburntrestle::fleet

#endif
