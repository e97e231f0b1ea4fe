#include "auburntrestle/core/random.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/draining_backends.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

const ServiceName kService("service");

BackendProcess Process(std::uint64_t aNumber)
{
  return { BackendId("backend"), Incarnation(aNumber) };
}

TEST(DrainingBackendsTest, AStatementHoldsForOneProcess)
{
  DrainingBackends draining;
  EXPECT_TRUE(draining.Record(Process(1), TimePoint{}));
  EXPECT_FALSE(draining.Record(Process(1), TimePoint{}));
  EXPECT_TRUE(draining.Contains(Process(1)));
  EXPECT_FALSE(draining.Contains(Process(2)));
}

// Guards against memory that grows with each server that ever left.
TEST(DrainingBackendsTest, RemovesTheOldestAboveTheLimit)
{
  DrainingBackends draining;
  const std::uint64_t count = DrainingBackends::kMaxBackends + 10;
  for (std::uint64_t number = 1; number <= count; ++number) {
    draining.Record(Process(number),
                    TimePoint(Duration(static_cast<std::int64_t>(number))));
  }
  EXPECT_EQ(draining.Size(), DrainingBackends::kMaxBackends);
  EXPECT_FALSE(draining.Contains(Process(10)));
  EXPECT_TRUE(draining.Contains(Process(11)));
}

class DrainingChoiceTest : public testing::TestWithParam<std::uint64_t>
{};

// Guards against a request to a server that said that it leaves, in whatever
// order its responses, announcements, restarts and other servers at its address
// come.
TEST_P(DrainingChoiceTest, ChoosesOnlyProcessesThatDidNotSayThatTheyLeave)
{
  constexpr std::uint64_t kAddresses = 3;
  constexpr int kSteps = 400;
  RandomSource random(GetParam());
  BackendRateLimits limits;
  DrainingBackends draining;
  BackendChooser chooser(DataCentreId("here"));
  chooser.SetStatements(limits, draining);
  std::vector<BackendRecord> records(kAddresses);
  std::set<BackendProcess> said;
  std::uint64_t starts = 0;
  const auto start = [&](BackendRecord& aRecord) {
    aRecord.m_id = BackendId("backend-" + std::to_string(random.Below(9)));
    aRecord.m_incarnation = Incarnation(++starts);
    aRecord.m_service = kService;
  };
  for (auto& record : records) {
    start(record);
  }
  TimePoint now{ std::chrono::seconds(1) };
  for (int step = 0; step < kSteps; ++step) {
    now += std::chrono::milliseconds(random.Below(50));
    auto& record = records[random.Below(kAddresses)];
    switch (random.Below(4)) {
      case 0:
        draining.Record(record.Process(), now);
        said.insert(record.Process());
        break;
      case 1:
        start(record);
        break;
      case 2:
        ++record.m_sequence;
        break;
      default:
        chooser.SetBackends(records);
        break;
    }
    const auto* chosen = chooser.Choose(kService, {}, now);
    if (chosen != nullptr) {
      EXPECT_FALSE(said.contains(chosen->Process())) << step;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         DrainingChoiceTest,
                         testing::Range(std::uint64_t{ 1 },
                                        std::uint64_t{ 21 }));

} // namespace
} // namespace auburntrestle::fleet
