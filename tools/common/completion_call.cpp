#include "common/completion_call.hpp"

#include <nlohmann/json.hpp>

namespace auburntrestle::tools {

using nlohmann::json;

void CompletionStream::Read(std::string_view aChunk, TimePoint aNow)
{
  m_incompleteLine.append(aChunk);
  std::size_t start = 0;
  for (auto end = m_incompleteLine.find('\n'); end != std::string::npos;
       end = m_incompleteLine.find('\n', start)) {
    ReadLine(std::string_view(m_incompleteLine).substr(start, end - start),
             aNow);
    start = end + 1;
  }
  m_incompleteLine.erase(0, start);
}

void CompletionStream::ReadLine(std::string_view aLine, TimePoint aNow)
{
  constexpr std::string_view kPrefix = "data:";
  if (!aLine.starts_with(kPrefix)) {
    return;
  }
  aLine.remove_prefix(kPrefix.size());
  if (aLine.find("[DONE]") != std::string_view::npos && aLine.size() < 10) {
    m_done = true;
    return;
  }
  const json event = json::parse(aLine, nullptr, false);
  if (event.is_object() && event.contains("error")) {
    m_error = ErrorName(200, aLine);
    return;
  }
  if (!event.is_object() || !event.contains("choices")) {
    m_error = "bad_event/outcome_unknown";
    return;
  }
  const json& choices = event["choices"];
  if (choices.empty() || !choices[0].is_object()) {
    return;
  }
  const auto text = choices[0].value("text", std::string());
  if (!text.empty() && !m_firstToken) {
    m_firstToken = aNow;
  }
  m_text += text;
}

std::string ErrorName(int aStatus, std::string_view aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return "http_" + std::to_string(aStatus) + "/outcome_unknown";
  }
  const json& error = body["error"];
  return error.value("code", std::string("no_code")) + "/" +
         error.value("outcome", std::string("no_outcome"));
}

} // namespace auburntrestle::tools
