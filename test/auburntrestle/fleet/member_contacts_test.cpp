#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/member_contacts.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::seconds;

constexpr Duration kLossTimeout = seconds(10);
constexpr TimePoint kNow{ seconds(100) };

/** What the leader received from another announced store, by its age. */
struct ContactCase
{
  std::string m_name;
  Duration m_leadershipAge;
  std::optional<Duration> m_replyAge;
  std::optional<Duration> m_joinRequestAge;
  bool m_isLost;
};

void PrintTo(const ContactCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class MemberContactsTest : public testing::TestWithParam<ContactCase>
{
protected:
  MemberContactsTest()
    : m_outputs(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_state(*m_outputs)
  {
    m_status.m_identity = { InstanceId("leader"), Incarnation(1) };
    for (const auto* name : { "leader", "store" }) {
      std::ignore = m_state.Apply(
        AnnounceMember{ InstanceId(name), name, DataCentreId("dc") });
    }
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs;
  State m_state;
  consensus::NodeStatus m_status;
};

// Guards against a store that is gone and counts as present, and against one
// that is present and counts as gone, because it is outside the log or its
// leader is new.
TEST_P(MemberContactsTest, FindsStoresWithoutContact)
{
  const auto& given = GetParam();
  MemberContacts contacts;
  contacts.Restart(kNow - given.m_leadershipAge);
  if (given.m_replyAge) {
    m_status.m_progress.push_back({ { InstanceId("store"), Incarnation(1) },
                                    LogIndex(1),
                                    kNow - *given.m_replyAge });
  }
  if (given.m_joinRequestAge) {
    contacts.RecordJoinRequest(InstanceId("store"),
                               kNow - *given.m_joinRequestAge);
  }
  const auto lost = contacts.FindLost(m_status, m_state, kLossTimeout, kNow);
  const std::vector<InstanceId> expected(given.m_isLost ? 1 : 0,
                                         InstanceId("store"));
  EXPECT_EQ(lost, expected);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  MemberContactsTest,
  testing::Values(
    ContactCase{ "member_in_contact", seconds(50), seconds(1), {}, false },
    ContactCase{ "silent_member", seconds(50), seconds(11), {}, true },
    ContactCase{ "outside_the_log", seconds(50), {}, seconds(1), false },
    ContactCase{ "silent_outside_the_log", seconds(50), {}, seconds(11), true },
    ContactCase{ "removed_from_the_log", seconds(50), {}, {}, true },
    ContactCase{ "new_leader", seconds(5), {}, {}, false },
    ContactCase{ "rejoins", seconds(50), seconds(40), seconds(1), false }));

} // namespace
} // namespace auburntrestle::fleet
