#include "auburntrestle/consensus/cluster.hpp"

#include <gtest/gtest.h>

#include <variant>

namespace auburntrestle::consensus::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A level cluster whose log no longer begins with the first entry. */
class SlowAnswersTest : public testing::Test
{
protected:
  SlowAnswersTest()
    : m_cluster(MakeOptions())
  {
    m_cluster.MakesProgress();
    for (int command = 0; command < kCommands; ++command) {
      m_cluster.Propose(*m_cluster.Leader());
      m_cluster.Run(milliseconds(5));
    }
    m_cluster.RunUntil([&] { return m_cluster.IsWhole(); }, seconds(5));
  }

  static ClusterOptions MakeOptions()
  {
    ClusterOptions options;
    options.m_resendAfter = milliseconds(500);
    return options;
  }

  static constexpr int kCommands = 30;
  Cluster m_cluster;
  std::size_t m_snapshots = 0;
};

// Guards against a new leader that copies its whole state to followers that are
// level, because their first answers take longer than a heartbeat interval.
TEST_F(SlowAnswersTest, SlowAnswersToANewLeaderCauseNoSnapshot)
{
  const std::size_t before = *m_cluster.Leader();
  m_cluster.m_filter = [&](Message& aMessage) {
    m_snapshots += std::holds_alternative<SnapshotRequest>(aMessage.m_body);
    return !std::holds_alternative<AppendResponse>(aMessage.m_body);
  };
  m_cluster.Crash(before);
  ASSERT_TRUE(m_cluster.RunUntil(
    [&] { return m_cluster.Leader().value_or(before) != before; }, seconds(5)));
  m_cluster.Run(milliseconds(500));
  EXPECT_EQ(m_snapshots, 0U);
  m_cluster.m_filter = nullptr;
  EXPECT_TRUE(m_cluster.MakesProgress());
  EXPECT_TRUE(m_cluster.Violations().empty());
}

// Guards against a leader that reads and sends its state again and again for a
// member that is cut off; the member gets it once it answers.
TEST_F(SlowAnswersTest, SilentMemberGetsNoSnapshotUntilItAnswers)
{
  const std::size_t silent = m_cluster.Follower();
  const InstanceId name = m_cluster.Name(silent);
  m_cluster.m_filter = [&](Message& aMessage) {
    m_snapshots += std::holds_alternative<SnapshotRequest>(aMessage.m_body);
    return aMessage.m_to.m_instance != name &&
           aMessage.m_from.m_instance != name;
  };
  for (int command = 0; command < kCommands; ++command) {
    m_cluster.Propose(*m_cluster.Leader());
    m_cluster.Run(milliseconds(5));
  }
  m_cluster.Run(seconds(10));
  EXPECT_LE(m_snapshots, 1U);
  m_cluster.m_filter = nullptr;
  EXPECT_TRUE(
    m_cluster.RunUntil([&] { return m_cluster.IsWhole(); }, seconds(10)));
  EXPECT_TRUE(m_cluster.Violations().empty());
}

// Guards against a leader that fills its link and memory with copies of entries
// whose acknowledgements are slow.
TEST_F(SlowAnswersTest, EntriesAreNotSentAgainBeforeTheirTime)
{
  const std::size_t leader = *m_cluster.Leader();
  std::size_t requests = 0;
  m_cluster.m_filter = [&](Message& aMessage) {
    const auto* request = std::get_if<AppendRequest>(&aMessage.m_body);
    requests += request != nullptr && !request->m_entries.empty();
    return !std::holds_alternative<AppendResponse>(aMessage.m_body);
  };
  const auto command = m_cluster.Propose(leader);
  m_cluster.Run(milliseconds(400));
  EXPECT_EQ(requests, m_cluster.Size() - 1);
  m_cluster.m_filter = nullptr;
  EXPECT_TRUE(m_cluster.RunUntil(
    [&] { return m_cluster.IsAcknowledged(command); }, seconds(1)));
  EXPECT_TRUE(m_cluster.Violations().empty());
}

} // namespace
} // namespace auburntrestle::consensus::test
