#ifndef AUBURNTRESTLE_DAEMON_COMPLETION_REQUEST_HPP
#define AUBURNTRESTLE_DAEMON_COMPLETION_REQUEST_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/daemon/json_reader.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace auburntrestle::daemon {

/** Maximum output of a request that states none. */
constexpr TokenCount kDefaultOutputTokens{ 256 };
/** Upper limit of max_tokens in a request. */
constexpr TokenCount kMaxOutputTokens{ 1'000'000 };

/** The body of POST /v1/completions. */
struct CompletionRequest
{
  ModelName m_model;
  std::string m_prompt;
  TokenCount m_maxTokens = kDefaultOutputTokens;
  bool m_stream = false;
  /** Text to continue; set by instances that forward a request. */
  std::string m_resumeText;
  TokenCount m_resumeTokens;
};

/** Parses a body; unknown fields are ignored, as clients send further fields of
 * the common completions interface. */
[[nodiscard]] tl::expected<CompletionRequest, FieldErrors>
ParseCompletionRequest(std::string_view aBody);

} // namespace auburntrestle::daemon

#endif
