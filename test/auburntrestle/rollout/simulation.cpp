#include "auburntrestle/rollout/simulation.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::rollout::test {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLatency = milliseconds(2);
constexpr std::uint64_t kChunk = 4;

std::string Numbered(const char* aPrefix, std::uint64_t aNumber)
{
  std::string text(aPrefix);
  text += std::to_string(aNumber);
  return text;
}

} // namespace

Simulation::Simulation(const SimulationOptions& aOptions)
  : m_options(aOptions)
  , m_random(m_options.m_seed)
  , m_engines(m_options.m_engines)
  , m_trainers(m_options.m_trainers)
{
  m_faults = m_options.m_faultInterval.count() > 0;
  for (std::size_t index = 0; index < m_trainers.size(); ++index) {
    TrainerSettings settings;
    settings.m_model = ModelName(Numbered("m", index));
    settings.m_weight = static_cast<double>(index + 1);
    settings.m_stalenessBound = m_options.m_bound;
    settings.m_maxOutstandingSteps = m_options.m_outstandingSteps;
    settings.m_batchGroups = m_options.m_batchGroups;
    settings.m_judgeRepeatable = index % 2 == 0;
    m_settings[TrainerId(Numbered("t", index))] = settings;
    m_groundTruth.m_bounds[index] = m_options.m_bound;
  }
  for (std::size_t index = 0; index < m_instances.size(); ++index) {
    StartInstance(index);
  }
  Restore();
  for (std::size_t index = 0; index < m_trainers.size(); ++index) {
    OpenSteps(index);
    RequestBatch(index);
  }
  RandomFault();
}

void Simulation::RunEvents(std::size_t aCount)
{
  while (m_handled < aCount && RunNext()) {
  }
}

void Simulation::RunFor(Duration aTime)
{
  const TimePoint end = m_now + aTime;
  while (m_now < end && RunNext()) {
  }
}

bool Simulation::RunUntilDelivered(Duration aTimeLimit)
{
  m_faults = false;
  const TimePoint end = m_now + aTimeLimit;
  const auto isMissing = [](const FakeTrainer& aTrainer) {
    return std::any_of(aTrainer.m_missing.begin(),
                       aTrainer.m_missing.end(),
                       [](const auto& aStep) { return aStep.second > 0; });
  };
  while (m_now < end &&
         std::any_of(m_trainers.begin(), m_trainers.end(), isMissing)) {
    RunNext();
  }
  return std::none_of(m_trainers.begin(), m_trainers.end(), isMissing);
}

std::uint64_t Simulation::Sum(std::uint64_t Metrics::*aMember) const
{
  std::uint64_t sum = 0;
  for (const auto& instance : m_instances) {
    sum += instance.m_coordinator->GetMetrics().*aMember;
  }
  for (const auto& retired : m_retired) {
    sum += retired->GetMetrics().*aMember;
  }
  return sum;
}

double Simulation::IdleShare() const
{
  double waited = 0.0;
  for (const FakeTrainer& trainer : m_trainers) {
    waited += static_cast<double>(trainer.m_waited.count());
  }
  return waited / static_cast<double>(m_now.time_since_epoch().count()) /
         static_cast<double>(m_trainers.size());
}

void Simulation::RunAfter(Duration aDelay, Callback aCallback)
{
  m_queue.emplace(m_now + aDelay, std::move(aCallback));
}

bool Simulation::RunNext()
{
  if (m_queue.empty()) {
    return false;
  }
  auto next = m_queue.extract(m_queue.begin());
  m_now = std::max(m_now, next.key());
  next.mapped()();
  return true;
}

Duration Simulation::RandomDuration(std::int64_t aMin, std::int64_t aMax)
{
  const auto span = static_cast<std::uint64_t>(aMax - aMin + 1);
  return milliseconds(aMin + static_cast<std::int64_t>(m_random.Below(span)));
}

void Simulation::HandleEvent(std::size_t aInstance, const Event& aEvent)
{
  m_handled += std::holds_alternative<SampleTokens>(aEvent) ? 0 : 1;
  std::vector<Action> actions;
  m_instances.at(aInstance).m_coordinator->Handle(aEvent, m_now, actions);
  for (const Action& action : actions) {
    std::visit([&](const auto& aValue) { Execute(aInstance, aValue); }, action);
  }
}

void Simulation::HandleAtLeader(const Event& aEvent)
{
  HandleEvent(m_leader, aEvent);
}

// Instances and the ledger

void Simulation::StartInstance(std::size_t aInstance)
{
  static std::uint64_t incarnations = 0;
  Instance& instance = m_instances.at(aInstance);
  if (instance.m_coordinator) {
    m_retired.push_back(std::move(instance.m_coordinator));
  }
  instance.m_coordinator = std::make_unique<Coordinator>(
    std::move(Coordinator::Create({ m_options.m_policy, m_options.m_seed }))
      .value());
  instance.m_incarnation = ++incarnations;
  HandleEvent(aInstance, ConfigurationChanged{ m_settings });
  const auto tick =
    [this, aInstance, incarnation = instance.m_incarnation](auto aSelf) {
      if (m_instances.at(aInstance).m_incarnation != incarnation) {
        return;
      }
      HandleEvent(aInstance, Tick{});
      RunAfter(milliseconds(50), [aSelf] { aSelf(aSelf); });
    };
  RunAfter(milliseconds(50), [tick] { tick(tick); });
}

void Simulation::ChangeLeader()
{
  const std::size_t old = m_leader;
  ++m_term;
  m_leader =
    (old + 1 + m_random.Below(m_instances.size() - 1)) % m_instances.size();
  // An instance that is re-elected has observed the change of term.
  HandleEvent(m_leader, LeadershipLost{});
  // The old leader may learn of the change with a delay.
  RunAfter(RandomDuration(0, 1500), [this, old] {
    if (m_leader != old) {
      HandleEvent(old, LeadershipLost{});
    }
  });
  RunAfter(RandomDuration(50, 300), [this, term = m_term] {
    if (term == m_term) {
      Restore();
    }
  });
}

void Simulation::RestartInstance(std::size_t aInstance)
{
  const std::uint64_t incarnation = m_instances.at(aInstance).m_incarnation;
  StartInstance(aInstance);
  for (FakeEngine& engine : m_engines) {
    std::erase_if(engine.m_runs, [&](const auto& aRun) {
      aRun->m_cancelled =
        aRun->m_cancelled || aRun->m_incarnation == incarnation;
      return aRun->m_incarnation == incarnation;
    });
  }
  std::erase_if(m_queued, [&](const auto& aRun) {
    return aRun->m_incarnation == incarnation;
  });
  if (aInstance == m_leader) {
    ChangeLeader();
  }
}

void Simulation::Restore()
{
  HandleEvent(m_leader, ReadLedger());
}

LedgerStateRestored Simulation::ReadLedger() const
{
  LedgerStateRestored restored;
  restored.m_versions = m_versions;
  for (const auto& [id, trainer] : m_ledger) {
    for (const auto& [number, spec] : trainer.m_steps) {
      restored.m_steps.push_back(spec);
    }
    restored.m_lastSteps[id] = trainer.m_lastStep;
    if (trainer.m_batch.m_cursor.Get() > 0) {
      restored.m_batches.push_back(trainer.m_batch);
    }
    if (m_options.m_fault != InjectedFault::ForgetDelivered) {
      restored.m_delivered.insert(restored.m_delivered.end(),
                                  trainer.m_delivered.begin(),
                                  trainer.m_delivered.end());
    }
  }
  return restored;
}

void Simulation::Propose(std::size_t aInstance,
                         std::function<Event()> aApply,
                         Event aRefused)
{
  RunAfter(RandomDuration(2, 6),
           [this,
            aInstance,
            term = m_term,
            incarnation = m_instances.at(aInstance).m_incarnation,
            apply = std::move(aApply),
            refused = std::move(aRefused)] {
             const bool isLeader = aInstance == m_leader && term == m_term;
             const Event reply = isLeader ? apply() : refused;
             // The leader may change between the commit and its result.
             if (isLeader && m_faults && m_random.Chance(0.01)) {
               ChangeLeader();
             }
             const bool isAlive =
               m_instances.at(aInstance).m_incarnation == incarnation;
             if (isAlive && (!isLeader || aInstance == m_leader)) {
               HandleEvent(aInstance, reply);
             }
           });
}

void Simulation::Execute(std::size_t aInstance, const ProposeOpenStep& aAction)
{
  const StepSpec spec = aAction.m_spec;
  Propose(
    aInstance,
    [this, spec]() -> Event {
      LedgerTrainer& trainer = m_ledger[spec.m_trainer];
      trainer.m_steps[spec.m_step] = spec;
      trainer.m_lastStep = std::max(trainer.m_lastStep, spec.m_step);
      return StepOpened{ spec };
    },
    StepOpenRefused{
      spec.m_trainer,
      spec.m_step,
      NotRunError(ErrorCode::NoQuorum, NotRunEvidence::NeverSent) });
}

void Simulation::Execute(std::size_t aInstance, const ProposeFixBatch& aAction)
{
  Propose(
    aInstance,
    [this, aAction]() -> Event {
      m_ledger[aAction.m_trainer].m_batch = { aAction.m_trainer,
                                              aAction.m_cursor,
                                              BatchState::Fixed,
                                              aAction.m_samples,
                                              aAction.m_payload };
      return BatchFixed{ aAction.m_trainer, aAction.m_cursor };
    },
    BatchFixRefused{ aAction.m_trainer, aAction.m_cursor });
}

void Simulation::Execute(std::size_t aInstance,
                         const ProposeAcknowledge& aAction)
{
  Propose(
    aInstance,
    [this, aAction]() -> Event {
      LedgerTrainer& trainer = m_ledger[aAction.m_trainer];
      trainer.m_batch.m_state = BatchState::Acknowledged;
      trainer.m_delivered.insert(trainer.m_batch.m_samples.begin(),
                                 trainer.m_batch.m_samples.end());
      std::erase_if(trainer.m_steps, [&](const auto& aStep) {
        std::size_t samples = 0;
        for (const GroupSpec& group : aStep.second.m_groups) {
          samples += group.m_samples;
        }
        const auto count = static_cast<std::size_t>(
          std::count_if(trainer.m_delivered.begin(),
                        trainer.m_delivered.end(),
                        [&](auto& aId) { return aId.m_step == aStep.first; }));
        return count == samples;
      });
      std::erase_if(trainer.m_delivered, [&](const SampleId& aId) {
        return !trainer.m_steps.contains(aId.m_step);
      });
      return BatchAcknowledged{ aAction.m_trainer, aAction.m_cursor };
    },
    AcknowledgeRefused{ aAction.m_trainer, aAction.m_cursor });
}

void Simulation::Execute(std::size_t aInstance, const ProposeDiscard& aAction)
{
  Propose(
    aInstance,
    [this, aAction]() -> Event {
      m_ledger[aAction.m_trainer].m_batch.m_state = BatchState::Discarded;
      return BatchDiscarded{ aAction.m_trainer, aAction.m_cursor };
    },
    DiscardRefused{ aAction.m_trainer, aAction.m_cursor });
}

void Simulation::RandomFault()
{
  if (m_options.m_faultInterval.count() == 0) {
    return;
  }
  const auto interval = m_options.m_faultInterval.count();
  RunAfter(Duration(interval / 2 + static_cast<std::int64_t>(m_random.Below(
                                     static_cast<std::uint64_t>(interval)))),
           [this] { RandomFault(); });
  if (!m_faults) {
    return;
  }
  switch (m_random.Below(9)) {
    case 0:
      ChangeLeader();
      return;
    case 1:
      RestartInstance(m_random.Below(m_instances.size()));
      return;
    case 2: {
      // A trainer restarts with its durable state.
      const std::size_t trainer = m_random.Below(m_trainers.size());
      const std::uint64_t serial = ++m_trainers[trainer].m_requestSerial;
      RunAfter(RandomDuration(0, 1000), [this, trainer, serial] {
        const FakeTrainer& restarted = m_trainers[trainer];
        if (!restarted.m_training && restarted.m_requestSerial == serial) {
          RequestBatch(trainer);
        }
      });
      return;
    }
    case 3:
      Publish(m_random.Below(m_trainers.size()));
      return;
    default:
      CrashEngine(m_random.Below(m_engines.size()));
  }
}

// Engines

void Simulation::Execute(std::size_t aInstance, const GenerateSample& aAction)
{
  auto run = std::make_shared<Run>();
  run->m_instance = aInstance;
  run->m_incarnation = m_instances.at(aInstance).m_incarnation;
  run->m_action = aAction;
  run->m_produced = aAction.m_resume ? aAction.m_resume->m_tokens.Get() : 0;
  const double length = 1.0 - std::log(1.0 - m_random.Unit()) *
                                static_cast<double>(m_options.m_meanTokens);
  run->m_length =
    std::min(aAction.m_maxTokens.Get(),
             std::max(static_cast<std::uint64_t>(length), run->m_produced + 1));
  run->m_slowness = m_random.Chance(m_options.m_stragglers) ? 10.0 : 1.0;
  m_queued.push_back(std::move(run));
  RunAfter(kLatency, [this] { PlaceRuns(); });
}

void Simulation::Execute(std::size_t aInstance, const CancelSample& aAction)
{
  // If a cancellation is lost, the engine completes the output.
  if (m_faults && m_random.Chance(0.05)) {
    return;
  }
  const std::uint64_t incarnation = m_instances.at(aInstance).m_incarnation;
  const auto isMeant = [incarnation,
                        attempt = aAction.m_attempt](const auto& aRun) {
    return aRun->m_incarnation == incarnation &&
           aRun->m_action.m_attempt == attempt;
  };
  std::erase_if(m_queued, isMeant);
  RunAfter(kLatency, [this, isMeant] {
    for (FakeEngine& engine : m_engines) {
      std::erase_if(engine.m_runs, [&](const auto& aRun) {
        aRun->m_cancelled = aRun->m_cancelled || isMeant(aRun);
        return isMeant(aRun);
      });
    }
    PlaceRuns();
  });
}

void Simulation::PlaceRuns()
{
  std::vector<std::shared_ptr<Run>> waiting;
  for (const auto& run : std::exchange(m_queued, {})) {
    const std::size_t trainer = TrainerIndex(run->m_action.m_sample.m_trainer);
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
      FakeEngine& engine = m_engines[index];
      const bool isAvoided = std::any_of(
        run->m_action.m_avoid.begin(),
        run->m_action.m_avoid.end(),
        [&](auto aAttempt) {
          const auto found = m_engineOf.find({ run->m_incarnation, aAttempt });
          return found != m_engineOf.end() && found->second == index;
        });
      if (!engine.m_up || engine.m_swapping || isAvoided ||
          engine.m_runs.size() >= m_options.m_slots ||
          engine.m_versions[trainer] < run->m_action.m_minimumVersion) {
        continue;
      }
      if (!best || engine.m_runs.size() < m_engines[*best].m_runs.size()) {
        best = index;
      }
    }
    if (!best) {
      waiting.push_back(run);
      continue;
    }
    m_engines[*best].m_runs.push_back(run);
    m_engineOf[{ run->m_incarnation, run->m_action.m_attempt }] = *best;
    if (m_instances.at(run->m_instance).m_incarnation == run->m_incarnation) {
      HandleEvent(
        run->m_instance,
        SampleAccepted{ run->m_action.m_sample, run->m_action.m_attempt });
    }
    Produce(*best, run);
  }
  m_queued.insert(m_queued.begin(), waiting.begin(), waiting.end());
}

void Simulation::Produce(std::size_t aEngine, const std::shared_ptr<Run>& aRun)
{
  const auto time = static_cast<std::int64_t>(
    static_cast<double>(m_options.m_tokenTime.count() * kChunk) *
    aRun->m_slowness);
  RunAfter(Duration(time), [this, aEngine, aRun] {
    if (aRun->m_cancelled) {
      return;
    }
    FakeEngine& engine = m_engines[aEngine];
    if (engine.m_swapping) {
      Produce(aEngine, aRun);
      return;
    }
    const WeightVersion version =
      engine.m_versions[TrainerIndex(aRun->m_action.m_sample.m_trainer)];
    const std::uint64_t count =
      std::min(kChunk, aRun->m_length - aRun->m_produced);
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index) {
      const std::string token = Numbered("t", ++m_lastToken);
      m_groundTruth.m_tokens[token] = { version, aRun->m_action.m_sample };
      text += token + ' ';
    }
    aRun->m_produced += count;
    std::optional<WeightVersion> reported = version;
    if (m_random.Chance(m_options.m_unknownVersion)) {
      reported.reset();
    }
    if (m_options.m_fault == InjectedFault::MisreportVersion &&
        m_random.Chance(0.02)) {
      reported = version.Next();
    }
    if (m_instances.at(aRun->m_instance).m_incarnation == aRun->m_incarnation) {
      HandleEvent(aRun->m_instance,
                  SampleTokens{ aRun->m_action.m_sample,
                                aRun->m_action.m_attempt,
                                text,
                                TokenCount(count),
                                reported });
    }
    if (aRun->m_produced >= aRun->m_length) {
      EndRun(aEngine, aRun);
    } else {
      Produce(aEngine, aRun);
    }
  });
}

void Simulation::EndRun(std::size_t aEngine, const std::shared_ptr<Run>& aRun)
{
  std::erase(m_engines[aEngine].m_runs, aRun);
  aRun->m_cancelled = true;
  const auto finish = [this, aRun] {
    if (m_instances.at(aRun->m_instance).m_incarnation == aRun->m_incarnation) {
      HandleEvent(
        aRun->m_instance,
        SampleFinished{ aRun->m_action.m_sample, aRun->m_action.m_attempt });
    }
  };
  finish();
  if (m_random.Chance(m_options.m_duplicateResults)) {
    RunAfter(RandomDuration(0, 2000), finish);
  }
  PlaceRuns();
}

void Simulation::CrashEngine(std::size_t aEngine)
{
  FakeEngine& engine = m_engines[aEngine];
  if (!engine.m_up) {
    return;
  }
  engine.m_up = false;
  for (const auto& run : std::exchange(engine.m_runs, {})) {
    run->m_cancelled = true;
    RunAfter(kLatency, [this, run] {
      if (m_instances.at(run->m_instance).m_incarnation == run->m_incarnation) {
        HandleEvent(
          run->m_instance,
          SampleFailed{ run->m_action.m_sample,
                        run->m_action.m_attempt,
                        UnknownOutcomeError(ErrorCode::BackendLost) });
      }
    });
  }
  RunAfter(RandomDuration(100, 1000), [this, aEngine] {
    m_engines[aEngine].m_up = true;
    PlaceRuns();
  });
}

void Simulation::RollOut(std::size_t aTrainer, WeightVersion aVersion)
{
  const auto count = static_cast<std::int64_t>(m_engines.size());
  for (std::int64_t index = 0; index < count; ++index) {
    // The bandwidth of the weight store is shared, so loading takes the same
    // total time one after another or all at once.
    const bool isSwap = m_options.m_swapTime.count() > 0;
    const Duration start = isSwap && m_options.m_swapInWaves
                             ? index * m_options.m_swapTime
                             : Duration{};
    const Duration delay = isSwap ? start : RandomDuration(5, 400);
    RunAfter(delay, [this, index, aTrainer, aVersion] {
      Swap(static_cast<std::size_t>(index), aTrainer, aVersion);
    });
  }
}

void Simulation::Swap(std::size_t aEngine,
                      std::size_t aTrainer,
                      WeightVersion aVersion)
{
  // Some swaps fail and are repeated.
  if (m_faults && m_random.Chance(0.1)) {
    RunAfter(milliseconds(300), [this, aEngine, aTrainer, aVersion] {
      Swap(aEngine, aTrainer, aVersion);
    });
    return;
  }
  m_engines[aEngine].m_swapping = m_options.m_swapTime.count() > 0;
  const auto shared =
    static_cast<std::int64_t>(m_options.m_swapInWaves ? 1 : m_engines.size());
  RunAfter(shared * m_options.m_swapTime, [this, aEngine, aTrainer, aVersion] {
    FakeEngine& engine = m_engines[aEngine];
    engine.m_swapping = false;
    engine.m_versions[aTrainer] =
      std::max(engine.m_versions[aTrainer], aVersion);
    PlaceRuns();
  });
}

// The judge

void Simulation::Execute(std::size_t aInstance, const JudgeSample& aAction)
{
  const std::uint64_t incarnation = m_instances.at(aInstance).m_incarnation;
  const auto reply =
    [this, aInstance, incarnation, aAction](std::optional<double> aScore) {
      if (m_instances.at(aInstance).m_incarnation != incarnation) {
        return;
      }
      if (aScore) {
        HandleEvent(
          aInstance,
          JudgeSucceeded{ aAction.m_sample, aAction.m_attempt, *aScore });
      } else {
        HandleEvent(aInstance,
                    JudgeFailed{ aAction.m_sample,
                                 aAction.m_attempt,
                                 UnknownOutcomeError(ErrorCode::BackendLost) });
      }
    };
  if (aAction.m_claim) {
    const bool isIgnored = m_options.m_fault == InjectedFault::IgnoreClaims;
    const auto [claim, isNew] =
      m_claims.try_emplace(aAction.m_claim->Get(), std::nullopt);
    if (!isNew && !isIgnored) {
      const auto score = claim->second;
      RunAfter(kLatency, [reply, score] { reply(score); });
      return;
    }
    m_groundTruth.m_judgeRuns[{ ToText(aAction.m_sample), *aAction.m_text }] +=
      isIgnored ? 2 : 1;
  }
  const bool isFailing = m_faults && m_random.Chance(0.1);
  const bool isSlow = m_faults && m_random.Chance(0.03);
  RunAfter(isSlow ? milliseconds(3000) : RandomDuration(5, 30),
           [this, reply, isFailing, claim = aAction.m_claim] {
             const std::optional<double> score =
               isFailing ? std::nullopt : std::optional(m_random.Unit());
             if (claim) {
               m_claims[claim->Get()] = score;
             }
             reply(score);
           });
}

// Trainers

std::size_t Simulation::TrainerIndex(const TrainerId& aTrainer) const
{
  return static_cast<std::size_t>(
    std::distance(m_settings.begin(), m_settings.find(aTrainer)));
}

void Simulation::Send(Callback aCallback)
{
  if (m_faults && m_random.Chance(m_options.m_messageLoss)) {
    return;
  }
  RunAfter(RandomDuration(2, 5), std::move(aCallback));
}

void Simulation::OpenSteps(std::size_t aTrainer)
{
  FakeTrainer& trainer = m_trainers[aTrainer];
  const auto open =
    std::count_if(trainer.m_missing.begin(),
                  trainer.m_missing.end(),
                  [](const auto& aStep) { return aStep.second > 0; });
  const bool isEnding = m_options.m_faultInterval.count() > 0 && !m_faults;
  // Steps are opened in order; each waits until the previous one is accepted.
  if (isEnding || trainer.m_acceptedSteps + 1 != trainer.m_nextStep ||
      static_cast<std::size_t>(open) >= m_options.m_outstandingSteps) {
    return;
  }
  StepSpec spec;
  spec.m_trainer = SettingsOf(aTrainer)->first;
  spec.m_step = StepNumber(trainer.m_nextStep);
  spec.m_model = m_settings.at(spec.m_trainer).m_model;
  spec.m_maxTokens = TokenCount(4 * m_options.m_meanTokens);
  for (std::uint32_t group = 0; group < m_options.m_groups; ++group) {
    spec.m_groups.push_back(
      { Numbered("prompt ", group), m_options.m_samplesPerGroup });
  }
  if (m_options.m_judge) {
    spec.m_judge = ServiceName("judge");
  }
  m_groundTruth.m_steps[{ aTrainer, spec.m_step }] = spec;
  trainer.m_missing[trainer.m_nextStep] =
    std::size_t{ m_options.m_groups } * m_options.m_samplesPerGroup;
  ++trainer.m_nextStep;
  SendStep(aTrainer, spec);
}

void Simulation::SendStep(std::size_t aTrainer, const StepSpec& aSpec)
{
  FakeTrainer& trainer = m_trainers[aTrainer];
  if (trainer.m_acceptedSteps >= aSpec.m_step.Get()) {
    return;
  }
  Send([this, aTrainer, aSpec] {
    const RequestId request(++m_lastRequest);
    m_requests[request] = { aTrainer, aSpec.m_step.Get(), Cursor(0) };
    HandleAtLeader(StepRequested{ request, aSpec });
  });
  RunAfter(milliseconds(300),
           [this, aTrainer, aSpec] { SendStep(aTrainer, aSpec); });
}

void Simulation::Execute(std::size_t, const ConfirmStep& aAction)
{
  const PendingRequest request = m_requests.at(aAction.m_request);
  Send([this, request] {
    FakeTrainer& trainer = m_trainers[request.m_trainer];
    trainer.m_acceptedSteps =
      std::max(trainer.m_acceptedSteps, request.m_serial);
    OpenSteps(request.m_trainer);
  });
}

void Simulation::Execute(std::size_t, const RefuseStep&) {}

void Simulation::RequestBatch(std::size_t aTrainer)
{
  FakeTrainer& trainer = m_trainers[aTrainer];
  if (trainer.m_waitingSince == TimePoint{}) {
    trainer.m_waitingSince = m_now;
  }
  const std::uint64_t serial = ++trainer.m_requestSerial;
  const Cursor cursor = trainer.m_cursor;
  Send([this, aTrainer, serial, cursor] {
    const RequestId request(++m_lastRequest);
    m_requests[request] = { aTrainer, serial, cursor };
    const TrainerId id = SettingsOf(aTrainer)->first;
    HandleAtLeader(
      BatchRequested{ request, id, cursor, m_now + milliseconds(1000) });
    if (m_random.Chance(0.1)) {
      RunAfter(milliseconds(1500), [this, request] {
        HandleAtLeader(BatchRequestCancelled{ request });
      });
    }
  });
  RunAfter(milliseconds(1500), [this, aTrainer, serial] {
    if (m_trainers[aTrainer].m_requestSerial == serial) {
      RequestBatch(aTrainer);
    }
  });
}

void Simulation::Execute(std::size_t, const SendBatch& aAction)
{
  const PendingRequest request = m_requests.at(aAction.m_request);
  std::string body = *aAction.m_payload;
  if (m_options.m_fault == InjectedFault::SplitGroup && m_random.Chance(0.1)) {
    Batch batch = DecodeBatch(body).value();
    batch.m_samples.pop_back();
    body = EncodeBatch(batch);
  }
  // A truncated body counts as lost.
  Send([this, request, body, sent = m_now] {
    const FakeTrainer& trainer = m_trainers[request.m_trainer];
    if (trainer.m_requestSerial == request.m_serial && !trainer.m_training) {
      Receive(request.m_trainer, body, sent);
    }
  });
}

void Simulation::Receive(std::size_t aTrainer,
                         const std::string& aBody,
                         TimePoint aSent)
{
  FakeTrainer& trainer = m_trainers[aTrainer];
  m_groundTruth.m_receivedBatches.push_back({ aTrainer, aBody, aSent });
  trainer.m_cursor = trainer.m_cursor.Next();
  ++trainer.m_requestSerial;
  trainer.m_waited += m_now - trainer.m_waitingSince;
  trainer.m_waitingSince = TimePoint{};
  trainer.m_training = true;
  bool isStepComplete = false;
  const Batch batch = DecodeBatch(aBody).value();
  for (const BatchSample& sample : batch.m_samples) {
    const std::uint64_t step = sample.m_id.m_step.Get();
    trainer.m_acceptedSteps = std::max(trainer.m_acceptedSteps, step);
    std::size_t& missing = trainer.m_missing[step];
    missing -= missing > 0 ? 1 : 0;
    isStepComplete = isStepComplete || missing == 0;
  }
  const double share =
    static_cast<double>(batch.m_samples.size()) /
    static_cast<double>(m_options.m_groups * m_options.m_samplesPerGroup);
  const Duration time(static_cast<Duration::rep>(
    share * static_cast<double>(m_options.m_trainTime.count())));
  RunAfter(time, [this, aTrainer, isStepComplete] {
    m_trainers[aTrainer].m_training = false;
    if (isStepComplete) {
      Publish(aTrainer);
    }
    OpenSteps(aTrainer);
    RequestBatch(aTrainer);
  });
}

void Simulation::Publish(std::size_t aTrainer)
{
  const WeightVersion version(++m_trainers[aTrainer].m_version);
  const ModelName model = SettingsOf(aTrainer)->second.m_model;
  RunAfter(kLatency, [this, aTrainer, version, model] {
    m_versions[model] = version;
    m_groundTruth.m_published[aTrainer].emplace_back(m_now, version);
    const bool isHidden = m_options.m_fault == InjectedFault::HidePublication;
    if (isHidden) {
      m_versions[model] = WeightVersion(0);
    } else {
      for (std::size_t index = 0; index < m_instances.size(); ++index) {
        HandleEvent(index, VersionPublished{ model, version });
      }
    }
    RollOut(aTrainer, version);
  });
}

void Simulation::Execute(std::size_t, const SendNoBatch& aAction)
{
  const PendingRequest request = m_requests.at(aAction.m_request);
  Send([this, request] {
    if (m_trainers[request.m_trainer].m_requestSerial == request.m_serial) {
      RequestBatch(request.m_trainer);
    }
  });
}

void Simulation::Execute(std::size_t, const RefuseBatch& aAction)
{
  const PendingRequest request = m_requests.at(aAction.m_request);
  const ErrorCode code = CodeOf(aAction.m_error);
  Send([this, request, code] {
    FakeTrainer& trainer = m_trainers[request.m_trainer];
    if (trainer.m_requestSerial != request.m_serial) {
      return;
    }
    if (code == ErrorCode::BatchExpired) {
      // The batch was not received; responses in flight are abandoned before
      // the discard.
      ++trainer.m_requestSerial;
      RequestDiscard(request.m_trainer, request.m_cursor);
    } else if (code == ErrorCode::Conflict || code == ErrorCode::BadRequest ||
               code == ErrorCode::NotFound) {
      m_groundTruth.m_unexpectedRefusals.emplace_back(ToString(code));
    }
  });
}

void Simulation::RequestDiscard(std::size_t aTrainer, Cursor aCursor)
{
  if (m_trainers[aTrainer].m_cursor != aCursor) {
    return;
  }
  Send([this, aTrainer, aCursor] {
    const RequestId request(++m_lastRequest);
    m_requests[request] = { aTrainer, 0, aCursor };
    HandleAtLeader(
      DiscardRequested{ request, SettingsOf(aTrainer)->first, aCursor });
  });
  RunAfter(milliseconds(400),
           [this, aTrainer, aCursor] { RequestDiscard(aTrainer, aCursor); });
}

void Simulation::Execute(std::size_t, const ConfirmDiscard& aAction)
{
  const PendingRequest request = m_requests.at(aAction.m_request);
  Send([this, request] {
    FakeTrainer& trainer = m_trainers[request.m_trainer];
    if (trainer.m_cursor == request.m_cursor) {
      trainer.m_cursor = trainer.m_cursor.Next();
      RequestBatch(request.m_trainer);
    }
  });
}

void Simulation::Execute(std::size_t, const RefuseDiscard& aAction)
{
  const ErrorCode code = CodeOf(aAction.m_error);
  if (code == ErrorCode::Conflict || code == ErrorCode::NotFound) {
    m_groundTruth.m_unexpectedRefusals.emplace_back("discard");
  }
}

} // namespace auburntrestle::rollout::test
