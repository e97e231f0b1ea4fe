#include "auburntrestle/core/random.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/reward_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

constexpr std::size_t kGroups = 48;
constexpr std::size_t kItemsPerGroup = 8;

/** How reward calls are sent. */
struct SendPolicy
{
  ChooserLimits m_limits;
  /** Whether groups that are nearly whole go first. */
  bool m_groupsFirst = true;
};

/**
 * Plays the burst of reward calls at the end of the steps of four trainers in
 * virtual time, on three plain backend servers that also answer the requests of
 * callers. A backend server has six slots and a queue in order of arrival.
 */
class RewardLoad
{
public:
  explicit RewardLoad(SendPolicy aPolicy)
    : m_policy(aPolicy)
    , m_rewards(DataCentreId("dc"), aPolicy.m_limits)
    , m_callers(DataCentreId("dc"))
  {
    std::vector<BackendRecord> records;
    for (const char* id : { "a", "b", "c" }) {
      BackendRecord record;
      record.m_id = BackendId(id);
      record.m_service = kService;
      record.m_slots = kSlots;
      records.push_back(record);
      m_servers[record.m_id];
    }
    m_rewards.SetBackends(records);
    m_callers.SetBackends(records);
  }

  void Run()
  {
    for (std::size_t group = 0; group < kGroups; ++group) {
      m_groups.push_back(
        std::make_shared<RewardGroup>(RewardGroup{ kItemsPerGroup }));
    }
    for (std::size_t item = 0; item < kGroups * kItemsPerGroup; ++item) {
      // The outputs of a step end within a short time.
      const Duration end(static_cast<std::int64_t>(m_random.Unit() * 400'000));
      At(end, [this, item] { OnOutputComplete(item); });
    }
    for (Duration time{}; time < std::chrono::seconds(3);) {
      time += Exponential(std::chrono::milliseconds(80));
      At(time, [this] { SendCallerRequest(); });
    }
    while (!m_events.empty()) {
      const auto next = m_events.begin();
      m_now = next->first;
      const auto work = std::move(next->second);
      m_events.erase(next);
      work();
    }
  }

  /** @return the latency below which 99% of the callers' responses are. */
  [[nodiscard]] Duration CallerP99()
  {
    std::sort(m_latencies.begin(), m_latencies.end());
    return m_latencies.at(m_latencies.size() * 99 / 100);
  }
  /** @return when this share of the groups was whole. */
  [[nodiscard]] Duration WholeAt(double aShare) const
  {
    const auto count = static_cast<std::size_t>(std::ceil(aShare * kGroups));
    return m_wholeAt.at(count - 1);
  }

private:
  static constexpr std::uint32_t kSlots = 6;
  inline static const ServiceName kService{ "service" };

  struct Server
  {
    std::uint32_t m_running = 0;
    std::deque<std::function<void()>> m_queue;
  };

  void At(Duration aTime, std::function<void()> aWork)
  {
    m_events.emplace(aTime, std::move(aWork));
  }
  Duration Exponential(Duration aMean)
  {
    const double factor = -std::log(1.0 - m_random.Unit());
    return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(Duration(aMean).count())));
  }
  [[nodiscard]] TimePoint Now() const { return TimePoint{} + m_now; }

  void Serve(const BackendId& aId, Duration aWork, std::function<void()> aDone)
  {
    Server& server = m_servers.at(aId);
    auto start = [this, &server, aWork, done = std::move(aDone)] {
      ++server.m_running;
      At(m_now + aWork, [&server, done] {
        --server.m_running;
        if (!server.m_queue.empty()) {
          const auto next = std::move(server.m_queue.front());
          server.m_queue.pop_front();
          next();
        }
        done();
      });
    };
    if (server.m_running < kSlots) {
      start();
    } else {
      server.m_queue.push_back(std::move(start));
    }
  }

  void SendCallerRequest()
  {
    const Duration sent = m_now;
    const BackendId id = m_callers.Choose(kService, {}, Now())->m_id;
    m_callers.RecordSent(id);
    Serve(id, Exponential(std::chrono::milliseconds(21)), [this, id, sent] {
      m_callers.RecordResponse(id, m_now - sent);
      m_latencies.push_back(m_now - sent);
    });
  }

  void OnOutputComplete(std::size_t aItem)
  {
    const auto& group = m_policy.m_groupsFirst
                          ? m_groups[aItem % kGroups]
                          : std::make_shared<RewardGroup>();
    m_queue.Add(RewardTicket(aItem), group, Now());
    Dispatch();
  }

  void Dispatch()
  {
    for (const auto ticket : m_queue.Ready(Now())) {
      const auto* backend = m_rewards.Choose(kService, {}, Now());
      if (backend == nullptr) {
        return;
      }
      const BackendId id = backend->m_id;
      const Duration sent = m_now;
      m_queue.Remove(ticket);
      m_rewards.RecordSent(id);
      const Duration work = Exponential(std::chrono::milliseconds(30));
      Serve(id, work, [this, id, sent, ticket] {
        m_rewards.RecordResponse(id, m_now - sent);
        if (--m_groups[ticket.Get() % kGroups]->m_unfinishedItems == 0) {
          m_wholeAt.push_back(m_now);
        }
        Dispatch();
      });
    }
  }

  SendPolicy m_policy;
  RandomSource m_random{ 7 };
  BackendChooser m_rewards;
  BackendChooser m_callers;
  RewardQueue m_queue;
  Duration m_now{};
  std::multimap<Duration, std::function<void()>> m_events;
  std::map<BackendId, Server> m_servers;
  std::vector<std::shared_ptr<RewardGroup>> m_groups;
  std::vector<Duration> m_latencies;
  std::vector<Duration> m_wholeAt;
};

constexpr ChooserLimits kLimited{ 0.67, false };
constexpr ChooserLimits kUnlimited{};

/** The objective of the callers' requests. */
constexpr Duration kCallerObjective = std::chrono::milliseconds(150);

// Guards against callers' requests that wait behind a burst of reward calls.
TEST(RewardLoadTest, CallersKeepTheirObjectiveDuringABurst)
{
  RewardLoad limited(SendPolicy{ kLimited });
  limited.Run();
  EXPECT_LE(limited.CallerP99(), kCallerObjective);

  RewardLoad unlimited(SendPolicy{ kUnlimited });
  unlimited.Run();
  EXPECT_GT(unlimited.CallerP99(), kCallerObjective);
}

// Guards against scores spread over all groups, so that none is whole before
// the end of the burst.
TEST(RewardLoadTest, GroupsAreWholeEarlierThanInOrderOfArrival)
{
  RewardLoad groupsFirst(SendPolicy{ kLimited, true });
  groupsFirst.Run();
  RewardLoad byArrival(SendPolicy{ kLimited, false });
  byArrival.Run();
  EXPECT_LT(groupsFirst.WholeAt(0.5), byArrival.WholeAt(0.5));
  EXPECT_LT(groupsFirst.WholeAt(0.9), byArrival.WholeAt(0.9));
}

} // namespace
} // namespace auburntrestle::fleet
