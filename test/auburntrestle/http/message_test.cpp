#include "auburntrestle/http/message.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace auburntrestle::http {
namespace {

TEST(HeadersTest, FieldNamesIgnoreCase)
{
  Headers headers;
  headers.Add("Content-Type", "a");
  headers.Add("content-type", "b");
  EXPECT_EQ(headers.Find("CONTENT-TYPE"), "a");
  EXPECT_EQ(headers.Count("Content-Type"), 2U);
  headers.Set("content-TYPE", "c");
  EXPECT_EQ(headers.size(), 1U);
}

// Guards against forwarding of hop-by-hop fields.
TEST(HeadersTest, OnlyEndToEndFieldsAreForwarded)
{
  Headers headers;
  headers.Add("Connection", "close, X-Private");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Private", "1");
  headers.Add("X-Public", "2");
  const auto kept = EndToEndHeaders(headers);
  EXPECT_EQ(kept.size(), 1U);
  EXPECT_EQ(kept.Find("X-Public"), "2");
}

struct QueryCase
{
  std::string m_target;
  std::optional<std::string> m_value;
};

class QueryTest : public testing::TestWithParam<QueryCase>
{};

TEST_P(QueryTest, IsDecoded)
{
  Request request;
  request.m_target = GetParam().m_target;
  EXPECT_EQ(request.Query("id"), GetParam().m_value);
  EXPECT_EQ(request.Path(), "/p");
}

INSTANTIATE_TEST_SUITE_P(Targets,
                         QueryTest,
                         testing::Values(QueryCase{ "/p", {} },
                                         QueryCase{ "/p?x=1", {} },
                                         QueryCase{ "/p?id=", "" },
                                         QueryCase{ "/p?x=1&id=a%2Fb", "a/b" },
                                         QueryCase{ "/p?id=%2", "%2" }));

} // namespace
} // namespace auburntrestle::http
