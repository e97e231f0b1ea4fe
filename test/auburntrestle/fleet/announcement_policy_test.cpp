#include "auburntrestle/fleet/announcement_policy.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace auburntrestle::fleet {
namespace {

constexpr auto kKnownService = "service";
constexpr auto kUnknownService = "unknown";
constexpr auto kAddress = "1.1.1.1:1";

BackendRecord MakeRecord(const std::string& aId,
                         const std::string& aService,
                         const std::string& aAddress = kAddress,
                         std::uint64_t aIncarnation = 10)
{
  BackendRecord record;
  record.m_id = BackendId(aId);
  record.m_service = ServiceName(aService);
  record.m_address = aAddress;
  record.m_incarnation = Incarnation(aIncarnation);
  return record;
}

/** An announcement, and the service of the server "a" that is recorded. */
struct AnnouncementCase
{
  std::string m_name;
  BackendRecord m_announced;
  std::string m_recordedService = kKnownService;
  bool m_hasConfiguration = true;
  bool m_accepted = false;
};

class AnnouncementPolicyTest : public testing::TestWithParam<AnnouncementCase>
{};

// Guards against an announcement of another writer, with a service that no
// configuration names, that takes the address or the id of a backend server in
// use: that server got no request any more, though its own heartbeats went on.
TEST_P(AnnouncementPolicyTest, AcceptsServersOfKnownServices)
{
  RouteConfiguration configuration;
  configuration.m_services.push_back(
    Service{ ServiceName(kKnownService), 10, std::nullopt, std::nullopt });
  const auto routes = RouteTable::Create(configuration);
  ASSERT_TRUE(routes);
  const std::map<BackendId, BackendRecord> backends{
    { BackendId("a"), MakeRecord("a", GetParam().m_recordedService) }
  };
  EXPECT_EQ(
    AcceptsAnnouncement(GetParam().m_announced,
                        backends,
                        GetParam().m_hasConfiguration ? &*routes : nullptr),
    GetParam().m_accepted);
}

INSTANTIATE_TEST_SUITE_P(
  Announcements,
  AnnouncementPolicyTest,
  testing::Values(
    AnnouncementCase{ .m_name = "known_service",
                      .m_announced = MakeRecord("b", kKnownService, "2:2"),
                      .m_accepted = true },
    AnnouncementCase{
      .m_name = "known_service_takes_the_address",
      .m_announced = MakeRecord("b", kKnownService, kAddress, 11),
      .m_accepted = true },
    AnnouncementCase{ .m_name = "unknown_service",
                      .m_announced = MakeRecord("b", kUnknownService, "2:2") },
    AnnouncementCase{
      .m_name = "unknown_service_takes_the_address",
      .m_announced = MakeRecord("b", kUnknownService, kAddress, 11) },
    AnnouncementCase{ .m_name = "unknown_service_takes_the_id",
                      .m_announced = MakeRecord("a", kUnknownService) },
    AnnouncementCase{ .m_name = "no_configuration",
                      .m_announced = MakeRecord("b", kKnownService, "2:2"),
                      .m_hasConfiguration = false },
    AnnouncementCase{ .m_name = "service_was_removed",
                      .m_announced = MakeRecord("a", kUnknownService),
                      .m_recordedService = kUnknownService,
                      .m_accepted = true },
    AnnouncementCase{
      .m_name = "service_was_removed_other_process",
      .m_announced = MakeRecord("a", kUnknownService, kAddress, 11),
      .m_recordedService = kUnknownService },
    AnnouncementCase{ .m_name = "service_was_removed_other_address",
                      .m_announced = MakeRecord("a", kUnknownService, "2:2"),
                      .m_recordedService = kUnknownService }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
