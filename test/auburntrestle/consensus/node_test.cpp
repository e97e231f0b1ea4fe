#include "auburntrestle/consensus/memory_storage.hpp"
#include "auburntrestle/consensus/node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::consensus::test {
namespace {

/** Three initial members with storages in memory and immediate delivery. */
class NodeTest : public testing::Test
{
protected:
  NodeTest()
  {
    for (const char* name : { "a", "b", "c" }) {
      m_options.m_initialMembers.emplace_back(name);
    }
    m_options.m_bootstrap = true;
    m_options.m_maxCommandBytes = 1000;
    m_options.m_maxMessageBytes = 100;
    m_options.m_maxInflightBytes = 200;
    m_options.m_maxUncommittedBytes = 3000;
    for (std::size_t member = 0; member < 3; ++member) {
      m_options.m_self = m_options.m_initialMembers[member];
      m_options.m_seed = member + 1;
      m_options.m_sessionNonce = member + 1;
      m_storages.push_back(std::make_unique<MemoryStorage>());
      std::vector<Action> actions;
      m_nodes.push_back(
        *Node::Create(m_options, *m_storages.back(), m_now, actions));
    }
    // Only the first member gets ticks, so it is elected.
    while (!m_nodes[0].IsLeader()) {
      m_now += std::chrono::milliseconds(10);
      Handle(0, { Tick{} });
      DeliverMessages();
    }
    DeliverMessages();
    m_outcomes.clear();
  }

  void Handle(std::size_t aMember, const std::vector<Event>& aEvents)
  {
    std::vector<Action> actions;
    m_nodes[aMember].Handle(aEvents, m_now, actions);
    for (Action& action : actions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        m_messages.push_back(std::move(send->m_message));
      } else {
        m_outcomes.push_back(std::move(action));
      }
    }
  }

  void DeliverMessages()
  {
    while (!m_messages.empty()) {
      const Message message = std::move(m_messages.front());
      m_messages.pop_front();
      for (std::size_t member = 0; member < 3; ++member) {
        if (m_nodes[member].Identity().m_instance == message.m_to.m_instance) {
          Handle(member, { MessageReceived{ message } });
        }
      }
    }
  }

  /** @return the reason of the only rejection among the outcomes. */
  std::optional<RejectionReason> Rejection()
  {
    std::optional<RejectionReason> reason;
    for (const Action& action : m_outcomes) {
      if (const auto* rejected = std::get_if<ProposalRejected>(&action)) {
        EXPECT_FALSE(reason);
        reason = rejected->m_reason;
      }
    }
    m_outcomes.clear();
    return reason;
  }

  template<typename Wanted>
  std::size_t Count() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_outcomes.begin(), m_outcomes.end(), [](const Action& aAction) {
        return std::holds_alternative<Wanted>(aAction);
      }));
  }

  Options m_options;
  TimePoint m_now;
  std::vector<std::unique_ptr<MemoryStorage>> m_storages;
  std::vector<Node> m_nodes;
  std::deque<Message> m_messages;
  std::vector<Action> m_outcomes;
};

// Guards against a rejection that does not show whether the command has
// certainly not run.
TEST_F(NodeTest, RejectionsNameTheirReason)
{
  struct Case
  {
    std::size_t m_member;
    std::vector<Event> m_events;
    RejectionReason m_expected;
  };
  const ProposalId id(7);
  const MemberIdentity added{ InstanceId("d"), Incarnation(9) };
  const std::vector<Case> cases{
    { 1, { Propose{ id, "x" } }, RejectionReason::NotLeader },
    { 0, { Propose{ id, std::string(1001, 'x') } }, RejectionReason::TooLarge },
    { 0,
      { ChangeMembership{ id, AddLearner{ m_nodes[1].Identity() } } },
      RejectionReason::InvalidChange },
    { 0,
      { ChangeMembership{ id, PromoteLearner{ InstanceId("d") } } },
      RejectionReason::InvalidChange },
    { 0,
      { ChangeMembership{ ProposalId(1), AddLearner{ added } },
        ChangeMembership{ id, RemoveMember{ InstanceId("c") } } },
      RejectionReason::MembershipChangeInProgress },
    { 0,
      { ChangeMembership{ id, PromoteLearner{ InstanceId("d") } } },
      RejectionReason::LearnerBehind },
    { 0,
      { TransferLeadership{}, Propose{ id, "x" } },
      RejectionReason::TransferringLeadership },
  };
  for (const Case& each : cases) {
    SCOPED_TRACE(ToString(each.m_expected));
    Handle(each.m_member, each.m_events);
    DeliverMessages();
    const auto reason = Rejection();
    EXPECT_EQ(reason, each.m_expected);
    EXPECT_TRUE(IsNotRun(*reason));
  }
  EXPECT_FALSE(m_nodes[0].IsLeader());
}

// Guards against a restarted leader that stops because the log, which it
// applies again from the start, contains an old configuration without it.
TEST_F(NodeTest, ALeaderOutlivesAnOldConfigurationWithoutIt)
{
  const MemberIdentity returning = m_nodes[2].Identity();
  Handle(
    0, { ChangeMembership{ ProposalId(1), RemoveMember{ InstanceId("c") } } });
  DeliverMessages();
  Handle(0, { ChangeMembership{ ProposalId(2), AddLearner{ returning } } });
  DeliverMessages();
  for (int tick = 0; tick < 200; ++tick) {
    m_now += std::chrono::milliseconds(10);
    Handle(0, { Tick{} });
    DeliverMessages();
  }
  ASSERT_TRUE(m_nodes[0].Status().m_configuration.IsVoter(returning));

  m_nodes.clear();
  for (std::size_t member = 0; member < 3; ++member) {
    m_options.m_self = m_options.m_initialMembers[member];
    m_options.m_sessionNonce = member + 10;
    std::vector<Action> actions;
    m_nodes.push_back(
      *Node::Create(m_options, *m_storages[member], m_now, actions));
  }
  m_outcomes.clear();
  for (int tick = 0; tick < 300; ++tick) {
    m_now += std::chrono::milliseconds(10);
    Handle(2, { Tick{} });
    DeliverMessages();
  }
  EXPECT_TRUE(m_nodes[2].IsLeader());
  for (const Action& outcome : m_outcomes) {
    EXPECT_FALSE(std::holds_alternative<MemberStopped>(outcome));
  }
}

// Guards against unbounded memory on a leader whose followers do not respond,
// and against a proposal without a result after the leader steps down.
TEST_F(NodeTest, ProposalsAndMessagesAreBoundedInBytes)
{
  std::size_t accepted = 0;
  for (; accepted < 100; ++accepted) {
    Handle(0, { Propose{ ProposalId(accepted), std::string(80, 'x') } });
    if (Rejection() == RejectionReason::Overloaded) {
      break;
    }
  }
  EXPECT_LT(accepted, 30U);
  std::size_t sent = 0;
  for (const Message& message : m_messages) {
    if (const auto* append = std::get_if<AppendRequest>(&message.m_body)) {
      EXPECT_EQ(append->m_entries.size(), 1U);
      ++sent;
    }
  }
  // Two messages of 112 bytes to each follower reach the limit of 200 bytes.
  EXPECT_EQ(sent, 4U);
  m_messages.clear();
  m_now += std::chrono::seconds(1);
  Handle(0, { Tick{} });
  EXPECT_FALSE(m_nodes[0].IsLeader());
  EXPECT_EQ(Count<ProposalRejected>(), accepted);
  for (const Action& action : m_outcomes) {
    if (const auto* rejected = std::get_if<ProposalRejected>(&action)) {
      EXPECT_EQ(rejected->m_reason, RejectionReason::LeadershipLost);
    }
  }
}

// Guards against a sync per event, which would limit the proposal rate to the
// sync rate of the device.
TEST_F(NodeTest, EventsHandledTogetherShareOneSync)
{
  const std::size_t before = m_storages[0]->SyncCount();
  Handle(0,
         { Propose{ ProposalId(1), "x" },
           Propose{ ProposalId(2), "y" },
           Propose{ ProposalId(3), "z" } });
  EXPECT_EQ(m_storages[0]->SyncCount(), before + 1);
  DeliverMessages();
  std::vector<ProposalId> completed;
  for (const Action& action : m_outcomes) {
    if (const auto* apply = std::get_if<ApplyEntry>(&action);
        apply != nullptr && apply->m_proposal) {
      completed.push_back(*apply->m_proposal);
    }
  }
  EXPECT_EQ(completed,
            (std::vector{ ProposalId(1), ProposalId(2), ProposalId(3) }));
}

// Guards against an acknowledgement or vote that is sent after the storage
// failed.
TEST_F(NodeTest, AFailedStorageStopsTheMemberWithoutResponse)
{
  const StorageError full{ StorageErrorKind::DiskFull, "f", 5, 28 };
  Handle(0, { Propose{ ProposalId(1), "x" } });
  const std::deque<Message> requests = std::exchange(m_messages, {});
  for (std::size_t operations = 0; operations < 2; ++operations) {
    const std::size_t follower = operations + 1;
    m_storages[follower]->FailAfter(operations, full);
    for (const Message& request : requests) {
      if (request.m_to == m_nodes[follower].Identity()) {
        Handle(follower, { MessageReceived{ request } });
      }
    }
    EXPECT_TRUE(m_messages.empty());
    ASSERT_EQ(Count<MemberStopped>(), 1U);
    EXPECT_EQ(std::get<MemberStopped>(m_outcomes.back()).m_error, full);
    m_outcomes.clear();
    Handle(follower, { Tick{}, Propose{ ProposalId(1), "x" } });
    EXPECT_TRUE(m_messages.empty());
    EXPECT_EQ(Rejection(), RejectionReason::Stopped);
  }
}

} // namespace
} // namespace auburntrestle::consensus::test
