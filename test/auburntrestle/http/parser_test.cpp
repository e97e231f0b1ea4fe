#include "auburntrestle/http/internal/parser.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>

namespace auburntrestle::http::internal {
namespace {

/** Pieces of this size hold a whole response of these tests. */
constexpr std::size_t kWhole = 1000;

/** Feeds bytes in pieces of a size until a response ends or is malformed. */
void FeedInPieces(Parser& aParser, std::string_view aBytes, std::size_t aSize)
{
  while (!aBytes.empty() && aParser.GetProgress() != Progress::Complete &&
         aParser.GetProgress() != Progress::Malformed) {
    const auto piece = aBytes.substr(0, aSize);
    std::ignore = aParser.Feed(piece);
    aBytes.remove_prefix(piece.size());
  }
}

struct HeadCase
{
  std::string m_name;
  /** The lines of the head after the status line. */
  std::string m_lines;
  bool m_isResponse = false;
};

class HeadTest : public testing::TestWithParam<HeadCase>
{};

// Guards against a response from a server in trouble that is passed on with a
// line that is no header field, or whose body is read with another framing than
// its server meant: the library accepts blanks in the names of fields.
TEST_P(HeadTest, ConsistsOfNamedFields)
{
  for (const std::size_t pieceBytes : { kWhole, std::size_t{ 1 } }) {
    Parser parser(MessageKind::Response);
    FeedInPieces(parser,
                 "HTTP/1.1 200 OK\r\n" + GetParam().m_lines +
                   "Content-Length: 4\r\n\r\nbody",
                 pieceBytes);
    EXPECT_EQ(parser.GetProgress(),
              GetParam().m_isResponse ? Progress::Complete
                                      : Progress::Malformed);
    if (GetParam().m_isResponse) {
      EXPECT_EQ(parser.ExtractBody(), "body");
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  HeadTest,
  testing::Values(
    HeadCase{ "token", "X-Name_1.a!#$%&'*+^`|~: value\r\n", true },
    HeadCase{ "empty_value", "Name:\r\n", true },
    HeadCase{ "blanks_in_value", "Name: \t a b:c \r\n", true },
    HeadCase{ "line_feeds_only", "Name: value\nOther: value\n", true },
    HeadCase{ "blank_in_name", "Bad Name: value\r\n" },
    HeadCase{ "tab_in_name", "Bad\tName: value\r\n" },
    HeadCase{ "blank_before_colon", "Name : value\r\n" },
    HeadCase{ "tab_before_colon", "Name\t: value\r\n" },
    HeadCase{ "blank_before_first_name", " Name: value\r\n" },
    HeadCase{ "blank_before_later_name", "Name: value\r\n Other: value\r\n" },
    HeadCase{ "tab_before_later_name", "Name: value\r\n\tOther: value\r\n" },
    HeadCase{ "blank_after_empty_value", "Name:\r\n Other: value\r\n" },
    HeadCase{ "length_with_blank", "Content-Length : 2\r\n" },
    HeadCase{ "chunks_with_blank", "Transfer-Encoding : chunked\r\n" },
    HeadCase{ "only_blanks", "  : value\r\n" },
    HeadCase{ "no_name", ": value\r\n" },
    HeadCase{ "no_colon", "Name\r\n" },
    HeadCase{ "control_byte", "Bad\x01Name: value\r\n" },
    HeadCase{ "delete_byte", "Bad\x7FName: value\r\n" },
    HeadCase{ "escape_first", "\x1BName: value\r\n" },
    HeadCase{ "null_byte", std::string("Bad\0Name: value\r\n", 17) },
    HeadCase{ "carriage_return", "Bad\rName: value\r\n" },
    HeadCase{ "high_byte", "N\xE9me: value\r\n" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

struct InterimCase
{
  std::string m_name;
  /** A line of the head of the interim response. */
  std::string m_interimLine;
  /** A line of the head of the final response. */
  std::string m_finalLine;
  Progress m_progress = Progress::Malformed;
};

class InterimHeadTest : public testing::TestWithParam<InterimCase>
{};

// Guards against a head that is not checked because another one precedes or
// follows it in the same bytes.
TEST_P(InterimHeadTest, IsCheckedLikeAFinalOne)
{
  std::string bytes = "HTTP/1.1 103 Early Hints\r\n";
  bytes += GetParam().m_interimLine;
  bytes += "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
  bytes += GetParam().m_finalLine;
  // The body looks like a line with an odd name.
  bytes += "\r\n\r\na\n :";
  for (const std::size_t pieceBytes : { kWhole, std::size_t{ 1 } }) {
    Parser parser(MessageKind::Response);
    FeedInPieces(parser, bytes, pieceBytes);
    EXPECT_EQ(parser.GetProgress(), GetParam().m_progress);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  InterimHeadTest,
  testing::Values(
    InterimCase{ "proper", "Name: value", "Name: value", Progress::Complete },
    InterimCase{ "interim_odd", "Bad Name: value", "Name: value" },
    InterimCase{ "final_odd", "Name: value", "Bad Name: value" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::http::internal
