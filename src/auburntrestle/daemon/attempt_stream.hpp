#ifndef AUBURNTRESTLE_DAEMON_ATTEMPT_STREAM_HPP
#define AUBURNTRESTLE_DAEMON_ATTEMPT_STREAM_HPP

#include "auburntrestle/backend/event_stream.hpp"
#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::daemon {

/** A run of consecutive tokens of one weight version. */
struct TrailPart
{
  /** Empty when the engine did not name a version. */
  std::optional<WeightVersion> m_version;
  TokenCount m_tokens;

  friend bool operator==(const TrailPart&, const TrailPart&) = default;
};

/** The text that an engine has generated for a prompt. */
struct GeneratedText
{
  std::string m_text;
  TokenCount m_tokens;
  std::vector<TrailPart> m_trail;
  /** End offset of each token in the text. */
  std::vector<std::size_t> m_tokenEnds;

  /** Appends one token; consecutive tokens of one version share a trail part.
   */
  void Append(std::string_view aText, std::optional<WeightVersion> aVersion);

  /** @return the first tokens, or all when there are fewer. */
  [[nodiscard]] GeneratedText Prefix(TokenCount aTokens) const;
};

/**
 * @return text that was generated elsewhere. Its token boundaries are unknown,
 * so all its tokens share the end of the text and one trail part.
 */
[[nodiscard]] GeneratedText MakeReceivedText(std::string aText,
                                             TokenCount aTokens);

/** Why the response of an engine cannot be used. */
enum class StreamError : std::uint8_t
{
  MalformedEvent,
  TokenOutOfOrder,
  EngineError,
};

/** The change made by one event of an engine's stream. */
struct StreamUpdate
{
  /** Tokens that the event added. */
  TokenCount m_newTokens;
  std::optional<WeightVersion> m_version;
  bool m_finished = false;
  std::optional<StreamError> m_error;
};

/**
 * Reads the event stream of one attempt and keeps the complete text, including
 * the text of an earlier attempt that this one resumed.
 */
class AttemptStream
{
public:
  /** @param aResumed the text that the engine was asked to continue. */
  explicit AttemptStream(GeneratedText aResumed = {});

  /** Parses the next bytes of the response. */
  [[nodiscard]] std::vector<StreamUpdate> Feed(std::string_view aBytes);

  /** @return the complete text so far. */
  [[nodiscard]] const GeneratedText& Generated() const noexcept
  {
    return m_generated;
  }
  /** @return the engine's finish reason; empty before the end. */
  [[nodiscard]] const std::string& FinishReason() const noexcept
  {
    return m_finishReason;
  }
  /** @return true once the end marker was received after a finish reason. */
  [[nodiscard]] bool IsFinished() const noexcept { return m_finished; }

private:
  StreamUpdate HandleEvent(std::string_view aData);

  backend::EventStreamParser m_parser;
  GeneratedText m_generated;
  std::string m_finishReason;
  bool m_finished = false;
};

} // namespace auburntrestle::daemon

#endif
