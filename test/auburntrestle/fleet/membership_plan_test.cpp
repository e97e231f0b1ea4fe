#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/membership_plan.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using consensus::MemberRole;

class MembershipPlanTest : public testing::Test
{
protected:
  MembershipPlanTest()
    : m_outputs(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_state(*m_outputs)
  {
    m_status.m_identity = Identity("a");
    m_status.m_role = consensus::NodeRole::Leader;
    m_status.m_last.m_index = LogIndex(100);
  }

  static consensus::MemberIdentity Identity(const std::string& aName)
  {
    return { InstanceId(aName), Incarnation(1) };
  }

  /** Adds a member whose last contact was aSilence ago. */
  void Add(const std::string& aName,
           MemberRole aRole,
           Duration aSilence = Duration::zero(),
           std::uint64_t aMatch = 100)
  {
    m_status.m_configuration.m_members.push_back({ Identity(aName), aRole });
    m_status.m_progress.push_back(
      { Identity(aName), LogIndex(aMatch), m_now - aSilence });
    std::ignore = m_state.Apply(AnnounceMember{
      InstanceId(aName), "machine-" + aName, DataCentreId("dc-" + aName) });
  }

  /** @return the planned change as text. */
  [[nodiscard]] std::string Plan()
  {
    const auto change =
      PlanMembership(m_policy, m_status, m_state, m_joining, m_now);
    if (!change) {
      return "none";
    }
    if (const auto* add = std::get_if<consensus::AddLearner>(&*change)) {
      return "add " + add->m_member.m_instance.Get();
    }
    if (const auto* add = std::get_if<consensus::PromoteLearner>(&*change)) {
      return "promote " + add->m_instance.Get();
    }
    return "remove " +
           std::get<consensus::RemoveMember>(*change).m_instance.Get();
  }

  /** @return the instances that the leader notifies, each after a space. */
  [[nodiscard]] std::string Notified() const
  {
    std::string names;
    for (const auto& instance : InstancesToNotify(m_status, m_state, m_now)) {
      names += " " + instance.Get();
    }
    return names;
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs;
  State m_state;
  consensus::NodeStatus m_status;
  MembershipPolicy m_policy;
  std::vector<consensus::MemberIdentity> m_joining;
  TimePoint m_now{ std::chrono::seconds(1000) };
};

TEST_F(MembershipPlanTest, KeepsACompleteMembership)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("d", MemberRole::Learner);
  EXPECT_EQ(Plan(), "none");
}

TEST_F(MembershipPlanTest, AddsAJoiningInstance)
{
  Add("a", MemberRole::Voter);
  m_joining = { Identity("e") };
  EXPECT_EQ(Plan(), "add e");
}

// Guards against a leader that copies the log to every store.
TEST_F(MembershipPlanTest, AddsNoMoreThanTheTarget)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("d", MemberRole::Learner);
  m_joining = { Identity("e") };
  EXPECT_EQ(Plan(), "add e");
  Add("f", MemberRole::Learner);
  EXPECT_EQ(Plan(), "none");
  m_status.m_progress.back().m_lastContact -= std::chrono::seconds(6);
  EXPECT_EQ(Plan(), "add e");
}

// Guards against a log whose voters can't be spread over the data centres,
// because all learners are in the same one.
TEST_F(MembershipPlanTest, AddsFromTheDataCentreWithTheFewestMembers)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  for (const auto& [name, centre] :
       { std::pair{ "e", "dc-a" }, std::pair{ "f", "dc-z" } }) {
    std::ignore = m_state.Apply(AnnounceMember{
      InstanceId(name), std::string("machine-") + name, DataCentreId(centre) });
    m_joining.push_back(Identity(name));
  }
  EXPECT_EQ(Plan(), "add f");
}

// Guards against the loss of entries that only the disk of a removed voter
// held.
TEST_F(MembershipPlanTest, ReplacesALostVoterBeforeItIsRemoved)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter, std::chrono::seconds(6));
  EXPECT_EQ(Plan(), "none");
  Add("d", MemberRole::Learner, Duration::zero(), 10);
  EXPECT_EQ(Plan(), "none");
  m_status.m_progress.back().m_match = LogIndex(100);
  EXPECT_EQ(Plan(), "promote d");
  m_status.m_configuration.m_members.back().m_role = MemberRole::Voter;
  EXPECT_EQ(Plan(), "remove c");
}

// Guards against a voter that is known to be gone and is waited for.
TEST_F(MembershipPlanTest, ReplacesAVoterWhoseMachineHasAnotherInstance)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter, std::chrono::seconds(2));
  Add("d", MemberRole::Learner);
  EXPECT_EQ(Plan(), "none");
  std::ignore = m_state.Apply(
    AnnounceMember{ InstanceId("e"), "machine-c", DataCentreId("dc-c") });
  EXPECT_EQ(Plan(), "promote d");
  m_status.m_configuration.m_members.back().m_role = MemberRole::Voter;
  EXPECT_EQ(Plan(), "remove c");
}

TEST_F(MembershipPlanTest, RemovesNobodyWithoutAMajorityInContact)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter, std::chrono::seconds(2));
  Add("c", MemberRole::Voter, std::chrono::seconds(6));
  Add("d", MemberRole::Voter, std::chrono::seconds(2));
  EXPECT_EQ(Plan(), "none");
}

TEST_F(MembershipPlanTest, ReplacesMembersOfARetiringMachine)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("d", MemberRole::Learner);
  ASSERT_EQ(*m_state.Apply(RetireMember{ "machine-b", 3 }),
            CommandResult::Done);
  EXPECT_EQ(Plan(), "promote d");
  m_status.m_configuration.m_members.back().m_role = MemberRole::Voter;
  EXPECT_EQ(Plan(), "remove b");
  m_status.m_configuration.m_members.erase(
    m_status.m_configuration.m_members.begin() + 1);
  m_joining = { Identity("b") };
  EXPECT_EQ(Plan(), "none");
}

// Guards against a log whose voters become too few for the losses that it has
// to tolerate, because a retiring voter left although no learner could replace
// it.
TEST_F(MembershipPlanTest, KeepsARetiringVoterUntilItIsReplaced)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("d", MemberRole::Learner, std::chrono::seconds(40));
  ASSERT_EQ(*m_state.Apply(RetireMember{ "machine-b", 3 }),
            CommandResult::Done);
  EXPECT_EQ(Plan(), "remove d");
  m_status.m_configuration.m_members.pop_back();
  EXPECT_EQ(Plan(), "none");
  Add("e", MemberRole::Learner);
  EXPECT_EQ(Plan(), "promote e");
  m_status.m_configuration.m_members.back().m_role = MemberRole::Voter;
  EXPECT_EQ(Plan(), "remove b");
}

// Guards against a new leader that takes a voter which is gone for one that
// replaces a retiring voter, because it has not been silent for long.
TEST_F(MembershipPlanTest, ANewLeaderKeepsARetiringVoterUntilOthersReply)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("gone", MemberRole::Voter, Duration::zero(), 0);
  ASSERT_EQ(*m_state.Apply(RetireMember{ "machine-b", 3 }),
            CommandResult::Done);
  EXPECT_EQ(Plan(), "none");
  m_status.m_progress.back().m_match = LogIndex(100);
  EXPECT_EQ(Plan(), "remove b");
}

// Guards against a machine that is removed with its disk while the log may
// still return to a configuration that needs it.
TEST_F(MembershipPlanTest, ARetirementCompletesOnceItsRemovalIsCommitted)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("c", MemberRole::Voter);
  Add("d", MemberRole::Voter);
  const auto retirement = [&] {
    return RetirementOf("machine-b", m_status, m_state);
  };
  EXPECT_EQ(retirement(), Retirement::Unknown);
  ASSERT_EQ(*m_state.Apply(RetireMember{ "machine-b", 3 }),
            CommandResult::Done);
  EXPECT_EQ(retirement(), Retirement::Running);
  m_status.m_configuration.m_members.erase(
    m_status.m_configuration.m_members.begin() + 1);
  m_status.m_isConfigurationCommitted = false;
  EXPECT_EQ(retirement(), Retirement::Running);
  m_status.m_isConfigurationCommitted = true;
  EXPECT_EQ(retirement(), Retirement::Completed);
}

// Guards against a member that lost its disk when all seeds it knows were
// replaced: it must learn who leads, although the log still lists its address.
TEST_F(MembershipPlanTest, SilentMembersAndNonMembersAreNotified)
{
  Add("a", MemberRole::Voter);
  Add("b", MemberRole::Voter);
  Add("lost", MemberRole::Voter, std::chrono::seconds(2));
  std::ignore = m_state.Apply(
    AnnounceMember{ InstanceId("outside"), "machine-x", DataCentreId("dc") });
  EXPECT_EQ(Notified(), " lost outside");
}

} // namespace
} // namespace auburntrestle::fleet
