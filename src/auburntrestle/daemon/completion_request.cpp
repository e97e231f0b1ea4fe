#include "auburntrestle/daemon/completion_request.hpp"

#include <tuple>

namespace auburntrestle::daemon {

tl::expected<CompletionRequest, FieldErrors> ParseCompletionRequest(
  std::string_view aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  FieldErrors errors;
  JsonReader reader(*body, errors);
  CompletionRequest request;
  request.m_model = ModelName(reader.RequiredText("model"));
  request.m_prompt = reader.RequiredText("prompt");
  request.m_maxTokens = TokenCount(reader.Number(
    "max_tokens", 1, kMaxOutputTokens.Get(), kDefaultOutputTokens.Get()));
  request.m_stream = reader.Flag("stream", false);
  // Several choices for one request are not supported; other values are refused
  // rather than returning fewer choices than requested.
  std::ignore = reader.Number("n", 1, 1, 1);
  if (const auto* resume = reader.Object("resume")) {
    JsonReader fields(*resume, errors, "resume");
    request.m_resumeText = fields.Text("text");
    request.m_resumeTokens =
      TokenCount(fields.RequiredNumber("tokens", 1, kMaxOutputTokens.Get()));
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return request;
}

} // namespace auburntrestle::daemon
