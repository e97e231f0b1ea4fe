#include "auburntrestle/fleet/item_transcript.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

constexpr auto kVersionField = "version";

struct StreamCase
{
  std::string m_name;
  std::vector<std::string> m_pieces;
  /** Absent if the stream must be rejected. */
  std::optional<std::string> m_output;
  bool m_insideEvent = false;
};

class TranscriptTest : public testing::TestWithParam<StreamCase>
{};

TEST_P(TranscriptTest, AcceptsCompleteEventsInOrder)
{
  ItemTranscript transcript(kVersionField);
  transcript.BeginRun(WeightVersion(1), SoftwareVersion("v1"));
  bool fits = true;
  for (const auto& piece : GetParam().m_pieces) {
    fits = fits && transcript.Feed(piece).has_value();
  }
  ASSERT_EQ(fits, GetParam().m_output.has_value());
  if (fits) {
    EXPECT_EQ(transcript.Output(), *GetParam().m_output);
    EXPECT_EQ(transcript.IsInsideEvent(), GetParam().m_insideEvent);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Streams,
  TranscriptTest,
  testing::Values(
    StreamCase{ "two", { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" }, "a\nb" },
    StreamCase{ "from_zero",
                { "id: 0\ndata: a\n\nid: 1\ndata: b\n\n" },
                "a\nb" },
    StreamCase{ "split", { "id: 1\nda", "ta: a\r\n", "\n" }, "a" },
    StreamCase{ "broken_off", { "id: 1\ndata: a\n\nid: 2\nda" }, "a", true },
    StreamCase{ "gap", { "id: 1\ndata: a\n\nid: 3\ndata: c\n\n" }, {} },
    StreamCase{ "repeated", { "id: 1\ndata: a\n\nid: 1\ndata: a\n\n" }, {} },
    StreamCase{ "no_id", { "data: a\n\n" }, {} },
    StreamCase{ "not_events", { "HTTP/1.1 200 OK\n\n" }, {} },
    StreamCase{ "starts_late", { "id: 4\ndata: d\n\n" }, {} }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST(TranscriptVersionsTest, ListsTheVersionsThatGeneratedEvents)
{
  ItemTranscript transcript(kVersionField);
  transcript.BeginRun(WeightVersion(3), SoftwareVersion("v1"));
  ASSERT_TRUE(transcript.Feed("id: 1\ndata: a\n\n"));
  ASSERT_TRUE(transcript.Feed("version: 4\nid: 2\ndata: b\n\n"));
  transcript.BeginRun(WeightVersion(6), SoftwareVersion("v1"));
  EXPECT_EQ(transcript.Versions(),
            (std::vector{ WeightVersion(3), WeightVersion(4) }));
  ASSERT_TRUE(transcript.Feed("id: 3\ndata: c\n\n"));
  EXPECT_EQ(transcript.Versions().back(), WeightVersion(6));
  EXPECT_EQ(transcript.Output(), "a\nb\nc");
}

TEST(TranscriptRestoreTest, ContinuesAfterTheRestoredOutput)
{
  ItemTranscript transcript(kVersionField);
  transcript.Restore({ 7, "x\ny", { WeightVersion(2) } });
  transcript.BeginRun(WeightVersion(3), SoftwareVersion("v1"));
  ASSERT_TRUE(transcript.Feed("id: 8\ndata: z\n\n"));
  EXPECT_EQ(transcript.Output(), "x\ny\nz");
  EXPECT_EQ(transcript.Versions().size(), 2U);
  transcript.Clear();
  EXPECT_FALSE(transcript.ToPartialOutput());
}

struct LimitCase
{
  std::string m_name;
  std::string m_start;
  std::string m_repeated;
};

class TranscriptLimitTest : public testing::TestWithParam<LimitCase>
{};

// Guards against an engine in trouble that sends without end.
TEST_P(TranscriptLimitTest, EndsTheRun)
{
  constexpr std::size_t kPieces = 10'000;
  ItemTranscript transcript(kVersionField, { 1000, 4000 });
  transcript.BeginRun(WeightVersion(1), SoftwareVersion("v1"));
  auto result = transcript.Feed(GetParam().m_start);
  for (std::size_t piece = 0; piece < kPieces && result; ++piece) {
    result = transcript.Feed(GetParam().m_repeated);
  }
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error(), TranscriptFault::TooLarge);
}

INSTANTIATE_TEST_SUITE_P(
  Streams,
  TranscriptLimitTest,
  testing::Values(LimitCase{ "line", "id: 1\ndata: ", "bytes" },
                  LimitCase{ "data_lines", "id: 1\n", "data: bytes\n" },
                  LimitCase{ "comment", "", ": bytes" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST(TranscriptOutputLimitTest, EndsTheRun)
{
  constexpr int kMaxEvents = 10'000;
  ItemTranscript transcript(kVersionField, { 1000, 4000 });
  transcript.BeginRun(WeightVersion(1), SoftwareVersion("v1"));
  int event = 0;
  tl::expected<std::size_t, TranscriptFault> result = 0;
  while (result && event < kMaxEvents) {
    ++event;
    result =
      transcript.Feed("id: " + std::to_string(event) + "\ndata: bytes\n\n");
  }
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error(), TranscriptFault::TooLarge);
}

} // namespace
} // namespace auburntrestle::fleet
