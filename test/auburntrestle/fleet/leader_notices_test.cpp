#include "auburntrestle/fleet/leader_notices.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A notice as it arrives at a store. */
struct Arrival
{
  std::uint64_t m_term;
  const char* m_leader;
  /** The term of the leader that the replica of the store follows; 0 for
   * none. */
  std::uint64_t m_followed;
  Duration m_at;
};

struct NoticeCase
{
  std::string m_name;
  std::vector<Arrival> m_arrivals;
  Duration m_askedAt;
  /** Empty for no leader. */
  std::string m_leader;
};

void PrintTo(const NoticeCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class LeaderNoticesTest : public testing::TestWithParam<NoticeCase>
{};

// Guards against calls that are passed on to an instance that leads no more.
TEST_P(LeaderNoticesTest, NamesTheNewestLeader)
{
  LeaderNotices notices;
  for (const auto& arrival : GetParam().m_arrivals) {
    notices.Record({ Term(arrival.m_term), InstanceId(arrival.m_leader), {} },
                   Term(arrival.m_followed),
                   TimePoint(arrival.m_at));
  }
  const auto leader = notices.LeaderAt(TimePoint(GetParam().m_askedAt));
  EXPECT_EQ(leader ? leader->Get() : "", GetParam().m_leader);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  LeaderNoticesTest,
  testing::Values(
    NoticeCase{ "NoNotice", {}, seconds(1), "" },
    NoticeCase{ "Fresh", { { 1, "a", 0, seconds(1) } }, seconds(2), "a" },
    NoticeCase{ "Old", { { 1, "a", 0, seconds(1) } }, seconds(5), "" },
    NoticeCase{ "Successor",
                { { 1, "a", 0, seconds(1) }, { 2, "b", 0, seconds(2) } },
                milliseconds(2100),
                "b" },
    NoticeCase{ "FormerLeaderAfterItsSuccessor",
                { { 2, "b", 0, seconds(1) }, { 1, "a", 0, seconds(2) } },
                milliseconds(2100),
                "b" },
    // A frozen leader wakes; this member has followed the next one meanwhile
    // and loses it just after the notice.
    NoticeCase{ "FormerLeaderOfAMember",
                { { 1, "a", 2, seconds(1) } },
                milliseconds(1500),
                "" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST(LeaderNoticeOutcomeTest, TellsANewLeaderFromARepeatedNotice)
{
  LeaderNotices notices;
  const LeaderNotice first{ Term(1), InstanceId("a"), {} };
  const LeaderNotice second{ Term(2), InstanceId("b"), {} };
  EXPECT_EQ(notices.Record(first, Term(), {}), NoticeOutcome::NewLeader);
  EXPECT_EQ(notices.Record(first, Term(), {}), NoticeOutcome::Repeated);
  EXPECT_EQ(notices.Record(second, Term(), {}), NoticeOutcome::NewLeader);
  EXPECT_EQ(notices.Record(first, Term(), {}), NoticeOutcome::Outdated);
}

} // namespace
} // namespace auburntrestle::fleet
