#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace auburntrestle::platform::test {
namespace {

/** When an announcement arrives. */
enum class Arrival : std::uint8_t
{
  /** Before the first configuration. */
  First,
  /** When the server serves requests. */
  WhileServing,
};

/** An announcement of another writer with the address of a server in use. */
struct ForeignCase
{
  std::string m_name;
  std::string m_id;
  Arrival m_arrival{};
  /** The field in which it differs from an announcement of a server. */
  std::string m_field = "service";
  /** The value of the field; null if it is missing. */
  Json m_value = "of-no-configuration";
  int m_status = 404;
};

class ForeignAnnouncementTest
  : public SmallDeployment
  , public testing::TestWithParam<ForeignCase>
{
protected:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  /** Above the time in which an entry instance learns of a change. */
  static constexpr int kPolls = 50;

  /** Sends the announcement of the other writer. @return its status. */
  std::optional<int> SendForeign()
  {
    Json heartbeat = Json::parse(m_sampler.Heartbeat("samplers", "ready"));
    heartbeat["born"] = heartbeat["born"].get<std::uint64_t>() + 1;
    heartbeat[GetParam().m_field] = GetParam().m_value;
    if (GetParam().m_value.is_null()) {
      heartbeat.erase(GetParam().m_field);
    }
    return Send(Target::Control,
                "PUT",
                "/auburntrestle/instances/" + GetParam().m_id,
                heartbeat.dump());
  }

  /** @return how many of a series of requests are served. */
  int CountServed()
  {
    int served = 0;
    for (int poll = 0; poll < kPolls; ++poll) {
      served += Send(Target::Callers, "POST", "/plain/x", "query") == 200;
      WaitFor(kPollInterval);
    }
    return served;
  }

  /** Waits until the store answers, which then has a leader. */
  void WaitForStore()
  {
    while (Send(Target::Control, "GET", "/auburntrestle/config") != 404) {
      WaitFor(kPollInterval);
    }
  }
};

// Guards against a backend server that gets no request any more, because an
// announcement of another writer has its address or its id: one that lacks a
// field or has an odd one, or a service that no configuration names.
TEST_P(ForeignAnnouncementTest, LeavesTheServerInUse)
{
  if (GetParam().m_arrival == Arrival::First) {
    WaitForStore();
    EXPECT_EQ(SendForeign(), GetParam().m_status);
  }
  SendUntilServed(
    Target::Control, "PUT", "/auburntrestle/config", Configuration().dump());
  SendUntilServed(Target::Control,
                  "PUT",
                  "/auburntrestle/instances/i-1",
                  m_sampler.Heartbeat("samplers", "ready"));
  if (GetParam().m_arrival == Arrival::WhileServing) {
    SendUntilServed(Target::Callers, "POST", "/plain/x", "query");
    EXPECT_EQ(SendForeign(), GetParam().m_status);
    EXPECT_EQ(CountServed(), kPolls);
  } else {
    EXPECT_GT(CountServed(), 0);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Announcements,
  ForeignAnnouncementTest,
  testing::Values(ForeignCase{ "other_id", "x-1", Arrival::WhileServing },
                  ForeignCase{ "own_id", "i-1", Arrival::WhileServing },
                  ForeignCase{ "other_id_first", "x-1", Arrival::First },
                  ForeignCase{ "own_id_first", "i-1", Arrival::First },
                  ForeignCase{ "empty_service",
                               "x-1",
                               Arrival::WhileServing,
                               "service",
                               "",
                               400 },
                  ForeignCase{ "unknown_state",
                               "x-1",
                               Arrival::WhileServing,
                               "state",
                               "resting",
                               400 },
                  ForeignCase{ "no_state",
                               "i-1",
                               Arrival::WhileServing,
                               "state",
                               nullptr,
                               400 },
                  ForeignCase{ "slots_of_another_type",
                               "x-1",
                               Arrival::WhileServing,
                               "slots",
                               "4",
                               400 },
                  ForeignCase{ "no_start",
                               "x-1",
                               Arrival::WhileServing,
                               "born",
                               nullptr,
                               400 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
