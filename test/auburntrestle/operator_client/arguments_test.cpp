#include "auburntrestle/operator_client/arguments.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::operator_client {
namespace {

struct ValidRow
{
  std::vector<std::string> m_arguments;
  std::size_t m_alternative;
};

class ValidArguments : public testing::TestWithParam<ValidRow>
{};

// Guards against arguments that are parsed as another command.
TEST_P(ValidArguments, AreParsedAsTheCommand)
{
  const auto invocation = ParseArguments(GetParam().m_arguments, Flags{});
  ASSERT_TRUE(invocation) << invocation.error().m_message;
  EXPECT_EQ(invocation->m_command.index(), GetParam().m_alternative);
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  ValidArguments,
  testing::Values(ValidRow{ { "validate", "folder" }, 0 },
                  ValidRow{ { "validate", "base.toml", "a.toml" }, 0 },
                  ValidRow{ { "apply", "base.toml" }, 1 },
                  ValidRow{ { "config", "show" }, 2 },
                  ValidRow{ { "config", "show", "lisboa" }, 2 },
                  ValidRow{ { "config", "history" }, 3 },
                  ValidRow{ { "status" }, 4 },
                  ValidRow{ { "backends" }, 5 },
                  ValidRow{ { "report" }, 6 },
                  ValidRow{ { "drain" }, 7 },
                  ValidRow{ { "members" }, 8 },
                  ValidRow{ { "members", "add", "i", "10.0.0.1:9" }, 9 },
                  ValidRow{ { "members", "promote", "i" }, 9 },
                  ValidRow{ { "members", "remove", "i" }, 9 }));

struct InvalidRow
{
  std::vector<std::string> m_arguments;
  Flags m_flags;
  const char* m_message;
};

Flags WithTarget(const char* aTarget)
{
  Flags flags;
  flags.m_target = aTarget;
  return flags;
}

Flags WithWait()
{
  Flags flags;
  flags.m_wait = true;
  return flags;
}

Flags WithSites(const char* aSites)
{
  Flags flags;
  flags.m_sites = aSites;
  return flags;
}

Flags WithTimeouts(std::int64_t aWait, std::int64_t aRequest)
{
  Flags flags;
  flags.m_timeoutMs = aWait;
  flags.m_requestTimeoutMs = aRequest;
  return flags;
}

class InvalidArguments : public testing::TestWithParam<InvalidRow>
{};

// Guards against a mistyped command line that runs an unintended command.
TEST_P(InvalidArguments, AreRejected)
{
  const auto& row = GetParam();
  const auto invocation = ParseArguments(row.m_arguments, row.m_flags);
  ASSERT_FALSE(invocation);
  EXPECT_NE(invocation.error().m_message.find(row.m_message), std::string::npos)
    << invocation.error().m_message;
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  InvalidArguments,
  testing::Values(
    InvalidRow{ {}, {}, "command is missing" },
    InvalidRow{ { "stat" }, {}, "unknown command" },
    InvalidRow{ { "status", "x" }, {}, "unexpected operand" },
    InvalidRow{ { "validate" }, {}, "missing" },
    InvalidRow{ { "apply" }, {}, "exactly one file" },
    InvalidRow{ { "apply", "a", "b" }, {}, "exactly one file" },
    InvalidRow{ { "config" }, {}, "config show" },
    InvalidRow{ { "config", "show", "a", "b" }, {}, "config show" },
    InvalidRow{ { "config", "history", "a" }, {}, "config show" },
    InvalidRow{ { "members", "join", "i" }, {}, "members add" },
    InvalidRow{ { "members", "add", "i" }, {}, "members add" },
    InvalidRow{ { "members", "add", "i", "host" }, {}, "allowed ip:port" },
    InvalidRow{ { "members", "add", "i", "10.0.0.1:0" }, {}, "allowed ip" },
    InvalidRow{ { "members", "remove", "i", "10.0.0.1:9" }, {}, "members" },
    InvalidRow{ { "members", "remove", "" }, {}, "members" },
    InvalidRow{ { "status" }, WithTarget(""), "--target" },
    InvalidRow{ { "status" }, WithTarget("127.0.0.1:80"), "--target" },
    InvalidRow{ { "status" }, WithTarget("http://127.0.0.1"), "--target" },
    InvalidRow{ { "status" }, WithTarget("http://127.0.0.1:0"), "--target" },
    InvalidRow{ { "status" }, WithTarget("http://1.1.1.1:1,"), "--target" },
    InvalidRow{ { "status" }, WithWait(), "--wait belongs" },
    InvalidRow{ { "status" }, WithSites("a"), "--sites belongs" },
    InvalidRow{ { "validate", "f" }, WithSites("a,"), "empty name" },
    InvalidRow{ { "status" }, WithTimeouts(0, 1), "--timeout_ms" },
    InvalidRow{ { "status" }, WithTimeouts(1, -1), "--request_timeout_ms" },
    // A second target could drain an instance by mistake.
    InvalidRow{ { "drain" },
                WithTarget("http://127.0.0.1:1,http://127.0.0.1:2"),
                "exactly one --target" }));

TEST(Arguments, TargetsKeepTheirOrder)
{
  const auto invocation = ParseArguments(
    { "status" }, WithTarget("http://10.0.0.2:80/,http://[::1]:81"));
  ASSERT_TRUE(invocation);
  EXPECT_EQ(
    invocation->m_targets,
    (std::vector<std::string>{ "http://10.0.0.2:80", "http://[::1]:81" }));
}

} // namespace
} // namespace auburntrestle::operator_client
