#include "auburntrestle/fleet/backend_chooser.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

const ServiceName kService("service");

BackendRecord Backend(const std::string& aId, const std::string& aDataCentre)
{
  BackendRecord record;
  record.m_id = BackendId(aId);
  record.m_service = kService;
  record.m_dataCentre = DataCentreId(aDataCentre);
  return record;
}

class BackendChooserTest : public testing::Test
{
protected:
  BackendChooserTest()
    : m_chooser(DataCentreId("here"))
  {
    m_chooser.SetBackends({ Backend("near", "here"), Backend("far", "there") });
  }

  [[nodiscard]] std::string Choice(const std::set<BackendId>& aExclude = {})
  {
    const auto* chosen = m_chooser.Choose(kService, aExclude, m_now);
    return chosen == nullptr ? "" : chosen->m_id.Get();
  }

  BackendChooser m_chooser;
  TimePoint m_now{ std::chrono::seconds(100) };
};

TEST_F(BackendChooserTest, PrefersTheOwnDataCentreWhileItIsIdle)
{
  EXPECT_EQ(Choice(), "near");
  EXPECT_EQ(Choice({ BackendId("near") }), "far");
  m_chooser.RecordSent(BackendId("near"));
  EXPECT_EQ(Choice(), "far");
}

// Guards against a slow backend server that still receives all requests because
// no report shows that it is slow.
TEST_F(BackendChooserTest, AvoidsASlowBackend)
{
  for (int request = 0; request < 5; ++request) {
    m_chooser.RecordSent(BackendId("near"));
    m_chooser.RecordResponse(BackendId("near"), std::chrono::milliseconds(200));
  }
  EXPECT_EQ(Choice(), "far");
}

TEST_F(BackendChooserTest, AvoidsAFailedBackendForATimeUnlessItIsTheOnlyOne)
{
  m_chooser.RecordSent(BackendId("near"));
  m_chooser.RecordFailure(BackendId("near"), m_now);
  EXPECT_EQ(Choice(), "far");
  EXPECT_EQ(Choice({ BackendId("far") }), "near");
  m_now += std::chrono::seconds(1);
  EXPECT_EQ(Choice(), "near");
}

// Guards against reward calls that take every slot from the callers' requests.
TEST_F(BackendChooserTest, ALimitedChooserLeavesSlotsFree)
{
  BackendChooser limited(DataCentreId("here"), ChooserLimits{ 0.5, false });
  auto backend = Backend("near", "here");
  backend.m_slots = 6;
  limited.SetBackends({ backend });
  for (int request = 0; request < 3; ++request) {
    ASSERT_NE(limited.Choose(kService, {}, m_now), nullptr);
    limited.RecordSent(backend.m_id);
  }
  EXPECT_EQ(limited.Choose(kService, {}, m_now), nullptr);
  limited.RecordResponse(backend.m_id, std::chrono::milliseconds(20));
  EXPECT_NE(limited.Choose(kService, {}, m_now), nullptr);
  limited.RecordRefusal(backend.m_id, m_now);
  EXPECT_EQ(limited.Choose(kService, {}, m_now), nullptr);
  EXPECT_NE(limited.Choose(kService, {}, m_now + std::chrono::seconds(1)),
            nullptr);
}

TEST_F(BackendChooserTest, NeverChoosesAMisdirectedBackend)
{
  m_chooser.RecordMisdirection(BackendId("near"));
  EXPECT_EQ(Choice({ BackendId("far") }), "");
}

TEST_F(BackendChooserTest, LeavingBackendsGetNoRequests)
{
  auto leaving = Backend("near", "here");
  leaving.m_state = BackendState::Leaving;
  m_chooser.SetBackends({ leaving });
  EXPECT_EQ(Choice(), "");
}

} // namespace
} // namespace auburntrestle::fleet
