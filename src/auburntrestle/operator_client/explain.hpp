#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_EXPLAIN_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_EXPLAIN_HPP

#include <tl/expected.hpp>

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::operator_client {

/** One parsed log line. */
struct LogRecord
{
  /** The instance's name: that of its log file without the extension. */
  std::string m_instance;
  /** Time as logged, by the clock of the instance. */
  std::string m_time;
  std::string m_event;
  std::map<std::string, std::string> m_fields;

  /** @return the value of a key, or an empty text if it is absent. */
  [[nodiscard]] std::string_view Field(const std::string& aKey) const;
};

/** Log records that concern an id, and the cause of the outcome. */
struct Explanation
{
  /** Sorted by time. */
  std::vector<LogRecord> m_records;
  /** Cause of the outcome, in one sentence. */
  std::string m_cause;
};

/** Reason for which there is no explanation. */
struct ExplainError
{
  std::string m_message;
};

/** @return the record of a key=value line, or none for other lines. */
[[nodiscard]] std::optional<LogRecord> ParseLogLine(
  std::string_view aLine,
  const std::string& aInstance);

/**
 * Collects the lines about an id from all files of a folder. For a job they
 * include the failures of its items.
 * @return the explanation, or an error if the folder is unreadable or no line
 * contains the id.
 */
[[nodiscard]] tl::expected<Explanation, ExplainError> Explain(
  const std::string& aId,
  const std::filesystem::path& aFolder);

/** @return an explanation as text for operators. */
[[nodiscard]] std::string RenderExplanation(const Explanation& aExplanation);
/** @return an explanation as JSON. */
[[nodiscard]] std::string ExplanationAsJson(const Explanation& aExplanation);

} // namespace auburntrestle::operator_client

#endif
