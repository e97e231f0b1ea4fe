#include "auburntrestle/core/random.hpp"
#include "auburntrestle/fleet/work_ranking.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kEventTime = milliseconds(50);
constexpr Duration kObjective = milliseconds(7500);
constexpr Duration kLifetime = seconds(40);
/** The trainer gives up its step at this age. */
constexpr Duration kPatience = seconds(12);
/** Worth of a group that is late, relative to one in time. */
constexpr double kLateWorth = 0.375;

/** Jobs of one account: one each m_interval, from m_from on. */
struct Stream
{
  std::string m_account;
  std::uint32_t m_priority = 0;
  Duration m_from{};
  Duration m_interval = seconds(4);
  int m_jobs = 1;
  int m_groups = 10;
  int m_itemsOfAGroup = 8;
  int m_meanEvents = 14;
};

struct SimulatedItem
{
  std::size_t m_group = 0;
  int m_events = 0;
};

struct SimulatedJob
{
  std::string m_account;
  std::uint32_t m_priority = 0;
  Duration m_arrival{};
  std::size_t m_target = 0;
  std::vector<SimulatedItem> m_waiting;
  std::vector<int> m_unfinished;
  std::vector<Duration> m_finishedAt;
  double m_workLeft = 0;
  std::size_t m_running = 0;
};

enum class Policy : std::uint8_t
{
  FirstComeFirstServed,
  StrictPriority,
  Ranking,
};

/** What callers get: the worth of their steps, by account, of 1. */
using Worth = std::map<std::string, double>;

/** Engines with a number of slots that serve streams of jobs, in virtual time.
 */
class Simulation
{
public:
  Simulation(const std::vector<Stream>& aStreams,
             int aSlots,
             std::uint64_t aSeed)
    : m_slots(aSlots)
  {
    RandomSource random(aSeed);
    for (const auto& stream : aStreams) {
      for (int job = 0; job < stream.m_jobs; ++job) {
        m_jobs.push_back(MakeJob(stream, job, random));
      }
    }
    std::stable_sort(
      m_jobs.begin(), m_jobs.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_arrival < aRight.m_arrival;
      });
  }

  [[nodiscard]] Worth Run(Policy aPolicy)
  {
    using Run = std::tuple<Duration, std::size_t, std::size_t, int>;
    std::priority_queue<Run, std::vector<Run>, std::greater<>> running;
    std::size_t arrived = 0;
    Duration now{};
    while (arrived < m_jobs.size() || !running.empty()) {
      const bool nextIsArrival =
        arrived < m_jobs.size() &&
        (running.empty() ||
         m_jobs[arrived].m_arrival <= std::get<0>(running.top()));
      if (nextIsArrival) {
        now = m_jobs[arrived++].m_arrival;
      } else {
        const auto [end, job, group, events] = running.top();
        running.pop();
        now = end;
        Finish(m_jobs[job], group, events, now);
      }
      while (static_cast<int>(running.size()) < m_slots) {
        const auto job = Choose(aPolicy, arrived, now);
        if (!job) {
          break;
        }
        auto& waiting = m_jobs[*job].m_waiting;
        const SimulatedItem item = waiting.front();
        waiting.erase(waiting.begin());
        ++m_jobs[*job].m_running;
        running.emplace(
          now + item.m_events * kEventTime, *job, item.m_group, item.m_events);
      }
    }
    return Evaluate();
  }

private:
  static SimulatedJob MakeJob(const Stream& aStream,
                              int aNumber,
                              RandomSource& aRandom)
  {
    SimulatedJob job;
    job.m_account = aStream.m_account;
    job.m_priority = aStream.m_priority;
    job.m_arrival = aStream.m_from + aNumber * aStream.m_interval;
    job.m_target = static_cast<std::size_t>(aStream.m_groups * 9 / 10);
    job.m_unfinished.assign(aStream.m_groups, aStream.m_itemsOfAGroup);
    job.m_finishedAt.assign(aStream.m_groups, Duration::max());
    for (int group = 0; group < aStream.m_groups; ++group) {
      for (int item = 0; item < aStream.m_itemsOfAGroup; ++item) {
        // A tenth of the items is five times longer.
        const double tail = aRandom.Unit() < 0.1 ? 5 : 1;
        const auto events =
          1 + static_cast<int>(aRandom.Unit() * aStream.m_meanEvents * tail);
        job.m_waiting.push_back({ static_cast<std::size_t>(group), events });
        job.m_workLeft += events;
      }
    }
    return job;
  }

  static void Finish(SimulatedJob& aJob,
                     std::size_t aGroup,
                     int aEvents,
                     Duration aNow)
  {
    aJob.m_workLeft -= aEvents;
    --aJob.m_running;
    if (--aJob.m_unfinished[aGroup] == 0) {
      aJob.m_finishedAt[aGroup] = aNow - aJob.m_arrival;
    }
  }

  /** Sorts the items of a job as its groups are ranked, longest first. */
  static void SortItems(SimulatedJob& aJob, bool aRanksGroups)
  {
    std::vector<GroupDemand> groups(aJob.m_unfinished.size());
    for (const auto& item : aJob.m_waiting) {
      auto& longest = groups[item.m_group].m_longest;
      longest = std::max(longest, static_cast<double>(item.m_events));
    }
    const auto ranking =
      RankGroups(groups, aRanksGroups ? aJob.m_target : groups.size());
    std::vector<bool> isSurplus(groups.size());
    for (std::size_t rank = ranking.m_needed; rank < ranking.m_order.size();
         ++rank) {
      isSurplus[ranking.m_order[rank]] = true;
    }
    std::stable_sort(
      aJob.m_waiting.begin(),
      aJob.m_waiting.end(),
      [&](const auto& aLeft, const auto& aRight) {
        return std::tuple(isSurplus[aLeft.m_group], -aLeft.m_events) <
               std::tuple(isSurplus[aRight.m_group], -aRight.m_events);
      });
  }

  /** @return the job whose first waiting item starts next. */
  std::optional<std::size_t> Choose(Policy aPolicy,
                                    std::size_t aArrived,
                                    Duration aNow)
  {
    std::vector<std::size_t> waiting;
    for (std::size_t index = 0; index < aArrived; ++index) {
      if (!m_jobs[index].m_waiting.empty()) {
        waiting.push_back(index);
      }
    }
    if (waiting.empty()) {
      return std::nullopt;
    }
    std::size_t best = waiting.front();
    if (aPolicy == Policy::StrictPriority) {
      best = *std::min_element(waiting.begin(),
                               waiting.end(),
                               [&](std::size_t aLeft, std::size_t aRight) {
                                 return m_jobs[aLeft].m_priority <
                                        m_jobs[aRight].m_priority;
                               });
    } else if (aPolicy == Policy::Ranking) {
      best = waiting[RankJobs(DemandOf(waiting, aNow), Capacity()).front()];
    }
    SortItems(m_jobs[best], aPolicy == Policy::Ranking);
    return best;
  }

  [[nodiscard]] std::vector<JobDemand> DemandOf(
    const std::vector<std::size_t>& aJobs,
    Duration aNow) const
  {
    std::vector<JobDemand> demands;
    for (const std::size_t index : aJobs) {
      const SimulatedJob& job = m_jobs[index];
      demands.push_back({ AccountName(job.m_account),
                          job.m_priority,
                          aNow - job.m_arrival,
                          kObjective,
                          kLifetime,
                          job.m_workLeft,
                          job.m_running });
    }
    return demands;
  }

  [[nodiscard]] EngineCapacity Capacity() const
  {
    return { m_slots / std::chrono::duration<double>(kEventTime).count(),
             static_cast<std::size_t>(m_slots) };
  }

  [[nodiscard]] Worth Evaluate() const
  {
    Worth worth;
    std::map<std::string, double> owed;
    for (const auto& job : m_jobs) {
      auto finished = job.m_finishedAt;
      std::sort(finished.begin(), finished.end());
      for (std::size_t group = 0; group < job.m_target; ++group) {
        owed[job.m_account] += 1;
        if (finished[group] <= kObjective) {
          worth[job.m_account] += 1;
        } else if (finished[group] <= kPatience) {
          worth[job.m_account] += kLateWorth;
        }
      }
    }
    for (const auto& [account, count] : owed) {
      worth[account] /= count;
    }
    return worth;
  }

  int m_slots;
  std::vector<SimulatedJob> m_jobs;
};

/** A load, and what an account gets at least by each policy. */
struct LoadCase
{
  std::string m_name;
  std::vector<Stream> m_streams;
  int m_slots = 0;
  /** The account whose worth is compared. */
  std::string m_account;
  /** The worth that the ranking has to reach, of 1. */
  double m_atLeast = 0;
  /** Whether both baselines have to be below that. */
  bool m_baselinesFail = true;
};

class WorkRankingTest : public testing::TestWithParam<LoadCase>
{};

// Guards against callers who lose most to those who lose least: accounts that
// send little, work that can still be in time, and urgent accounts. First come
// first served and strict priority are the baselines in the same run.
TEST_P(WorkRankingTest, CallersGetMoreThanByTheBaselines)
{
  const LoadCase& given = GetParam();
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    const auto run = [&](Policy aPolicy) {
      Simulation simulation(given.m_streams, given.m_slots, seed);
      return simulation.Run(aPolicy)[given.m_account];
    };
    const double ranked = run(Policy::Ranking);
    const double first = run(Policy::FirstComeFirstServed);
    const double strict = run(Policy::StrictPriority);
    const std::string figures = "seed " + std::to_string(seed) + ": ranking " +
                                std::to_string(ranked) + ", first come " +
                                std::to_string(first) + ", strict priority " +
                                std::to_string(strict);
    RecordProperty("seed_" + std::to_string(seed), figures);
    EXPECT_GE(ranked, given.m_atLeast) << figures;
    if (given.m_baselinesFail) {
      EXPECT_LT(first, given.m_atLeast) << figures;
      EXPECT_LT(strict, given.m_atLeast) << figures;
    } else {
      EXPECT_GE(ranked, first) << figures;
      EXPECT_GE(ranked, strict) << figures;
    }
  }
}

/** @return a stream that floods the engines beside others. */
Stream Flood()
{
  Stream flood;
  flood.m_account = "flood";
  flood.m_jobs = 100;
  flood.m_interval = milliseconds(100);
  return flood;
}

Stream Steady(const std::string& aAccount, std::uint32_t aPriority = 0)
{
  Stream steady;
  steady.m_account = aAccount;
  steady.m_priority = aPriority;
  steady.m_from = seconds(1);
  steady.m_jobs = 5;
  return steady;
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  WorkRankingTest,
  testing::Values(
    LoadCase{ "a_flood_of_another_account",
              { Flood(), Steady("steady") },
              60,
              "steady",
              0.9,
              true },
    LoadCase{ "a_flood_of_the_same_priority_and_two_others",
              { Flood(), Steady("a"), Steady("b") },
              90,
              "b",
              0.9,
              true },
    LoadCase{ "too_little_room_for_one", { Steady("a") }, 9, "a", 0.0, false },
    LoadCase{ "room_for_all",
              { Steady("a"), Steady("b") },
              400,
              "b",
              1.0,
              false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** Two jobs, and which one goes first. */
struct OrderCase
{
  std::string m_name;
  JobDemand m_first;
  JobDemand m_second;
  std::size_t m_expected = 0;
};

JobDemand Demand(const std::string& aAccount,
                 std::uint32_t aPriority,
                 Duration aAge,
                 std::size_t aRunning = 0)
{
  constexpr double kWorkLeft = 1000;
  return { AccountName(aAccount),
           aPriority,
           aAge,
           kObjective,
           kLifetime,
           kWorkLeft,
           aRunning };
}

class JobOrderTest : public testing::TestWithParam<OrderCase>
{};

TEST_P(JobOrderTest, FollowsWhatCallersLose)
{
  const EngineCapacity capacity{ 1000, 100 };
  const auto order =
    RankJobs({ GetParam().m_first, GetParam().m_second }, capacity);
  EXPECT_EQ(order.front(), GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Pairs,
  JobOrderTest,
  testing::Values(OrderCase{ "older_first",
                             Demand("a", 0, seconds(1)),
                             Demand("a", 0, seconds(2)),
                             1 },
                  OrderCase{ "priority_first",
                             Demand("a", 2, seconds(2)),
                             Demand("b", 1, seconds(1)),
                             1 },
                  OrderCase{ "just_in_time_before_late",
                             Demand("a", 0, seconds(8)),
                             Demand("a", 0, seconds(6)),
                             1 },
                  OrderCase{ "late_before_one_with_time",
                             Demand("a", 0, seconds(8)),
                             Demand("a", 0, seconds(1)),
                             0 },
                  OrderCase{ "a_long_wait_precedes_priority",
                             Demand("a", 9, seconds(21)),
                             Demand("b", 0, seconds(1)),
                             0 },
                  OrderCase{ "a_share_precedes_priority",
                             Demand("a", 0, seconds(2), 60),
                             Demand("b", 9, seconds(1), 24),
                             1 },
                  OrderCase{ "an_account_without_its_share",
                             Demand("a", 0, seconds(2), 60),
                             Demand("b", 0, seconds(1), 24),
                             1 },
                  OrderCase{ "older_beyond_the_shares",
                             Demand("a", 0, seconds(2), 60),
                             Demand("b", 0, seconds(1), 25),
                             0 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST(JobOrderTest, AnUnknownCapacityKeepsTheOrderOfArrival)
{
  EXPECT_EQ(
    RankJobs({ Demand("a", 0, seconds(1)), Demand("b", 0, seconds(2)) }, {}),
    (std::vector<std::size_t>{ 1, 0 }));
  EXPECT_TRUE(RankJobs({}, {}).empty());
}

/** Groups with their longest item, and the order in which they are served. */
struct GroupCase
{
  std::string m_name;
  std::vector<GroupDemand> m_groups;
  std::size_t m_target = 0;
  std::vector<std::size_t> m_expected;
};

class GroupOrderTest : public testing::TestWithParam<GroupCase>
{};

// Guards against a step that waits for its longest groups although its trainer
// does not need them.
TEST_P(GroupOrderTest, TheLongestSurplusGroupsComeLast)
{
  EXPECT_EQ(RankGroups(GetParam().m_groups, GetParam().m_target).m_order,
            GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Groups,
  GroupOrderTest,
  testing::Values(
    GroupCase{ "all_needed",
               { { 3, false }, { 9, false }, { 5, false } },
               3,
               { 1, 2, 0 } },
    GroupCase{ "no_target", { { 3, false }, { 9, false } }, 0, { 1, 0 } },
    GroupCase{ "one_surplus",
               { { 3, false }, { 9, false }, { 5, false } },
               2,
               { 2, 0, 1 } },
    GroupCase{ "surplus_with_output",
               { { 3, false }, { 9, true }, { 5, false } },
               2,
               { 1, 0, 2 } },
    GroupCase{ "none", {}, 2, {} }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
