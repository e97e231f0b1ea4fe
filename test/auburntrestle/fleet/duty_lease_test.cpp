#include "auburntrestle/core/random.hpp"
#include "auburntrestle/fleet/duty_lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLease = milliseconds(3000);
/** A call that was cancelled may still arrive for this long. */
constexpr Duration kMaxNetworkDelay = milliseconds(1000);
constexpr std::size_t kInstances = 3;

/** A fault of the holder that the simulation brings about. */
enum class Mutation : std::uint8_t
{
  None,
  /** Calls go on after the lease has expired. */
  StopsLate,
  /** The next leader does not know the last lease record. */
  RecordNotDurable,
};

/** A call as the API sees it. */
struct Arrival
{
  BootTime m_at{};
  std::size_t m_instance = 0;
  std::uint64_t m_term = 0;
};

/**
 * Instances that elect leaders, commit lease records and call, in virtual time.
 * An old leader learns late of its successor, records are applied late, and
 * instances freeze between any two steps.
 */
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, Mutation aMutation)
    : m_random(aSeed)
    , m_mutation(aMutation)
  {
  }

  /** Takes random steps. */
  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      m_now += Milliseconds(0, 400);
      if (m_random.Unit() < kElectionShare) {
        Elect();
      }
      for (std::size_t instance = 0; instance < kInstances; ++instance) {
        Act(instance);
      }
    }
  }

  /** @return the arrivals in the order in which the API sees them. */
  [[nodiscard]] std::vector<Arrival> Arrivals() const
  {
    auto arrivals = m_arrivals;
    std::stable_sort(arrivals.begin(),
                     arrivals.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.m_at < aRight.m_at;
                     });
    return arrivals;
  }

private:
  static constexpr double kElectionShare = 0.06;
  static constexpr double kFreezeShare = 0.05;

  struct Instance
  {
    DutyLease m_lease{ kLease };
    /** The term that the instance believes to lead; 0 for none. */
    std::uint64_t m_term = 0;
    std::optional<BootTime> m_proposedAt;
    BootTime m_frozenUntil{};
    /** Lease records that it has not applied yet. */
    std::vector<BootTime> m_toApply;
  };

  Duration Milliseconds(std::int64_t aFrom, std::int64_t aTo)
  {
    const auto span = static_cast<double>(aTo - aFrom);
    return milliseconds(aFrom +
                        static_cast<std::int64_t>(m_random.Unit() * span));
  }

  void Elect()
  {
    const auto winner = static_cast<std::size_t>(m_random.Unit() * kInstances);
    Instance& instance = m_instances.at(winner);
    if (instance.m_frozenUntil > m_now) {
      return;
    }
    ++m_term;
    // A leader has applied every committed record before it leads.
    ApplyAll(instance);
    instance.m_term = m_term;
    instance.m_proposedAt.reset();
    instance.m_lease.Start(m_now);
  }

  void ApplyAll(Instance& aInstance)
  {
    for (const BootTime at : std::exchange(aInstance.m_toApply, {})) {
      if (m_mutation != Mutation::RecordNotDurable) {
        aInstance.m_lease.RecordApplied(std::max(at, m_now));
      }
    }
  }

  void Act(std::size_t aIndex)
  {
    Instance& instance = m_instances.at(aIndex);
    if (instance.m_frozenUntil > m_now) {
      return;
    }
    if (m_random.Unit() < kFreezeShare) {
      instance.m_frozenUntil = m_now + Milliseconds(500, 8000);
      return;
    }
    if (m_random.Unit() < 0.3) {
      ApplyAll(instance);
    }
    // An old leader notices its successor some time later.
    if (instance.m_term != 0 && instance.m_term < m_term &&
        m_random.Unit() < 0.2) {
      instance.m_term = 0;
      instance.m_lease.Stop();
    }
    if (instance.m_term != 0) {
      Hold(aIndex, instance);
    }
  }

  void Hold(std::size_t aIndex, Instance& aInstance)
  {
    const auto allowedFrom = aInstance.m_lease.AllowedFrom();
    if (!allowedFrom || m_now < *allowedFrom) {
      return;
    }
    if (const auto deadline = CallDeadline(aInstance)) {
      Call(aIndex, aInstance, *deadline);
      return;
    }
    if (!aInstance.m_proposedAt) {
      aInstance.m_proposedAt = m_now;
      return;
    }
    if (aInstance.m_term == m_term) {
      Commit(aInstance);
    }
  }

  std::optional<BootTime> CallDeadline(const Instance& aInstance) const
  {
    const auto deadline = aInstance.m_lease.CallDeadline(m_now);
    const bool goesOn = m_mutation == Mutation::StopsLate && m_calls > 0;
    return goesOn ? std::optional(m_now + kLease) : deadline;
  }

  /** A record is committed only under the newest term. */
  void Commit(Instance& aInstance)
  {
    aInstance.m_lease.RecordCommitted(
      *std::exchange(aInstance.m_proposedAt, std::nullopt));
    for (auto& each : m_instances) {
      each.m_toApply.push_back(m_now);
    }
  }

  void Call(std::size_t aIndex, const Instance& aInstance, BootTime aDeadline)
  {
    ++m_calls;
    const Duration left = std::max(aDeadline - m_now, Duration::zero());
    const Duration takes =
      std::min(Milliseconds(1, 3000), left + kMaxNetworkDelay);
    m_arrivals.push_back({ m_now + takes, aIndex, aInstance.m_term });
  }

  RandomSource m_random;
  Mutation m_mutation;
  BootTime m_now{ milliseconds(100000) };
  std::uint64_t m_term = 0;
  std::array<Instance, kInstances> m_instances;
  std::vector<Arrival> m_arrivals;
  int m_calls = 0;
};

/** @return how often a rule is broken: a lower token after a higher one, one
 * token of two instances, or instances that alternate within the lease. */
int CountViolations(const std::vector<Arrival>& aArrivals)
{
  int violations = 0;
  std::uint64_t highest = 0;
  std::map<std::uint64_t, std::size_t> holders;
  std::optional<Arrival> before;
  std::map<std::size_t, BootTime> last;
  for (const auto& arrival : aArrivals) {
    violations += arrival.m_term < highest ? 1 : 0;
    highest = std::max(highest, arrival.m_term);
    const auto holder = holders.emplace(arrival.m_term, arrival.m_instance);
    violations += holder.first->second != arrival.m_instance ? 1 : 0;
    const auto earlier = last.find(arrival.m_instance);
    const bool returns = before && before->m_instance != arrival.m_instance &&
                         earlier != last.end() &&
                         arrival.m_at - earlier->second < kLease;
    violations += returns ? 1 : 0;
    last[arrival.m_instance] = arrival.m_at;
    before = arrival;
  }
  return violations;
}

std::string NameOf(const testing::TestParamInfo<Mutation>& aInfo)
{
  switch (aInfo.param) {
    case Mutation::None:
      return "none";
    case Mutation::StopsLate:
      return "stops_late";
    case Mutation::RecordNotDurable:
      return "record_not_durable";
  }
  return "unknown";
}

class DutyLeaseTest : public testing::TestWithParam<Mutation>
{};

// Guards against calls of two holders that overlap at the API, in any order of
// elections, freezes, late records and late calls. The mutations show that the
// simulation would find it.
TEST_P(DutyLeaseTest, CallsOfHoldersNeverOverlap)
{
  constexpr std::uint64_t kOrders = 10'000;
  constexpr int kSteps = 200;
  int violations = 0;
  std::size_t calls = 0;
  for (std::uint64_t seed = 1; seed <= kOrders; ++seed) {
    Simulation simulation(seed, GetParam());
    simulation.Run(kSteps);
    const auto arrivals = simulation.Arrivals();
    calls += arrivals.size();
    violations += CountViolations(arrivals);
  }
  EXPECT_GT(calls, kOrders);
  EXPECT_EQ(violations > 0, GetParam() != Mutation::None) << violations;
}

INSTANTIATE_TEST_SUITE_P(Mutations,
                         DutyLeaseTest,
                         testing::Values(Mutation::None,
                                         Mutation::StopsLate,
                                         Mutation::RecordNotDurable),
                         NameOf);

// Guards against a holder that calls when it wakes from a suspension.
TEST(DutyLeaseTest, AnOldRecordPermitsNoCall)
{
  DutyLease lease(kLease);
  const BootTime start(milliseconds(10000));
  lease.Start(start);
  EXPECT_EQ(lease.CallDeadline(start), std::nullopt);
  lease.RecordCommitted(start);
  EXPECT_EQ(lease.CallDeadline(start), start + kLease / 2);
  EXPECT_EQ(lease.CallDeadline(start + milliseconds(1001)), std::nullopt);
  lease.RecordCommitted(start + milliseconds(2000));
  EXPECT_TRUE(lease.CallDeadline(start + milliseconds(2500)));
  lease.RecordFencedOff();
  EXPECT_EQ(lease.CallDeadline(start + milliseconds(2500)), std::nullopt);
}

} // namespace
} // namespace auburntrestle::fleet
