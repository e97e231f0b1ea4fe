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
  using Answer = std::function<void(protocol::Expected<std::uint64_t>)>;

  SnapshotSenderTest()
    : m_texts(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_sender(
        [this](const InstanceId& aTo, const OutputChunk&, Answer aAnswer) {
          m_asked.insert(aTo);
          m_answers.push_back(std::move(aAnswer));
        },
        [this](const InstanceId& aTo, const std::string&) {
          m_served.insert(aTo);
        })
  {
  }

  void Want(const std::string& aMember)
  {
    m_sender.Start(InstanceId(aMember),
                   { { OutputSegment(1), 0 } },
                   "state",
                   *m_texts,
                   MonotonicClock::Now());
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_texts;
  std::set<InstanceId> m_asked;
  std::set<InstanceId> m_served;
  std::vector<Answer> m_answers;
  SnapshotSender m_sender;
};

// Guards against a leader that exceeds its memory because it holds one encoded
// state for each of many members that lack it.
TEST_F(SnapshotSenderTest, CopiesToFewMembersAtOnceAndToTheOthersLater)
{
  const std::vector<std::string> members{ "a", "b", "c", "d", "e" };
  for (const auto& member : members) {
    Want(member);
  }
  EXPECT_EQ(m_asked.size(), 2U);
  while (m_served.size() < members.size()) {
    ASSERT_FALSE(m_answers.empty());
    for (const auto& answer : std::exchange(m_answers, {})) {
      answer(std::uint64_t{ 0 });
    }
    for (const auto& member : members) {
      if (!m_served.contains(InstanceId(member))) {
        Want(member);
      }
    }
    EXPECT_LE(m_answers.size(), 2U);
  }
}

} // namespace
} // namespace auburntrestle::fleet
