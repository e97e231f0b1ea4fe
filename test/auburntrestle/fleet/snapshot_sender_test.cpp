#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/snapshot_sender.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

class SnapshotSenderTest : public testing::Test
{
protected:
  using ReplyCallback = std::function<void(protocol::Expected<std::uint64_t>)>;

  SnapshotSenderTest()
    : m_outputs(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_sender(
        [this](const InstanceId& aTo,
               const OutputChunk&,
               ReplyCallback aReply) {
          m_contacted.insert(aTo);
          m_replies.push_back(std::move(aReply));
        },
        [this](const InstanceId& aTo, const std::string&) {
          m_completed.insert(aTo);
        })
  {
  }

  void RequestSnapshot(const std::string& aMember)
  {
    m_sender.Start(InstanceId(aMember),
                   { { OutputSegment(1), 0 } },
                   "state",
                   *m_outputs,
                   MonotonicClock::Now());
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs;
  std::set<InstanceId> m_contacted;
  std::set<InstanceId> m_completed;
  std::vector<ReplyCallback> m_replies;
  SnapshotSender m_sender;
};

// Guards against a leader that runs out of memory because it holds one encoded
// state for each of many members that need a snapshot.
TEST_F(SnapshotSenderTest, LimitsConcurrentTransfersAndServesAllMembers)
{
  const std::vector<std::string> members{ "a", "b", "c", "d", "e" };
  for (const auto& member : members) {
    RequestSnapshot(member);
  }
  EXPECT_EQ(m_contacted.size(), 2U);
  while (m_completed.size() < members.size()) {
    ASSERT_FALSE(m_replies.empty());
    for (const auto& reply : std::exchange(m_replies, {})) {
      reply(std::uint64_t{ 0 });
    }
    for (const auto& member : members) {
      if (!m_completed.contains(InstanceId(member))) {
        RequestSnapshot(member);
      }
    }
    EXPECT_LE(m_replies.size(), 2U);
  }
}

} // namespace
} // namespace auburntrestle::fleet
