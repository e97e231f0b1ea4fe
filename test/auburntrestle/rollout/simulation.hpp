#ifndef AUBURNTRESTLE_TEST_ROLLOUT_SIMULATION_HPP
#define AUBURNTRESTLE_TEST_ROLLOUT_SIMULATION_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/rollout/batch.hpp"
#include "auburntrestle/rollout/coordinator.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::rollout::test {

/** A fault of a simulated component that the checker must detect. */
enum class InjectedFault : std::uint8_t
{
  None,
  /** The ledger does not report which samples were delivered. */
  ForgetDelivered,
  /** Engines report a version that they did not run. */
  MisreportVersion,
  /** Leaders do not receive publications. */
  HidePublication,
  /** Batches lose a sample on the way to the trainer. */
  SplitGroup,
  /** The judge's claims are ignored. */
  IgnoreClaims,
};

struct SimulationOptions
{
  std::uint64_t m_seed = 1;
  Policy m_policy;
  InjectedFault m_fault = InjectedFault::None;
  std::size_t m_engines = 6;
  std::size_t m_slots = 8;
  std::size_t m_trainers = 2;
  std::uint32_t m_groups = 6;
  std::uint32_t m_samplesPerGroup = 4;
  std::uint64_t m_bound = 1;
  std::size_t m_outstandingSteps = 2;
  std::size_t m_batchGroups = 2;
  std::uint64_t m_meanTokens = 40;
  Duration m_tokenTime = std::chrono::milliseconds(10);
  Duration m_trainTime = std::chrono::milliseconds(800);
  /** Time between two random faults; zero for none. */
  Duration m_faultInterval = std::chrono::milliseconds(150);
  double m_messageLoss = 0.03;
  double m_unknownVersion = 0.002;
  double m_duplicateResults = 0.05;
  bool m_judge = true;
  /** Time that an engine needs to swap its weights; it pauses meanwhile. */
  Duration m_swapTime{};
  /** Whether engines swap one after another instead of all at once. */
  bool m_swapInWaves = true;
  /** Probability that a run generates at a tenth of the normal rate. */
  double m_stragglers = 0.0;
};

/** A batch that a trainer has durably received. */
struct ReceivedBatch
{
  std::size_t m_trainer = 0;
  std::string m_body;
  /** When the service sent it. */
  TimePoint m_sent;
};

/** What the simulated engines, judge and trainers did; the only input of the
 * checker. */
struct GroundTruth
{
  struct Token
  {
    WeightVersion m_version;
    SampleId m_sample;
  };
  std::map<std::string, Token> m_tokens;
  std::vector<ReceivedBatch> m_receivedBatches;
  /** Publications of each trainer in order of time. */
  std::map<std::size_t, std::vector<std::pair<TimePoint, WeightVersion>>>
    m_published;
  std::map<std::pair<std::size_t, StepNumber>, StepSpec> m_steps;
  /** Number of judge runs that must not be repeated, by sample and text. */
  std::map<std::pair<std::string, std::string>, int> m_judgeRuns;
  std::map<std::size_t, std::uint64_t> m_bounds;
  /** Refusals that a correct trainer never receives. */
  std::vector<std::string> m_unexpectedRefusals;
};

/** Number of violations by kind. */
struct Findings
{
  std::size_t m_duplicates = 0;
  std::size_t m_wrongVersions = 0;
  std::size_t m_overBound = 0;
  std::size_t m_splitGroups = 0;
  std::size_t m_repeatedJudgements = 0;
  std::size_t m_missingSamples = 0;
  std::size_t m_checkedSamples = 0;

  [[nodiscard]] bool IsClean() const
  {
    return m_duplicates + m_wrongVersions + m_overBound + m_splitGroups +
             m_repeatedJudgements ==
           0;
  }
};

/** Checks the received batches against what was run. */
[[nodiscard]] Findings Check(const GroundTruth& aGroundTruth);

/**
 * Simulates coordinators on three instances, a ledger, engines, a judge and
 * trainers in virtual time.
 */
class Simulation
{
public:
  explicit Simulation(const SimulationOptions& aOptions);

  /** Runs until the coordinators have handled a number of events, not counting
   * tokens. */
  void RunEvents(std::size_t aCount);
  void RunFor(Duration aTime);
  /** Stops faults and new steps, then runs until every step is delivered or the
   * time limit is reached. @return whether every sample was delivered. */
  bool RunUntilDelivered(Duration aTimeLimit);

  [[nodiscard]] const GroundTruth& GetGroundTruth() const
  {
    return m_groundTruth;
  }
  /** @return the sum of a counter over all coordinators, past ones included. */
  [[nodiscard]] std::uint64_t Sum(std::uint64_t Metrics::*aMember) const;
  /** @return the share of time that trainers spent waiting for batches. */
  [[nodiscard]] double IdleShare() const;
  [[nodiscard]] std::size_t EventsHandled() const { return m_handled; }
  [[nodiscard]] std::size_t LeaderChanges() const { return m_term - 1; }

private:
  struct Run
  {
    std::size_t m_instance = 0;
    std::uint64_t m_incarnation = 0;
    GenerateSample m_action;
    std::uint64_t m_produced = 0;
    std::uint64_t m_length = 0;
    std::uint64_t m_serial = 0;
    double m_slowness = 1.0;
    bool m_cancelled = false;
  };
  struct FakeEngine
  {
    std::map<std::size_t, WeightVersion> m_versions;
    std::vector<std::shared_ptr<Run>> m_runs;
    bool m_up = true;
    bool m_swapping = false;
  };
  struct Instance
  {
    std::unique_ptr<Coordinator> m_coordinator;
    std::uint64_t m_incarnation = 0;
  };
  struct LedgerTrainer
  {
    std::map<StepNumber, StepSpec> m_steps;
    StepNumber m_lastStep;
    RestoredBatch m_batch;
    std::set<SampleId> m_delivered;
  };
  struct FakeTrainer
  {
    Cursor m_cursor{ 1 };
    std::uint64_t m_nextStep = 1;
    std::uint64_t m_acceptedSteps = 0;
    std::map<std::uint64_t, std::size_t> m_missing;
    std::uint64_t m_requestSerial = 0;
    bool m_training = false;
    std::uint64_t m_version = 0;
    Duration m_waited{};
    TimePoint m_waitingSince{};
  };
  struct PendingRequest
  {
    std::size_t m_trainer = 0;
    std::uint64_t m_serial = 0;
    Cursor m_cursor;
  };

  using Callback = std::function<void()>;

  void RunAfter(Duration aDelay, Callback aCallback);
  bool RunNext();
  Duration RandomDuration(std::int64_t aMin, std::int64_t aMax);
  void HandleEvent(std::size_t aInstance, const Event& aEvent);
  void HandleAtLeader(const Event& aEvent);
  void Execute(std::size_t aInstance, const GenerateSample& aAction);
  void Execute(std::size_t aInstance, const CancelSample& aAction);
  void Execute(std::size_t aInstance, const JudgeSample& aAction);
  void Execute(std::size_t aInstance, const ProposeOpenStep& aAction);
  void Execute(std::size_t aInstance, const ProposeFixBatch& aAction);
  void Execute(std::size_t aInstance, const ProposeAcknowledge& aAction);
  void Execute(std::size_t aInstance, const ProposeDiscard& aAction);
  void Execute(std::size_t aInstance, const ConfirmStep& aAction);
  void Execute(std::size_t aInstance, const RefuseStep& aAction);
  void Execute(std::size_t aInstance, const SendBatch& aAction);
  void Execute(std::size_t aInstance, const SendNoBatch& aAction);
  void Execute(std::size_t aInstance, const RefuseBatch& aAction);
  void Execute(std::size_t aInstance, const ConfirmDiscard& aAction);
  void Execute(std::size_t aInstance, const RefuseDiscard& aAction);
  void Propose(std::size_t aInstance,
               std::function<Event()> aApply,
               Event aRefused);

  void StartInstance(std::size_t aInstance);
  void ChangeLeader();
  void RestartInstance(std::size_t aInstance);
  void Restore();
  LedgerStateRestored ReadLedger() const;
  void RandomFault();

  void PlaceRuns();
  void Produce(std::size_t aEngine, const std::shared_ptr<Run>& aRun);
  void EndRun(std::size_t aEngine, const std::shared_ptr<Run>& aRun);
  void CrashEngine(std::size_t aEngine);
  void RollOut(std::size_t aTrainer, WeightVersion aVersion);
  void Swap(std::size_t aEngine, std::size_t aTrainer, WeightVersion aVersion);

  void OpenSteps(std::size_t aTrainer);
  void SendStep(std::size_t aTrainer, const StepSpec& aSpec);
  void RequestBatch(std::size_t aTrainer);
  void RequestDiscard(std::size_t aTrainer, Cursor aCursor);
  void Receive(std::size_t aTrainer, const std::string& aBody, TimePoint aSent);
  void Publish(std::size_t aTrainer);
  void Send(Callback aCallback);
  [[nodiscard]] std::size_t TrainerIndex(const TrainerId& aTrainer) const;
  [[nodiscard]] std::map<TrainerId, TrainerSettings>::const_iterator SettingsOf(
    std::size_t aTrainer) const
  {
    return std::next(m_settings.begin(), static_cast<std::ptrdiff_t>(aTrainer));
  }

  SimulationOptions m_options;
  RandomSource m_random;
  TimePoint m_now{};
  std::multimap<TimePoint, Callback> m_queue;
  std::size_t m_handled = 0;
  bool m_faults = true;

  std::array<Instance, 3> m_instances;
  std::size_t m_leader = 0;
  std::uint64_t m_term = 1;
  std::vector<std::unique_ptr<Coordinator>> m_retired;

  std::map<TrainerId, LedgerTrainer> m_ledger;
  std::map<ModelName, WeightVersion> m_versions;
  std::map<std::string, std::optional<double>> m_claims;

  std::vector<FakeEngine> m_engines;
  std::vector<std::shared_ptr<Run>> m_queued;
  std::map<std::pair<std::uint64_t, AttemptNumber>, std::size_t> m_engineOf;
  std::uint64_t m_lastToken = 0;

  std::vector<FakeTrainer> m_trainers;
  std::map<TrainerId, TrainerSettings> m_settings;
  std::uint64_t m_lastRequest = 0;
  std::map<RequestId, PendingRequest> m_requests;

  GroundTruth m_groundTruth;
};

} // namespace auburntrestle::rollout::test

#endif
