#include "auburntrestle/fleet/watch_scheduler.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };
constexpr Duration kStep = milliseconds(5);
/** A reply that is deferred to its limit, and its way back. */
constexpr Duration kReplyTime = milliseconds(310);
/** When a call to an instance that does not reply fails. */
constexpr Duration kCallTimeout = milliseconds(1000);
/** The shortest time in which the users want a change in force. */
constexpr Duration kChangeBound = milliseconds(2000);

/** An entry instance with relays in its own and in other data centres, in
 * virtual time. */
class WatchSimulation
{
public:
  WatchSimulation(std::size_t aOwnRelays, std::size_t aOtherRelays)
    : m_scheduler(InstanceId("self"), DataCentreId("here"))
  {
    for (std::size_t relay = 0; relay < aOwnRelays; ++relay) {
      m_relays.push_back(
        { InstanceId("own" + std::to_string(relay)), DataCentreId("here") });
    }
    for (std::size_t relay = 0; relay < aOtherRelays; ++relay) {
      m_relays.push_back(
        { InstanceId("other" + std::to_string(relay)), DataCentreId("there") });
    }
  }

  /** The first relays, those of the own data centre before others, do not reply
   * any more. */
  void Freeze(std::size_t aRelays)
  {
    for (std::size_t relay = 0; relay < aRelays; ++relay) {
      m_frozen.insert(m_relays[relay].m_instance);
    }
  }
  void Thaw() { m_frozen.clear(); }

  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += kStep;
      DeliverReplies();
      for (const auto& request : m_scheduler.Advance(m_now)) {
        Send(request);
      }
      m_longestGap = std::max(m_longestGap, m_now - m_confirmedAt);
    }
  }

  [[nodiscard]] Duration LongestGap() const { return m_longestGap; }
  [[nodiscard]] std::size_t Sent() const { return m_sent; }
  [[nodiscard]] std::size_t SentTo(const std::string& aRelay) const
  {
    const auto found = m_sentTo.find(InstanceId(aRelay));
    return found == m_sentTo.end() ? 0 : found->second;
  }
  void ResetCounts()
  {
    m_sent = 0;
    m_sentTo.clear();
    m_longestGap = {};
  }

private:
  struct Reply
  {
    WatchRequest m_request;
    bool m_confirmed;
  };

  void Send(const WatchRequest& aRequest)
  {
    const bool frozen =
      aRequest.m_relay && m_frozen.contains(*aRequest.m_relay);
    ++m_sent;
    if (aRequest.m_relay) {
      ++m_sentTo[*aRequest.m_relay];
    }
    m_replies.emplace(m_now + (frozen ? kCallTimeout : kReplyTime),
                      Reply{ aRequest, !frozen });
  }

  void DeliverReplies()
  {
    while (!m_replies.empty() && m_replies.begin()->first <= m_now) {
      const Reply reply = m_replies.begin()->second;
      m_replies.erase(m_replies.begin());
      if (reply.m_confirmed) {
        m_confirmedAt = m_now;
        m_scheduler.SetRelays(m_relays);
      }
      m_scheduler.HandleReply(reply.m_request, reply.m_confirmed, m_now);
    }
  }

  WatchScheduler m_scheduler;
  std::vector<Relay> m_relays;
  std::set<InstanceId> m_frozen;
  TimePoint m_now = kStart;
  TimePoint m_confirmedAt = kStart;
  std::multimap<TimePoint, Reply> m_replies;
  Duration m_longestGap{};
  std::size_t m_sent = 0;
  std::map<InstanceId, std::size_t> m_sentTo;
};

struct FrozenRelays
{
  std::string m_name;
  std::size_t m_ownRelays;
  std::size_t m_otherRelays;
  std::size_t m_frozen;
};

class FrozenRelaysTest : public testing::TestWithParam<FrozenRelays>
{};

// Guards against routes that stay unconfirmed while an instance waits for one
// frozen relay after the other, and returns to each when its backoff ends.
TEST_P(FrozenRelaysTest, FrozenRelaysDoNotDelayAChangeBeyondItsBound)
{
  WatchSimulation simulation(GetParam().m_ownRelays, GetParam().m_otherRelays);
  simulation.Run(seconds(3));
  simulation.Freeze(GetParam().m_frozen);
  simulation.Run(seconds(30));
  EXPECT_LT(simulation.LongestGap(), kChangeBound);
}

INSTANTIATE_TEST_SUITE_P(
  Relays,
  FrozenRelaysTest,
  testing::Values(FrozenRelays{ "OneOfTwo", 1, 1, 1 },
                  FrozenRelays{ "BothOfTheDataCentre", 2, 5, 2 },
                  FrozenRelays{ "OneHereAndOneThere", 1, 6, 2 },
                  FrozenRelays{ "AllOfTheDataCentre", 3, 4, 3 },
                  FrozenRelays{ "AllButOne", 3, 1, 3 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against relays that are never asked again after a fault.
TEST(WatchSchedulerTest, ReturnsToARelayOfItsDataCentre)
{
  WatchSimulation simulation(1, 6);
  simulation.Run(seconds(3));
  simulation.Freeze(1);
  simulation.Run(seconds(5));
  simulation.Thaw();
  simulation.Run(seconds(10));
  simulation.ResetCounts();
  simulation.Run(seconds(3));
  EXPECT_EQ(simulation.SentTo("own0"), simulation.Sent());
}

struct ViewCase
{
  std::string m_name;
  Term m_term;
  Duration m_confirmationAge;
  bool m_confirms;
};

class ConfirmsRoutesTest : public testing::TestWithParam<ViewCase>
{};

// Guards against an instance that stays with a relay which a former leader
// confirms, and gets no news from it.
TEST_P(ConfirmsRoutesTest, OnlyARecentViewOfTheNewestLeaderConfirms)
{
  DirectoryView view;
  view.m_term = GetParam().m_term;
  view.m_confirmationAge = GetParam().m_confirmationAge;
  EXPECT_EQ(ConfirmsRoutes(view, Term(5)), GetParam().m_confirms);
}

INSTANTIATE_TEST_SUITE_P(
  Views,
  ConfirmsRoutesTest,
  testing::Values(
    ViewCase{ "Recent", Term(5), milliseconds(900), true },
    ViewCase{ "LaterTerm", Term(6), milliseconds(0), true },
    ViewCase{ "EarlierTerm", Term(4), milliseconds(0), false },
    ViewCase{ "Old", Term(5), milliseconds(1000), false },
    ViewCase{ "NeverConfirmed", Term(5), Duration::max(), false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a load that grows without a fault: the relays answer the
// Watches of hundreds of instances.
TEST(WatchSchedulerTest, SendsOneWatchAtATimeWithoutAFault)
{
  WatchSimulation simulation(2, 5);
  simulation.Run(seconds(3));
  simulation.ResetCounts();
  simulation.Run(seconds(31));
  EXPECT_LE(simulation.Sent(), 101U);
}

} // namespace
} // namespace auburntrestle::fleet
