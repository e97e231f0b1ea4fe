#include "auburntrestle/operator_client/request_sender.hpp"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpConflict = 409;

/** The result of an HTTP call, with the response body. */
struct CompletedCall
{
  backend::CallResult m_result;
  std::string m_body;
};

CompletedCall CallAndWait(backend::HttpClient& aClient, backend::HttpCall aCall)
{
  struct State
  {
    std::promise<CompletedCall> m_done;
    std::string m_body;
  };
  auto state = std::make_shared<State>();
  auto future = state->m_done.get_future();
  backend::CallHandlers handlers;
  handlers.m_onData = [state](const std::string& aData) {
    state->m_body += aData;
  };
  handlers.m_onDone = [state](const backend::CallResult& aResult) {
    state->m_done.set_value(CompletedCall{ aResult, std::move(state->m_body) });
  };
  aClient.Start(std::move(aCall), std::move(handlers));
  return future.get();
}

std::string GetString(const nlohmann::json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

RequestFailure ParseFailure(int aStatus, const nlohmann::json& aError)
{
  RequestFailure failure;
  failure.m_exitCode =
    aStatus == kHttpConflict ? ExitCode::Conflict : ExitCode::RequestFailed;
  failure.m_code = GetString(aError, "code");
  failure.m_message = GetString(aError, "message");
  // Only an explicit not_run proves that the request had no effect.
  failure.m_outcome = GetString(aError, "outcome") == ToString(Outcome::NotRun)
                        ? Outcome::NotRun
                        : Outcome::Unknown;
  failure.m_kind = GetString(aError, "kind");
  failure.m_detail = GetString(aError, "detail");
  const auto current = aError.find("current");
  if (current != aError.end() && current->is_number_unsigned()) {
    failure.m_current = current->get<std::uint64_t>();
  }
  return failure;
}

tl::expected<Response, RequestFailure> ParseResponse(CompletedCall aCall)
{
  const int status = aCall.m_result.m_httpStatus;
  auto json = nlohmann::json::parse(aCall.m_body, nullptr, false);
  const bool isObject = json.is_object();
  if (status >= 200 && status < 300) {
    if (!isObject) {
      return tl::make_unexpected(MakeBadResponse("the body is no JSON object"));
    }
    return Response{ std::move(json), std::move(aCall.m_body) };
  }
  const auto error = isObject ? json.find("error") : json.end();
  if (!isObject || error == json.end() || !error->is_object() ||
      GetString(*error, "code").empty()) {
    return tl::make_unexpected(MakeBadResponse(
      "HTTP status " + std::to_string(status) + " without an error code"));
  }
  return tl::make_unexpected(ParseFailure(status, *error));
}

std::string_view DescribeStatus(backend::CallStatus aStatus)
{
  switch (aStatus) {
    case backend::CallStatus::ConnectFailed:
      return "no connection";
    case backend::CallStatus::LostBeforeResponse:
      return "connection lost before the answer";
    case backend::CallStatus::LostMidResponse:
      return "connection lost within the answer";
    case backend::CallStatus::TimedOut:
      return "no answer within the time limit";
    case backend::CallStatus::TooLarge:
      return "answer too large";
    case backend::CallStatus::Complete:
      break;
  }
  return "complete";
}

/** All attempts of one request. */
class RequestAttempts
{
public:
  RequestAttempts(const SenderOptions& aOptions,
                  backend::HttpClient& aClient,
                  const Request& aRequest)
    : m_options(aOptions)
    , m_client(aClient)
    , m_request(aRequest)
  {
  }

  tl::expected<Response, RequestFailure> Run()
  {
    auto result = TryTargets();
    if (!result && m_responseLost &&
        m_request.m_resendPolicy == ResendPolicy::Allowed) {
      std::this_thread::sleep_for(m_options.m_resendDelay);
      result = TryTargets();
    }
    if (result) {
      return std::move(*result);
    }
    return tl::make_unexpected(MakeFinalFailure());
  }

private:
  using FinalResult = std::optional<tl::expected<Response, RequestFailure>>;

  /** @return the result, or none if no target sent a final response. */
  FinalResult TryTargets()
  {
    for (const std::string& target : m_options.m_targets) {
      CompletedCall call = CallAndWait(m_client, MakeCall(target));
      const auto status = call.m_result.m_status;
      if (status != backend::CallStatus::Complete) {
        RecordFailure(target, DescribeStatus(status));
        m_responseLost =
          m_responseLost || status != backend::CallStatus::ConnectFailed;
        if (m_responseLost &&
            m_request.m_resendPolicy == ResendPolicy::Forbidden) {
          return std::nullopt;
        }
        continue;
      }
      const int httpStatus = call.m_result.m_httpStatus;
      auto result = ParseResponse(std::move(call));
      if (!result && httpStatus == kHttpServiceUnavailable &&
          result.error().m_outcome == Outcome::NotRun) {
        RecordFailure(target, result.error().m_code);
        m_refusal = result.error();
        continue;
      }
      if (!result) {
        CorrectOutcomeAfterLostResponse(result.error());
      }
      return result;
    }
    return std::nullopt;
  }

  backend::HttpCall MakeCall(const std::string& aTarget) const
  {
    backend::HttpCall call;
    call.m_method = m_request.m_method;
    call.m_url = aTarget + m_request.m_path;
    call.m_body = m_request.m_body;
    if (!call.m_body.empty()) {
      call.m_headers.emplace_back("Content-Type", "application/json");
    }
    call.m_timeout = m_options.m_requestTimeout;
    if (m_request.m_timeout.count() > 0) {
      call.m_timeout = std::min(call.m_timeout, m_request.m_timeout);
    }
    // libcurl resends a request on its own if a reused connection turns out to
    // be closed, which ResendPolicy::Forbidden does not allow.
    call.m_newConnection = true;
    return call;
  }

  /** After a lost response, a refusal proves nothing about the earlier attempt.
   * Exception: an edit whose number is taken by other content cannot have taken
   * effect. */
  void CorrectOutcomeAfterLostResponse(RequestFailure& aFailure) const
  {
    if (m_responseLost && aFailure.m_kind != "number_taken") {
      aFailure.m_outcome = Outcome::Unknown;
    }
  }

  void RecordFailure(const std::string& aTarget, std::string_view aReason)
  {
    m_failureTexts += (m_failureTexts.empty() ? "" : "; ") + aTarget + ": ";
    m_failureTexts += aReason;
  }

  RequestFailure MakeFinalFailure() const
  {
    RequestFailure failure;
    if (m_responseLost) {
      failure.m_code = "answer_lost";
      failure.m_message = m_failureTexts;
      return failure;
    }
    if (m_refusal) {
      return *m_refusal;
    }
    failure.m_exitCode = ExitCode::Unreachable;
    failure.m_code = "unreachable";
    failure.m_message = m_failureTexts;
    failure.m_outcome = Outcome::NotRun;
    return failure;
  }

  const SenderOptions& m_options;
  backend::HttpClient& m_client;
  const Request& m_request;
  bool m_responseLost = false;
  std::optional<RequestFailure> m_refusal;
  std::string m_failureTexts;
};

} // namespace internal

std::string_view ToString(Outcome aOutcome) noexcept
{
  return aOutcome == Outcome::NotRun ? "not_run" : "outcome_unknown";
}

std::string RequestFailure::ToJson() const
{
  nlohmann::json error{ { "code", m_code },
                        { "message", m_message },
                        { "outcome", ToString(m_outcome) } };
  if (!m_kind.empty()) {
    error["kind"] = m_kind;
  }
  if (m_current) {
    error["current"] = *m_current;
  }
  if (!m_detail.empty()) {
    error["detail"] = m_detail;
  }
  return nlohmann::json{ { "error", std::move(error) } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

RequestFailure MakeBadResponse(std::string aReason)
{
  RequestFailure failure;
  failure.m_code = "bad_answer";
  failure.m_message = std::move(aReason);
  return failure;
}

tl::expected<RequestSender, RequestFailure> RequestSender::Create(
  SenderOptions aOptions)
{
  auto client = backend::HttpClient::Create();
  if (!client) {
    RequestFailure failure;
    failure.m_code = "client_failed";
    failure.m_message = client.error().m_reason;
    failure.m_outcome = Outcome::NotRun;
    return tl::make_unexpected(std::move(failure));
  }
  return RequestSender(std::move(aOptions), std::move(*client));
}

tl::expected<Response, RequestFailure> RequestSender::Send(
  const Request& aRequest)
{
  return internal::RequestAttempts(m_options, *m_client, aRequest).Run();
}

} // namespace auburntrestle::operator_client
