#include "auburntrestle/fleet/request_relay.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr int kStatusOk = 200;
constexpr int kStatusServerError = 500;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
/** A request with less time left is not sent to a backend server. */
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(10);

std::string FormatSeconds(Duration aTime)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  return std::to_string(seconds);
}

} // namespace

http::Response NotRunResponse(Duration aRetryAfter)
{
  http::Response response;
  response.m_status = kStatusUnavailable;
  response.m_headers.Add("Retry-After", FormatSeconds(aRetryAfter));
  return response;
}

struct RequestRelay::Attempt
{
  BackendId m_backend;
  SoftwareVersion m_software;
  std::shared_ptr<http::Call> m_call;
  TimePoint m_sentAt{};
};

struct RequestRelay::RelayedRequest
{
  std::shared_ptr<http::Exchange> m_exchange;
  std::string m_route;
  ConfigurationVersion m_configuration;
  ServiceName m_service;
  /** Empty if the request has no account. */
  AccountName m_account;
  /** The window in which the request counts as begun, if it does. */
  std::optional<UsageWindow> m_usageWindow;
  bool m_idempotent = false;
  /** The response is a stream that its caller may resume. */
  bool m_resumable = false;
  /** The software that began the stream which the request resumes; absent if it
   * resumes none. */
  std::optional<SoftwareVersion> m_software;
  std::uint32_t m_maxAttempts = 1;
  TimePoint m_deadline{};
  std::string m_requestId;
  http::Headers m_headers;
  /** Shared by all attempts. */
  SharedBytes m_body;
  std::set<BackendId> m_tried;
  std::vector<std::shared_ptr<Attempt>> m_running;
  /** A backend server may have run the request. */
  bool m_mayHaveRun = false;
  /** A permit has been asked for. */
  bool m_awaitsPermit = false;
  /** The last error response (status 5xx) of a backend server. */
  std::optional<http::Response> m_errorResponse;
  std::optional<timer::TimerId> m_deadlineTimer;
  std::optional<timer::TimerId> m_hedgeTimer;
  bool m_done = false;
};

RequestRelay::RequestRelay(event_loop::EventLoop& aLoop,
                           BackendClient& aClient,
                           BackendChooser& aChooser,
                           RequestHeaders aHeaders,
                           RelayOptions aOptions,
                           PermitFunction aRequestPermit,
                           observe::Instruments& aInstruments)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_chooser(aChooser)
  , m_headers(std::move(aHeaders))
  , m_options(aOptions)
  , m_requestPermit(std::move(aRequestPermit))
  , m_instruments(aInstruments)
{
}

void RequestRelay::Relay(const std::shared_ptr<http::Exchange>& aExchange,
                         const Route& aRoute,
                         ConfigurationVersion aConfiguration,
                         const ServiceName& aService,
                         const RequestAccount& aAccount)
{
  const http::Request& request = aExchange->GetRequest();
  auto relayed = std::make_shared<RelayedRequest>();
  relayed->m_exchange = aExchange;
  relayed->m_route = aRoute.m_name;
  relayed->m_configuration = aConfiguration;
  relayed->m_service = aService;
  relayed->m_idempotent = aRoute.m_kind == RouteKind::Idempotent;
  relayed->m_resumable =
    aRoute.m_kind == RouteKind::Streaming && aRoute.m_resumable;
  relayed->m_maxAttempts = std::max(aRoute.m_maxAttempts, 1U);
  relayed->m_deadline = aExchange->ReceivedAt() + TimeLimit(request, aRoute);
  relayed->m_headers = MakeHeaders(request.m_headers, aAccount);
  relayed->m_body = std::move(aExchange->MutableRequest().m_body);
  relayed->m_account = aAccount.value_or(AccountName());
  if (const auto id = request.m_headers.Find(m_headers.m_requestId)) {
    relayed->m_requestId = *id;
  }
  aExchange->OnClosed([this, relayed] {
    LogLine(LogLevel::Info, "caller_left").Add("request", relayed->m_requestId);
    Close(relayed);
  });
  relayed->m_deadlineTimer =
    m_loop.After(relayed->m_deadline - MonotonicClock::Now(), [this, relayed] {
      relayed->m_deadlineTimer.reset();
      const bool mayHaveRun =
        relayed->m_mayHaveRun || !relayed->m_running.empty();
      Refuse(relayed, mayHaveRun ? kStatusTimeout : kStatusUnavailable);
    });
  const auto objective = std::chrono::duration_cast<Duration>(
    aRoute.m_latencyObjective * m_options.m_hedgeDelayShare);
  if (relayed->m_idempotent && relayed->m_maxAttempts > 1 &&
      objective > Duration::zero()) {
    relayed->m_hedgeTimer = m_loop.After(objective, [this, relayed] {
      relayed->m_hedgeTimer.reset();
      StartHedge(relayed);
    });
  }
  const auto& received = aExchange->GetRequest().m_headers;
  const auto stream = received.Find(m_headers.m_resumedStream);
  const bool resumes = stream || received.Find(m_headers.m_lastEvent);
  if (aRoute.m_kind == RouteKind::Streaming && resumes) {
    StartResumption(
      relayed, aRoute, StreamId(std::string(stream.value_or(""))));
  } else {
    StartAttempt(relayed);
  }
}

void RequestRelay::StartResumption(
  const std::shared_ptr<RelayedRequest>& aRelayed,
  const Route& aRoute,
  const StreamId& aStream)
{
  if (!aRelayed->m_resumable || aStream == StreamId() || !m_streams.m_find) {
    Refuse(aRelayed, kStatusUnavailable);
    return;
  }
  std::set<ServiceName> services;
  for (const auto& target : aRoute.m_targets) {
    services.insert(target.m_service);
  }
  m_streams.m_find(aStream,
                   [this, aRelayed, services = std::move(services)](
                     const std::optional<StreamOrigin>& aOrigin) {
                     if (aRelayed->m_done) {
                       return;
                     }
                     const bool known =
                       aOrigin && aOrigin->m_software != SoftwareVersion() &&
                       services.contains(aOrigin->m_service);
                     if (!known) {
                       Refuse(aRelayed, kStatusUnavailable);
                       return;
                     }
                     aRelayed->m_service = aOrigin->m_service;
                     aRelayed->m_software = aOrigin->m_software;
                     StartAttempt(aRelayed);
                   });
}

Duration RequestRelay::TimeLimit(const http::Request& aRequest,
                                 const Route& aRoute) const
{
  Duration limit = aRoute.m_timeout;
  if (const auto field = aRequest.m_headers.Find(m_headers.m_timeLeftMs)) {
    std::int64_t milliseconds = 0;
    const auto result = std::from_chars(
      field->data(), field->data() + field->size(), milliseconds);
    // Compared in milliseconds: a large number would overflow as a Duration.
    const bool isShorter =
      milliseconds <
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    if (result.ec == std::errc() && milliseconds >= 0 && isShorter) {
      limit = std::chrono::milliseconds(milliseconds);
    }
  }
  return limit;
}

http::Headers RequestRelay::MakeHeaders(const http::Headers& aReceived,
                                        const RequestAccount& aAccount) const
{
  http::Headers headers = http::EndToEndHeaders(aReceived);
  if (!aAccount) {
    return headers;
  }
  headers.Remove(m_headers.m_apiKey);
  headers.Remove(m_headers.m_account);
  if (*aAccount != AccountName()) {
    headers.Set(m_headers.m_account, aAccount->Get());
  }
  return headers;
}

bool RequestRelay::HasTimeLeft(const RelayedRequest& aRelayed)
{
  return aRelayed.m_deadline - MonotonicClock::Now() > kMinTimeLeft;
}

const BackendRecord* RequestRelay::Choose(const RelayedRequest& aRelayed) const
{
  const bool mayTry =
    aRelayed.m_tried.size() < aRelayed.m_maxAttempts && HasTimeLeft(aRelayed);
  return mayTry ? m_chooser.Choose(aRelayed.m_service,
                                   aRelayed.m_tried,
                                   MonotonicClock::Now(),
                                   aRelayed.m_software)
                : nullptr;
}

void RequestRelay::StartAttempt(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  const BackendRecord* backend = Choose(*aRelayed);
  if (backend == nullptr) {
    RetryOrFinish(aRelayed);
  } else if (const auto limit = m_client.Limits().LimitOf(backend->Process())) {
    StartWithPermit(aRelayed, *backend, *limit);
  } else {
    Send(aRelayed, *backend);
  }
}

void RequestRelay::StartWithPermit(
  const std::shared_ptr<RelayedRequest>& aRelayed,
  const BackendRecord& aBackend,
  RequestRate aLimit)
{
  aRelayed->m_awaitsPermit = true;
  m_requestPermit(
    RequestPermit{ aBackend.Process(), aLimit },
    [this, aRelayed, backend = aBackend](std::optional<Duration> aWait) {
      aRelayed->m_awaitsPermit = false;
      const TimePoint now = MonotonicClock::Now();
      if (aWait) {
        m_client.Limits().RecordNoPermit(backend.Process(), now + *aWait);
      }
      if (aRelayed->m_done) {
        return;
      }
      // The server may have started to drain while the permit was asked for.
      const bool usable = !aWait && HasTimeLeft(*aRelayed) &&
                          !m_client.Draining().Contains(backend.Process());
      if (!usable) {
        StartAttempt(aRelayed);
      } else {
        Send(aRelayed, backend);
      }
    });
}

void RequestRelay::Send(const std::shared_ptr<RelayedRequest>& aRelayed,
                        const BackendRecord& aBackend)
{
  const TimePoint now = MonotonicClock::Now();
  const Duration left = aRelayed->m_deadline - now;
  const auto& received = aRelayed->m_exchange->GetRequest();
  http::Request request;
  request.m_method = received.m_method;
  request.m_target = received.m_target;
  request.m_sharedBody = aRelayed->m_body;
  request.m_headers = aRelayed->m_headers;
  request.m_headers.Set(
    m_headers.m_timeLeftMs,
    std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
  request.m_headers.Set(m_headers.m_expectedBackend, aBackend.m_id.Get());
  auto attempt = std::make_shared<Attempt>();
  attempt->m_backend = aBackend.m_id;
  attempt->m_software = aBackend.m_software;
  attempt->m_sentAt = now;
  aRelayed->m_tried.insert(aBackend.m_id);
  aRelayed->m_running.push_back(attempt);
  m_chooser.RecordSent(aBackend.m_id);
  CountUsage(*aRelayed);
  http::CallOptions options;
  options.m_timeout = left;
  attempt->m_call =
    m_client.Fetch(aBackend,
                   request,
                   options,
                   [this, aRelayed, attempt](http::FetchResult aResponse) {
                     std::erase(aRelayed->m_running, attempt);
                     HandleResponse(aRelayed, attempt, std::move(aResponse));
                   });
}

void RequestRelay::CountUsage(RelayedRequest& aRelayed) const
{
  const bool counts = m_usage.m_onStart && !aRelayed.m_usageWindow &&
                      aRelayed.m_account != AccountName();
  if (counts) {
    aRelayed.m_usageWindow = m_usage.m_onStart(aRelayed.m_account);
  }
}

void RequestRelay::TakeBackUsage(RelayedRequest& aRelayed) const
{
  const bool runs = aRelayed.m_mayHaveRun || !aRelayed.m_running.empty();
  if (aRelayed.m_usageWindow && !runs) {
    m_usage.m_onNotRun(aRelayed.m_account, *aRelayed.m_usageWindow);
    aRelayed.m_usageWindow.reset();
  }
}

void RequestRelay::StartHedge(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  if (aRelayed->m_done || aRelayed->m_awaitsPermit ||
      aRelayed->m_running.size() != 1) {
    return;
  }
  const BackendRecord* backend = Choose(*aRelayed);
  // The rate of a limited backend server is left to requests that need it.
  if (backend != nullptr && !m_client.Limits().LimitOf(backend->Process())) {
    m_instruments.Count(observe::counters::kHedges, aRelayed->m_service.Get());
    Send(aRelayed, *backend);
  }
}

bool RequestRelay::IsRefusal(const http::Response& aResponse) const
{
  return aResponse.m_status == kStatusMisdirected ||
         aResponse.m_headers.Find(m_headers.m_notRun).has_value();
}

void RequestRelay::HandleResponse(
  const std::shared_ptr<RelayedRequest>& aRelayed,
  const std::shared_ptr<Attempt>& aAttempt,
  http::FetchResult aResponse)
{
  if (aRelayed->m_done) {
    return;
  }
  if (!aResponse) {
    HandleFailure(aRelayed, aAttempt, aResponse.error());
    return;
  }
  const auto echoed = aResponse->m_headers.Find(m_headers.m_requestId);
  const bool isOwn = echoed.value_or("") == aRelayed->m_requestId;
  // A refusal that names no request may be a late copy of another one. It only
  // matters for a request that must not run twice.
  if (IsRefusal(*aResponse) && (isOwn || aRelayed->m_idempotent)) {
    HandleRefusal(aRelayed, aAttempt, aResponse->m_status);
    return;
  }
  const bool signedByBackend =
    aResponse->m_headers.Find(m_headers.m_signature).has_value();
  if (IsRefusal(*aResponse) || !isOwn || !signedByBackend) {
    HandleFailure(aRelayed, aAttempt, http::CallFailure::Malformed);
    return;
  }
  m_chooser.RecordResponse(aAttempt->m_backend,
                           MonotonicClock::Now() - aAttempt->m_sentAt);
  if (aResponse->m_status >= kStatusServerError) {
    aRelayed->m_mayHaveRun = true;
    aRelayed->m_errorResponse = std::move(*aResponse);
    if (aRelayed->m_idempotent) {
      RetryOrFinish(aRelayed);
      return;
    }
    Finish(aRelayed, *aRelayed->m_errorResponse);
    return;
  }
  Deliver(aRelayed, *aAttempt, *aResponse);
}

void RequestRelay::Deliver(const std::shared_ptr<RelayedRequest>& aRelayed,
                           const Attempt& aAttempt,
                           const http::Response& aResponse)
{
  const bool beginsStream = aRelayed->m_resumable && !aRelayed->m_software &&
                            aResponse.m_status == kStatusOk &&
                            !aRelayed->m_requestId.empty() &&
                            m_streams.m_record;
  if (!beginsStream) {
    Finish(aRelayed, aResponse);
    return;
  }
  // The deadline may pass before the origin is recorded.
  aRelayed->m_mayHaveRun = true;
  m_streams.m_record(
    StreamId(aRelayed->m_requestId),
    StreamOrigin{ aRelayed->m_service, aAttempt.m_software },
    [this, aRelayed, aResponse] { Finish(aRelayed, aResponse); });
}

void RequestRelay::HandleRefusal(
  const std::shared_ptr<RelayedRequest>& aRelayed,
  const std::shared_ptr<Attempt>& aAttempt,
  int aStatus)
{
  LogLine(LogLevel::Info, "backend_refused")
    .Add("request", aRelayed->m_requestId)
    .Add("backend", aAttempt->m_backend)
    .Add("status", aStatus);
  if (aStatus == kStatusMisdirected) {
    m_chooser.RecordMisdirection(aAttempt->m_backend);
  } else {
    m_chooser.RecordRefusal(aAttempt->m_backend, MonotonicClock::Now());
  }
  TakeBackUsage(*aRelayed);
  RetryOrFinish(aRelayed);
}

void RequestRelay::HandleFailure(
  const std::shared_ptr<RelayedRequest>& aRelayed,
  const std::shared_ptr<Attempt>& aAttempt,
  http::CallFailure aFailure)
{
  LogLine(LogLevel::Info, "backend_failed")
    .Add("request", aRelayed->m_requestId)
    .Add("backend", aAttempt->m_backend)
    .Add("failure", http::ToString(aFailure));
  m_instruments.Count(observe::counters::kBackendFailures,
                      http::ToString(aFailure));
  m_chooser.RecordFailure(aAttempt->m_backend, MonotonicClock::Now());
  if (aFailure != http::CallFailure::ConnectFailed) {
    aRelayed->m_mayHaveRun = true;
  }
  TakeBackUsage(*aRelayed);
  RetryOrFinish(aRelayed);
}

void RequestRelay::RetryOrFinish(
  const std::shared_ptr<RelayedRequest>& aRelayed)
{
  if (!aRelayed->m_running.empty() || aRelayed->m_awaitsPermit) {
    // The other attempt may still succeed.
    return;
  }
  const bool mayRepeat = aRelayed->m_idempotent || !aRelayed->m_mayHaveRun;
  if (mayRepeat && Choose(*aRelayed) != nullptr) {
    StartAttempt(aRelayed);
    return;
  }
  if (aRelayed->m_errorResponse) {
    Finish(aRelayed, *aRelayed->m_errorResponse);
    return;
  }
  Refuse(aRelayed,
         aRelayed->m_mayHaveRun ? kStatusBadGateway : kStatusUnavailable);
}

void RequestRelay::Finish(const std::shared_ptr<RelayedRequest>& aRelayed,
                          const http::Response& aResponse)
{
  if (aRelayed->m_done) {
    return;
  }
  http::Response response;
  response.m_status = aResponse.m_status;
  response.m_headers = http::EndToEndHeaders(aResponse.m_headers);
  response.m_body = aResponse.m_body;
  LogLine(LogLevel::Info, "request_answered")
    .Add("request", aRelayed->m_requestId)
    .Add("route", aRelayed->m_route)
    .Add("configuration", aRelayed->m_configuration)
    .Add("status", response.m_status)
    .Add("tried", aRelayed->m_tried.size())
    .Add("took_us",
         (MonotonicClock::Now() - aRelayed->m_exchange->ReceivedAt()).count());
  RecordMetrics(*aRelayed, response.m_status);
  const auto exchange = aRelayed->m_exchange;
  Close(aRelayed);
  exchange->Respond(response);
}

void RequestRelay::RecordMetrics(const RelayedRequest& aRelayed, int aStatus)
{
  m_instruments.Count(observe::counters::kResponses, std::to_string(aStatus));
  m_instruments.ObserveDuration(observe::histograms::kResponseTime,
                                aRelayed.m_route,
                                MonotonicClock::Now() -
                                  aRelayed.m_exchange->ReceivedAt());
}

Duration RequestRelay::RetryAfter(const RelayedRequest& aRelayed) const
{
  const TimePoint now = MonotonicClock::Now();
  const auto permit = m_chooser.NextPermit(aRelayed.m_service, now);
  return permit ? std::max(*permit - now, m_options.m_retryAfter)
                : m_options.m_retryAfter;
}

void RequestRelay::Refuse(const std::shared_ptr<RelayedRequest>& aRelayed,
                          int aStatus)
{
  if (aRelayed->m_done) {
    return;
  }
  LogLine(LogLevel::Info, "request_refused")
    .Add("request", aRelayed->m_requestId)
    .Add("route", aRelayed->m_route)
    .Add("configuration", aRelayed->m_configuration)
    .Add("status", aStatus)
    .Add("may_have_run", aRelayed->m_mayHaveRun)
    .Add("tried", aRelayed->m_tried.size())
    .Add("took_us",
         (MonotonicClock::Now() - aRelayed->m_exchange->ReceivedAt()).count());
  RecordMetrics(*aRelayed, aStatus);
  http::Response response;
  if (aStatus == kStatusUnavailable) {
    response = NotRunResponse(RetryAfter(*aRelayed));
  } else {
    response.m_status = aStatus;
  }
  const auto exchange = aRelayed->m_exchange;
  Close(aRelayed);
  exchange->Respond(response);
}

void RequestRelay::Close(const std::shared_ptr<RelayedRequest>& aRelayed)
{
  if (std::exchange(aRelayed->m_done, true)) {
    return;
  }
  for (auto* timer : { &aRelayed->m_deadlineTimer, &aRelayed->m_hedgeTimer }) {
    if (*timer) {
      m_loop.Cancel(*std::exchange(*timer, std::nullopt));
    }
  }
  const TimePoint now = MonotonicClock::Now();
  for (const auto& attempt : std::exchange(aRelayed->m_running, {})) {
    attempt->m_call->Cancel();
    m_chooser.RecordCancellation(attempt->m_backend, now - attempt->m_sentAt);
  }
}

} // namespace auburntrestle::fleet
