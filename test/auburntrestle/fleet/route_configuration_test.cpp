#include "auburntrestle/fleet/route_configuration.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

Route MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.m_name = aName;
  route.m_host = "host";
  route.m_pathPrefix = aPrefix;
  route.m_timeout = std::chrono::seconds(1);
  route.m_targets = { { ServiceName("service"), 1 } };
  return route;
}

RouteConfiguration MakeConfiguration()
{
  RouteConfiguration configuration;
  configuration.m_version = ConfigurationVersion(3);
  configuration.m_services.push_back(
    Service{ ServiceName("service"), 10, std::nullopt, std::nullopt });
  configuration.m_routes = { MakeRoute("short", "/a/"),
                             MakeRoute("long", "/a/b/") };
  return configuration;
}

struct MatchCase
{
  std::string m_host;
  std::string m_path;
  /** Empty when no route matches. */
  std::string m_route;
};

class RouteMatchTest : public testing::TestWithParam<MatchCase>
{};

TEST_P(RouteMatchTest, UsesTheLongestPrefix)
{
  const auto table = RouteTable::Create(MakeConfiguration());
  ASSERT_TRUE(table);
  const Route* route = table->Match(GetParam().m_host, GetParam().m_path);
  EXPECT_EQ(route == nullptr ? "" : route->m_name, GetParam().m_route);
}

INSTANTIATE_TEST_SUITE_P(Paths,
                         RouteMatchTest,
                         testing::Values(MatchCase{ "host", "/a/x", "short" },
                                         MatchCase{ "host", "/a/b/x", "long" },
                                         MatchCase{ "host", "/a/b", "short" },
                                         MatchCase{ "host", "/a", "" },
                                         MatchCase{ "host", "/b/", "" },
                                         MatchCase{ "other", "/a/x", "" }));

struct FaultCase
{
  std::string m_name;
  void (*m_change)(RouteConfiguration&);
  ConfigurationFault m_fault;
};

class ConfigurationFaultTest : public testing::TestWithParam<FaultCase>
{};

TEST_P(ConfigurationFaultTest, IsNamed)
{
  auto configuration = MakeConfiguration();
  GetParam().m_change(configuration);
  const auto table = RouteTable::Create(configuration);
  ASSERT_FALSE(table);
  EXPECT_EQ(table.error().m_fault, GetParam().m_fault);
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  ConfigurationFaultTest,
  testing::Values(FaultCase{ "unknown service",
                             [](RouteConfiguration& aGiven) {
                               aGiven.m_routes[0].m_targets[0].m_service =
                                 ServiceName("x");
                             },
                             ConfigurationFault::UnknownService },
                  FaultCase{ "same host and prefix",
                             [](RouteConfiguration& aGiven) {
                               aGiven.m_routes[1].m_pathPrefix = "/a/";
                             },
                             ConfigurationFault::DuplicateRoute },
                  FaultCase{ "no weight",
                             [](RouteConfiguration& aGiven) {
                               aGiven.m_routes[0].m_targets[0].m_weight = 0;
                             },
                             ConfigurationFault::NoWeight },
                  FaultCase{ "no timeout",
                             [](RouteConfiguration& aGiven) {
                               aGiven.m_routes[1].m_timeout = Duration::zero();
                             },
                             ConfigurationFault::NoTimeout },
                  FaultCase{ "shared key",
                             [](RouteConfiguration& aGiven) {
                               for (const char* name : { "a", "b" }) {
                                 ClientAccount account;
                                 account.m_name = AccountName(name);
                                 account.m_keys = { DigestOf("key") };
                                 aGiven.m_accounts.push_back(account);
                               }
                             },
                             ConfigurationFault::DuplicateKey }),
  [](const auto& aInfo) { return std::string(ToString(aInfo.param.m_fault)); });

TEST(ChooseTargetTest, FollowsTheWeights)
{
  Route route;
  route.m_targets = { { ServiceName("a"), 3 }, { ServiceName("b"), 1 } };
  EXPECT_EQ(*ChooseTarget(route, 0.0), ServiceName("a"));
  EXPECT_EQ(*ChooseTarget(route, 0.74), ServiceName("a"));
  EXPECT_EQ(*ChooseTarget(route, 0.75), ServiceName("b"));
  EXPECT_EQ(ChooseTarget(Route{}, 0.5), nullptr);
}

} // namespace
} // namespace auburntrestle::fleet
