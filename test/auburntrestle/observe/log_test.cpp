#include "auburntrestle/observe/instruments.hpp"
#include "auburntrestle/observe/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace auburntrestle::observe {
namespace {

/** Redirects standard output to a pipe that is read only by ReadAll. */
class LogTest : public testing::Test
{
protected:
  LogTest()
    : m_saved(::dup(STDOUT_FILENO))
  {
    std::array<int, 2> ends{};
    EXPECT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0);
    m_reader = ends[0];
    ::fcntl(m_reader, F_SETFL, O_NONBLOCK);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
  }

  ~LogTest() override
  {
    ::dup2(m_saved, STDOUT_FILENO);
    ::close(m_saved);
    ::close(m_reader);
    ConfigureLogging(LogLevel::Info);
  }

  [[nodiscard]] std::string ReadAll() const
  {
    std::string text;
    std::array<char, 65536> buffer{};
    ssize_t bytesRead = 0;
    while ((bytesRead = ::read(m_reader, buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(bytesRead));
    }
    return text;
  }

  int m_saved;
  int m_reader = -1;
};

TEST_F(LogTest, WritesCompleteLinesToStandardOutput)
{
  ConfigureLogging(LogLevel::Info, LogTarget::StandardOutput);
  LogLine(LogLevel::Info, "request_answered").Add("request", "a b");
  LogLine(LogLevel::Debug, "hidden").Add("number", 1);
  const auto text = ReadAll();
  EXPECT_NE(text.find("event=request_answered request=\"a b\"\n"),
            std::string::npos);
  EXPECT_EQ(text.find("hidden"), std::string::npos);
}

// Guards against a slow log reader that blocks request handling: the pipe fills
// up and a write would block.
TEST_F(LogTest, FullPipeDoesNotBlockAndDropsAreCounted)
{
  ConfigureLogging(
    LogLevel::Info, LogTarget::StandardOutput, { 1'000'000, 1'000'000 });
  const auto before = GetLogCounts();
  const std::string filler(1000, 'x');
  constexpr int kLines = 500;
  for (int line = 0; line < kLines; ++line) {
    LogLine(LogLevel::Info, "filler").Add("text", filler);
  }
  const auto after = GetLogCounts();
  EXPECT_GT(after.m_dropped, before.m_dropped);
  EXPECT_EQ(after.m_written + after.m_dropped - before.m_written -
              before.m_dropped,
            kLines);
  std::ignore = ReadAll();
  LogLine(LogLevel::Info, "later").Add("number", 1);
  const auto text = ReadAll();
  EXPECT_NE(text.find("event=log_lines_dropped count="), std::string::npos);
  EXPECT_NE(text.find("event=later"), std::string::npos);
}

TEST_F(LogTest, RateLimitBoundsABurst)
{
  ConfigureLogging(LogLevel::Info, LogTarget::StandardOutput, { 0, 10 });
  const auto before = GetLogCounts();
  for (int line = 0; line < 50; ++line) {
    LogLine(LogLevel::Info, "burst").Add("number", line);
  }
  EXPECT_EQ(GetLogCounts().m_written - before.m_written, 10U);
  EXPECT_EQ(GetLogCounts().m_dropped - before.m_dropped, 40U);
}

TEST(LogLevelTest, IsParsedByName)
{
  EXPECT_EQ(ParseLogLevel("warning"), LogLevel::Warning);
  EXPECT_FALSE(ParseLogLevel("loud"));
}

TEST(InstrumentsTest, RecordsValuesAndLimitsTheLabels)
{
  Instruments instruments;
  instruments.Count(counters::kResponses, "200");
  instruments.Count(counters::kResponses, "200");
  instruments.ObserveDuration(
    histograms::kResponseTime, "route", std::chrono::milliseconds(20));
  instruments.SetGauge(gauges::kBackends, 7);
  for (int label = 0; label < 200; ++label) {
    instruments.Count(counters::kBackendFailures, std::to_string(label));
  }
  const auto text = instruments.Serialize();
  EXPECT_NE(text.find("trestle_responses_total{kind=\"200\"} 2"),
            std::string::npos);
  EXPECT_NE(text.find("trestle_response_seconds_count{kind=\"route\"} 1"),
            std::string::npos);
  EXPECT_NE(text.find("trestle_backends 7"), std::string::npos);
  EXPECT_NE(text.find("trestle_backend_failures_total{kind=\"other\"} 136"),
            std::string::npos);
}

} // namespace
} // namespace auburntrestle::observe
