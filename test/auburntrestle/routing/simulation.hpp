#ifndef AUBURNTRESTLE_TEST_ROUTING_SIMULATION_HPP
#define AUBURNTRESTLE_TEST_ROUTING_SIMULATION_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/routing/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::routing {

/** Engines with continuous batching, and the load of an experiment. */
struct SimulationSettings
{
  std::size_t m_engines = 4;
  /** Requests that an engine processes at once; others queue inside it. */
  std::size_t m_batch = 8;
  /** Whether engines announce m_batch as their capacity. */
  bool m_announceCapacity = true;
  double m_tokenMs = 10.0;
  /** Additional time per token for each request of the batch. */
  double m_tokenMsPerRequest = 0.5;
  double m_prefillMs = 20.0;
  /** Number of engines that are slowed by a factor in part of the run. */
  std::size_t m_slowed = 0;
  double m_slowFactor = 4.0;
  double m_slowFromSeconds = 10.0;
  double m_slowUntilSeconds = 1e9;
  double m_shortPerSecond = 8.0;
  std::uint64_t m_shortTokens = 20;
  /** Long training samples that are kept in progress. */
  std::size_t m_training = 128;
  /** Heavy-tailed output: Pareto with this minimum, exponent 1.2, capped. */
  double m_longTokens = 200.0;
  std::uint64_t m_longMaxTokens = 8000;
  double m_seconds = 60.0;
  double m_warmUpSeconds = 10.0;
  std::uint64_t m_seed = 1;
};

/** What an experiment measured after its warm-up. */
struct SimulationResult
{
  /** Seconds from arrival until an engine processes the request. */
  std::vector<double> m_shortWait;
  std::vector<double> m_shortFirstToken;
  std::vector<double> m_shortTotal;
  std::uint64_t m_trainingTokens = 0;
  std::uint64_t m_failed = 0;

  static double Mean(const std::vector<double>& aValues)
  {
    return std::accumulate(aValues.begin(), aValues.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(1, aValues.size()));
  }
  static double Quantile(std::vector<double> aValues, double aShare)
  {
    if (aValues.empty()) {
      return 0.0;
    }
    std::sort(aValues.begin(), aValues.end());
    return aValues[static_cast<std::size_t>(
      aShare * static_cast<double>(aValues.size() - 1))];
  }
};

/** Runs a dispatcher against simulated engines in virtual time. */
class Simulation
{
public:
  Simulation(const Policy& aPolicy, const SimulationSettings& aSettings)
    : m_settings(aSettings)
    , m_random(aSettings.m_seed)
    , m_dispatcher(Dispatcher::Create(aPolicy, aSettings.m_seed).value())
    , m_engines(aSettings.m_engines)
  {
  }

  SimulationResult Run()
  {
    OwnedBackendsChanged owned;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      owned.m_owned.insert(IdOf(i));
      m_engineById[IdOf(i)] = i;
    }
    Send(owned);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      AnnouncePeriodically(i);
    }
    TickPeriodically();
    ScheduleAt(1.0, [this] { AddShortRequest(); });
    ScheduleAt(1.0, [this] {
      for (std::size_t i = 0; i < m_settings.m_training; ++i) {
        AddTrainingRequest();
      }
    });
    while (!m_schedule.empty() &&
           m_schedule.top().m_at < m_settings.m_seconds) {
      const auto entry = m_schedule.top();
      m_schedule.pop();
      m_seconds = entry.m_at;
      entry.m_run();
    }
    return m_result;
  }

  [[nodiscard]] const DispatcherCounters& Counters() const
  {
    return m_dispatcher.Counters();
  }

private:
  using Key = std::pair<RequestId, AttemptNumber>;

  struct Job
  {
    Key m_key;
    std::uint64_t m_left = 0;
    bool m_prefilled = false;
  };
  struct Engine
  {
    std::deque<Job> m_waiting;
    std::vector<Job> m_running;
    bool m_busy = false;
  };
  struct Request
  {
    bool m_short = false;
    double m_arrived = 0.0;
    std::uint64_t m_output = 0;
    bool m_admitted = false;
    bool m_hasTokens = false;
  };
  struct Entry
  {
    double m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Entry& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  static BackendId IdOf(std::size_t aEngine)
  {
    std::string id("e");
    id += std::to_string(aEngine);
    return BackendId(std::move(id));
  }
  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint(Duration(static_cast<std::int64_t>(m_seconds * 1e6)));
  }
  [[nodiscard]] bool IsMeasured(const Request& aRequest) const
  {
    return aRequest.m_arrived >= m_settings.m_warmUpSeconds;
  }
  void ScheduleAt(double aSeconds, std::function<void()> aRun)
  {
    m_schedule.push({ aSeconds, m_order++, std::move(aRun) });
  }

  void Send(const Event& aEvent)
  {
    std::vector<Action> actions;
    m_dispatcher.Handle(aEvent, Now(), actions);
    for (const auto& action : actions) {
      std::visit([this](const auto& aValue) { Apply(aValue); }, action);
    }
  }

  void AnnouncePeriodically(std::size_t aEngine)
  {
    const auto& engine = m_engines[aEngine];
    registry::Announcement announcement;
    announcement.m_backend = IdOf(aEngine);
    announcement.m_incarnation = Incarnation(1);
    announcement.m_models = { { ModelName("m"), WeightVersion(1) } };
    if (m_settings.m_announceCapacity) {
      announcement.m_capacity = static_cast<std::uint32_t>(m_settings.m_batch);
    }
    registry::LoadReport load;
    load.m_running = static_cast<std::uint32_t>(engine.m_running.size());
    load.m_waiting = static_cast<std::uint32_t>(engine.m_waiting.size());
    load.m_age = std::chrono::milliseconds(300);
    announcement.m_load = load;
    // The load is measured now and arrives later.
    ScheduleAt(m_seconds + 0.3, [this, announcement] {
      Send(BackendAnnounced{ announcement });
    });
    ScheduleAt(m_seconds + 0.5,
               [this, aEngine] { AnnouncePeriodically(aEngine); });
  }
  void TickPeriodically()
  {
    Send(Tick{});
    ScheduleAt(m_seconds + 0.01, [this] { TickPeriodically(); });
  }

  void SubmitRequest(const Request& aRequest, RequestSpec aSpec)
  {
    const RequestId id(++m_lastId);
    m_requests[id] = aRequest;
    aSpec.m_target = ModelName("m");
    aSpec.m_promptLength = TokenCount(50);
    Send(RequestArrived{ id, std::move(aSpec) });
  }
  void AddShortRequest()
  {
    RequestSpec spec;
    spec.m_caller = CallerId("counter");
    spec.m_maxTokens = TokenCount(m_settings.m_shortTokens * 2);
    SubmitRequest({ true, m_seconds, m_settings.m_shortTokens }, spec);
    const double gap =
      -std::log(1.0 - m_random.Unit()) / m_settings.m_shortPerSecond;
    ScheduleAt(m_seconds + gap, [this] { AddShortRequest(); });
  }
  void AddTrainingRequest()
  {
    RequestSpec spec;
    spec.m_caller = CallerId("trainer");
    spec.m_class = admission::RequestClass::Training;
    spec.m_maxTokens = TokenCount(m_settings.m_longMaxTokens);
    const double length =
      m_settings.m_longTokens * std::pow(1.0 - m_random.Unit(), -1.0 / 1.2);
    const auto output = std::min<std::uint64_t>(
      m_settings.m_longMaxTokens, static_cast<std::uint64_t>(length));
    SubmitRequest({ false, m_seconds, output }, spec);
  }

  void Apply(const StartAttempt& aAction)
  {
    const auto index = m_engineById.at(aAction.m_backend);
    const auto& request = m_requests.at(aAction.m_id);
    const auto left = request.m_output - aAction.m_resumeFromTokens.Get();
    m_engines[index].m_waiting.push_back(
      { { aAction.m_id, aAction.m_attempt }, left });
    if (!m_engines[index].m_busy) {
      StartBatchStep(index);
    }
  }
  void Apply(const CancelAttempt& aAction)
  {
    auto& engine = m_engines[m_engineById.at(aAction.m_backend)];
    const Key key{ aAction.m_id, aAction.m_attempt };
    const auto same = [key](const Job& aJob) { return aJob.m_key == key; };
    std::erase_if(engine.m_waiting, same);
    std::erase_if(engine.m_running, same);
  }
  void Apply(const SelectAttempt& /*aAction*/) {}
  void Apply(const FinishRequest& aAction) { RecordFinished(aAction.m_id); }
  void Apply(const FailRequest& aAction)
  {
    ++m_result.m_failed;
    if (!m_requests.at(aAction.m_id).m_short) {
      ScheduleAt(m_seconds + 0.5, [this] { AddTrainingRequest(); });
    }
    m_requests.erase(aAction.m_id);
  }
  void RecordFinished(RequestId aId)
  {
    const auto request = m_requests.at(aId);
    m_requests.erase(aId);
    if (!request.m_short) {
      ScheduleAt(m_seconds, [this] { AddTrainingRequest(); });
    } else if (IsMeasured(request)) {
      m_result.m_shortTotal.push_back(m_seconds - request.m_arrived);
    }
  }

  [[nodiscard]] double SlowFactor(std::size_t aEngine) const
  {
    const bool slowed = aEngine < m_settings.m_slowed &&
                        m_seconds >= m_settings.m_slowFromSeconds &&
                        m_seconds < m_settings.m_slowUntilSeconds;
    return slowed ? m_settings.m_slowFactor : 1.0;
  }

  /** Runs one step of the batch: a token for each request in it. */
  void StartBatchStep(std::size_t aEngine)
  {
    auto& engine = m_engines[aEngine];
    double ms = 0.0;
    while (!engine.m_waiting.empty() &&
           engine.m_running.size() < m_settings.m_batch) {
      RecordAdmission(engine.m_waiting.front().m_key.first);
      engine.m_running.push_back(engine.m_waiting.front());
      engine.m_waiting.pop_front();
      ms += m_settings.m_prefillMs;
    }
    engine.m_busy = !engine.m_running.empty();
    if (!engine.m_busy) {
      return;
    }
    ms += m_settings.m_tokenMs + m_settings.m_tokenMsPerRequest *
                                   static_cast<double>(engine.m_running.size());
    ScheduleAt(m_seconds + ms * SlowFactor(aEngine) / 1000.0,
               [this, aEngine] { FinishBatchStep(aEngine); });
  }
  void RecordAdmission(RequestId aId)
  {
    const auto found = m_requests.find(aId);
    if (found == m_requests.end() || found->second.m_admitted) {
      return;
    }
    found->second.m_admitted = true;
    if (found->second.m_short && IsMeasured(found->second)) {
      m_result.m_shortWait.push_back(m_seconds - found->second.m_arrived);
    }
  }
  void FinishBatchStep(std::size_t aEngine)
  {
    const auto jobs = m_engines[aEngine].m_running;
    std::set<Key> done;
    for (const auto& job : jobs) {
      ProduceToken(job);
      if (job.m_left <= 1) {
        Send(AttemptFinished{ job.m_key.first, job.m_key.second });
        done.insert(job.m_key);
      }
    }
    auto& running = m_engines[aEngine].m_running;
    std::erase_if(
      running, [&done](const Job& aJob) { return done.contains(aJob.m_key); });
    for (auto& job : running) {
      --job.m_left;
    }
    StartBatchStep(aEngine);
  }
  void ProduceToken(const Job& aJob)
  {
    const auto found = m_requests.find(aJob.m_key.first);
    if (found != m_requests.end()) {
      auto& request = found->second;
      if (!request.m_short && m_seconds >= m_settings.m_warmUpSeconds) {
        ++m_result.m_trainingTokens;
      }
      if (request.m_short && !request.m_hasTokens && IsMeasured(request)) {
        m_result.m_shortFirstToken.push_back(m_seconds - request.m_arrived);
      }
      request.m_hasTokens = true;
    }
    Send(AttemptTokens{
      aJob.m_key.first, aJob.m_key.second, TokenCount(1), WeightVersion(1) });
  }

  SimulationSettings m_settings;
  RandomSource m_random;
  Dispatcher m_dispatcher;
  std::vector<Engine> m_engines;
  std::map<BackendId, std::size_t> m_engineById;
  std::map<RequestId, Request> m_requests;
  std::priority_queue<Entry> m_schedule;
  SimulationResult m_result;
  double m_seconds = 0.0;
  std::uint64_t m_order = 0;
  std::uint64_t m_lastId = 0;
};

} // namespace auburntrestle::routing

#endif
