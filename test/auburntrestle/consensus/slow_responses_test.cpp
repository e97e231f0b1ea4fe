#include "auburntrestle/consensus/cluster.hpp"

#include <gtest/gtest.h>

#include <variant>

namespace auburntrestle::consensus::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A fully replicated cluster whose log no longer starts at the first entry. */
class SlowResponsesTest : public testing::Test
{
protected:
  SlowResponsesTest()
    : m_cluster(MakeOptions())
  {
    m_cluster.CommitsNewCommand();
    for (int command = 0; command < kCommands; ++command) {
      m_cluster.Propose(*m_cluster.Leader());
      m_cluster.Run(milliseconds(5));
    }
    m_cluster.RunUntil([&] { return m_cluster.IsFullyReplicated(); },
                       seconds(5));
  }

  static ClusterOptions MakeOptions()
  {
    ClusterOptions options;
    options.m_resendTimeout = milliseconds(500);
    return options;
  }

  static constexpr int kCommands = 30;
  Cluster m_cluster;
  std::size_t m_snapshots = 0;
};

// Guards against a new leader that sends a snapshot to up-to-date followers
// because their first responses take longer than a heartbeat interval.
TEST_F(SlowResponsesTest, SlowResponsesToANewLeaderCauseNoSnapshot)
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
  EXPECT_TRUE(m_cluster.CommitsNewCommand());
  EXPECT_TRUE(m_cluster.Violations().empty());
}

// Guards against a leader that repeatedly reads and sends its snapshot for an
// unreachable member; the member gets it once it responds.
TEST_F(SlowResponsesTest, UnresponsiveMemberGetsNoSnapshotUntilItResponds)
{
  const std::size_t unresponsive = m_cluster.Follower();
  const InstanceId name = m_cluster.Name(unresponsive);
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
  EXPECT_TRUE(m_cluster.RunUntil([&] { return m_cluster.IsFullyReplicated(); },
                                 seconds(10)));
  EXPECT_TRUE(m_cluster.Violations().empty());
}

// Guards against a leader that fills its connection and memory with copies of
// entries whose acknowledgements are slow.
TEST_F(SlowResponsesTest, EntriesAreNotResentBeforeTheTimeout)
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
