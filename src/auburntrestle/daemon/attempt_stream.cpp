#include "auburntrestle/daemon/attempt_stream.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr std::string_view kEndMarker = "[DONE]";

StreamUpdate Failed(StreamError aError)
{
  StreamUpdate update;
  update.m_error = aError;
  return update;
}

/** Reads a weight version given as a number or as decimal text. */
std::optional<WeightVersion> ReadVersion(const nlohmann::json& aEvent)
{
  const auto found = aEvent.find("weight_version");
  if (found == aEvent.end()) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  if (found->is_number_unsigned()) {
    version = found->get<std::uint64_t>();
  } else if (found->is_string()) {
    try {
      version = std::stoull(found->get<std::string>());
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }
  // Engines report version 0 while no weights are loaded.
  return version == 0 ? std::nullopt
                      : std::optional<WeightVersion>(WeightVersion(version));
}

} // namespace internal

void GeneratedText::Append(std::string_view aText,
                           std::optional<WeightVersion> aVersion)
{
  m_text.append(aText);
  m_tokens = m_tokens.Next();
  m_tokenEnds.push_back(m_text.size());
  if (!m_trail.empty() && m_trail.back().m_version == aVersion) {
    m_trail.back().m_tokens = m_trail.back().m_tokens.Next();
  } else {
    m_trail.push_back(TrailPart{ aVersion, TokenCount(1) });
  }
}

GeneratedText GeneratedText::Prefix(TokenCount aTokens) const
{
  if (aTokens >= m_tokens) {
    return *this;
  }
  GeneratedText prefix;
  prefix.m_tokens = aTokens;
  prefix.m_tokenEnds.assign(m_tokenEnds.begin(),
                            m_tokenEnds.begin() +
                              static_cast<std::ptrdiff_t>(aTokens.Get()));
  prefix.m_text = m_text.substr(
    0, prefix.m_tokenEnds.empty() ? 0 : prefix.m_tokenEnds.back());
  std::uint64_t left = aTokens.Get();
  for (const auto& part : m_trail) {
    const std::uint64_t taken = std::min(left, part.m_tokens.Get());
    if (taken > 0) {
      prefix.m_trail.push_back(TrailPart{ part.m_version, TokenCount(taken) });
    }
    left -= taken;
  }
  return prefix;
}

GeneratedText MakeReceivedText(std::string aText, TokenCount aTokens)
{
  GeneratedText text;
  text.m_text = std::move(aText);
  text.m_tokens = aTokens;
  text.m_tokenEnds.assign(aTokens.Get(), text.m_text.size());
  if (aTokens.Get() > 0) {
    text.m_trail.push_back(TrailPart{ std::nullopt, aTokens });
  }
  return text;
}

AttemptStream::AttemptStream(GeneratedText aResumed)
  : m_generated(std::move(aResumed))
{
}

std::vector<StreamUpdate> AttemptStream::Feed(std::string_view aBytes)
{
  std::vector<StreamUpdate> updates;
  for (const auto& data : m_parser.Feed(aBytes)) {
    updates.push_back(HandleEvent(data));
  }
  return updates;
}

StreamUpdate AttemptStream::HandleEvent(std::string_view aData)
{
  StreamUpdate update;
  if (aData == internal::kEndMarker) {
    m_finished = !m_finishReason.empty();
    update.m_finished = m_finished;
    return m_finished ? update : internal::Failed(StreamError::MalformedEvent);
  }
  const auto event = nlohmann::json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    return internal::Failed(StreamError::MalformedEvent);
  }
  if (event.contains("error")) {
    return internal::Failed(StreamError::EngineError);
  }
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return internal::Failed(StreamError::MalformedEvent);
  }
  const auto& choice = choices->front();
  const auto text = choice.find("text");
  const bool hasText = text != choice.end() && text->is_string() &&
                       !text->empty() &&
                       !text->get_ref<const std::string&>().empty();
  if (hasText) {
    const auto index = event.find("token_index");
    if (index != event.end() && index->is_number_unsigned() &&
        index->get<std::uint64_t>() != m_generated.m_tokens.Get()) {
      return internal::Failed(StreamError::TokenOutOfOrder);
    }
    update.m_version = internal::ReadVersion(event);
    update.m_newTokens = TokenCount(1);
    m_generated.Append(text->get_ref<const std::string&>(), update.m_version);
  }
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && reason->is_string()) {
    m_finishReason = reason->get<std::string>();
  }
  return update;
}

} // namespace auburntrestle::daemon
