#include "auburntrestle/observe/log.hpp"

#include "auburntrestle/core/time.hpp"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <climits>
#include <cstdio>
#include <mutex>
#include <tuple>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace auburntrestle::observe {

namespace internal {

std::atomic<LogLevel> gMinimumLevel{ LogLevel::Info };

constexpr std::array<std::string_view, 4> kLevelNames{ "debug",
                                                       "info",
                                                       "warning",
                                                       "error" };

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
           return aByte <= ' ' || aByte == '"' || aByte == '=' ||
                  aByte == '\\' || aByte == 0x7f;
         });
}

void AppendEscaped(std::string& aOutput, unsigned char aByte)
{
  if (aByte == '"' || aByte == '\\') {
    aOutput += '\\';
    aOutput += static_cast<char>(aByte);
  } else if (aByte == '\n') {
    aOutput += "\\n";
  } else if (aByte < ' ' || aByte == 0x7f) {
    std::array<char, 5> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "\\x%02x", aByte);
    aOutput += buffer.data();
  } else {
    aOutput += static_cast<char>(aByte);
  }
}

/** Longer lines are truncated: a write of up to PIPE_BUF bytes to a pipe that
 * polls as writable is atomic and does not block. */
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

/** Writes complete lines without blocking; drops lines instead. */
class LineWriter
{
public:
  void Configure(int aDescriptor, LogRateLimit aRateLimit)
  {
    const std::lock_guard lock(m_mutex);
    m_descriptor = aDescriptor;
    m_rateLimit = aRateLimit;
    m_tokens = aRateLimit.m_burst;
    m_refilledAt = MonotonicClock::Now();
  }

  void Write(std::string aLine)
  {
    const std::lock_guard lock(m_mutex);
    if (!ConsumeToken() || !IsWritable()) {
      ++m_unreportedDrops;
      m_dropped.fetch_add(1);
      return;
    }
    if (m_unreportedDrops > 0) {
      WriteToDescriptor("level=warning event=log_lines_dropped count=" +
                        std::to_string(std::exchange(m_unreportedDrops, 0)) +
                        "\n");
      if (!IsWritable()) {
        ++m_unreportedDrops;
        m_dropped.fetch_add(1);
        return;
      }
    }
    if (aLine.size() > kMaxLineBytes) {
      aLine.resize(kMaxLineBytes - 1);
      aLine += '\n';
    }
    WriteToDescriptor(aLine);
    m_written.fetch_add(1);
  }

  [[nodiscard]] LogCounts GetCounts() const noexcept
  {
    return { m_written.load(), m_dropped.load() };
  }

private:
  /** @return false if the rate limit is exceeded. */
  bool ConsumeToken()
  {
    const TimePoint now = MonotonicClock::Now();
    const double seconds =
      std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_rateLimit.m_burst,
                        m_tokens + seconds * m_rateLimit.m_linesPerSecond);
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  [[nodiscard]] bool IsWritable() const
  {
    pollfd target{ m_descriptor, POLLOUT, 0 };
    return ::poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
  }

  void WriteToDescriptor(const std::string& aText) const
  {
    // Write errors are ignored: a closed pipe must not stop the process.
    std::ignore = ::write(m_descriptor, aText.data(), aText.size());
  }

  std::mutex m_mutex;
  int m_descriptor = STDERR_FILENO;
  LogRateLimit m_rateLimit;
  double m_tokens = LogRateLimit().m_burst;
  TimePoint m_refilledAt;
  std::uint64_t m_unreportedDrops = 0;
  std::atomic<std::uint64_t> m_written = 0;
  std::atomic<std::uint64_t> m_dropped = 0;
};

LineWriter& Writer()
{
  static LineWriter writer;
  return writer;
}

/** Passes log lines from easylogging++ to the writer. */
class LineDispatch : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    auto* message = aData->logMessage();
    Writer().Write(message->logger()->logBuilder()->build(message, true));
  }
};

} // namespace internal

void ConfigureLogging(LogLevel aMinimum,
                      LogTarget aTarget,
                      LogRateLimit aRateLimit)
{
  internal::Writer().Configure(
    aTarget == LogTarget::StandardOutput ? STDOUT_FILENO : STDERR_FILENO,
    aRateLimit);
  internal::gMinimumLevel = aMinimum;
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(settings);
  el::Helpers::uninstallLogDispatchCallback<
    el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<internal::LineDispatch>(
    "LineDispatch");
}

LogCounts GetLogCounts() noexcept
{
  return internal::Writer().GetCounts();
}

std::optional<LogLevel> ParseLogLevel(std::string_view aName)
{
  const auto found = std::find(
    internal::kLevelNames.begin(), internal::kLevelNames.end(), aName);
  return found == internal::kLevelNames.end()
           ? std::nullopt
           : std::optional(
               static_cast<LogLevel>(found - internal::kLevelNames.begin()));
}

std::string QuoteValue(std::string_view aValue)
{
  if (!internal::NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char byte : aValue) {
    internal::AppendEscaped(quoted, static_cast<unsigned char>(byte));
  }
  quoted += '"';
  return quoted;
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent)
  : m_level(aLevel)
{
  AddText("level", internal::kLevelNames[static_cast<std::size_t>(aLevel)]);
  AddText("event", aEvent);
}

LogLine::~LogLine()
{
  if (m_level < internal::gMinimumLevel.load()) {
    return;
  }
  LOG(INFO) << m_line;
}

LogLine& LogLine::AddText(std::string_view aKey, std::string_view aValue)
{
  if (!m_line.empty()) {
    m_line += ' ';
  }
  m_line.append(aKey).append("=").append(QuoteValue(aValue));
  return *this;
}

} // namespace auburntrestle::observe
