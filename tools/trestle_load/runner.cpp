#include "trestle_load/runner.hpp"

#include "auburntrestle/observe/log.hpp"
#include "common/completion_call.hpp"
#include "common/http_client.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <mutex>
#include <thread>

namespace auburntrestle::tools {

namespace internal {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
/** Violations stored per application; further ones only count as errors. */
constexpr std::size_t kMaxViolations = 100;

/** Sends the requests of all applications at their planned times. */
class ApplicationLoad
{
public:
  ApplicationLoad(const Scenario& aScenario,
                  const std::vector<std::string>& aTargets,
                  std::size_t aClientThreads)
    : m_scenario(aScenario)
    , m_targets(aTargets)
    , m_plan(PlanArrivals(aScenario.m_applications,
                          aScenario.m_length,
                          aScenario.m_seed,
                          aScenario.m_outputShape,
                          aScenario.m_maxRequests))
    , m_results(aScenario.m_applications.size())
  {
    for (std::size_t index = 0; index < m_results.size(); ++index) {
      m_results[index].m_name = aScenario.m_applications[index].m_name;
    }
    for (std::size_t index = 0; index < aClientThreads; ++index) {
      m_clients.push_back(std::make_unique<AsyncHttpClient>());
    }
  }

  /** Starts all requests, then waits for them, at most for the drain time. */
  void Run(TimePoint aStart, const std::atomic<bool>& aStop)
  {
    for (std::size_t index = 0; index < m_plan.size() && !aStop; ++index) {
      const auto intended = aStart + m_plan[index].m_at;
      while (!aStop && MonotonicClock::Now() < intended) {
        std::this_thread::sleep_for(
          std::min(kPollInterval, intended - MonotonicClock::Now()));
      }
      if (!aStop) {
        Send(m_plan[index], intended, index);
      }
    }
    const auto end = aStart + m_scenario.m_length + m_scenario.m_drain;
    while (!aStop && m_running > 0 && MonotonicClock::Now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    // Ends the client threads, so that no further callback runs.
    m_clients.clear();
    for (const auto& [index, arrival] : m_openRequests) {
      Fail(*arrival, "unfinished/outcome_unknown");
    }
  }

  void MoveResults(LoadResult& aResult)
  {
    aResult.m_applications = std::move(m_results);
    aResult.m_startLag = m_startLag;
  }

private:
  struct Call
  {
    const Arrival* m_arrival = nullptr;
    TimePoint m_intended;
    CompletionStream m_stream;
  };

  void Send(const Arrival& aArrival, TimePoint aIntended, std::size_t aIndex)
  {
    const auto& shape = m_scenario.m_applications[aArrival.m_application];
    const nlohmann::json body{ { "model", shape.m_model },
                               { "prompt", aArrival.m_prompt },
                               { "max_tokens", aArrival.m_maxTokens },
                               { "stream", true } };
    HttpCall request;
    request.m_method = "POST";
    request.m_url = m_targets[aIndex % m_targets.size()] + "/v1/completions";
    request.m_body = body.dump();
    request.m_headers = { "X-Caller: " + shape.m_name };
    if (shape.m_deadline.count() > 0) {
      request.m_headers.push_back(
        "X-Deadline-Ms: " + std::to_string(shape.m_deadline.count() / 1000));
    }
    request.m_timeout = m_scenario.m_length + m_scenario.m_drain;
    auto call = std::make_shared<Call>();
    call->m_arrival = &aArrival;
    call->m_intended = aIntended;
    ++m_running;
    {
      const std::lock_guard lock(m_mutex);
      m_openRequests[aIndex] = &aArrival;
    }
    m_startLag.Add(MonotonicClock::Now() - aIntended);
    m_clients[aIndex % m_clients.size()]->Start(
      std::move(request),
      [this, call, aIndex](const HttpResponse& aResponse) {
        HandleResponse(*call, aResponse, aIndex);
      },
      [call](std::string_view aChunk) {
        call->m_stream.Read(aChunk, MonotonicClock::Now());
      });
  }

  void HandleResponse(const Call& aCall,
                      const HttpResponse& aResponse,
                      std::size_t aIndex)
  {
    const auto now = MonotonicClock::Now();
    const std::lock_guard lock(m_mutex);
    m_openRequests.erase(aIndex);
    --m_running;
    const Arrival& arrival = *aCall.m_arrival;
    const std::string error = ErrorOf(aCall, aResponse);
    if (!error.empty()) {
      Fail(arrival, error);
      return;
    }
    auto& result = m_results[arrival.m_application];
    if (aCall.m_stream.Text() != ExpectedOutput(arrival.m_prompt,
                                                arrival.m_maxTokens,
                                                m_scenario.m_outputShape)) {
      Fail(arrival, "wrong_answer/violation");
      if (result.m_violations.size() < kMaxViolations) {
        result.m_violations.push_back(
          "request " + std::to_string(aIndex) +
          ": the answer is not whole or not its own; got " +
          std::to_string(aCall.m_stream.Text().size()) + " bytes");
      }
      return;
    }
    if (arrival.m_at < m_scenario.m_warmUp) {
      return;
    }
    auto& size = arrival.m_isLong ? result.m_longWork : result.m_shortWork;
    ++size.m_completed;
    size.m_tokens += arrival.m_expectedTokens;
    size.m_firstToken.Add(aCall.m_stream.FirstTokenTime().value_or(now) -
                          aCall.m_intended);
    size.m_total.Add(now - aCall.m_intended);
  }

  static std::string ErrorOf(const Call& aCall, const HttpResponse& aResponse)
  {
    if (aResponse.m_status == 0) {
      return "no_answer/outcome_unknown";
    }
    if (aResponse.m_status != 200) {
      return ErrorName(aResponse.m_status, aResponse.m_body);
    }
    if (!aCall.m_stream.Error().empty()) {
      return aCall.m_stream.Error();
    }
    const bool complete =
      aResponse.m_failure.empty() && aCall.m_stream.IsDone();
    return complete ? "" : "stream_cut/outcome_unknown";
  }

  void Fail(const Arrival& aArrival, const std::string& aError)
  {
    auto& result = m_results[aArrival.m_application];
    ++result.m_errors[aError];
    if (aArrival.m_at >= m_scenario.m_warmUp) {
      ++(aArrival.m_isLong ? result.m_longWork : result.m_shortWork).m_failed;
    }
  }

  const Scenario& m_scenario;
  const std::vector<std::string>& m_targets;
  std::vector<Arrival> m_plan;
  std::mutex m_mutex;
  std::vector<ApplicationResult> m_results;
  std::map<std::size_t, const Arrival*> m_openRequests;
  LatencyHistogram m_startLag;
  std::atomic<std::size_t> m_running{ 0 };
  std::vector<std::unique_ptr<AsyncHttpClient>> m_clients;
};

/** Executes the planned slow-downs. @return how many succeeded. */
std::uint64_t SlowEngines(const Scenario& aScenario,
                          const std::vector<std::string>& aEngines,
                          TimePoint aStart,
                          const std::atomic<bool>& aStop)
{
  std::uint64_t done = 0;
  const auto plan = PlanSlowDowns(
    aScenario.m_slow, aEngines.size(), aScenario.m_length, aScenario.m_seed);
  const nlohmann::json body{ { "factor", aScenario.m_slow.m_factor },
                             { "duration_ms",
                               aScenario.m_slow.m_length.count() / 1000 } };
  for (const auto& slowDown : plan) {
    while (!aStop && MonotonicClock::Now() < aStart + slowDown.m_at) {
      std::this_thread::sleep_for(kPollInterval);
    }
    if (aStop) {
      break;
    }
    HttpCall call;
    call.m_method = "POST";
    call.m_url = aEngines[slowDown.m_engine] + "/fake/slow";
    call.m_body = body.dump();
    call.m_timeout = std::chrono::seconds(2);
    const auto response = Fetch(call);
    if (response.IsOk()) {
      ++done;
    } else {
      observe::LogLine(observe::LogLevel::Warning, "slow_down_failed")
        .Add("engine", aEngines[slowDown.m_engine])
        .Add("status", response.m_status);
    }
  }
  return done;
}

} // namespace internal

std::size_t LoadResult::Violations() const noexcept
{
  std::size_t count = 0;
  for (const auto& application : m_applications) {
    count += application.m_violations.size();
  }
  for (const auto& trainer : m_trainers) {
    count += trainer.m_report.m_violations.size();
  }
  return count;
}

LoadResult RunScenario(const Scenario& aScenario,
                       const std::vector<std::string>& aTargets,
                       const std::vector<std::string>& aEngines,
                       std::size_t aClientThreads,
                       const std::atomic<bool>& aStop)
{
  LoadResult result;
  result.m_scenario = aScenario.m_name;
  result.m_seed = aScenario.m_seed;
  result.m_length = aScenario.m_length;
  internal::ApplicationLoad load(aScenario, aTargets, aClientThreads);
  const auto start = MonotonicClock::Now();
  result.m_trainers.resize(aScenario.m_trainers.size());
  std::vector<std::thread> threads;
  for (std::size_t index = 0; index < aScenario.m_trainers.size(); ++index) {
    threads.emplace_back([&, index] {
      TrainerOptions options = aScenario.m_trainers[index];
      options.m_targets = aTargets;
      options.m_deadline = start + aScenario.m_length;
      options.m_shape.m_prompt.m_seed = aScenario.m_seed;
      options.m_shape.m_outputShape = aScenario.m_outputShape;
      TrainerClient trainer(options, [](const ReceivedBatch&) {});
      result.m_trainers[index] = { options.m_shape.m_trainer,
                                   trainer.Run(aStop) };
    });
  }
  if (aScenario.m_slow.m_share > 0.0 && !aEngines.empty()) {
    threads.emplace_back([&] {
      result.m_slowDowns =
        internal::SlowEngines(aScenario, aEngines, start, aStop);
    });
  }
  load.Run(start, aStop);
  for (auto& thread : threads) {
    thread.join();
  }
  load.MoveResults(result);
  return result;
}

} // namespace auburntrestle::tools
