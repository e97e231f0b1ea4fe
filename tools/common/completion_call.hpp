#ifndef AUBURNTRESTLE_TOOLS_COMMON_COMPLETION_CALL_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_COMPLETION_CALL_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::tools {

/** Parses the server-sent events of one streamed completion. */
class CompletionStream
{
public:
  /** Parses a chunk of the body that arrived at a time. */
  void Read(std::string_view aChunk, TimePoint aNow);

  /** @return the output received so far. */
  [[nodiscard]] const std::string& Text() const noexcept { return m_text; }
  /** @return true once "data: [DONE]" was read. */
  [[nodiscard]] bool IsDone() const noexcept { return m_done; }
  /** @return when the first token arrived; none before that. */
  [[nodiscard]] std::optional<TimePoint> FirstTokenTime() const noexcept
  {
    return m_firstToken;
  }
  /** @return "code/outcome" of an error event; empty for none. */
  [[nodiscard]] const std::string& Error() const noexcept { return m_error; }

private:
  void ReadLine(std::string_view aLine, TimePoint aNow);

  std::string m_incompleteLine;
  std::string m_text;
  std::string m_error;
  std::optional<TimePoint> m_firstToken;
  bool m_done = false;
};

/**
 * @return "code/outcome" of a typed error body; a body of another form gives
 *         the HTTP status and "outcome_unknown".
 */
[[nodiscard]] std::string ErrorName(int aStatus, std::string_view aBody);

} // namespace auburntrestle::tools

#endif
