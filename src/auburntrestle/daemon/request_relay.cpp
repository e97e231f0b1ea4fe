#include "auburntrestle/daemon/request_relay.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/observe/metrics.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

/** Header with which a backend server says that it did not run a request. */
constexpr const char* kNotRunHeader = "x-not-run";
constexpr std::size_t kMaxServiceAnswer = std::size_t{ 16 } << 20U;

std::string UrlOf(const std::string& aAddress, const std::string& aPath)
{
  const std::string base =
    aAddress.find("://") == std::string::npos ? "http://" + aAddress : aAddress;
  return base + "/" + aPath;
}

std::string CompletionBody(const CompletionWork& aWork,
                           const GeneratedText& aResume,
                           const std::string& aRequestTag)
{
  nlohmann::json body{ { "model", aWork.m_model.Get() },
                       { "prompt", aWork.m_prompt },
                       { "max_tokens", aWork.m_maxTokens.Get() },
                       { "stream", true },
                       { "request_id", aRequestTag } };
  if (aResume.m_tokens.Get() > 0) {
    body["resume"] = { { "text", aResume.m_text },
                       { "tokens", aResume.m_tokens.Get() } };
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

routing::AttemptFailure FailureOf(backend::CallStatus aStatus)
{
  switch (aStatus) {
    case backend::CallStatus::ConnectFailed:
      return routing::AttemptFailure::ConnectFailed;
    case backend::CallStatus::LostBeforeAnswer:
      return routing::AttemptFailure::LostBeforeResponse;
    case backend::CallStatus::TimedOut:
      return routing::AttemptFailure::TimedOut;
    case backend::CallStatus::LostInAnswer:
    case backend::CallStatus::Complete:
      break;
  }
  return routing::AttemptFailure::LostMidStream;
}

std::string_view Name(routing::AttemptFailure aFailure)
{
  switch (aFailure) {
    case routing::AttemptFailure::ConnectFailed:
      return "connect_failed";
    case routing::AttemptFailure::Refused:
      return "refused";
    case routing::AttemptFailure::LostBeforeResponse:
      return "lost_before_answer";
    case routing::AttemptFailure::LostMidStream:
      return "lost_mid_stream";
    case routing::AttemptFailure::TimedOut:
      return "timed_out";
    case routing::AttemptFailure::BadResponse:
      return "bad_answer";
    case routing::AttemptFailure::WrongWeightVersion:
      return "wrong_weight_version";
  }
  return "unknown";
}

} // namespace internal

struct RequestRelay::Attempt
{
  AttemptNumber m_number;
  BackendId m_backend;
  backend::CallId m_call;
  AttemptStream m_stream;
  int m_httpStatus = 0;
  /** Body of a plain service's answer or of an engine's refusal. */
  std::string m_body;
  std::string m_contentType;
};

struct RequestRelay::Flight
{
  routing::RequestSpec m_spec;
  Work m_work;
  WorkHandlers m_handlers;
  RequestTimes m_times;
  std::map<AttemptNumber, Attempt> m_attempts;
  std::optional<AttemptNumber> m_selected;
  std::optional<AttemptNumber> m_finished;
  /** The text that the receiver has. */
  GeneratedText m_delivered;
};

RequestRelay::RequestRelay(routing::Dispatcher aDispatcher,
                           ControlLoop& aLoop,
                           backend::HttpClient& aClient,
                           observe::Metrics& aMetrics,
                           std::string aInstanceTag)
  : m_dispatcher(std::move(aDispatcher))
  , m_loop(aLoop)
  , m_client(aClient)
  , m_metrics(aMetrics)
  , m_instanceTag(std::move(aInstanceTag))
{
}

RequestRelay::~RequestRelay() = default;

RequestId RequestRelay::Submit(routing::RequestSpec aSpec,
                               Work aWork,
                               WorkHandlers aHandlers)
{
  const RequestId id(m_nextRequest++);
  auto flight = std::make_unique<Flight>();
  flight->m_spec = aSpec;
  flight->m_work = std::move(aWork);
  flight->m_handlers = std::move(aHandlers);
  flight->m_times.m_arrived = MonotonicClock::Now();
  if (const auto* work = std::get_if<CompletionWork>(&flight->m_work)) {
    flight->m_delivered = work->m_resume;
  }
  m_flights.emplace(id, std::move(flight));
  Handle(routing::RequestArrived{ id, std::move(aSpec) });
  return id;
}

void RequestRelay::Cancel(RequestId aRequest)
{
  const auto found = m_flights.find(aRequest);
  if (found == m_flights.end()) {
    return;
  }
  Observe(*found->second, "cancelled", "cancelled");
  Handle(routing::RequestCancelled{ aRequest });
  m_flights.erase(aRequest);
}

void RequestRelay::Handle(const routing::Event& aEvent)
{
  m_dispatcher.Handle(aEvent, MonotonicClock::Now(), m_actions);
  Drain();
}

void RequestRelay::Drain()
{
  // Handlers may submit or cancel requests, which appends further actions.
  if (m_draining) {
    return;
  }
  m_draining = true;
  while (!m_actions.empty()) {
    const auto actions = std::exchange(m_actions, {});
    for (const auto& action : actions) {
      std::visit([this](const auto& aAction) { Carry(aAction); }, action);
    }
  }
  m_draining = false;
}

void RequestRelay::Carry(const routing::StartAttempt& aAction)
{
  const auto found = m_flights.find(aAction.m_id);
  if (found == m_flights.end()) {
    return;
  }
  Flight& flight = *found->second;
  if (!flight.m_times.m_firstDispatch) {
    flight.m_times.m_firstDispatch = MonotonicClock::Now();
  }
  Attempt attempt;
  attempt.m_number = aAction.m_attempt;
  attempt.m_backend = aAction.m_backend;
  attempt.m_stream =
    AttemptStream(flight.m_delivered.Prefix(aAction.m_resumeFromTokens));
  auto call = MakeCall(flight, attempt, aAction);
  attempt.m_call = m_client.Start(
    std::move(call), MakeHandlers(aAction.m_id, aAction.m_attempt));
  flight.m_attempts.insert_or_assign(aAction.m_attempt, std::move(attempt));
}

backend::HttpCall RequestRelay::MakeCall(
  const Flight& aFlight,
  const Attempt& aAttempt,
  const routing::StartAttempt& aAction) const
{
  backend::HttpCall call;
  call.m_newConnection = !aFlight.m_spec.m_idempotent;
  std::visit(
    Overloaded{
      [&](const CompletionWork& aWork) {
        const std::string tag = m_instanceTag + "-" +
                                std::to_string(aAction.m_id.Get()) + "-" +
                                std::to_string(aAction.m_attempt.Get());
        call.m_url = internal::UrlOf(aAction.m_address, "v1/completions");
        call.m_headers.emplace_back("Content-Type", "application/json");
        call.m_body =
          internal::CompletionBody(aWork, aAttempt.m_stream.Generated(), tag);
      },
      [&](const ServiceWork& aWork) {
        call.m_method = aWork.m_method;
        call.m_url = internal::UrlOf(aAction.m_address, aWork.m_path);
        call.m_headers.emplace_back("Content-Type", aWork.m_contentType);
        if (aWork.m_key) {
          call.m_headers.emplace_back("Idempotency-Key", aWork.m_key->Get());
        }
        call.m_body = aWork.m_body;
      } },
    aFlight.m_work);
  return call;
}

backend::CallHandlers RequestRelay::MakeHandlers(RequestId aRequest,
                                                 AttemptNumber aAttempt)
{
  backend::CallHandlers handlers;
  handlers.m_onHeaders = [this, aRequest, aAttempt](int aStatus) {
    m_loop.Post([this, aRequest, aAttempt, aStatus] {
      OnHeaders(aRequest, aAttempt, aStatus);
    });
  };
  handlers.m_onData = [this, aRequest, aAttempt](std::string aData) {
    m_loop.Post([this, aRequest, aAttempt, data = std::move(aData)] {
      OnData(aRequest, aAttempt, data);
    });
  };
  handlers.m_onDone = [this, aRequest, aAttempt](backend::CallResult aResult) {
    m_loop.Post([this, aRequest, aAttempt, result = std::move(aResult)] {
      OnDone(aRequest, aAttempt, result);
    });
  };
  return handlers;
}

RequestRelay::Attempt* RequestRelay::FindAttempt(RequestId aRequest,
                                                 AttemptNumber aAttempt)
{
  const auto flight = m_flights.find(aRequest);
  if (flight == m_flights.end()) {
    return nullptr;
  }
  const auto attempt = flight->second->m_attempts.find(aAttempt);
  return attempt == flight->second->m_attempts.end() ? nullptr
                                                     : &attempt->second;
}

void RequestRelay::OnHeaders(RequestId aRequest,
                             AttemptNumber aAttempt,
                             int aStatus)
{
  Attempt* attempt = FindAttempt(aRequest, aAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->m_httpStatus = aStatus;
  if (aStatus == 200) {
    Handle(routing::AttemptAccepted{ aRequest, aAttempt });
  }
}

void RequestRelay::OnData(RequestId aRequest,
                          AttemptNumber aAttempt,
                          const std::string& aData)
{
  Attempt* attempt = FindAttempt(aRequest, aAttempt);
  if (attempt == nullptr) {
    return;
  }
  const bool isStream =
    std::holds_alternative<CompletionWork>(m_flights[aRequest]->m_work);
  if (isStream && attempt->m_httpStatus == 200) {
    TakeTokens(aRequest, aAttempt, aData);
  } else if (attempt->m_body.size() + aData.size() >
             internal::kMaxServiceAnswer) {
    m_client.Cancel(attempt->m_call);
    Fail(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
  } else {
    attempt->m_body += aData;
  }
}

void RequestRelay::TakeTokens(RequestId aRequest,
                              AttemptNumber aAttempt,
                              std::string_view aData)
{
  Attempt* attempt = FindAttempt(aRequest, aAttempt);
  for (const auto& step : attempt->m_stream.Feed(aData)) {
    if (step.m_error) {
      m_client.Cancel(attempt->m_call);
      Fail(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
      return;
    }
    if (step.m_newTokens.Get() > 0) {
      Handle(routing::AttemptTokens{
        aRequest, aAttempt, step.m_newTokens, step.m_version });
    }
    // The decision may have ended the attempt or the whole request.
    attempt = FindAttempt(aRequest, aAttempt);
    if (attempt == nullptr) {
      return;
    }
  }
  Flight& flight = *m_flights[aRequest];
  if (flight.m_selected == aAttempt) {
    Deliver(aRequest, flight, *attempt);
  }
}

void RequestRelay::Deliver(RequestId aRequest,
                           Flight& aFlight,
                           const Attempt& aAttempt)
{
  const GeneratedText& text = aAttempt.m_stream.Generated();
  if (text.m_tokens <= aFlight.m_delivered.m_tokens) {
    return;
  }
  // After a change of attempt the receiver may have text that the new attempt
  // contradicts; joining the two would give an answer nobody generated.
  const std::string& known = aFlight.m_delivered.m_text;
  if (text.m_text.compare(0, known.size(), known) != 0) {
    m_client.Cancel(aAttempt.m_call);
    Fail(aRequest, aAttempt.m_number, routing::AttemptFailure::BadResponse);
    return;
  }
  if (!aFlight.m_times.m_firstToken) {
    aFlight.m_times.m_firstToken = MonotonicClock::Now();
  }
  const std::size_t knownBytes = known.size();
  const TokenCount knownTokens = aFlight.m_delivered.m_tokens;
  aFlight.m_delivered = text;
  if (aFlight.m_handlers.m_onText) {
    aFlight.m_handlers.m_onText(
      TextProgress{ aFlight.m_delivered, knownBytes, knownTokens });
  }
}

void RequestRelay::OnDone(RequestId aRequest,
                          AttemptNumber aAttempt,
                          const backend::CallResult& aResult)
{
  Attempt* attempt = FindAttempt(aRequest, aAttempt);
  if (attempt == nullptr) {
    return;
  }
  if (aResult.m_status != backend::CallStatus::Complete) {
    Fail(aRequest, aAttempt, internal::FailureOf(aResult.m_status));
    return;
  }
  if (aResult.m_headers.contains(internal::kNotRunHeader)) {
    Fail(aRequest, aAttempt, routing::AttemptFailure::Refused);
    return;
  }
  Flight& flight = *m_flights[aRequest];
  const bool isStream = std::holds_alternative<CompletionWork>(flight.m_work);
  if (isStream && aResult.m_httpStatus != 200) {
    Fail(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
    return;
  }
  if (isStream && !attempt->m_stream.Finished()) {
    Fail(aRequest, aAttempt, routing::AttemptFailure::LostMidStream);
    return;
  }
  attempt->m_httpStatus = aResult.m_httpStatus;
  const auto type = aResult.m_headers.find("content-type");
  attempt->m_contentType =
    type == aResult.m_headers.end() ? "application/octet-stream" : type->second;
  flight.m_finished = aAttempt;
  Handle(routing::AttemptFinished{ aRequest, aAttempt });
}

void RequestRelay::Fail(RequestId aRequest,
                        AttemptNumber aAttempt,
                        routing::AttemptFailure aFailure)
{
  const Attempt* attempt = FindAttempt(aRequest, aAttempt);
  if (attempt == nullptr) {
    return;
  }
  observe::LogLine(observe::LogLevel::Warning, "attempt_failed")
    .Add("request", aRequest)
    .Add("attempt", aAttempt)
    .Add("backend", attempt->m_backend)
    .Add("failure", internal::Name(aFailure))
    .Add("tokens", attempt->m_stream.Generated().m_tokens);
  m_metrics.CountAttemptFailure(internal::Name(aFailure));
  m_flights[aRequest]->m_attempts.erase(aAttempt);
  Handle(routing::AttemptFailed{ aRequest, aAttempt, aFailure });
}

void RequestRelay::Carry(const routing::CancelAttempt& aAction)
{
  const Attempt* attempt = FindAttempt(aAction.m_id, aAction.m_attempt);
  if (attempt != nullptr) {
    m_client.Cancel(attempt->m_call);
    m_flights[aAction.m_id]->m_attempts.erase(aAction.m_attempt);
  }
}

void RequestRelay::Carry(const routing::SelectAttempt& aAction)
{
  const auto found = m_flights.find(aAction.m_id);
  if (found != m_flights.end()) {
    found->second->m_selected = aAction.m_attempt;
  }
}

void RequestRelay::Carry(const routing::FinishRequest& aAction)
{
  const auto found = m_flights.find(aAction.m_id);
  if (found == m_flights.end() || !found->second->m_finished) {
    return;
  }
  Flight& flight = *found->second;
  Attempt& attempt = flight.m_attempts.at(*flight.m_finished);
  Observe(flight, "ok", "finished");
  const auto owned = std::move(found->second);
  m_flights.erase(found);
  if (std::holds_alternative<ServiceWork>(owned->m_work)) {
    owned->m_handlers.m_onAnswered(
      ServiceAnswer{ attempt.m_httpStatus,
                     std::move(attempt.m_contentType),
                     std::move(attempt.m_body) });
  } else {
    owned->m_handlers.m_onCompleted(attempt.m_stream.Generated(),
                                    attempt.m_stream.FinishReason());
  }
}

void RequestRelay::Carry(const routing::FailRequest& aAction)
{
  const auto found = m_flights.find(aAction.m_id);
  if (found == m_flights.end()) {
    return;
  }
  Observe(*found->second,
          ToString(CodeOf(aAction.m_error)),
          OutcomeOf(aAction.m_error));
  const auto owned = std::move(found->second);
  m_flights.erase(found);
  for (const auto& [number, attempt] : owned->m_attempts) {
    m_client.Cancel(attempt.m_call);
  }
  owned->m_handlers.m_onFailed(aAction.m_error,
                               aAction.m_retryAfter.value_or(Duration::zero()));
}

void RequestRelay::Observe(const Flight& aFlight,
                           std::string_view aCode,
                           std::string_view aOutcome)
{
  const auto now = MonotonicClock::Now();
  observe::RequestRecord record;
  record.m_caller = aFlight.m_spec.m_caller.Get();
  record.m_training =
    aFlight.m_spec.m_class == admission::RequestClass::Training;
  record.m_code = aCode;
  record.m_outcome = aOutcome;
  record.m_total = now - aFlight.m_times.m_arrived;
  record.m_wait =
    aFlight.m_times.m_firstDispatch.value_or(now) - aFlight.m_times.m_arrived;
  if (aFlight.m_times.m_firstToken) {
    record.m_firstToken =
      *aFlight.m_times.m_firstToken - aFlight.m_times.m_arrived;
  }
  record.m_tokens = aFlight.m_delivered.m_tokens;
  m_metrics.Record(record);
}

} // namespace auburntrestle::daemon
