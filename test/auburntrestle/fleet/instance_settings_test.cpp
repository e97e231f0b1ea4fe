#include "auburntrestle/fleet/instance_settings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace auburntrestle::fleet {
namespace {

constexpr auto kStore = R"([instance]
role = "store"
machine = "store-1"
data_centre = "dc"
[listen]
control = "10.0.0.1:80"
peers = "10.0.0.1:7000"
[peers]
seeds = ["10.0.0.1:80", "10.0.0.2:80"]
port = 7000
shared_key = "0123456789abcdef"
[log]
data_folder = "/data"
bootstrap = true
tolerated_losses = 2
[timing]
lease_ms = 2500
shutdown_seconds = 4.5
[logging]
level = "debug"
[limits]
response_mb = 8
received_mb = 24
request_bodies_mb = 16
replicated_jobs_mb = 12
stored_jobs_mb = 20
replies_mb = 5
[jobs]
ranked = true
[infrastructure]
address = "10.0.9.1:8022"
duties = ["usage_report"]
calls_per_second = 50.0
usage_window_seconds = 5
usage_due_seconds = 10
checks_fencing = false
)";

TEST(FleetSettingsTest, ReadsAllKeysOfAStore)
{
  const auto settings = ReadFleetSettings(kStore);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->m_role, InstanceRole::Store);
  EXPECT_EQ(settings->m_seeds,
            (std::vector<std::string>{ "10.0.0.1:7000", "10.0.0.2:7000" }));
  EXPECT_TRUE(settings->m_bootstrap);
  EXPECT_EQ(settings->m_toleratedLosses, 2U);
  EXPECT_EQ(settings->m_leaseTime, std::chrono::milliseconds(2500));
  EXPECT_EQ(settings->m_shutdownTime, std::chrono::milliseconds(4500));
  EXPECT_EQ(settings->m_logLevel, observe::LogLevel::Debug);
  constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;
  EXPECT_EQ(settings->m_responseLimits,
            (ResponseLimits{ 8 * kMebibyte, 24 * kMebibyte }));
  EXPECT_EQ(settings->m_requestLimits,
            (RequestLimits{
              16 * kMebibyte, 12 * kMebibyte, 20 * kMebibyte, 5 * kMebibyte }));
  EXPECT_TRUE(settings->m_ranksJobs);
  const auto& infrastructure = settings->m_infrastructure;
  EXPECT_EQ(infrastructure.m_address, "10.0.9.1:8022");
  EXPECT_TRUE(infrastructure.m_reportsUsage);
  EXPECT_FALSE(infrastructure.m_ordersServers);
  EXPECT_EQ(infrastructure.m_callsPerSecond, 50.0);
  EXPECT_FALSE(infrastructure.m_checksFencing);
}

struct FaultCase
{
  std::string m_from;
  std::string m_to;
  std::string m_key;
};

class FleetSettingsFaultTest : public testing::TestWithParam<FaultCase>
{};

TEST_P(FleetSettingsFaultTest, NamesTheKey)
{
  std::string text = kStore;
  const auto at = text.find(GetParam().m_from);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, GetParam().m_from.size(), GetParam().m_to);
  const auto settings = ReadFleetSettings(text);
  ASSERT_FALSE(settings);
  EXPECT_TRUE(std::any_of(
    settings.error().begin(), settings.error().end(), [](const auto& aFault) {
      return aFault.m_key == GetParam().m_key;
    }));
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  FleetSettingsFaultTest,
  testing::Values(
    FaultCase{ "\"store\"", "\"other\"", "instance.role" },
    FaultCase{ "machine = ", "machin = ", "instance.machine" },
    FaultCase{ "\"10.0.0.1:7000\"", "\"nowhere\"", "listen.peers" },
    FaultCase{ "\"10.0.0.2:80\"", "5", "peers.seeds" },
    FaultCase{ "lease_ms = 2500", "lease_ms = -1", "timing.lease_ms" },
    FaultCase{ "losses = 2", "losses = 9", "log.tolerated_losses" },
    FaultCase{ "\"debug\"", "\"loud\"", "logging.level" },
    FaultCase{ "response_mb = 8", "response_mb = 0", "limits.response_mb" },
    FaultCase{ "received_mb = 24", "received_mb = 7", "limits.received_mb" },
    FaultCase{ "request_bodies_mb = 16",
               "request_bodies_mb = 0",
               "limits.request_bodies_mb" },
    FaultCase{ "replicated_jobs_mb = 12",
               "replicated_jobs_mb = \"12\"",
               "limits.replicated_jobs_mb" },
    FaultCase{ "stored_jobs_mb = 20",
               "stored_jobs_mb = 0",
               "limits.stored_jobs_mb" },
    FaultCase{ "replies_mb = 5", "replies_mb = 5.5", "limits.replies_mb" },
    FaultCase{ "ranked = true", "ranked = 1", "jobs.ranked" },
    FaultCase{ "10.0.9.1:8022", "nowhere", "infrastructure.address" },
    FaultCase{ "usage_report", "usage", "infrastructure.duties" },
    FaultCase{ "[\"usage_report\"]", "[5]", "infrastructure.duties" },
    FaultCase{ "calls_per_second = 50.0",
               "calls_per_second = 0",
               "infrastructure.calls_per_second" },
    FaultCase{ "window_seconds = 5",
               "window_seconds = 0",
               "infrastructure.usage_window_seconds" },
    FaultCase{ "checks_fencing = false",
               "checks_fencing = 1",
               "infrastructure.checks_fencing" },
    FaultCase{ "[listen]", "[listen", "" }));

TEST(FleetSettingsTest, ReportsAllFaultsAtOnce)
{
  const auto settings = ReadFleetSettings("");
  ASSERT_FALSE(settings);
  EXPECT_GE(settings.error().size(), 5U);
}

struct ChangeCase
{
  std::string m_from;
  std::string m_to;
  std::string m_applied;
  std::string m_needsRestart;
};

class SettingsChangeTest : public testing::TestWithParam<ChangeCase>
{};

// Guards against a changed file of which a part is silently not applied.
TEST_P(SettingsChangeTest, NamesWhatChangedAndWhatNeedsARestart)
{
  const auto& [from, to, applied, restart] = GetParam();
  std::string text = kStore;
  text.replace(text.find(from), from.size(), to);
  const auto before = ReadFleetSettings(kStore);
  const auto after = ReadFleetSettings(text);
  ASSERT_TRUE(after);
  const auto change = CompareSettings(*before, *after);
  const auto expected = [](const std::string& aKey) {
    return aKey.empty() ? std::vector<std::string>{}
                        : std::vector<std::string>{ aKey };
  };
  EXPECT_EQ(change.m_applied, expected(applied));
  EXPECT_EQ(change.m_needRestart, expected(restart));
}

INSTANTIATE_TEST_SUITE_P(
  Keys,
  SettingsChangeTest,
  testing::Values(
    ChangeCase{ "10.0.0.2:80", "10.0.0.3:80", "peers.seeds", "" },
    ChangeCase{ "debug", "info", "logging.level", "" },
    ChangeCase{ "bootstrap = true", "bootstrap = false", "", "" },
    ChangeCase{ "10.0.0.1:7000\"",
                "10.0.0.9:7000\"\npeers_bind = \"10.0.0.1:7000\"",
                "",
                "listen.peers" },
    ChangeCase{ "2500", "2600", "", "timing.lease_ms" },
    ChangeCase{ "\"/data\"", "\"/other\"", "", "log.data_folder" },
    ChangeCase{ "losses = 2", "losses = 1", "", "log.tolerated_losses" },
    ChangeCase{ "ranked = true", "ranked = false", "", "jobs.ranked" },
    ChangeCase{ "due_seconds = 10", "due_seconds = 11", "", "infrastructure" },
    ChangeCase{ "received_mb = 24", "received_mb = 32", "", "limits" },
    ChangeCase{ "request_bodies_mb = 16",
                "request_bodies_mb = 17",
                "",
                "limits" },
    ChangeCase{ "store-1", "store-2", "", "instance.machine" }));

} // namespace
} // namespace auburntrestle::fleet
