#include "auburntrestle/consensus/memory_storage.hpp"
#include "auburntrestle/consensus/node.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <utility>
#include <vector>

namespace auburntrestle::consensus::test {
namespace {

/** A leader, the only voter, and a learner that follows it. */
class LearnerTest : public testing::Test
{
protected:
  LearnerTest()
    : m_leader(Create("a", true, m_leaderStorage))
    , m_learner(Create("b", false, m_learnerStorage))
  {
    Handle(m_leader, Tick{});
    Handle(
      m_leader,
      ChangeMembership{ ProposalId(1), AddLearner{ m_learner.Identity() } });
    Run(std::chrono::seconds(1));
  }

  Node Create(const char* aName, bool aBootstrap, MemoryStorage& aStorage)
  {
    Options options;
    options.m_self = InstanceId(aName);
    options.m_initialMembers = { InstanceId("a") };
    options.m_bootstrap = aBootstrap;
    options.m_newIncarnation = Incarnation(9);
    options.m_autoPromote = false;
    std::vector<Action> actions;
    return *Node::Create(options, aStorage, m_now, actions);
  }

  void Handle(Node& aNode, const Event& aEvent)
  {
    std::vector<Action> actions;
    aNode.Handle(aEvent, m_now, actions);
    for (Action& action : actions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        m_messages.push_back(std::move(send->m_message));
      }
    }
  }

  void DeliverMessages()
  {
    while (!m_messages.empty()) {
      const Message message = std::move(m_messages.front());
      m_messages.pop_front();
      Handle(message.m_to.m_instance == InstanceId("a") ? m_leader : m_learner,
             MessageReceived{ message });
    }
  }

  void Run(Duration aTime)
  {
    constexpr Duration kStep = std::chrono::milliseconds(10);
    for (const TimePoint end = m_now + aTime; m_now < end; m_now += kStep) {
      Handle(m_leader, Tick{});
      Handle(m_learner, Tick{});
      DeliverMessages();
    }
  }

  TimePoint m_now;
  std::deque<Message> m_messages;
  MemoryStorage m_leaderStorage;
  MemoryStorage m_learnerStorage;
  Node m_leader;
  Node m_learner;
};

// Guards against an instance that passes calls on to a leader that was replaced
// while the instance was cut off, and that wakes up at once again and again.
TEST_F(LearnerTest, ALearnerForgetsASilentLeader)
{
  ASSERT_EQ(m_learner.Status().m_leader, InstanceId("a"));
  m_now += std::chrono::seconds(2);
  Handle(m_learner, Tick{});
  EXPECT_EQ(m_learner.Status().m_leader, std::nullopt);
  EXPECT_GT(m_learner.NextTimeout(), m_now);
  m_messages.clear();
  Run(std::chrono::seconds(1));
  EXPECT_EQ(m_learner.Status().m_leader, InstanceId("a"));
}

} // namespace
} // namespace auburntrestle::consensus::test
