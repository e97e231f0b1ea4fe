#ifndef AUBURNTRESTLE_TEST_ROLLOUT_WORLD_HPP
#define AUBURNTRESTLE_TEST_ROLLOUT_WORLD_HPP

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

/** A misbehaviour of a stand-in that the checker must notice. */
enum class PlantedFault : std::uint8_t
{
  None,
  /** The ledger forgets which samples were delivered. */
  ForgetDelivered,
  /** Engines report a version that they did not run. */
  MisreportVersion,
  /** Leaders learn of publications late. */
  HidePublication,
  /** Bodies lose a sample on the way to the trainer. */
  SplitGroup,
  /** The judge's claims are ignored. */
  IgnoreClaims,
};

struct WorldOptions
{
  std::uint64_t m_seed = 1;
  Policy m_policy;
  PlantedFault m_fault = PlantedFault::None;
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
  double m_duplicateAnswers = 0.05;
  bool m_judge = true;
  /** Time that an engine takes to swap its weights, serving nothing. */
  Duration m_swapTime{};
  /** Engines swap one after another instead of all at once. */
  bool m_swapInWaves = true;
  /** Probability that a run is served at a tenth of the usual rate. */
  double m_stragglers = 0.0;
};

/** A batch that a trainer has durably received. */
struct Receipt
{
  std::size_t m_trainer = 0;
  std::string m_body;
  /** When the service sent it. */
  TimePoint m_sent;
};

/** What the fake engines, judge and trainers truly did; all that the checker
 * reads. */
struct Truth
{
  struct Token
  {
    WeightVersion m_version;
    SampleId m_sample;
  };
  std::map<std::string, Token> m_tokens;
  std::vector<Receipt> m_receipts;
  /** Publications by trainer, in order of time. */
  std::map<std::size_t, std::vector<std::pair<TimePoint, WeightVersion>>>
    m_published;
  std::map<std::pair<std::size_t, StepNumber>, StepSpec> m_steps;
  /** Judge runs that must not be repeated, by sample and text. */
  std::map<std::pair<std::string, std::string>, int> m_judgeRuns;
  std::map<std::size_t, std::uint64_t> m_bounds;
  /** Refusals that a correct trainer never sees. */
  std::vector<std::string> m_unexpectedRefusals;
};

/** Violations found by the checker, by kind. */
struct Findings
{
  std::size_t m_duplicates = 0;
  std::size_t m_wrongVersions = 0;
  std::size_t m_overBound = 0;
  std::size_t m_splitGroups = 0;
  std::size_t m_repeatedJudgements = 0;
  std::size_t m_missingSamples = 0;
  std::size_t m_checkedSamples = 0;

  [[nodiscard]] bool Clean() const
  {
    return m_duplicates + m_wrongVersions + m_overBound + m_splitGroups +
             m_repeatedJudgements ==
           0;
  }
};

/** Reads what was received and what was run, and nothing else. */
[[nodiscard]] Findings Check(const Truth& aTruth);

/**
 * Coordinators on three instances, a ledger, engines, a judge and trainers in
 * virtual time.
 */
class World
{
public:
  explicit World(const WorldOptions& aOptions);

  /** Runs until the coordinators have handled this many events other than
   * tokens. */
  void RunEvents(std::size_t aCount);
  void RunFor(Duration aTime);
  /** Ends all faults and new steps, and runs until every step is delivered or
   * the time is over. @return whether every sample was delivered. */
  bool Settle(Duration aLongest);

  [[nodiscard]] const Truth& GetTruth() const { return m_truth; }
  /** Sums a counter over all coordinators that ever ran. */
  [[nodiscard]] std::uint64_t Sum(std::uint64_t Metrics::*aMember) const;
  /** @return the share of the time that trainers spent waiting for batches. */
  [[nodiscard]] double IdleShare() const;
  [[nodiscard]] std::size_t EventsHandled() const { return m_handled; }
  [[nodiscard]] std::size_t LeaderChanges() const { return m_term - 1; }

private:
  struct Run
  {
    std::size_t m_instance = 0;
    std::uint64_t m_life = 0;
    GenerateSample m_order;
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
    std::uint64_t m_life = 0;
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

  void After(Duration aDelay, Callback aCallback);
  bool RunNext();
  Duration Between(std::int64_t aLeast, std::int64_t aMost);
  void Give(std::size_t aInstance, const Event& aEvent);
  void GiveToLeader(const Event& aEvent);
  void Act(std::size_t aInstance, const Action& aAction);
  void Do(std::size_t aInstance, const GenerateSample& aAction);
  void Do(std::size_t aInstance, const CancelSample& aAction);
  void Do(std::size_t aInstance, const JudgeSample& aAction);
  void Do(std::size_t aInstance, const ProposeOpenStep& aAction);
  void Do(std::size_t aInstance, const ProposeFixBatch& aAction);
  void Do(std::size_t aInstance, const ProposeAcknowledge& aAction);
  void Do(std::size_t aInstance, const ProposeDiscard& aAction);
  void Do(std::size_t aInstance, const AnswerStep& aAction);
  void Do(std::size_t aInstance, const RefuseStep& aAction);
  void Do(std::size_t aInstance, const AnswerBatch& aAction);
  void Do(std::size_t aInstance, const AnswerNoBatch& aAction);
  void Do(std::size_t aInstance, const RefuseBatch& aAction);
  void Do(std::size_t aInstance, const AnswerDiscard& aAction);
  void Do(std::size_t aInstance, const RefuseDiscard& aAction);
  void Propose(std::size_t aInstance,
               std::function<Event()> aApply,
               Event aRefused);

  void StartInstance(std::size_t aInstance);
  void ChangeLeader();
  void KillInstance(std::size_t aInstance);
  void Restore();
  Restored ReadLedger() const;
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

  WorldOptions m_options;
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

  Truth m_truth;
};

} // namespace auburntrestle::rollout::test

#endif
