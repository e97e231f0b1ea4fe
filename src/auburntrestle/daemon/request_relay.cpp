#include "auburntrestle/daemon/request_relay.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/observe/metrics.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

/** Header by which a backend server reports that it did not run a request. */
constexpr const char* kNotRunHeader = "x-not-run";
constexpr std::size_t kMaxServiceResponseBytes = std::size_t{ 16 } << 20U;

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
    case backend::CallStatus::LostBeforeResponse:
      return routing::AttemptFailure::LostBeforeResponse;
    case backend::CallStatus::TimedOut:
      return routing::AttemptFailure::TimedOut;
    case backend::CallStatus::LostMidResponse:
    case backend::CallStatus::TooLarge:
    case backend::CallStatus::Complete:
      break;
  }
  return routing::AttemptFailure::LostMidStream;
}

std::string_view FailureName(routing::AttemptFailure aFailure)
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
  /** Body of a plain service's response or of an engine's refusal. */
  std::string m_body;
  std::string m_contentType;
};

struct RequestRelay::RequestState
{
  routing::RequestSpec m_spec;
  Work m_work;
  WorkHandlers m_handlers;
  RequestTimes m_times;
  std::map<AttemptNumber, Attempt> m_attempts;
  std::optional<AttemptNumber> m_selectedAttempt;
  std::optional<AttemptNumber> m_finishedAttempt;
  /** The text that has been passed to the handlers. */
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
  auto state = std::make_unique<RequestState>();
  state->m_spec = aSpec;
  state->m_work = std::move(aWork);
  state->m_handlers = std::move(aHandlers);
  state->m_times.m_arrived = MonotonicClock::Now();
  if (const auto* work = std::get_if<CompletionWork>(&state->m_work)) {
    state->m_delivered = work->m_resume;
  }
  m_requests.emplace(id, std::move(state));
  Handle(routing::RequestArrived{ id, std::move(aSpec) });
  return id;
}

void RequestRelay::Cancel(RequestId aRequest)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return;
  }
  RecordMetrics(*found->second, "cancelled", "cancelled");
  Handle(routing::RequestCancelled{ aRequest });
  m_requests.erase(aRequest);
}

void RequestRelay::Handle(const routing::Event& aEvent)
{
  m_dispatcher.Handle(aEvent, MonotonicClock::Now(), m_actions);
  ExecutePendingActions();
}

void RequestRelay::ExecutePendingActions()
{
  // Handlers may submit or cancel requests, which adds actions; the outer call
  // executes them.
  if (m_executing) {
    return;
  }
  m_executing = true;
  while (!m_actions.empty()) {
    const auto actions = std::exchange(m_actions, {});
    for (const auto& action : actions) {
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
  }
  m_executing = false;
}

void RequestRelay::Execute(const routing::StartAttempt& aAction)
{
  const auto found = m_requests.find(aAction.m_id);
  if (found == m_requests.end()) {
    return;
  }
  RequestState& state = *found->second;
  if (!state.m_times.m_firstDispatch) {
    state.m_times.m_firstDispatch = MonotonicClock::Now();
  }
  Attempt attempt;
  attempt.m_number = aAction.m_attempt;
  attempt.m_backend = aAction.m_backend;
  attempt.m_stream =
    AttemptStream(state.m_delivered.Prefix(aAction.m_resumeFromTokens));
  auto call = MakeCall(state, attempt, aAction);
  attempt.m_call = m_client.Start(
    std::move(call), MakeHandlers(aAction.m_id, aAction.m_attempt));
  state.m_attempts.insert_or_assign(aAction.m_attempt, std::move(attempt));
}

backend::HttpCall RequestRelay::MakeCall(
  const RequestState& aState,
  const Attempt& aAttempt,
  const routing::StartAttempt& aAction) const
{
  backend::HttpCall call;
  call.m_newConnection = !aState.m_spec.m_idempotent;
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
    aState.m_work);
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
  const auto state = m_requests.find(aRequest);
  if (state == m_requests.end()) {
    return nullptr;
  }
  const auto attempt = state->second->m_attempts.find(aAttempt);
  return attempt == state->second->m_attempts.end() ? nullptr
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
    std::holds_alternative<CompletionWork>(m_requests[aRequest]->m_work);
  if (isStream && attempt->m_httpStatus == 200) {
    HandleTokens(aRequest, aAttempt, aData);
  } else if (attempt->m_body.size() + aData.size() >
             internal::kMaxServiceResponseBytes) {
    m_client.Cancel(attempt->m_call);
    FailAttempt(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
  } else {
    attempt->m_body += aData;
  }
}

void RequestRelay::HandleTokens(RequestId aRequest,
                                AttemptNumber aAttempt,
                                std::string_view aData)
{
  Attempt* attempt = FindAttempt(aRequest, aAttempt);
  for (const auto& update : attempt->m_stream.Feed(aData)) {
    if (update.m_error) {
      m_client.Cancel(attempt->m_call);
      FailAttempt(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
      return;
    }
    if (update.m_newTokens.Get() > 0) {
      Handle(routing::AttemptTokens{
        aRequest, aAttempt, update.m_newTokens, update.m_version });
    }
    // The dispatcher may have ended the attempt or the request.
    attempt = FindAttempt(aRequest, aAttempt);
    if (attempt == nullptr) {
      return;
    }
  }
  RequestState& state = *m_requests[aRequest];
  if (state.m_selectedAttempt == aAttempt) {
    Deliver(aRequest, state, *attempt);
  }
}

void RequestRelay::Deliver(RequestId aRequest,
                           RequestState& aState,
                           const Attempt& aAttempt)
{
  const GeneratedText& text = aAttempt.m_stream.Generated();
  if (text.m_tokens <= aState.m_delivered.m_tokens) {
    return;
  }
  // After a change of attempt the delivered text may differ from the text of
  // the new attempt; joining the two would give a text that no engine
  // generated.
  const std::string& delivered = aState.m_delivered.m_text;
  if (text.m_text.compare(0, delivered.size(), delivered) != 0) {
    m_client.Cancel(aAttempt.m_call);
    FailAttempt(
      aRequest, aAttempt.m_number, routing::AttemptFailure::BadResponse);
    return;
  }
  if (!aState.m_times.m_firstToken) {
    aState.m_times.m_firstToken = MonotonicClock::Now();
  }
  const std::size_t deliveredBytes = delivered.size();
  const TokenCount deliveredTokens = aState.m_delivered.m_tokens;
  aState.m_delivered = text;
  if (aState.m_handlers.m_onText) {
    aState.m_handlers.m_onText(
      TextProgress{ aState.m_delivered, deliveredBytes, deliveredTokens });
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
    FailAttempt(aRequest, aAttempt, internal::FailureOf(aResult.m_status));
    return;
  }
  if (aResult.m_headers.contains(internal::kNotRunHeader)) {
    FailAttempt(aRequest, aAttempt, routing::AttemptFailure::Refused);
    return;
  }
  RequestState& state = *m_requests[aRequest];
  const bool isStream = std::holds_alternative<CompletionWork>(state.m_work);
  if (isStream && aResult.m_httpStatus != 200) {
    FailAttempt(aRequest, aAttempt, routing::AttemptFailure::BadResponse);
    return;
  }
  if (isStream && !attempt->m_stream.IsFinished()) {
    FailAttempt(aRequest, aAttempt, routing::AttemptFailure::LostMidStream);
    return;
  }
  attempt->m_httpStatus = aResult.m_httpStatus;
  const auto type = aResult.m_headers.find("content-type");
  attempt->m_contentType =
    type == aResult.m_headers.end() ? "application/octet-stream" : type->second;
  state.m_finishedAttempt = aAttempt;
  Handle(routing::AttemptFinished{ aRequest, aAttempt });
}

void RequestRelay::FailAttempt(RequestId aRequest,
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
    .Add("failure", internal::FailureName(aFailure))
    .Add("tokens", attempt->m_stream.Generated().m_tokens);
  m_metrics.CountAttemptFailure(internal::FailureName(aFailure));
  m_requests[aRequest]->m_attempts.erase(aAttempt);
  Handle(routing::AttemptFailed{ aRequest, aAttempt, aFailure });
}

void RequestRelay::Execute(const routing::CancelAttempt& aAction)
{
  const Attempt* attempt = FindAttempt(aAction.m_id, aAction.m_attempt);
  if (attempt != nullptr) {
    m_client.Cancel(attempt->m_call);
    m_requests[aAction.m_id]->m_attempts.erase(aAction.m_attempt);
  }
}

void RequestRelay::Execute(const routing::SelectAttempt& aAction)
{
  const auto found = m_requests.find(aAction.m_id);
  if (found != m_requests.end()) {
    found->second->m_selectedAttempt = aAction.m_attempt;
  }
}

void RequestRelay::Execute(const routing::FinishRequest& aAction)
{
  const auto found = m_requests.find(aAction.m_id);
  if (found == m_requests.end() || !found->second->m_finishedAttempt) {
    return;
  }
  RequestState& state = *found->second;
  Attempt& attempt = state.m_attempts.at(*state.m_finishedAttempt);
  RecordMetrics(state, "ok", "finished");
  const auto owned = std::move(found->second);
  m_requests.erase(found);
  if (std::holds_alternative<ServiceWork>(owned->m_work)) {
    owned->m_handlers.m_onResponse(
      ServiceResponse{ attempt.m_httpStatus,
                       std::move(attempt.m_contentType),
                       std::move(attempt.m_body) });
  } else {
    owned->m_handlers.m_onCompleted(attempt.m_stream.Generated(),
                                    attempt.m_stream.FinishReason());
  }
}

void RequestRelay::Execute(const routing::FailRequest& aAction)
{
  const auto found = m_requests.find(aAction.m_id);
  if (found == m_requests.end()) {
    return;
  }
  RecordMetrics(*found->second,
                ToString(CodeOf(aAction.m_error)),
                OutcomeOf(aAction.m_error));
  const auto owned = std::move(found->second);
  m_requests.erase(found);
  for (const auto& [number, attempt] : owned->m_attempts) {
    m_client.Cancel(attempt.m_call);
  }
  owned->m_handlers.m_onFailed(aAction.m_error,
                               aAction.m_retryAfter.value_or(Duration::zero()));
}

void RequestRelay::RecordMetrics(const RequestState& aState,
                                 std::string_view aCode,
                                 std::string_view aOutcome)
{
  const auto now = MonotonicClock::Now();
  observe::RequestRecord record;
  record.m_caller = aState.m_spec.m_caller.Get();
  record.m_training =
    aState.m_spec.m_class == admission::RequestClass::Training;
  record.m_code = aCode;
  record.m_outcome = aOutcome;
  record.m_total = now - aState.m_times.m_arrived;
  record.m_wait =
    aState.m_times.m_firstDispatch.value_or(now) - aState.m_times.m_arrived;
  if (aState.m_times.m_firstToken) {
    record.m_firstToken =
      *aState.m_times.m_firstToken - aState.m_times.m_arrived;
  }
  record.m_tokens = aState.m_delivered.m_tokens;
  m_metrics.Record(record);
}

} // namespace auburntrestle::daemon
