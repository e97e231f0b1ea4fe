#include "auburntrestle/operator_client/request_sender.hpp"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

constexpr int kHttpServiceUnavailable = 503;
constexpr int kHttpConflict = 409;

/** An ended call with its body. */
struct Reply
{
  backend::CallResult m_result;
  std::string m_body;
};

Reply CallAndWait(backend::HttpClient& aClient, backend::HttpCall aCall)
{
  struct State
  {
    std::promise<Reply> m_done;
    std::string m_body;
  };
  auto state = std::make_shared<State>();
  auto future = state->m_done.get_future();
  backend::CallHandlers handlers;
  handlers.m_onData = [state](const std::string& aData) {
    state->m_body += aData;
  };
  handlers.m_onDone = [state](const backend::CallResult& aResult) {
    state->m_done.set_value(Reply{ aResult, std::move(state->m_body) });
  };
  aClient.Start(std::move(aCall), std::move(handlers));
  return future.get();
}

std::string TextOf(const nlohmann::json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

RequestFailure ReadFailure(int aStatus, const nlohmann::json& aError)
{
  RequestFailure failure;
  failure.m_exitCode =
    aStatus == kHttpConflict ? ExitCode::Conflict : ExitCode::RequestFailed;
  failure.m_code = TextOf(aError, "code");
  failure.m_message = TextOf(aError, "message");
  // Only an explicit statement proves that nothing was done.
  failure.m_outcome = TextOf(aError, "outcome") == ToString(Outcome::NotRun)
                        ? Outcome::NotRun
                        : Outcome::Unknown;
  failure.m_kind = TextOf(aError, "kind");
  failure.m_detail = TextOf(aError, "detail");
  const auto current = aError.find("current");
  if (current != aError.end() && current->is_number_unsigned()) {
    failure.m_current = current->get<std::uint64_t>();
  }
  return failure;
}

tl::expected<Answer, RequestFailure> Interpret(Reply aReply)
{
  const int status = aReply.m_result.m_httpStatus;
  auto json = nlohmann::json::parse(aReply.m_body, nullptr, false);
  const bool isObject = json.is_object();
  if (status >= 200 && status < 300) {
    if (!isObject) {
      return tl::make_unexpected(MakeBadAnswer("the body is no JSON object"));
    }
    return Answer{ std::move(json), std::move(aReply.m_body) };
  }
  const auto error = isObject ? json.find("error") : json.end();
  if (!isObject || error == json.end() || !error->is_object() ||
      TextOf(*error, "code").empty()) {
    return tl::make_unexpected(MakeBadAnswer(
      "HTTP status " + std::to_string(status) + " without an error code"));
  }
  return tl::make_unexpected(ReadFailure(status, *error));
}

std::string_view ReasonOf(backend::CallStatus aStatus)
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
    case backend::CallStatus::Complete:
      break;
  }
  return "complete";
}

/** The attempts of one request. */
class Attempts
{
public:
  Attempts(const SenderOptions& aOptions,
           backend::HttpClient& aClient,
           const Request& aRequest)
    : m_options(aOptions)
    , m_client(aClient)
    , m_request(aRequest)
  {
  }

  tl::expected<Answer, RequestFailure> Run()
  {
    auto ended = TryTargets();
    if (!ended && m_answerLost &&
        m_request.m_repetition == Repetition::Allowed) {
      std::this_thread::sleep_for(m_options.m_repeatDelay);
      ended = TryTargets();
    }
    if (ended) {
      return std::move(*ended);
    }
    return tl::make_unexpected(FinalFailure());
  }

private:
  using Ended = std::optional<tl::expected<Answer, RequestFailure>>;

  /** @return the result, or none when no target gave a final answer. */
  Ended TryTargets()
  {
    for (const std::string& target : m_options.m_targets) {
      Reply reply = CallAndWait(m_client, MakeCall(target));
      const auto status = reply.m_result.m_status;
      if (status != backend::CallStatus::Complete) {
        Note(target, ReasonOf(status));
        m_answerLost =
          m_answerLost || status != backend::CallStatus::ConnectFailed;
        if (m_answerLost && m_request.m_repetition == Repetition::Forbidden) {
          return std::nullopt;
        }
        continue;
      }
      const int httpStatus = reply.m_result.m_httpStatus;
      auto result = Interpret(std::move(reply));
      if (!result && httpStatus == kHttpServiceUnavailable &&
          result.error().m_outcome == Outcome::NotRun) {
        Note(target, result.error().m_code);
        m_refusal = result.error();
        continue;
      }
      if (!result) {
        AccountForLostAnswer(result.error());
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
    // The library repeats a request by itself on a kept connection that has
    // been closed, which Repetition::Forbidden does not allow.
    call.m_newConnection = true;
    return call;
  }

  /** After a lost answer, a refusal speaks only for its own attempt. An edit
   * whose number was taken by another content can never have taken effect. */
  void AccountForLostAnswer(RequestFailure& aFailure) const
  {
    if (m_answerLost && aFailure.m_kind != "number_taken") {
      aFailure.m_outcome = Outcome::Unknown;
    }
  }

  void Note(const std::string& aTarget, std::string_view aReason)
  {
    m_notes += (m_notes.empty() ? "" : "; ") + aTarget + ": ";
    m_notes += aReason;
  }

  RequestFailure FinalFailure() const
  {
    RequestFailure failure;
    if (m_answerLost) {
      failure.m_code = "answer_lost";
      failure.m_message = m_notes;
      return failure;
    }
    if (m_refusal) {
      return *m_refusal;
    }
    failure.m_exitCode = ExitCode::Unreachable;
    failure.m_code = "unreachable";
    failure.m_message = m_notes;
    failure.m_outcome = Outcome::NotRun;
    return failure;
  }

  const SenderOptions& m_options;
  backend::HttpClient& m_client;
  const Request& m_request;
  bool m_answerLost = false;
  std::optional<RequestFailure> m_refusal;
  std::string m_notes;
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

RequestFailure MakeBadAnswer(std::string aReason)
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

tl::expected<Answer, RequestFailure> RequestSender::Send(
  const Request& aRequest)
{
  return internal::Attempts(m_options, *m_client, aRequest).Run();
}

} // namespace auburntrestle::operator_client
