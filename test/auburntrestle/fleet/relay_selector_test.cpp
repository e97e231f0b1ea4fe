#include "auburntrestle/fleet/relay_selector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };

Relay MakeRelay(const std::string& aInstance, const std::string& aDataCentre)
{
  return { InstanceId(aInstance), DataCentreId(aDataCentre) };
}

TEST(RelaySelectorTest, AsksTheLeaderWhileNoRelayIsKnown)
{
  const RelaySelector selector(InstanceId("self"), DataCentreId("here"));
  EXPECT_FALSE(selector.Select(kNow));
}

TEST(RelaySelectorTest, PrefersTheOwnDataCentre)
{
  RelaySelector selector(InstanceId("self"), DataCentreId("here"));
  selector.SetRelays({ MakeRelay("a", "there"),
                       MakeRelay("b", "here"),
                       MakeRelay("c", "there"),
                       MakeRelay("self", "here") });
  EXPECT_EQ(selector.Select(kNow), InstanceId("b"));
}

// Guards against an instance that stays with a relay which is frozen or cut
// off, and against one that never returns to it.
TEST(RelaySelectorTest, TurnsToAnotherRelayAndThenToTheLeader)
{
  RelaySelector selector(InstanceId("self"), DataCentreId("here"));
  selector.SetRelays({ MakeRelay("a", "there"), MakeRelay("b", "here") });
  selector.RecordFailure(InstanceId("b"), kNow);
  EXPECT_EQ(selector.Select(kNow), InstanceId("a"));
  selector.RecordFailure(InstanceId("a"), kNow);
  EXPECT_FALSE(selector.Select(kNow));
  EXPECT_EQ(selector.Select(kNow + std::chrono::seconds(1)), InstanceId("b"));

  selector.RecordFailure(InstanceId("b"), kNow);
  EXPECT_EQ(selector.Select(kNow + std::chrono::milliseconds(900)),
            InstanceId("a"));
  selector.RecordSuccess(InstanceId("b"));
  EXPECT_EQ(selector.Select(kNow), InstanceId("b"));
}

// Guards against a relay that disappeared but is remembered as failed when it
// returns.
TEST(RelaySelectorTest, ARelayThatReturnsIsUsedAtOnce)
{
  RelaySelector selector(InstanceId("self"), DataCentreId("here"));
  selector.SetRelays({ MakeRelay("a", "here") });
  selector.RecordFailure(InstanceId("a"), kNow);
  selector.SetRelays({});
  selector.SetRelays({ MakeRelay("a", "here") });
  EXPECT_EQ(selector.Select(kNow), InstanceId("a"));
}

// The load: 249 instances in six data centres read a change at the same moment
// from the seven relays of a log with eight members.
TEST(RelaySelectorTest, ManyInstancesSpreadOverTheRelays)
{
  constexpr std::size_t kInstances = 249;
  constexpr std::size_t kDataCentres = 6;
  constexpr std::size_t kRelays = 7;
  std::vector<Relay> relays;
  for (std::size_t relay = 0; relay < kRelays; ++relay) {
    relays.push_back(MakeRelay("10.0.0." + std::to_string(relay) + ":7380",
                               "dc" + std::to_string(relay % kDataCentres)));
  }
  std::map<InstanceId, std::size_t> load;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    RelaySelector selector(
      InstanceId("10.0.1." + std::to_string(instance) + ":7380"),
      DataCentreId("dc" + std::to_string(instance % kDataCentres)));
    selector.SetRelays(relays);
    ++load[*selector.Select(kNow)];
  }
  EXPECT_EQ(load.size(), kRelays);
  const auto largest = std::max_element(
    load.begin(), load.end(), [](const auto& aL, const auto& aR) {
      return aL.second < aR.second;
    });
  // Each data centre has a relay of its own.
  EXPECT_LE(largest->second, kInstances / kDataCentres + 1);
}

} // namespace
} // namespace auburntrestle::fleet
