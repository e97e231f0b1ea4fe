#ifndef AUBURNTRESTLE_OBSERVE_LOG_HPP
#define AUBURNTRESTLE_OBSERVE_LOG_HPP

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace auburntrestle::observe {

/** Severity of a log line. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @return the level of a name such as "info", or none if it is unknown. */
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view aName);

/** Stream that receives the log lines. */
enum class LogTarget : std::uint8_t
{
  /** For daemons. */
  StandardOutput,
  /** For tools, which write their results to standard output. */
  StandardError,
};

/** Rate limit (token bucket) of the log lines of a process. */
struct LogRateLimit
{
  /** Sustained rate in lines per second. */
  double m_linesPerSecond = 400;
  /** Lines that may be written at once after an idle period. */
  double m_burst = 2000;
};

/**
 * Configures logging. A line is dropped and counted when the rate limit is
 * exceeded or when writing it would block.
 *
 * @param aMinimum lines below this level are not written.
 */
void ConfigureLogging(LogLevel aMinimum,
                      LogTarget aTarget = LogTarget::StandardError,
                      LogRateLimit aRateLimit = {});

/** Number of log lines since the process started. */
struct LogCounts
{
  std::uint64_t m_written = 0;
  std::uint64_t m_dropped = 0;
};

/** @return the numbers of lines written and dropped so far. */
[[nodiscard]] LogCounts GetLogCounts() noexcept;

/**
 * Quotes a value for a key=value line. A value that is empty or contains a
 * space, quote, backslash, equals sign or control character is put in double
 * quotes and escaped, which prevents log injection through callers' texts.
 */
[[nodiscard]] std::string QuoteValue(std::string_view aValue);

/**
 * One event as a line of key=value pairs, written on destruction.
 *
 *   LogLine(LogLevel::Info, "backend_announced").Add("backend", id);
 */
class LogLine
{
public:
  /** @param aEvent the event name, in snake_case. */
  LogLine(LogLevel aLevel, std::string_view aEvent);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /** Appends a key=value pair; the value is quoted if necessary. */
  template<typename Value>
  LogLine& Add(std::string_view aKey, const Value& aValue)
  {
    std::ostringstream text;
    text << aValue;
    return AddText(aKey, text.str());
  }

private:
  LogLine& AddText(std::string_view aKey, std::string_view aValue);

  LogLevel m_level;
  std::string m_line;
};

} // namespace auburntrestle::observe

#endif
