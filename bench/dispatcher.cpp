#include "auburntrestle/routing/dispatcher.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace auburntrestle::routing {
namespace {

/** A dispatcher whose engines are full, with waiting requests. */
class SaturatedDispatcher
{
public:
  SaturatedDispatcher(PolicyName aName,
                      std::int64_t aBackends,
                      std::int64_t aWaiting)
    : m_dispatcher(Dispatcher::Create(MakePolicy(aName), 1).value())
  {
    OwnedBackendsChanged owned;
    for (std::int64_t i = 0; i < aBackends; ++i) {
      owned.m_owned.insert(IdOf(i));
    }
    Send(owned);
    for (std::int64_t i = 0; i < aBackends; ++i) {
      Announce(IdOf(i));
    }
    const auto requests =
      static_cast<std::size_t>(aBackends * kCapacity + aWaiting);
    while (m_dispatcher.RequestCount() < requests) {
      Arrive();
    }
  }

  /** Finishes a request, which starts a waiting one, and adds a request. */
  void RunCycle()
  {
    const auto start = m_running.front();
    m_running.pop_front();
    m_now += std::chrono::microseconds(50);
    Send(AttemptTokens{ start.m_id, start.m_attempt, TokenCount(16), {} });
    Send(AttemptFinished{ start.m_id, start.m_attempt });
    Arrive();
  }

  void Tick()
  {
    m_now += std::chrono::milliseconds(200);
    Send(routing::Tick{});
  }

private:
  static constexpr std::int64_t kCapacity = 4;

  static Policy MakePolicy(PolicyName aName)
  {
    Policy policy;
    policy.m_name = aName;
    policy.m_admission.m_maxWaiting = 100000;
    policy.m_admission.m_initialLimit = kCapacity;
    policy.m_hedging.m_enabled = false;
    policy.m_backendLease = std::chrono::hours(1);
    return policy;
  }
  static BackendId IdOf(std::int64_t aIndex)
  {
    std::string id("engine-");
    id += std::to_string(aIndex);
    return BackendId(std::move(id));
  }

  void Announce(const BackendId& aId)
  {
    registry::Announcement announcement;
    announcement.m_backend = aId;
    announcement.m_capacity = kCapacity;
    announcement.m_models = { { ModelName("m"), WeightVersion(1) } };
    Send(BackendAnnounced{ announcement });
    m_now += std::chrono::microseconds(1);
    Send(LoadReported{ aId, {} });
  }
  void Arrive()
  {
    RequestSpec spec;
    std::string caller("caller-");
    caller += std::to_string(m_lastId % 16);
    spec.m_caller = CallerId(std::move(caller));
    spec.m_class = m_lastId % 2 == 0 ? admission::RequestClass::Application
                                     : admission::RequestClass::Training;
    spec.m_target = ModelName("m");
    spec.m_maxTokens = TokenCount(m_lastId % 3 == 0 ? 64 : 4000);
    spec.m_deadline = m_now + std::chrono::hours(1);
    Send(RequestArrived{ RequestId(++m_lastId), spec });
  }
  void Send(const Event& aEvent)
  {
    m_actions.clear();
    m_dispatcher.Handle(aEvent, m_now, m_actions);
    for (const auto& action : m_actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        m_running.push_back(*start);
      }
    }
  }

  Dispatcher m_dispatcher;
  TimePoint m_now{ std::chrono::seconds(1) };
  std::vector<Action> m_actions;
  std::deque<StartAttempt> m_running;
  std::uint64_t m_lastId = 0;
};

void RunCycles(benchmark::State& aState, PolicyName aName)
{
  SaturatedDispatcher dispatcher(aName, aState.range(0), aState.range(1));
  for (auto _ : aState) {
    dispatcher.RunCycle();
  }
}

void FairCycle(benchmark::State& aState)
{
  RunCycles(aState, PolicyName::Fair);
}

void BaselineCycle(benchmark::State& aState)
{
  RunCycles(aState, PolicyName::Baseline);
}

void SpeedComparison(benchmark::State& aState)
{
  SaturatedDispatcher dispatcher(PolicyName::Fair, aState.range(0), 100);
  for (auto _ : aState) {
    dispatcher.Tick();
  }
}

// NOLINTBEGIN(cppcoreguidelines-*, misc-unused-*)
BENCHMARK(FairCycle)->ArgsProduct({ { 10, 100, 1000 }, { 100, 10000 } });
BENCHMARK(BaselineCycle)->ArgsProduct({ { 10, 100, 1000 }, { 100 } });
BENCHMARK(SpeedComparison)->Arg(10)->Arg(100)->Arg(1000);
// NOLINTEND(cppcoreguidelines-*, misc-unused-*)

} // namespace
} // namespace auburntrestle::routing
