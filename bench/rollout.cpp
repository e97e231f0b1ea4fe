#include "auburntrestle/rollout/coordinator.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <vector>

namespace {

using namespace auburntrestle;
using namespace auburntrestle::rollout;

const TrainerId kTrainer("alpha");
const ModelName kModel("conselheiro");

/** A coordinator with one open step of aSamples samples, all generating. */
struct OpenedStep
{
  explicit OpenedStep(std::uint32_t aSamples)
    : m_coordinator(std::move(Coordinator::Create({})).value())
  {
    TrainerSettings settings;
    settings.m_model = kModel;
    std::vector<Action> actions;
    m_coordinator.Handle(
      ConfigurationChanged{ { { kTrainer, settings } } }, m_now, actions);
    m_coordinator.Handle(LedgerStateRestored{}, m_now, actions);
    StepSpec spec{ kTrainer, StepNumber(1), kModel, TokenCount(4096), {}, {} };
    spec.m_groups.assign(aSamples / 8, { "prompt", 8 });
    m_coordinator.Handle(StepOpened{ spec }, m_now, actions);
    for (const Action& action : actions) {
      if (const auto* generate = std::get_if<GenerateSample>(&action)) {
        m_running.push_back(*generate);
      }
    }
  }

  TimePoint m_now{};
  Coordinator m_coordinator;
  std::vector<GenerateSample> m_running;
};

/** Cost of one SampleTokens event. */
void Tokens(benchmark::State& aState)
{
  OpenedStep step(static_cast<std::uint32_t>(aState.range(0)));
  std::vector<Action> actions;
  std::size_t next = 0;
  for (auto _ : aState) {
    const GenerateSample& run = step.m_running[next++ % step.m_running.size()];
    step.m_coordinator.Handle(
      SampleTokens{
        run.m_sample, run.m_attempt, "abcd", TokenCount(1), WeightVersion(0) },
      step.m_now,
      actions);
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(aState.iterations()));
}
BENCHMARK(Tokens)->Arg(64)->Arg(2048);

/** Cost of a complete step, from its opening to the last result. */
void CompleteStep(benchmark::State& aState)
{
  for (auto _ : aState) {
    OpenedStep step(static_cast<std::uint32_t>(aState.range(0)));
    std::vector<Action> actions;
    for (const GenerateSample& run : step.m_running) {
      step.m_coordinator.Handle(SampleTokens{ run.m_sample,
                                              run.m_attempt,
                                              "abcd",
                                              TokenCount(1),
                                              WeightVersion(0) },
                                step.m_now,
                                actions);
      step.m_coordinator.Handle(
        SampleFinished{ run.m_sample, run.m_attempt }, step.m_now, actions);
    }
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(aState.iterations()) *
                           aState.range(0));
}
BENCHMARK(CompleteStep)->Arg(64)->Arg(2048)->Unit(benchmark::kMillisecond);

/** Cost of a tick while a step generates, straggler scan included. */
void Ticks(benchmark::State& aState)
{
  OpenedStep step(static_cast<std::uint32_t>(aState.range(0)));
  std::vector<Action> actions;
  // The scan starts once the time per token of a complete sample is known.
  for (const GenerateSample& run : step.m_running) {
    step.m_coordinator.Handle(
      SampleAccepted{ run.m_sample, run.m_attempt }, step.m_now, actions);
  }
  const GenerateSample& first = step.m_running.front();
  for (int token = 0; token < 100; ++token) {
    step.m_now += std::chrono::milliseconds(10);
    step.m_coordinator.Handle(
      SampleTokens{
        first.m_sample, first.m_attempt, "x", TokenCount(1), WeightVersion(0) },
      step.m_now,
      actions);
  }
  step.m_coordinator.Handle(
    SampleFinished{ first.m_sample, first.m_attempt }, step.m_now, actions);
  for (auto _ : aState) {
    step.m_now += std::chrono::seconds(1);
    step.m_coordinator.Handle(Tick{}, step.m_now, actions);
  }
}
BENCHMARK(Ticks)->Arg(64)->Arg(2048);

} // namespace
