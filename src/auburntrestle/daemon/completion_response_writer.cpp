#include "auburntrestle/daemon/completion_response_writer.hpp"

#include "auburntrestle/gateway/error_response.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr const char* kEventStream = "text/event-stream";

nlohmann::json TrailJson(const GeneratedText& aText)
{
  nlohmann::json trail = nlohmann::json::array();
  for (const auto& part : aText.m_trail) {
    trail.push_back({ { "version",
                        part.m_version ? nlohmann::json(part.m_version->Get())
                                       : nlohmann::json() },
                      { "tokens", part.m_tokens.Get() } });
  }
  return trail;
}

nlohmann::json Completion(const std::string& aId,
                          const ModelName& aModel,
                          std::string aText,
                          const nlohmann::json& aReason)
{
  return { { "id", aId },
           { "object", "text_completion" },
           { "model", aModel.Get() },
           { "choices",
             nlohmann::json::array({ { { "index", 0 },
                                       { "text", std::move(aText) },
                                       { "finish_reason", aReason } } }) } };
}

std::string Event(const nlohmann::json& aData)
{
  return "data: " +
         aData.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

std::string_view MessageOf(const RequestError& aError)
{
  return std::holds_alternative<NotRunError>(aError)
           ? "the request was refused and did not run"
           : "the request failed; it may have run";
}

} // namespace internal

CompletionResponseWriter::CompletionResponseWriter(
  std::shared_ptr<gateway::Responder> aResponder,
  ModelName aModel,
  bool aStream,
  std::string aResponseId)
  : m_responder(std::move(aResponder))
  , m_model(std::move(aModel))
  , m_stream(aStream)
  , m_responseId(std::move(aResponseId))
{
}

void CompletionResponseWriter::EnsureStarted()
{
  if (!m_started) {
    m_started = true;
    m_responder->Begin(200, internal::kEventStream);
  }
}

void CompletionResponseWriter::OnText(const TextProgress& aProgress)
{
  if (!m_stream) {
    return;
  }
  EnsureStarted();
  const auto& text = aProgress.m_text;
  std::string events;
  std::size_t start = aProgress.m_deliveredBytes;
  std::uint64_t token = 0;
  for (const auto& part : text.m_trail) {
    const std::uint64_t end = token + part.m_tokens.Get();
    for (std::uint64_t index =
           std::max(token, aProgress.m_deliveredTokens.Get());
         index < end;
         ++index) {
      const std::size_t stop = text.m_tokenEnds[index];
      auto event = internal::Completion(m_responseId,
                                        m_model,
                                        text.m_text.substr(start, stop - start),
                                        nullptr);
      event["token_index"] = index;
      if (part.m_version) {
        event["weight_version"] = part.m_version->Get();
      }
      events += internal::Event(event);
      start = stop;
    }
    token = end;
  }
  m_responder->Write(std::move(events));
}

void CompletionResponseWriter::OnCompleted(const GeneratedText& aText,
                                           const std::string& aReason)
{
  if (m_stream) {
    EnsureStarted();
    auto event = internal::Completion(m_responseId, m_model, "", aReason);
    event["usage"] = { { "completion_tokens", aText.m_tokens.Get() } };
    m_responder->Write(internal::Event(event) + "data: [DONE]\n\n");
    m_responder->End();
    return;
  }
  auto body =
    internal::Completion(m_responseId, m_model, aText.m_text, aReason);
  body["usage"] = { { "completion_tokens", aText.m_tokens.Get() } };
  body["trail"] = internal::TrailJson(aText);
  gateway::HttpResponse response;
  response.m_body =
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  m_responder->Send(std::move(response));
}

void CompletionResponseWriter::OnFailed(const RequestError& aError,
                                        Duration aRetryAfter)
{
  const auto message = internal::MessageOf(aError);
  if (m_started) {
    m_responder->Write(
      "data: " + gateway::ErrorBody(aError, message, aRetryAfter) + "\n\n");
    m_responder->End();
  } else {
    m_responder->Send(gateway::MakeErrorResponse(aError, message, aRetryAfter));
  }
}

} // namespace auburntrestle::daemon
