#include "auburntrestle/rollout/batch.hpp"
#include "auburntrestle/rollout/coordinator.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace auburntrestle::rollout {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TrainerId kTrainer("alpha");
const ModelName kModel("conselheiro");

/** A leading coordinator with one configured trainer. */
class Leader
{
public:
  explicit Leader(const Policy& aPolicy = {}, TrainerSettings aSettings = {})
    : m_settings(std::move(aSettings))
    , m_coordinator(std::move(Coordinator::Create({ aPolicy, 1 })).value())
  {
    m_settings.m_model = kModel;
    Handle(ConfigurationChanged{ { { kTrainer, m_settings } } });
    Handle(LedgerStateRestored{});
  }

  std::vector<Action> Handle(const Event& aEvent)
  {
    std::vector<Action> actions;
    m_coordinator.Handle(aEvent, m_now, actions);
    for (const Action& action : actions) {
      if (const auto* generate = std::get_if<GenerateSample>(&action)) {
        m_running[generate->m_sample] = *generate;
      }
    }
    return actions;
  }

  /** Opens a step. @return the actions, which include the started attempts. */
  std::vector<Action> OpenStep(std::uint64_t aStep,
                               std::size_t aGroups,
                               std::uint32_t aSamples,
                               std::optional<ServiceName> aJudge = std::nullopt)
  {
    return Handle(
      StepOpened{ Spec(aStep, aGroups, aSamples, std::move(aJudge)) });
  }

  static StepSpec Spec(std::uint64_t aStep,
                       std::size_t aGroups,
                       std::uint32_t aSamples,
                       std::optional<ServiceName> aJudge = std::nullopt)
  {
    return { kTrainer,
             StepNumber(aStep),
             kModel,
             TokenCount(100),
             std::vector<GroupSpec>(aGroups, { "prompt", aSamples }),
             std::move(aJudge) };
  }

  std::vector<Action> ReceiveTokens(const SampleId& aSample,
                                    std::uint64_t aCount,
                                    std::optional<std::uint64_t> aVersion,
                                    std::string aText = "x")
  {
    std::optional<WeightVersion> version;
    if (aVersion) {
      version = WeightVersion(*aVersion);
    }
    return Handle(SampleTokens{ aSample,
                                m_running.at(aSample).m_attempt,
                                std::move(aText),
                                TokenCount(aCount),
                                version });
  }

  std::vector<Action> FinishSample(const SampleId& aSample,
                                   std::uint64_t aVersion)
  {
    ReceiveTokens(aSample, 10, aVersion);
    return Handle(SampleFinished{ aSample, m_running.at(aSample).m_attempt });
  }

  std::vector<Action> FinishStep(std::uint64_t aStep, std::uint64_t aVersion)
  {
    std::vector<Action> all;
    const auto samples = m_running;
    for (const auto& [id, attempt] : samples) {
      if (id.m_step == StepNumber(aStep)) {
        const auto actions = FinishSample(id, aVersion);
        all.insert(all.end(), actions.begin(), actions.end());
      }
    }
    return all;
  }

  std::vector<Action> RequestBatch(std::uint64_t aCursor,
                                   Duration aWait = seconds(1))
  {
    return Handle(BatchRequested{
      RequestId(++m_request), kTrainer, Cursor(aCursor), m_now + aWait });
  }

  std::vector<Action> ConfirmFix(std::uint64_t aCursor)
  {
    return Handle(BatchFixed{ kTrainer, Cursor(aCursor) });
  }

  std::vector<Action> Publish(std::uint64_t aVersion)
  {
    return Handle(VersionPublished{ kModel, WeightVersion(aVersion) });
  }

  void Advance(Duration aTime) { m_now += aTime; }
  std::vector<Action> TickAfter(Duration aTime)
  {
    Advance(aTime);
    return Handle(Tick{});
  }

  const Metrics& GetMetrics() const { return m_coordinator.GetMetrics(); }

  /** The last attempt of each sample. */
  std::map<SampleId, GenerateSample> m_running;

private:
  TrainerSettings m_settings;
  Coordinator m_coordinator;
  TimePoint m_now = TimePoint(seconds(1));
  std::uint64_t m_request = 0;
};

SampleId Id(std::uint64_t aStep, std::uint32_t aGroup, std::uint32_t aIndex)
{
  return {
    kTrainer, StepNumber(aStep), GroupIndex(aGroup), SampleIndex(aIndex)
  };
}

template<typename T>
std::vector<T> AllOf(const std::vector<Action>& aActions)
{
  std::vector<T> found;
  for (const Action& action : aActions) {
    if (const auto* value = std::get_if<T>(&action)) {
      found.push_back(*value);
    }
  }
  return found;
}

/** @return the only action of a type; throws if there is none. */
template<typename T>
T Single(const std::vector<Action>& aActions)
{
  const auto found = AllOf<T>(aActions);
  EXPECT_EQ(found.size(), 1U);
  return found.at(0);
}

ErrorCode RefusalCodeOf(const std::vector<Action>& aActions)
{
  return CodeOf(Single<RefuseBatch>(aActions).m_error);
}

// Guards against another batch, or other bytes, for a cursor that was already
// sent: the trainer crashed during a step, an instance was lost after half the
// body, or the request was repeated through another instance.
TEST(CursorTest, SendsTheSameBytesUntilTheNextCursorIsRequested)
{
  Leader leader;
  leader.OpenStep(1, 2, 2);
  leader.FinishStep(1, 0);
  const auto proposal = Single<ProposeFixBatch>(leader.RequestBatch(1));
  EXPECT_EQ(proposal.m_samples.size(), 4U);
  const auto first = Single<SendBatch>(leader.ConfirmFix(1));
  EXPECT_EQ(*first.m_payload, *proposal.m_payload);
  for (int resend = 0; resend < 3; ++resend) {
    leader.Advance(seconds(10));
    const auto again = Single<SendBatch>(leader.RequestBatch(1));
    EXPECT_EQ(*again.m_payload, *first.m_payload);
    EXPECT_NE(again.m_request, first.m_request);
  }
  leader.OpenStep(2, 1, 1);
  leader.FinishStep(2, 0);
  EXPECT_EQ(Single<ProposeAcknowledge>(leader.RequestBatch(2)).m_cursor,
            Cursor(1));
  const auto second = Single<ProposeFixBatch>(
    leader.Handle(BatchAcknowledged{ kTrainer, Cursor(1) }));
  EXPECT_EQ(second.m_samples, std::vector{ Id(2, 0, 0) });
  EXPECT_EQ(RefusalCodeOf(leader.RequestBatch(1)), ErrorCode::Conflict);
}

// Guards against a batch that is sent before it is durable, and against samples
// that are regenerated although the old leader's proposal was applied.
TEST(CursorTest, SurvivesALeaderChangeBetweenFixAndResponse)
{
  Leader old;
  old.OpenStep(1, 1, 2);
  old.FinishStep(1, 0);
  const auto asked = old.RequestBatch(1);
  EXPECT_TRUE(AllOf<SendBatch>(asked).empty());
  const auto proposal = Single<ProposeFixBatch>(asked);
  const auto refused = Single<RefuseBatch>(old.Handle(LeadershipLost{}));
  EXPECT_TRUE(std::holds_alternative<UnknownOutcomeError>(refused.m_error));
  EXPECT_TRUE(old.ConfirmFix(1).empty());

  Leader next;
  const LedgerStateRestored applied{ { Leader::Spec(1, 1, 2) },
                                     { { kTrainer, StepNumber(1) } },
                                     {},
                                     { { kTrainer,
                                         Cursor(1),
                                         BatchState::Fixed,
                                         proposal.m_samples,
                                         proposal.m_payload } },
                                     {} };
  EXPECT_TRUE(AllOf<GenerateSample>(next.Handle(applied)).empty());
  EXPECT_EQ(*Single<SendBatch>(next.RequestBatch(1)).m_payload,
            *proposal.m_payload);

  Leader other;
  const LedgerStateRestored lost{
    { Leader::Spec(1, 1, 2) }, { { kTrainer, StepNumber(1) } }, {}, {}, {}
  };
  EXPECT_EQ(AllOf<GenerateSample>(other.Handle(lost)).size(), 2U);
}

TEST(CursorTest, RefusesCursorsOutOfOrder)
{
  Leader leader;
  EXPECT_EQ(RefusalCodeOf(leader.RequestBatch(0)), ErrorCode::BadRequest);
  const auto ahead = Single<RefuseBatch>(leader.RequestBatch(2));
  EXPECT_EQ(CodeOf(ahead.m_error), ErrorCode::Conflict);
  EXPECT_EQ(ahead.m_highestCursor, Cursor(1));
  EXPECT_TRUE(AllOf<RefuseBatch>(leader.RequestBatch(1)).empty());
  EXPECT_EQ(AllOf<SendNoBatch>(leader.TickAfter(seconds(1))).size(), 1U);
}

/** Brings a leader into a state with a sent batch that has expired. */
void ExpireBatch(Leader& aLeader)
{
  aLeader.OpenStep(1, 1, 2);
  aLeader.FinishStep(1, 0);
  aLeader.RequestBatch(1);
  aLeader.ConfirmFix(1);
  aLeader.Publish(1);
  EXPECT_EQ(AllOf<SendBatch>(aLeader.RequestBatch(1)).size(), 1U);
  aLeader.Publish(2);
}

// Guards against resending a stale batch, and against regenerating the samples
// of an expired batch that the trainer has received.
TEST(ExpiryTest, WaitsForTheTrainerToAcknowledgeOrDiscard)
{
  Leader received;
  ExpireBatch(received);
  const auto refusal = Single<RefuseBatch>(received.RequestBatch(1));
  EXPECT_EQ(CodeOf(refusal.m_error), ErrorCode::BatchExpired);
  EXPECT_EQ(refusal.m_samples, (std::vector{ Id(1, 0, 0), Id(1, 0, 1) }));
  EXPECT_EQ(AllOf<ProposeAcknowledge>(received.RequestBatch(2)).size(), 1U);

  Leader missed;
  ExpireBatch(missed);
  const DiscardRequested discard{ RequestId(50), kTrainer, Cursor(1) };
  EXPECT_EQ(AllOf<ProposeDiscard>(missed.Handle(discard)).size(), 1U);
  const auto discarded = missed.Handle(BatchDiscarded{ kTrainer, Cursor(1) });
  EXPECT_EQ(Single<ConfirmDiscard>(discarded).m_request, RequestId(50));
  EXPECT_EQ(AllOf<GenerateSample>(discarded).size(), 2U);
  EXPECT_EQ(AllOf<ConfirmDiscard>(missed.Handle(discard)).size(), 1U);
  EXPECT_EQ(RefusalCodeOf(missed.RequestBatch(1)), ErrorCode::BatchExpired);
  missed.FinishStep(1, 2);
  const auto again = Single<ProposeFixBatch>(missed.RequestBatch(2));
  EXPECT_EQ(again.m_cursor, Cursor(2));
  EXPECT_EQ(again.m_samples, refusal.m_samples);
}

// Guards against a discard that races with a response that can still be sent.
TEST(ExpiryTest, RefusesToDiscardABatchThatCanBeSent)
{
  Leader leader;
  leader.OpenStep(1, 1, 1);
  leader.FinishStep(1, 0);
  leader.RequestBatch(1);
  leader.ConfirmFix(1);
  const auto refused = Single<RefuseDiscard>(
    leader.Handle(DiscardRequested{ RequestId(9), kTrainer, Cursor(1) }));
  EXPECT_EQ(CodeOf(refused.m_error), ErrorCode::Conflict);
}

// Guards against a publication between the proposal and its result.
TEST(ExpiryTest, JudgesStalenessAtTheMomentOfDelivery)
{
  Leader leader;
  leader.OpenStep(1, 1, 1);
  leader.FinishStep(1, 0);
  leader.RequestBatch(1);
  leader.Publish(2);
  const auto actions = leader.ConfirmFix(1);
  EXPECT_TRUE(AllOf<SendBatch>(actions).empty());
  EXPECT_EQ(RefusalCodeOf(actions), ErrorCode::BatchExpired);
}

TEST(StepTest, RefusesWithTypedErrors)
{
  TrainerSettings settings;
  settings.m_maxOutstandingSteps = 1;
  Policy policy;
  policy.m_maxStepBytes = ByteCount(20);
  const auto spec = [](std::uint64_t aStep, auto aChange) {
    StepSpec changed = Leader::Spec(aStep, 1, 1);
    aChange(changed);
    return changed;
  };
  const struct
  {
    StepSpec m_spec;
    ErrorCode m_code = ErrorCode::Conflict;
  } cases[] = {
    { spec(2, [](auto& aSpec) { aSpec.m_trainer = TrainerId("x"); }),
      ErrorCode::NotFound },
    { spec(2, [](auto& aSpec) { aSpec.m_model = ModelName("x"); }),
      ErrorCode::UnknownModel },
    { spec(2, [](auto& aSpec) { aSpec.m_groups.clear(); }),
      ErrorCode::BadRequest },
    { spec(2, [](auto& aSpec) { aSpec.m_groups[0].m_samples = 0; }),
      ErrorCode::BadRequest },
    { spec(2, [](auto& aSpec) { aSpec.m_maxTokens = TokenCount(0); }),
      ErrorCode::BadRequest },
    { spec(2, [](auto& aSpec) { aSpec.m_groups[0].m_prompt.assign(21, 'x'); }),
      ErrorCode::BodyTooLarge },
    { spec(1, [](auto& aSpec) { aSpec.m_groups[0].m_samples = 2; }),
      ErrorCode::Conflict },
    { spec(2, [](auto&) {}), ErrorCode::Overloaded },
  };
  Leader leader(policy, settings);
  leader.OpenStep(1, 1, 1);
  for (const auto& entry : cases) {
    const auto refused = Single<RefuseStep>(
      leader.Handle(StepRequested{ RequestId(7), entry.m_spec }));
    EXPECT_EQ(CodeOf(refused.m_error), entry.m_code);
    EXPECT_EQ(OutcomeOf(refused.m_error), "not_run");
  }
  const StepRequested same{ RequestId(8), Leader::Spec(1, 1, 1) };
  EXPECT_EQ(AllOf<ConfirmStep>(leader.Handle(same)).size(), 1U);
}

// Guards against responses before the step is durable.
TEST(StepTest, RespondsOnlyAfterTheLedger)
{
  Leader leader;
  const StepSpec spec = Leader::Spec(1, 1, 1);
  const auto actions = leader.Handle(StepRequested{ RequestId(1), spec });
  EXPECT_EQ(AllOf<ProposeOpenStep>(actions).size(), 1U);
  EXPECT_EQ(actions.size(), 1U);
  const auto opened = leader.Handle(StepOpened{ spec });
  EXPECT_EQ(Single<ConfirmStep>(opened).m_request, RequestId(1));
  EXPECT_EQ(AllOf<GenerateSample>(opened).size(), 1U);
}

// Guards against tokens that are attributed to the wrong version when another
// engine continues an attempt.
TEST(TrailTest, KeepsOneSpanPerVersionAcrossAttempts)
{
  Leader leader;
  leader.OpenStep(1, 1, 1);
  const SampleId id = Id(1, 0, 0);
  leader.ReceiveTokens(id, 4, 0, "a");
  leader.ReceiveTokens(id, 4, 0, "b");
  leader.Publish(1);
  leader.Handle(SampleFailed{ id,
                              leader.m_running.at(id).m_attempt,
                              UnknownOutcomeError(ErrorCode::BackendLost) });
  const auto retry = Single<GenerateSample>(leader.TickAfter(seconds(1)));
  ASSERT_TRUE(retry.m_resume);
  EXPECT_EQ(retry.m_resume->m_text, "ab");
  EXPECT_EQ(retry.m_resume->m_tokens, TokenCount(8));
  leader.ReceiveTokens(id, 3, 1, "c");
  leader.Handle(SampleFinished{ id, retry.m_attempt });
  const auto batch =
    DecodeBatch(*Single<ProposeFixBatch>(leader.RequestBatch(1)).m_payload);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->m_samples[0].m_text, "abc");
  EXPECT_EQ(batch->m_samples[0].m_trail,
            (Trail{ { WeightVersion(0), TokenCount(8) },
                    { WeightVersion(1), TokenCount(3) } }));
}

TEST(TrailTest, RegeneratesAfterTokensOfUnknownVersion)
{
  Leader leader;
  leader.OpenStep(1, 1, 1);
  const SampleId id = Id(1, 0, 0);
  const AttemptNumber first = leader.m_running.at(id).m_attempt;
  leader.ReceiveTokens(id, 4, 0);
  EXPECT_EQ(
    Single<CancelSample>(leader.ReceiveTokens(id, 4, std::nullopt)).m_attempt,
    first);
  const auto retry = Single<GenerateSample>(leader.TickAfter(seconds(1)));
  EXPECT_FALSE(retry.m_resume);
  // A late completion of the first attempt has no effect.
  leader.Handle(SampleFinished{ id, first });
  EXPECT_TRUE(AllOf<ProposeFixBatch>(leader.RequestBatch(1)).empty());
}

TEST(StalenessTest, CancelsWorkThatExceedsTheBound)
{
  Leader leader;
  leader.OpenStep(1, 1, 3);
  leader.ReceiveTokens(Id(1, 0, 0), 4, 0);
  leader.FinishSample(Id(1, 0, 1), 0);
  leader.Publish(1);
  EXPECT_EQ(leader.GetMetrics().m_cancelledStale, 0U);
  const auto actions = leader.Publish(2);
  EXPECT_EQ(Single<CancelSample>(actions).m_sample, Id(1, 0, 0));
  const auto again = AllOf<GenerateSample>(actions);
  ASSERT_EQ(again.size(), 2U);
  EXPECT_EQ(again[0].m_minimumVersion, WeightVersion(1));
  EXPECT_EQ(leader.GetMetrics().m_droppedStale, 1U);
}

// Guards against starting work that will be stale when it completes, and
// against deferral that stalls a waiting trainer.
TEST(StalenessTest, DefersWorkThatWouldBeStale)
{
  for (const bool isOn : { true, false }) {
    Policy policy;
    policy.m_deferStaleWork = isOn;
    Leader leader(policy);
    leader.OpenStep(1, 1, 1);
    leader.Advance(seconds(10));
    // The engine is ahead of the publications, so none makes this result stale.
    leader.FinishStep(1, 4);
    for (std::uint64_t version = 1; version <= 4; ++version) {
      leader.Advance(seconds(4));
      leader.Publish(version);
    }
    // The next publications are expected in 4 s and 8 s; a sample takes 10 s.
    EXPECT_EQ(AllOf<GenerateSample>(leader.OpenStep(2, 1, 1)).size(),
              isOn ? 0U : 1U);
    EXPECT_EQ(leader.GetMetrics().m_deferrals, isOn ? 1U : 0U);
    EXPECT_EQ(AllOf<GenerateSample>(leader.RequestBatch(1, seconds(9))).size(),
              isOn ? 1U : 0U);
  }
}

TEST(ScheduleTest, BoundsTrainersByTheirWeights)
{
  Policy policy;
  policy.m_maxGenerating = 8;
  Leader leader(policy);
  TrainerSettings light;
  light.m_model = kModel;
  TrainerSettings heavy = light;
  heavy.m_weight = 3.0;
  const TrainerId other("beta");
  leader.Handle(
    ConfigurationChanged{ { { kTrainer, light }, { other, heavy } } });
  StepSpec spec = Leader::Spec(1, 1, 20);
  leader.Handle(LedgerStateRestored{ { spec,
                                       [&] {
                                         spec.m_trainer = other;
                                         return spec;
                                       }() },
                                     {},
                                     {},
                                     {},
                                     {} });
  const auto count = [&](const TrainerId& aTrainer) {
    return std::count_if(
      leader.m_running.begin(),
      leader.m_running.end(),
      [&](const auto& aEntry) { return aEntry.first.m_trainer == aTrainer; });
  };
  EXPECT_EQ(count(kTrainer), 2);
  EXPECT_EQ(count(other), 6);
}

// Guards against unbounded memory for undelivered outputs, and against a stall
// when incomplete groups reach the limit.
TEST(ScheduleTest, StartsNoGroupWhileOutputsExceedTheLimit)
{
  Policy policy;
  policy.m_maxGenerating = 2;
  policy.m_maxUndeliveredBytes = ByteCount(10);
  Leader leader(policy);
  leader.OpenStep(1, 3, 2);
  leader.ReceiveTokens(Id(1, 0, 0), 5, 0, std::string(20, 'x'));
  leader.Handle(
    SampleFinished{ Id(1, 0, 0), leader.m_running.at(Id(1, 0, 0)).m_attempt });
  EXPECT_EQ(leader.m_running.size(), 2U);
  leader.FinishSample(Id(1, 0, 1), 0);
  EXPECT_EQ(leader.m_running.size(), 2U);
  // The complete group is delivered although the batch is not full.
  EXPECT_EQ(Single<ProposeFixBatch>(leader.RequestBatch(1)).m_samples.size(),
            2U);
  leader.ConfirmFix(1);
  EXPECT_EQ(leader.m_running.size(), 4U);
}

TEST(BatchTest, LimitsThePayloadByWholeGroups)
{
  Policy policy;
  policy.m_maxBatchBytes = ByteCount(600);
  Leader leader(policy);
  leader.OpenStep(1, 3, 2);
  leader.FinishStep(1, 0);
  const auto proposal = Single<ProposeFixBatch>(leader.RequestBatch(1));
  EXPECT_EQ(proposal.m_samples.size(), 4U);
  EXPECT_LE(proposal.m_payload->size(), 700U);
}

TEST(BatchTest, CountsIdleTimeOnlyWhileNothingIsReady)
{
  Leader leader;
  leader.OpenStep(1, 1, 1);
  leader.RequestBatch(1, seconds(60));
  leader.Advance(seconds(3));
  leader.FinishStep(1, 0);
  leader.ConfirmFix(1);
  leader.Advance(seconds(5));
  leader.RequestBatch(1);
  const auto& metrics = leader.GetMetrics().m_trainers.at(kTrainer);
  EXPECT_EQ(metrics.m_idle, seconds(3));
  EXPECT_EQ(metrics.m_samplesDelivered, 1U);
}

TEST(StragglerTest, FollowsTheSetting)
{
  for (const auto mitigation : { StragglerMitigation::Off,
                                 StragglerMitigation::SecondAttempt,
                                 StragglerMitigation::Move }) {
    Policy policy;
    policy.m_stragglerMitigation = mitigation;
    Leader leader(policy);
    leader.OpenStep(1, 1, 4);
    const SampleId slow = Id(1, 0, 3);
    const AttemptNumber first = leader.m_running.at(slow).m_attempt;
    for (int token = 0; token < 20; ++token) {
      leader.Advance(milliseconds(100));
      for (std::uint32_t index = 0; index < 3; ++index) {
        leader.ReceiveTokens(Id(1, 0, index), 1, 0);
      }
      if (token % 10 == 0) {
        leader.ReceiveTokens(slow, 1, 0, "s");
      }
    }
    for (std::uint32_t index = 0; index < 3; ++index) {
      const SampleId id = Id(1, 0, index);
      leader.Handle(SampleFinished{ id, leader.m_running.at(id).m_attempt });
    }
    const auto actions = leader.TickAfter(milliseconds(300));
    const auto started = AllOf<GenerateSample>(actions);
    const auto cancelled = AllOf<CancelSample>(actions);
    EXPECT_EQ(started.size(), mitigation == StragglerMitigation::Off ? 0U : 1U);
    EXPECT_EQ(cancelled.size(),
              mitigation == StragglerMitigation::Move ? 1U : 0U);
    if (!started.empty()) {
      EXPECT_EQ(started[0].m_avoid, std::vector{ first });
      EXPECT_EQ(started[0].m_resume->m_text, "ss");
    }
    if (mitigation == StragglerMitigation::SecondAttempt) {
      // The first complete result wins, no matter of which attempt.
      const auto won = leader.Handle(SampleFinished{ slow, first });
      EXPECT_EQ(Single<CancelSample>(won).m_attempt, started[0].m_attempt);
      leader.Handle(SampleFinished{ slow, started[0].m_attempt });
      EXPECT_EQ(leader.GetMetrics().m_duplicatesDropped, 1U);
    }
  }
}

/** Fails judge calls until there is no further one. @return their number. */
std::size_t FailJudgeCalls(Leader& aLeader,
                           std::vector<Action> aActions,
                           const RequestError& aError)
{
  std::size_t calls = 0;
  for (auto judge = AllOf<JudgeSample>(aActions); !judge.empty();
       judge = AllOf<JudgeSample>(aActions)) {
    ++calls;
    aLeader.Handle(
      JudgeFailed{ judge[0].m_sample, judge[0].m_attempt, aError });
    aActions = aLeader.TickAfter(seconds(10));
  }
  return calls;
}

// Guards against a failing judge that stalls a step, and against repeated calls
// of a judge whose calls must not be repeated.
TEST(JudgeTest, BoundsRepeatedCalls)
{
  const RequestError unknown = UnknownOutcomeError(ErrorCode::BackendLost);
  const struct
  {
    bool m_repeatable;
    RequestError m_error;
    std::size_t m_calls;
  } cases[] = {
    { true, unknown, 3 },
    { false, unknown, 1 },
  };
  for (const auto& entry : cases) {
    TrainerSettings settings;
    settings.m_judgeRepeatable = entry.m_repeatable;
    Leader leader({}, settings);
    leader.OpenStep(1, 1, 1, ServiceName("judge"));
    const auto judged = leader.FinishStep(1, 0);
    EXPECT_EQ(Single<JudgeSample>(judged).m_claim.has_value(),
              !entry.m_repeatable);
    EXPECT_EQ(FailJudgeCalls(leader, judged, entry.m_error), entry.m_calls);
    const auto batch =
      DecodeBatch(*Single<ProposeFixBatch>(leader.RequestBatch(1)).m_payload);
    EXPECT_FALSE(batch.value().m_samples[0].m_score);
    EXPECT_EQ(leader.GetMetrics().m_unscoredSamples, 1U);
  }
}

// Guards against a sample that is delivered without a score because its judge
// was still unknown at the first calls.
TEST(JudgeTest, WaitsForAJudgeWhoseCallsDidNotRun)
{
  const RequestError notRun =
    NotRunError(ErrorCode::NoBackend, NotRunEvidence::NeverSent);
  constexpr int kRefusals = 10;
  for (const bool repeatable : { true, false }) {
    TrainerSettings settings;
    settings.m_judgeRepeatable = repeatable;
    Leader leader({}, settings);
    leader.OpenStep(1, 1, 1, ServiceName("judge"));
    auto actions = leader.FinishStep(1, 0);
    for (int refusal = 0; refusal < kRefusals; ++refusal) {
      const auto call = Single<JudgeSample>(actions);
      leader.Handle(JudgeFailed{ call.m_sample, call.m_attempt, notRun });
      actions = leader.TickAfter(seconds(10));
    }
    const auto call = Single<JudgeSample>(actions);
    leader.Handle(JudgeSucceeded{ call.m_sample, call.m_attempt, 0.5 });
    const auto batch =
      DecodeBatch(*Single<ProposeFixBatch>(leader.RequestBatch(1)).m_payload);
    EXPECT_EQ(batch.value().m_samples[0].m_score, 0.5);
    EXPECT_EQ(leader.GetMetrics().m_unscoredSamples, 0U);
  }
}

TEST(JudgeTest, DelaysOnlyItsOwnSamplesAndScoresOnce)
{
  TrainerSettings settings;
  settings.m_batchGroups = 1;
  Leader leader({}, settings);
  leader.OpenStep(1, 2, 1, ServiceName("judge"));
  const auto calls = AllOf<JudgeSample>(leader.FinishStep(1, 0));
  ASSERT_EQ(calls.size(), 2U);
  leader.Handle(JudgeSucceeded{ calls[1].m_sample, calls[1].m_attempt, 0.5 });
  leader.Handle(JudgeSucceeded{ calls[1].m_sample, calls[1].m_attempt, 0.9 });
  const auto batch =
    DecodeBatch(*Single<ProposeFixBatch>(leader.RequestBatch(1)).m_payload);
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->m_samples.size(), 1U);
  EXPECT_EQ(batch->m_samples[0].m_id, calls[1].m_sample);
  EXPECT_EQ(batch->m_samples[0].m_score, 0.5);
  EXPECT_EQ(leader.GetMetrics().m_lateEvents, 1U);
}

TEST(PolicyTest, NamesTheMemberThatIsOutOfRange)
{
  Policy policy;
  policy.m_maxJudgeCalls = 0;
  const auto refused = Coordinator::Create({ policy, 1 });
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error(), PolicyError{ "maxJudgeCalls" });
}

} // namespace
} // namespace auburntrestle::rollout
