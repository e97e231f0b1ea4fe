#include "auburntrestle/consensus/cluster.hpp"
#include "auburntrestle/fleet/member_contacts.hpp"
#include "auburntrestle/fleet/membership_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using consensus::test::Cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSeeds = 3;
constexpr std::size_t kDataCentres = 4;
constexpr Duration kRetireTime = seconds(10);
constexpr Duration kPlanInterval = milliseconds(250);
constexpr Duration kNoticeInterval = seconds(1);
/** Time for which the log may repair itself after a loss of disks. */
constexpr Duration kCatchUpTime = seconds(6);
/** Time without trouble after which promises with a time limit hold. */
constexpr Duration kSettleTime = seconds(4);
/** Limit for the acknowledgement of a command. */
constexpr Duration kAcknowledgeLimit = seconds(5);

/** The size of a deployment. */
struct FleetSize
{
  std::size_t m_stores;
  std::size_t m_toleratedLosses;

  [[nodiscard]] std::size_t TargetVoters() const
  {
    return 2 * m_toleratedLosses + 1;
  }
};

constexpr FleetSize kLargeFleet{ 13, 2 };
/** One store more than the log needs. */
constexpr FleetSize kSmallFleet{ 4, 1 };

/**
 * The stores of a deployment in virtual time: members of one log, whose
 * membership is planned as in Replica, and stores outside the log.
 */
class StoreFleet
{
public:
  explicit StoreFleet(std::uint64_t aSeed, FleetSize aSize = kLargeFleet)
    : m_size(aSize)
    , m_outputs(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_state(*m_outputs)
    , m_random(aSeed)
    , m_cluster(MakeOptions(aSeed))
  {
    m_policy.m_targetVoters = m_size.TargetVoters();
    m_policy.m_targetLearners = m_size.m_toleratedLosses + 1;
    m_cluster.m_onJoin = [this](std::size_t aLeader,
                                const consensus::MemberIdentity& aMember) {
      AddJoining(m_joining[aLeader], aMember);
      m_contacts[aLeader].RecordJoinRequest(aMember.m_instance,
                                            m_cluster.LocalNow(aLeader));
    };
    for (std::size_t store = 0; store < m_size.m_stores; ++store) {
      if (store >= kSeeds) {
        m_cluster.AddMember();
      }
      Announce(store, store);
    }
    Run(seconds(13));
  }

  void Run(Duration aTime)
  {
    const TimePoint end = m_cluster.Now() + aTime;
    while (m_cluster.Now() < end) {
      m_cluster.Run(std::min(m_nextPlan, end) - m_cluster.Now());
      if (m_cluster.Now() < m_nextPlan) {
        return;
      }
      m_nextPlan = m_cluster.Now() + kPlanInterval;
      RestartStopped();
      PlanOnLeaders();
      if (const auto leader = m_cluster.Leader()) {
        m_cluster.Propose(*leader);
      }
    }
  }

  void LosePower(const std::set<std::size_t>& aStores, Duration aTime)
  {
    for (const auto store : aStores) {
      m_cluster.Crash(store);
    }
    StartAfter(aStores, aTime);
  }

  void LoseDisks(const std::set<std::size_t>& aStores, Duration aTime)
  {
    for (const auto store : aStores) {
      m_cluster.EraseDisk(store);
    }
    StartAfter(aStores, aTime);
  }

  /** All stores lose power, some of them their disks as well. */
  void LosePowerEverywhere(const std::set<std::size_t>& aEmptied)
  {
    std::set<std::size_t> all;
    for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
      if (!m_gone.contains(store)) {
        all.insert(store);
        m_cluster.Crash(store);
      }
    }
    for (const auto store : aEmptied) {
      m_cluster.EraseDisk(store);
    }
    StartAfter(all, seconds(1));
  }

  /** Stores are lost for good; each one's machine gets an empty store at
   * another address. */
  void Replace(const std::set<std::size_t>& aStores)
  {
    for (const auto store : aStores) {
      m_cluster.EraseDisk(store);
      m_gone.insert(store);
    }
    Run(seconds(1));
    for (const auto store : aStores) {
      Announce(m_cluster.AddMember(), m_machines.at(store));
    }
  }

  /** Stores are lost for good with their machines, and new machines with empty
   * stores take their place. */
  void ReplaceMachines(const std::set<std::size_t>& aStores)
  {
    for (const auto store : aStores) {
      m_cluster.EraseDisk(store);
      m_gone.insert(store);
    }
    Run(seconds(1));
    for (const auto store : aStores) {
      const auto machine = m_machines.at(store);
      Announce(m_cluster.AddMember(), machine + kNewMachines);
    }
  }

  /** Retires a store; its machine is removed once the leader reports that the
   * retirement has completed, and other stores lose their disks at once. */
  void Retire(std::size_t aStore, const std::set<std::size_t>& aEmptied)
  {
    const auto accepted = RequestRetirement(aStore);
    if (accepted != CommandResult::Done) {
      return;
    }
    const TimePoint end = m_cluster.Now() + kRetireTime;
    while (m_cluster.Now() < end && !HasLeft(aStore)) {
      Run(milliseconds(5));
    }
    if (!HasLeft(aStore)) {
      return;
    }
    m_cluster.EraseDisk(aStore);
    m_gone.insert(aStore);
    auto emptied = aEmptied;
    emptied.erase(aStore);
    LoseDisks(emptied, seconds(1));
  }

  /** Separates stores from the others. */
  void Cut(const std::set<std::size_t>& aStores, Duration aTime)
  {
    for (const auto inside : aStores) {
      for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
        if (!aStores.contains(store)) {
          m_cluster.Block(inside, store);
          m_cluster.Block(store, inside);
        }
      }
    }
    Run(aTime);
    m_cluster.Unblock();
  }

  /** Stops stores; they continue with all messages lost meanwhile. */
  void Freeze(const std::set<std::size_t>& aStores, Duration aTime)
  {
    for (const auto store : aStores) {
      m_cluster.SetTicking(store, false);
      m_cluster.Isolate(store);
    }
    Run(aTime);
    m_cluster.SetAllTicking(true);
    m_cluster.Unblock();
  }

  /** @return up to aCount stores; the leader is the first in half of the
   * cases. */
  std::set<std::size_t> Draw(std::size_t aCount)
  {
    std::set<std::size_t> drawn;
    if (const auto leader = m_cluster.Leader();
        leader && m_random.Chance(0.5)) {
      drawn.insert(*leader);
    }
    while (drawn.size() < aCount) {
      const auto store =
        static_cast<std::size_t>(m_random.Below(m_cluster.Size()));
      if (!m_gone.contains(store)) {
        drawn.insert(store);
      }
    }
    return drawn;
  }

  std::set<std::size_t> DrawDataCentre()
  {
    const auto centre = m_random.Below(kDataCentres);
    std::set<std::size_t> drawn;
    for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
      if (m_machines.at(store) % kDataCentres == centre) {
        drawn.insert(store);
      }
    }
    return drawn;
  }

  Duration DrawTime(Duration aMin, Duration aMax)
  {
    return aMin + Duration(static_cast<Duration::rep>(m_random.Below(
                    static_cast<std::uint64_t>((aMax - aMin).count()))));
  }

  std::size_t DrawCount()
  {
    return 1 + m_random.Below(m_size.m_toleratedLosses);
  }
  std::size_t DrawBelow(std::size_t aBound) { return m_random.Below(aBound); }

  [[nodiscard]] std::size_t CountStores() const
  {
    return m_cluster.Size() - m_gone.size();
  }

  bool AcknowledgesInTime()
  {
    Run(kSettleTime);
    const TimePoint end = m_cluster.Now() + kAcknowledgeLimit;
    std::set<std::uint64_t> sent;
    while (m_cluster.Now() < end) {
      if (const auto leader = m_cluster.Leader()) {
        sent.insert(m_cluster.Propose(*leader));
      }
      Run(milliseconds(50));
      for (const auto command : sent) {
        if (m_cluster.IsAcknowledged(command)) {
          return true;
        }
      }
    }
    return false;
  }

  [[nodiscard]] const Cluster& Log() const { return m_cluster; }

private:
  static consensus::test::ClusterOptions MakeOptions(std::uint64_t aSeed)
  {
    consensus::test::ClusterOptions options;
    options.m_initialMembers = kSeeds;
    options.m_seed = aSeed;
    options.m_autoPromote = false;
    options.m_electionTimeout = milliseconds(500);
    options.m_resendTimeout = milliseconds(500);
    return options;
  }

  static void AddJoining(std::vector<consensus::MemberIdentity>& aJoining,
                         const consensus::MemberIdentity& aMember)
  {
    std::erase_if(aJoining, [&](const auto& aOther) {
      return aOther.m_instance == aMember.m_instance;
    });
    aJoining.push_back(aMember);
  }

  CommandResult RequestRetirement(std::size_t aStore)
  {
    RetireMember command{ MachineOf(aStore),
                          static_cast<std::uint32_t>(m_size.TargetVoters()) };
    if (const auto leader = m_cluster.Leader()) {
      command.m_lost =
        m_contacts[*leader].FindLost(m_cluster.Status(*leader),
                                     m_state,
                                     m_policy.m_storeLossTimeout,
                                     m_cluster.LocalNow(*leader));
    }
    return *m_state.Apply(command);
  }

  void Announce(std::size_t aStore, std::size_t aMachine)
  {
    m_machines.emplace(aStore, aMachine);
    std::ignore = m_state.Apply(AnnounceMember{
      m_cluster.Name(aStore),
      MachineOf(aStore),
      DataCentreId("dc-" + std::to_string(aMachine % kDataCentres)) });
  }

  void StartAfter(const std::set<std::size_t>& aStores, Duration aTime)
  {
    m_down.insert(aStores.begin(), aStores.end());
    Run(aTime);
    for (const auto store : aStores) {
      m_down.erase(store);
      m_cluster.Start(store);
    }
  }

  [[nodiscard]] bool HasLeft(std::size_t aStore) const
  {
    const auto leader = m_cluster.Leader();
    return leader && RetirementOf(MachineOf(aStore),
                                  m_cluster.Status(*leader),
                                  m_state) == Retirement::Completed;
  }

  [[nodiscard]] std::string MachineOf(std::size_t aStore) const
  {
    return "machine-" + std::to_string(m_machines.at(aStore));
  }

  /** A replica that was removed from the log is opened again. */
  void RestartStopped()
  {
    for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
      if (!m_cluster.IsRunning(store) && !m_down.contains(store) &&
          !m_gone.contains(store)) {
        m_cluster.Crash(store);
        m_cluster.Start(store);
      }
    }
  }

  void PlanOnLeaders()
  {
    for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
      const auto status = m_cluster.Status(store);
      if (!m_cluster.IsRunning(store) ||
          status.m_role != consensus::NodeRole::Leader) {
        m_contacts[store].Restart(m_cluster.LocalNow(store));
        continue;
      }
      auto& joining = m_joining[store];
      std::erase_if(joining, [&](const auto& aMember) {
        return status.m_configuration.Find(aMember) != nullptr;
      });
      if (const auto change = PlanMembership(
            m_policy, status, m_state, joining, m_cluster.LocalNow(store))) {
        m_cluster.Change(store, *change);
      } else if (m_state.IsRetiring(status.m_identity.m_instance)) {
        m_cluster.TransferLeadership(store);
      }
      if (m_cluster.Now() >= m_nextNotice) {
        m_nextNotice = m_cluster.Now() + kNoticeInterval;
        Notify(status, m_cluster.LocalNow(store));
      }
    }
  }

  void Notify(const consensus::NodeStatus& aStatus, TimePoint aNow)
  {
    std::vector<InstanceId> members;
    for (const auto& member : aStatus.m_configuration.m_members) {
      members.push_back(member.m_identity.m_instance);
    }
    for (const auto& instance : InstancesToNotify(aStatus, m_state, aNow)) {
      for (std::size_t store = 0; store < m_cluster.Size(); ++store) {
        if (m_cluster.Name(store) == instance && m_cluster.IsRunning(store)) {
          m_cluster.SetKnownMembers(store, members);
        }
      }
    }
  }

  /** Distance of the number of a machine to that of its successor; a multiple
   * of kDataCentres, so that both are in the same one. */
  static constexpr std::size_t kNewMachines = 100;

  FleetSize m_size;
  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs;
  State m_state;
  RandomSource m_random;
  Cluster m_cluster;
  MembershipPolicy m_policy;
  std::map<std::size_t, MemberContacts> m_contacts;
  std::map<std::size_t, std::vector<consensus::MemberIdentity>> m_joining;
  /** The machine of each store; its remainder is the data centre. */
  std::map<std::size_t, std::size_t> m_machines;
  std::set<std::size_t> m_gone;
  std::set<std::size_t> m_down;
  TimePoint m_nextPlan;
  TimePoint m_nextNotice;
};

struct Trouble
{
  std::string m_name;
  std::function<void(StoreFleet&)> m_strike;
  bool m_losesDisks = false;
};

const std::vector<Trouble>& Troubles()
{
  static const std::vector<Trouble> kTroubles{
    { "power",
      [](StoreFleet& aFleet) {
        aFleet.LosePower(aFleet.Draw(aFleet.DrawCount()),
                         aFleet.DrawTime(seconds(1), seconds(7)));
      } },
    { "disks",
      [](StoreFleet& aFleet) {
        aFleet.LoseDisks(aFleet.Draw(aFleet.DrawCount()),
                         aFleet.DrawTime(seconds(1), seconds(3)));
      },
      true },
    { "replaced",
      [](StoreFleet& aFleet) {
        aFleet.Replace(aFleet.Draw(aFleet.DrawCount()));
      },
      true },
    { "cut",
      [](StoreFleet& aFleet) {
        aFleet.Cut(aFleet.Draw(aFleet.DrawCount()),
                   aFleet.DrawTime(seconds(1), seconds(11)));
      } },
    { "data_centre",
      [](StoreFleet& aFleet) {
        aFleet.Cut(aFleet.DrawDataCentre(),
                   aFleet.DrawTime(seconds(4), seconds(7)));
      } },
    { "split",
      [](StoreFleet& aFleet) {
        aFleet.Cut(aFleet.Draw(aFleet.CountStores() / 2),
                   aFleet.DrawTime(seconds(4), seconds(7)));
      } },
    { "freeze",
      [](StoreFleet& aFleet) {
        aFleet.Freeze(aFleet.Draw(aFleet.DrawCount()),
                      aFleet.DrawTime(seconds(2), seconds(7)));
      } },
    { "retired",
      [](StoreFleet& aFleet) {
        aFleet.Retire(*aFleet.Draw(1).begin(), aFleet.Draw(aFleet.DrawCount()));
      },
      true },
    { "all",
      [](StoreFleet& aFleet) {
        aFleet.LosePowerEverywhere(aFleet.Draw(aFleet.DrawCount()));
      },
      true },
  };
  return kTroubles;
}

class MembershipFaultsTest : public testing::TestWithParam<std::uint64_t>
{};

// Guards against a log that stays without a majority after losses that it has
// to tolerate, because its membership was not repaired in time.
TEST_P(MembershipFaultsTest, AcknowledgesAfterToleratedLosses)
{
  StoreFleet fleet(GetParam());
  std::string history;
  constexpr int kTroublesInARow = 6;
  for (int number = 0; number < kTroublesInARow; ++number) {
    const auto& trouble = Troubles()[fleet.DrawBelow(Troubles().size())];
    history += trouble.m_name + " ";
    trouble.m_strike(fleet);
    fleet.Run(trouble.m_losesDisks ? kCatchUpTime
                                   : fleet.DrawTime({}, kCatchUpTime));
  }
  EXPECT_TRUE(fleet.AcknowledgesInTime()) << history << '\n'
                                          << fleet.Log().Describe();
  EXPECT_TRUE(fleet.Log().Violations().empty()) << history << '\n'
                                                << fleet.Log().Describe();
}

// Guards against voters that stay in the log after their machines came back at
// other addresses, until the next loss leaves no majority.
TEST_P(MembershipFaultsTest, AcknowledgesWhenStoresAreReplacedInARow)
{
  StoreFleet fleet(GetParam());
  constexpr int kReplacements = 6;
  for (int number = 0; number < kReplacements; ++number) {
    fleet.Replace(fleet.Draw(kLargeFleet.m_toleratedLosses));
    fleet.Run(kCatchUpTime);
  }
  EXPECT_TRUE(fleet.AcknowledgesInTime()) << fleet.Log().Describe();
  EXPECT_TRUE(fleet.Log().Violations().empty()) << fleet.Log().Describe();
}

// Guards against a log that ends for good with one disk, because a retirement
// counted a machine that had been replaced by another as one that remains.
TEST_P(MembershipFaultsTest, ADiskIsLostAfterAReplacementAndRetirements)
{
  StoreFleet fleet(GetParam(), kSmallFleet);
  fleet.ReplaceMachines(fleet.Draw(1));
  fleet.Run(fleet.DrawTime(seconds(2), seconds(12)));
  for (int number = 0; number < 2; ++number) {
    fleet.Retire(*fleet.Draw(1).begin(), {});
    fleet.Run(fleet.DrawTime(seconds(2), seconds(12)));
  }
  fleet.LoseDisks(fleet.Draw(1), seconds(2));
  EXPECT_TRUE(fleet.AcknowledgesInTime()) << fleet.Log().Describe();
  EXPECT_TRUE(fleet.Log().Violations().empty()) << fleet.Log().Describe();
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         MembershipFaultsTest,
                         testing::Range(std::uint64_t{ 1 },
                                        std::uint64_t{ 21 }));

} // namespace
} // namespace auburntrestle::fleet
