#include "auburntrestle/registry/registry.hpp"
#include "auburntrestle/registry/speed_estimate.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace auburntrestle::registry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendId kId("e1");
const ModelName kModel("m");
constexpr Duration kLease = seconds(3);
constexpr TimePoint kStart{ seconds(100) };

Announcement Make(std::uint64_t aIncarnation,
                  BackendState aState = BackendState::Serving)
{
  Announcement announcement;
  announcement.m_backend = kId;
  announcement.m_incarnation = Incarnation(aIncarnation);
  announcement.m_models = { { kModel, WeightVersion(aIncarnation) } };
  announcement.m_state = aState;
  return announcement;
}

// Guards against delayed or reordered announcements that restore an old
// incarnation or the serving state of a server that is leaving.
TEST(BackendRegistryTest, AnnouncementsAreOrderedByIncarnation)
{
  using enum AnnounceResult;
  struct Row
  {
    Announcement m_announcement;
    AnnounceResult m_result;
    BackendState m_state;
  };
  const auto leaving = BackendState::Leaving;
  const auto serving = BackendState::Serving;
  const std::vector<Row> rows{
    { Make(2), Added, serving },
    { Make(2), Renewed, serving },
    { Make(1), Ignored, serving },
    { Make(2, leaving), Renewed, leaving },
    { Make(2, serving), Renewed, leaving },
    { Make(3), Restarted, serving },
    { Make(2, leaving), Ignored, serving },
  };
  BackendRegistry registry;
  for (const auto& row : rows) {
    EXPECT_EQ(registry.Announce(row.m_announcement, kLease, kStart),
              row.m_result);
    EXPECT_EQ(registry.Find(kId)->m_announcement.m_state, row.m_state);
  }
}

// Guards against servers that stay registered after their lease, and against a
// delayed announcement of a terminated process.
TEST(BackendRegistryTest, LeasesExpire)
{
  BackendRegistry registry;
  registry.Announce(Make(2), kLease, kStart);
  registry.Announce(Make(2), kLease, kStart + seconds(2));
  EXPECT_TRUE(registry.Expire(kStart + seconds(4)).empty());
  EXPECT_TRUE(registry.Serves(kModel));
  EXPECT_EQ(registry.Expire(kStart + seconds(5)),
            std::vector<BackendId>{ kId });
  EXPECT_FALSE(registry.Serves(kModel));
  EXPECT_EQ(registry.Announce(Make(1), kLease, kStart + seconds(6)),
            AnnounceResult::Ignored);
  EXPECT_EQ(registry.Announce(Make(2), kLease, kStart + seconds(6)),
            AnnounceResult::Added);
  registry.Announce(Make(2, BackendState::Leaving), kLease, kStart);
  registry.Expire(kStart + seconds(20));
  EXPECT_EQ(registry.Announce(Make(2), kLease, kStart + seconds(21)),
            AnnounceResult::Ignored);
}

// Guards against an old report that replaces a newer one.
TEST(BackendRegistryTest, LoadReportsAreOrderedByMeasurement)
{
  BackendRegistry registry;
  LoadReport load;
  EXPECT_FALSE(registry.RecordLoad(kId, load, kStart));
  registry.Announce(Make(1), kLease, kStart);
  load.m_running = 5;
  load.m_age = milliseconds(100);
  EXPECT_TRUE(registry.RecordLoad(kId, load, kStart + seconds(1)));
  load.m_running = 9;
  load.m_age = milliseconds(500);
  EXPECT_FALSE(registry.RecordLoad(kId, load, kStart + seconds(1)));
  const auto view = registry.Views(kStart + seconds(2)).front();
  EXPECT_EQ(view.m_announcement.m_load->m_running, 5U);
  EXPECT_EQ(view.m_loadAge, milliseconds(1100));
  // A renewal without a report keeps the known one.
  registry.Announce(Make(1), kLease, kStart + seconds(2));
  EXPECT_TRUE(registry.Find(kId)->m_announcement.m_load.has_value());
}

// Guards against a change of owner that is not detected.
TEST(BackendRegistryTest, OwnershipIncludesServersNotYetAnnounced)
{
  BackendRegistry registry;
  EXPECT_TRUE(registry.SetOwned({ kId }, kStart).empty());
  registry.Announce(Make(1), kLease, kStart + seconds(1));
  EXPECT_TRUE(registry.Find(kId)->m_owned);
  EXPECT_EQ(registry.Find(kId)->m_ownedSince, kStart + seconds(1));
  EXPECT_EQ(registry.SetOwned({}, kStart + seconds(2)),
            std::vector<BackendId>{ kId });
  EXPECT_FALSE(registry.Find(kId)->m_owned);
  registry.RecordVersion(kId, kModel, WeightVersion(7));
  EXPECT_EQ(registry.Find(kId)->m_announcement.m_models[0].m_version,
            WeightVersion(7));
}

// Guards against a peak that is missed, or that is dropped after one fast
// token.
TEST(SpeedEstimateTest, RisesQuicklyAndFallsSlowly)
{
  SpeedEstimate speed;
  auto now = kStart;
  const auto record = [&](Duration aElapsed) {
    now += aElapsed;
    speed.RecordTokens(aElapsed, TokenCount(1), now);
    return *speed.TimePerToken();
  };
  EXPECT_FALSE(speed.TimePerToken());
  EXPECT_DOUBLE_EQ(record(milliseconds(10)), 10000.0);
  record(milliseconds(50));
  EXPECT_GT(record(milliseconds(50)), 39000.0);
  EXPECT_GT(record(milliseconds(10)), 35000.0);
  for (int i = 0; i < 1000; ++i) {
    record(milliseconds(10));
  }
  EXPECT_LT(record(milliseconds(10)), 10500.0);
}

} // namespace
} // namespace auburntrestle::registry
