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
};

class ForeignAnnouncementTest
  : public SmallDeployment
  , public testing::TestWithParam<ForeignCase>
{
protected:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(20);
  /** Above the time in which an entry instance learns of a change. */
  static constexpr int kPolls = 50;

  /** @return the status of an announcement of a service that no configuration
   * names. */
  std::optional<int> SendForeign()
  {
    Json heartbeat = Json::parse(m_sampler.Heartbeat("samplers", "ready"));
    heartbeat["service"] = "of-no-configuration";
    heartbeat["born"] = heartbeat["born"].get<std::uint64_t>() + 1;
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
// announcement of another writer, with a service that no configuration names,
// has its address or its id.
TEST_P(ForeignAnnouncementTest, LeavesTheServerInUse)
{
  if (GetParam().m_arrival == Arrival::First) {
    WaitForStore();
    EXPECT_EQ(SendForeign(), 404);
  }
  SendUntilServed(
    Target::Control, "PUT", "/auburntrestle/config", Configuration().dump());
  SendUntilServed(Target::Control,
                  "PUT",
                  "/auburntrestle/instances/i-1",
                  m_sampler.Heartbeat("samplers", "ready"));
  if (GetParam().m_arrival == Arrival::WhileServing) {
    SendUntilServed(Target::Callers, "POST", "/plain/x", "query");
    EXPECT_EQ(SendForeign(), 404);
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
                  ForeignCase{ "own_id_first", "i-1", Arrival::First }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
