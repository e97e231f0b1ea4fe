#include "platform/infrastructure_dialect.hpp"
#include "platform/json_fields.hpp"
#include "platform/names.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::platform {
namespace {

const fleet::DutyHolder kHolder{ "store-1", Fencing(12) };

void ExpectHolder(const http::Request& aRequest)
{
  EXPECT_EQ(aRequest.m_method, "POST");
  EXPECT_EQ(aRequest.m_headers.Find(names::kDutyHolder), "store-1");
  EXPECT_EQ(aRequest.m_headers.Find(names::kFencingToken), "12");
}

TEST(InfrastructureDialectTest, WritesAUsageReport)
{
  const auto protocol = MakeInfrastructureProtocol();
  const auto request = protocol.m_usageRequest(
    { fleet::UsageWindow(7), { { AccountName("a"), 3 } } }, kHolder);
  ExpectHolder(request);
  EXPECT_EQ(request.m_target, "/usage");
  EXPECT_EQ(Json::parse(request.m_body),
            (Json{ { "window", 7 }, { "counts", { { "a", 3 } } } }));
}

TEST(InfrastructureDialectTest, AnEmptyReportHasAnObjectOfCounts)
{
  const auto protocol = MakeInfrastructureProtocol();
  const auto request =
    protocol.m_usageRequest({ fleet::UsageWindow(7), {} }, kHolder);
  EXPECT_TRUE(Json::parse(request.m_body)["counts"].is_object());
}

TEST(InfrastructureDialectTest, WritesAnOrderForServers)
{
  const auto protocol = MakeInfrastructureProtocol();
  fleet::ServerOrder order{ ServiceName("s"), DataCentreId("z"), false, 6 };
  const auto request = protocol.m_orderRequest(order, kHolder);
  ExpectHolder(request);
  EXPECT_EQ(request.m_target, "/scale");
  const Json expected{ { "service", "s" },
                       { "zone", "z" },
                       { "target_groups", 6 } };
  EXPECT_EQ(Json::parse(request.m_body), expected);
  order.m_preemptible = true;
  EXPECT_EQ(Json::parse(protocol.m_orderRequest(order, kHolder).m_body)["spot"],
            true);
}

constexpr auto kApi = R"({"address":"10.200.0.102:8022","rate_per_s":50.0,
  "duties":["usage_report","autoscale"],"duty_per_s":20.0})";

TEST(InfrastructureSettingsTest, TranslatesAllFields)
{
  const auto settings = ReadInfrastructure(
    kApi, R"({"usage_window_s":4,"usage_late_s":8,"require_fencing":true})");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->m_address, "10.200.0.102:8022");
  EXPECT_TRUE(settings->m_reportsUsage);
  EXPECT_TRUE(settings->m_ordersServers);
  EXPECT_EQ(settings->m_callsPerSecond, 20.0);
  EXPECT_EQ(settings->m_usageWindow, std::chrono::seconds(4));
  EXPECT_EQ(settings->m_usageDue, std::chrono::seconds(8));
  EXPECT_TRUE(settings->m_checksFencing);
}

// Guards against duties on a deployment that names none.
TEST(InfrastructureSettingsTest, WithoutAnApiThereAreNoDuties)
{
  EXPECT_FALSE(ReadInfrastructure("", "{}"));
  EXPECT_FALSE(ReadInfrastructure("null", "{}"));
  EXPECT_FALSE(ReadInfrastructure(R"({"address":"nowhere"})", "{}"));
  const auto settings = ReadInfrastructure(R"({"address":"1.1.1.1:1"})", "");
  ASSERT_TRUE(settings);
  EXPECT_FALSE(settings->m_reportsUsage);
  EXPECT_FALSE(settings->m_ordersServers);
  EXPECT_FALSE(settings->m_checksFencing);
}

struct OutcomeCase
{
  int m_status = 0;
  fleet::DutyOutcome m_expected{};
};

class DutyOutcomeTest : public testing::TestWithParam<OutcomeCase>
{};

TEST_P(DutyOutcomeTest, FollowsTheStatus)
{
  http::Response response;
  response.m_status = GetParam().m_status;
  EXPECT_EQ(MakeInfrastructureProtocol().m_readOutcome(response),
            GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  DutyOutcomeTest,
  testing::Values(OutcomeCase{ 200, fleet::DutyOutcome::Done },
                  OutcomeCase{ 202, fleet::DutyOutcome::Done },
                  OutcomeCase{ 409, fleet::DutyOutcome::Conflict },
                  OutcomeCase{ 429, fleet::DutyOutcome::RateLimited },
                  OutcomeCase{ 404, fleet::DutyOutcome::Failed },
                  OutcomeCase{ 503, fleet::DutyOutcome::Failed }));

} // namespace
} // namespace auburntrestle::platform
