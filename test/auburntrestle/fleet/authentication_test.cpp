#include "auburntrestle/fleet/authentication.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::fleet {
namespace {

ClientAccount MakeAccount(const std::string& aName,
                          const std::vector<std::string>& aKeys,
                          std::optional<std::uint32_t> aPriority = std::nullopt)
{
  ClientAccount account;
  account.m_name = AccountName(aName);
  for (const auto& key : aKeys) {
    account.m_keys.push_back(DigestOf(key));
  }
  account.m_priority = aPriority;
  return account;
}

Route MakeRoute(const std::string& aHost, RouteKind aKind, bool aIsPublic)
{
  Route route;
  route.m_name = aHost;
  route.m_host = aHost;
  route.m_pathPrefix = aKind == RouteKind::BatchJob ? "/jobs/" : "/plain/";
  route.m_kind = aKind;
  route.m_priority = 5;
  route.m_timeout = std::chrono::seconds(1);
  route.m_targets = { { ServiceName("service"), 1 } };
  route.m_public = aIsPublic;
  return route;
}

RouteConfiguration MakeConfiguration()
{
  RouteConfiguration configuration;
  configuration.m_services.push_back(
    Service{ ServiceName("service"), 10, std::nullopt, std::nullopt });
  configuration.m_routes = { MakeRoute("private", RouteKind::Idempotent, false),
                             MakeRoute("private", RouteKind::BatchJob, false),
                             MakeRoute("public", RouteKind::Idempotent, true),
                             MakeRoute("public", RouteKind::BatchJob, true) };
  configuration.m_accounts = { MakeAccount("a", { "key-a1", "key-a2" }, 1),
                               MakeAccount("b", { "key-b" }),
                               MakeAccount("none", {}) };
  return configuration;
}

/** What is decided on a key; "-" stands for no accounts in the configuration,
 * otherwise the account or the error. */
struct AccessCase
{
  std::string m_name;
  std::string m_host;
  std::string m_key;
  bool m_isCurrent = true;
  bool m_hasAccounts = true;
  std::string m_expected;
};

std::string NameOf(const testing::TestParamInfo<AccessCase>& aInfo)
{
  return aInfo.param.m_name;
}

std::string Describe(const tl::expected<RequestAccount, AccessError>& aAccess)
{
  if (!aAccess) {
    return std::string(ToString(aAccess.error()));
  }
  return *aAccess ? (*aAccess)->Get() : "-";
}

class AuthenticationTest : public testing::TestWithParam<AccessCase>
{};

// Guards against a request that runs with a key that no account holds, under
// the name of another account, or that is refused although its key may be in a
// newer configuration.
TEST_P(AuthenticationTest, DecidesByKeyAndRoute)
{
  auto configuration = MakeConfiguration();
  if (!GetParam().m_hasAccounts) {
    configuration.m_accounts.clear();
  }
  const auto table = RouteTable::Create(std::move(configuration));
  ASSERT_TRUE(table);
  const Route* route = table->Match(GetParam().m_host, "/plain/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(Describe(Authenticate(
              *table, *route, GetParam().m_key, GetParam().m_isCurrent)),
            GetParam().m_expected);
  EXPECT_EQ(
    Describe(AuthenticateJobCall(
      *table, GetParam().m_host, GetParam().m_key, GetParam().m_isCurrent)),
    GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Keys,
  AuthenticationTest,
  testing::Values(
    AccessCase{ "first_key", "private", "key-a1", true, true, "a" },
    AccessCase{ "second_key", "private", "key-a2", true, true, "a" },
    AccessCase{ "other_account", "private", "key-b", true, true, "b" },
    AccessCase{ "outdated_routes", "private", "key-b", false, true, "b" },
    AccessCase{ "unknown", "private", "key", true, true, "unauthenticated" },
    AccessCase{ "none", "private", "", true, true, "unauthenticated" },
    AccessCase{ "other_case",
                "private",
                "KEY-B",
                true,
                true,
                "unauthenticated" },
    AccessCase{ "odd_bytes",
                "private",
                std::string("key-b\0\xff", 7),
                true,
                true,
                "unauthenticated" },
    AccessCase{ "very_long",
                "private",
                std::string(8192, 'k'),
                true,
                true,
                "unauthenticated" },
    AccessCase{ "unknown_by_outdated_routes",
                "private",
                "key",
                false,
                true,
                "unconfirmed" },
    AccessCase{ "public_without_key", "public", "", true, true, "" },
    AccessCase{ "public_with_key", "public", "key-a1", true, true, "a" },
    AccessCase{ "public_unknown", "public", "key", false, true, "" },
    AccessCase{ "no_accounts", "private", "key", true, false, "-" },
    AccessCase{ "no_accounts_no_key", "private", "", false, false, "-" }),
  NameOf);

// Guards against an empty key in a configuration that lets in requests without
// a key.
TEST(AccountTableTest, NobodyHoldsTheEmptyKey)
{
  const auto table = AccountTable::Create({ MakeAccount("a", { "" }) });
  ASSERT_TRUE(table);
  EXPECT_FALSE(table->IsEmpty());
  EXPECT_EQ(table->FindByKey(""), std::nullopt);
}

TEST(AccountTableTest, NamesTheAccountsThatShareAKey)
{
  const auto table = AccountTable::Create({ MakeAccount("a", { "1", "2" }),
                                            MakeAccount("b", { "3" }),
                                            MakeAccount("c", { "4", "2" }) });
  ASSERT_FALSE(table);
  EXPECT_EQ(table.error().m_first, AccountName("a"));
  EXPECT_EQ(table.error().m_second, AccountName("c"));
}

TEST(AccountTableTest, AnAccountMayListAKeyTwice)
{
  const auto table = AccountTable::Create({ MakeAccount("a", { "1", "1" }) });
  ASSERT_TRUE(table);
  EXPECT_EQ(table->FindByKey("1"), AccountName("a"));
}

TEST(EffectivePriorityTest, TheAccountPrecedesTheRoute)
{
  const auto table = RouteTable::Create(MakeConfiguration());
  ASSERT_TRUE(table);
  const Route& route = table->Configuration().m_routes[0];
  EXPECT_EQ(table->EffectivePriority(route, AccountName("a")), 1U);
  EXPECT_EQ(table->EffectivePriority(route, AccountName("b")), 5U);
  EXPECT_EQ(table->EffectivePriority(route, AccountName("gone")), 5U);
  EXPECT_EQ(table->EffectivePriority(route, AccountName()), 5U);
}

} // namespace
} // namespace auburntrestle::fleet
