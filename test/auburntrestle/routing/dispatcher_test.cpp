#include "harness.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Policy PlainPolicy()
{
  Policy policy;
  policy.m_hedging.m_enabled = false;
  policy.m_admission.m_shortWorkShare = 0.0;
  policy.m_admission.m_trainingFloor = 0.0;
  return policy;
}

// Guards against a policy under which no request completes.
TEST(DispatcherTest, CompletesARequestUnderEitherPolicy)
{
  for (const auto name : { PolicyName::Baseline, PolicyName::Fair }) {
    Policy policy;
    policy.m_name = name;
    Harness harness(policy);
    harness.AddEngine("e1");
    const auto id = harness.SubmitRequest(ModelRequest());
    EXPECT_EQ(harness.LastStart(id).m_address, "e1:80");
    harness.SendTokens(id);
    EXPECT_EQ(harness.m_selected.at(id), AttemptNumber(1));
    harness.Finish(id);
    EXPECT_EQ(harness.Outcome(id), "finished");
    EXPECT_EQ(harness.m_dispatcher.RequestCount(), 0U);
  }
}

// Guards against accepting a policy that is out of range.
TEST(DispatcherTest, RejectsAnInvalidPolicy)
{
  Policy policy;
  policy.m_retry.m_maxAttempts = 0;
  EXPECT_EQ(Dispatcher::Create(policy, 1).error().m_field,
            PolicyErrorField::MaxAttempts);
  policy.m_admission.m_trainingFloor = 1.5;
  EXPECT_EQ(Dispatcher::Create(policy, 1).error().m_field,
            PolicyErrorField::TrainingFloor);
}

// Guards against refusals that are late, have the wrong code or lack the
// evidence that the request did not run.
TEST(DispatcherTest, RefusesWhatCannotRun)
{
  struct Row
  {
    std::string m_name;
    std::function<void(Harness&, RequestSpec&)> m_prepare;
    ErrorCode m_code;
    bool m_retryAfter;
  };
  const auto fill = [](Harness& aHarness, int aCount, const char* aCaller) {
    for (int i = 0; i < aCount; ++i) {
      aHarness.SubmitRequest(ModelRequest(100, aCaller));
    }
  };
  const std::vector<Row> rows{
    { "unknown model",
      [](Harness&, RequestSpec& aSpec) { aSpec.m_target = ModelName("x"); },
      ErrorCode::UnknownModel,
      false },
    { "unknown service",
      [](Harness&, RequestSpec& aSpec) { aSpec.m_target = ServiceName("m"); },
      ErrorCode::UnknownService,
      false },
    { "not owned",
      [](Harness& aHarness, RequestSpec&) {
        aHarness.Send(OwnedBackendsChanged{});
      },
      ErrorCode::NoBackend,
      true },
    { "leaving",
      [](Harness& aHarness, RequestSpec&) {
        auto announcement = aHarness.m_announced.at(BackendId("e1"));
        announcement.m_state = registry::BackendState::Leaving;
        aHarness.Announce(announcement);
      },
      ErrorCode::NoBackend,
      true },
    { "deadline passed",
      [](Harness& aHarness, RequestSpec& aSpec) {
        aSpec.m_deadline = aHarness.Now();
      },
      ErrorCode::DeadlineExceeded,
      false },
    { "caller's queue full",
      [&](Harness& aHarness, RequestSpec&) { fill(aHarness, 4, "app"); },
      ErrorCode::Overloaded,
      true },
    { "queue full",
      [&](Harness& aHarness, RequestSpec&) { fill(aHarness, 9, "other"); },
      ErrorCode::Overloaded,
      true },
    { "queue full for training",
      [&](Harness& aHarness, RequestSpec& aSpec) {
        fill(aHarness, 7, "other");
        aSpec.m_class = admission::RequestClass::Training;
      },
      ErrorCode::Overloaded,
      true },
    { "draining",
      [](Harness& aHarness, RequestSpec&) { aHarness.Send(DrainRequested{}); },
      ErrorCode::Draining,
      true },
  };
  for (const auto& row : rows) {
    SCOPED_TRACE(row.m_name);
    auto policy = PlainPolicy();
    policy.m_admission.m_maxWaiting = 8;
    policy.m_callers[CallerId("app")].m_maxWaiting = 3;
    Harness harness(policy);
    harness.AddEngine("e1", 1, 1);
    auto spec = ModelRequest();
    row.m_prepare(harness, spec);
    const auto id = harness.SubmitRequest(spec);
    ASSERT_EQ(harness.Outcome(id), "not_run");
    EXPECT_EQ(harness.Code(id), row.m_code);
    EXPECT_EQ(harness.RetryAfter(id).has_value(), row.m_retryAfter);
  }
}

// Guards against work that is accepted although its deadline cannot be met, and
// a retry-after that does not follow from the observed rate.
TEST(DispatcherTest, RefusesEarlyFromTheDrainRate)
{
  Harness harness(PlainPolicy());
  harness.AddEngine("e1", 1, 1);
  std::vector<RequestId> ids;
  ids.reserve(40);
  for (int i = 0; i < 40; ++i) {
    ids.push_back(harness.SubmitRequest(ModelRequest()));
  }
  for (int i = 0; i < 20; ++i) {
    harness.Advance(milliseconds(500));
    harness.SendTokens(ids[i]);
    harness.Finish(ids[i]);
  }
  auto spec = ModelRequest();
  spec.m_deadline = harness.Now() + seconds(60);
  EXPECT_EQ(harness.Outcome(harness.SubmitRequest(spec)), "open");
  spec.m_deadline = harness.Now() + seconds(4);
  const auto refused = harness.SubmitRequest(spec);
  EXPECT_EQ(harness.Code(refused), ErrorCode::Overloaded);
  // Twenty requests wait, and two are started per second.
  EXPECT_NEAR(harness.RetryAfter(refused)->count(), 10e6, 2e6);
}

// Guards against long work in the slots kept for short work, including work
// whose estimate was too small.
TEST(DispatcherTest, KeepsSlotsForShortWork)
{
  auto policy = PlainPolicy();
  policy.m_admission.m_shortWorkShare = 0.25;
  Harness harness(policy);
  harness.AddEngine("e1", 1, 8);
  std::vector<RequestId> work;
  work.reserve(10);
  for (int i = 0; i < 10; ++i) {
    work.push_back(harness.SubmitRequest(ModelRequest(4000, "long")));
  }
  EXPECT_EQ(harness.m_liveAttempts.size(), 6U);
  const auto first = harness.SubmitRequest(ModelRequest(100, "short"));
  const auto second = harness.SubmitRequest(ModelRequest(100, "short"));
  EXPECT_EQ(harness.m_liveAttempts.size(), 8U);
  harness.Finish(second);
  harness.SendTokens(first, 600);
  EXPECT_EQ(harness.m_liveAttempts.size(), 7U);
  // Seven long requests are in flight, one more than the share permits. The end
  // of one of them only restores the share; the end of the next one starts a
  // waiting request.
  harness.Finish(work[0]);
  EXPECT_EQ(harness.m_liveAttempts.size(), 6U);
  harness.Finish(work[1]);
  EXPECT_EQ(harness.m_liveAttempts.size(), 6U);
}

// Guards against training that delays applications, and against applications
// that stop training completely.
TEST(DispatcherTest, ApplicationsPrecedeTrainingAboveItsFloor)
{
  struct Row
  {
    double m_floor;
    std::uint32_t m_capacity;
    int m_expected;
  };
  for (const auto& row :
       { Row{ 0.0, 4, 0 }, Row{ 0.25, 4, 1 }, Row{ 0.25, 1, -1 } }) {
    auto policy = PlainPolicy();
    policy.m_admission.m_trainingFloor = row.m_floor;
    Harness harness(policy);
    harness.AddEngine("e1", 1, row.m_capacity);
    std::vector<RequestId> training;
    std::vector<RequestId> all;
    for (int i = 0; i < 40; ++i) {
      all.push_back(harness.SubmitRequest(ModelRequest()));
      all.push_back(harness.SubmitRequest(TrainingRequest()));
      training.push_back(all.back());
    }
    int trainingStarts = 0;
    for (int i = 0; i < 40; ++i) {
      harness.Advance(milliseconds(10));
      const auto key = harness.m_liveAttempts.begin()->first;
      harness.Send(AttemptFinished{ key.first, key.second });
      trainingStarts = static_cast<int>(
        std::count_if(training.begin(), training.end(), [&](RequestId aId) {
          return harness.StartCount(aId) > 0;
        }));
      const auto running =
        std::count_if(harness.m_liveAttempts.begin(),
                      harness.m_liveAttempts.end(),
                      [&](const auto& aEntry) {
                        return harness.m_specs.at(aEntry.first.first).m_class ==
                               admission::RequestClass::Training;
                      });
      if (row.m_expected >= 0 && i > 4 && i < 30) {
        EXPECT_EQ(running, row.m_expected);
      }
    }
    if (row.m_expected < 0) {
      // With a single slot, training receives its share of the starts.
      EXPECT_NEAR(trainingStarts, 10, 2);
    }
  }
}

// Guards against a new owner that overloads a server on which requests of the
// previous owner still run.
TEST(DispatcherTest, TakeoverIsConservativeUntilANewerReport)
{
  Harness harness(PlainPolicy());
  harness.AddEngine("e1");
  harness.Send(OwnedBackendsChanged{});
  harness.Advance(seconds(1));
  harness.Send(OwnedBackendsChanged{ harness.m_owned });
  for (int i = 0; i < 20; ++i) {
    harness.SubmitRequest(ModelRequest());
  }
  EXPECT_EQ(harness.m_liveAttempts.size(), 2U);
  harness.Advance(milliseconds(100));
  registry::LoadReport load;
  load.m_running = 5;
  load.m_age = milliseconds(200);
  harness.Send(LoadReported{ BackendId("e1"), load });
  EXPECT_EQ(harness.m_liveAttempts.size(), 2U);
  load.m_age = milliseconds(10);
  harness.Send(LoadReported{ BackendId("e1"), load });
  // Three of the eight slots are in use by the previous owner.
  EXPECT_EQ(harness.m_liveAttempts.size(), 5U);
}

// Guards against training on weight versions older than the minimum.
TEST(DispatcherTest, MinimumVersionIsRespected)
{
  Harness harness(PlainPolicy());
  harness.AddEngine("old", 4, 2);
  harness.AddEngine("new", 5, 1);
  auto spec = TrainingRequest();
  spec.m_minVersion = WeightVersion(5);
  const auto first = harness.SubmitRequest(spec);
  const auto second = harness.SubmitRequest(spec);
  const auto any = harness.SubmitRequest(TrainingRequest());
  EXPECT_EQ(harness.BackendOf(first), "new");
  EXPECT_EQ(harness.StartCount(second), 0U);
  EXPECT_EQ(harness.BackendOf(any), "old");
  auto announcement = harness.m_announced.at(BackendId("old"));
  announcement.m_models[0].m_version = WeightVersion(6);
  harness.Announce(announcement);
  EXPECT_EQ(harness.BackendOf(second), "old");
  // An engine whose tokens show an older version receives no more such work.
  harness.SendTokens(second, 1, WeightVersion(4));
  EXPECT_FALSE(harness.m_selected.contains(second));
  EXPECT_EQ(harness.StartCount(second), 1U);
  harness.Finish(first);
  EXPECT_EQ(harness.BackendOf(second), "new");
}

// Guards against hedges that exceed their budget, repeat work that must not be
// repeated, or leave the losing attempt running.
TEST(DispatcherTest, HedgesIdempotentApplicationWorkFromABudget)
{
  struct Row
  {
    RequestSpec m_spec;
    std::size_t m_starts = 0;
  };
  auto once = ModelRequest();
  once.m_idempotent = false;
  for (const auto& row : { Row{ ModelRequest(), 2 },
                           Row{ once, 1 },
                           Row{ TrainingRequest(), 1 } }) {
    auto policy = PlainPolicy();
    policy.m_hedging.m_enabled = true;
    policy.m_hedging.m_budget = 0.0;
    Harness harness(policy);
    harness.AddEngine("e1");
    harness.AddEngine("e2");
    const auto id = harness.SubmitRequest(row.m_spec);
    harness.Advance(milliseconds(500));
    EXPECT_EQ(harness.StartCount(id), row.m_starts);
    // The budget starts with one hedge, which has been used.
    const auto next = harness.SubmitRequest(row.m_spec);
    harness.Advance(milliseconds(500));
    EXPECT_EQ(harness.StartCount(next), 1U);
    harness.Send(
      AttemptTokens{ id, AttemptNumber(1), TokenCount(1), std::nullopt });
    EXPECT_EQ(harness.m_liveAttempts.size(), 2U);
    harness.Send(
      AttemptTokens{ id, AttemptNumber(2), TokenCount(1), std::nullopt });
    EXPECT_EQ(harness.m_selected.at(id), AttemptNumber(1));
  }
}

// Guards against affinity that overloads one server.
TEST(DispatcherTest, AffinityIsBoundedByLoad)
{
  Harness harness(PlainPolicy());
  for (const auto* id : { "e1", "e2", "e3", "e4" }) {
    harness.AddEngine(id, 1, 8);
  }
  auto spec = ModelRequest();
  spec.m_prefixHash = 42;
  const auto first = harness.SubmitRequest(spec);
  const auto preferred = harness.BackendOf(first);
  harness.Finish(first);
  for (int i = 0; i < 10; ++i) {
    const auto id = harness.SubmitRequest(spec);
    EXPECT_EQ(harness.BackendOf(id), preferred);
    harness.Finish(id);
  }
  for (int i = 0; i < 16; ++i) {
    harness.SubmitRequest(spec);
  }
  for (const auto& view : harness.m_dispatcher.BackendViews(harness.Now())) {
    EXPECT_LE(view.m_inFlight, 7U);
    EXPECT_GE(view.m_inFlight, 1U);
  }
}

/**
 * Sends tokens for requests on all engines, "e1" at the given interval.
 * @return the number of requests that were started on "e1".
 */
int CountStartsOnFirst(Harness& aHarness, Duration aFirstTokenTime, int aRounds)
{
  int first = 0;
  for (int i = 0; i < aRounds; ++i) {
    std::vector<RequestId> ids;
    for (int j = 0; j < 4; ++j) {
      ids.push_back(aHarness.SubmitRequest(ModelRequest()));
      first += aHarness.BackendOf(ids.back()) == "e1" ? 1 : 0;
    }
    const auto live = aHarness.m_liveAttempts;
    const TimePoint start = aHarness.Now();
    for (int step = 0; step < 40; ++step) {
      aHarness.Advance(milliseconds(10));
      const auto elapsed = aHarness.Now() - start;
      for (const auto& entry : live) {
        const bool slow = entry.second == BackendId("e1");
        const auto period = slow ? aFirstTokenTime : Duration(milliseconds(10));
        if (elapsed % period == Duration(0) &&
            aHarness.m_liveAttempts.contains(entry.first)) {
          aHarness.Send(AttemptTokens{ entry.first.first,
                                       entry.first.second,
                                       TokenCount(1),
                                       std::nullopt });
        }
      }
    }
    for (const auto id : ids) {
      aHarness.Send(AttemptFinished{ id, AttemptNumber(1) });
    }
  }
  return first;
}

// Guards against a slowed server that keeps its work, or that never gets it
// back.
TEST(DispatcherTest, SlowedServerReceivesLessWorkAndRecovers)
{
  Harness harness(PlainPolicy());
  for (const auto* id : { "e1", "e2", "e3", "e4" }) {
    harness.AddEngine(id, 1, 8);
  }
  EXPECT_GT(CountStartsOnFirst(harness, milliseconds(10), 20), 10);
  CountStartsOnFirst(harness, milliseconds(50), 10);
  // Only probes are sent there.
  EXPECT_LE(CountStartsOnFirst(harness, milliseconds(50), 20), 2);
  CountStartsOnFirst(harness, milliseconds(10), 400);
  EXPECT_GT(CountStartsOnFirst(harness, milliseconds(10), 20), 10);
}

// Guards against one half-open connection that takes a working server out of
// service, and against a server without any progress that stays in service.
TEST(DispatcherTest, StallOfOneStreamOrOfTheServer)
{
  for (const bool others : { true, false }) {
    Harness harness(PlainPolicy());
    harness.AddEngine("e1");
    const auto stuck = harness.SubmitRequest(ModelRequest(4000));
    const auto other = harness.SubmitRequest(ModelRequest(4000));
    for (int i = 0; i < 400; ++i) {
      harness.Advance(milliseconds(10));
      if (i < 50) {
        harness.SendTokens(stuck);
      }
      if (i < 50 || others) {
        harness.SendTokens(other);
      }
      if (harness.StartCount(stuck) > 1) {
        break;
      }
    }
    EXPECT_EQ(harness.m_dispatcher.Counters().m_timeouts, others ? 1U : 2U);
    const auto view = harness.m_dispatcher.BackendViews(harness.Now()).front();
    EXPECT_EQ(view.m_failing, !others);
    if (others) {
      EXPECT_EQ(harness.LastStart(stuck).m_resumeFromTokens, TokenCount(50));
    }
  }
}

// Guards against waiting requests that are lost or stuck when the policy
// changes, and against an invalid policy that takes effect.
TEST(DispatcherTest, PolicyChangesKeepWaitingRequests)
{
  auto policy = PlainPolicy();
  Harness harness(policy);
  harness.AddEngine("e1", 1, 1);
  std::vector<RequestId> ids;
  ids.reserve(4);
  for (int i = 0; i < 4; ++i) {
    ids.push_back(
      harness.SubmitRequest(i < 2 ? ModelRequest() : TrainingRequest()));
  }
  EXPECT_EQ(harness.m_liveAttempts.size(), 1U);
  policy.m_name = PolicyName::Baseline;
  policy.m_admission.m_maxLimit = 0;
  harness.Send(PolicyChanged{ policy });
  EXPECT_EQ(harness.m_liveAttempts.size(), 1U);
  policy.m_admission.m_maxLimit = 8;
  harness.Send(PolicyChanged{ policy });
  EXPECT_EQ(harness.m_liveAttempts.size(), 4U);
  policy.m_name = PolicyName::Fair;
  harness.Send(PolicyChanged{ policy });
  const auto next = harness.SubmitRequest(ModelRequest());
  EXPECT_EQ(harness.StartCount(next), 0U);
  for (const auto id : ids) {
    harness.Finish(id);
  }
  EXPECT_EQ(harness.StartCount(next), 1U);
}

// Guards against a probe whose output reaches the caller, that runs longer than
// its request, or that is ignored in the reported outcome.
TEST(DispatcherTest, ProbesDoNotAffectTheResponse)
{
  for (const bool finishes : { true, false }) {
    auto policy = PlainPolicy();
    policy.m_retry.m_maxAttempts = 1;
    Harness harness(policy);
    for (const auto* id : { "e1", "e2", "e3", "e4" }) {
      harness.AddEngine(id, 1, 8);
    }
    CountStartsOnFirst(harness, milliseconds(10), 10);
    CountStartsOnFirst(harness, milliseconds(50), 10);
    RequestId id;
    for (int i = 0; i < 100 && harness.StartCount(id) < 2; ++i) {
      harness.Advance(milliseconds(500));
      id = harness.SubmitRequest(ModelRequest());
      if (harness.StartCount(id) < 2) {
        harness.Finish(id);
      }
    }
    ASSERT_EQ(harness.StartCount(id), 2U);
    EXPECT_EQ(harness.BackendOf(id), "e1");
    harness.SendTokens(id, 5);
    EXPECT_FALSE(harness.m_selected.contains(id));
    if (finishes) {
      harness.Send(AttemptFinished{ id, AttemptNumber(1) });
      EXPECT_EQ(harness.Outcome(id), "finished");
      EXPECT_TRUE(harness.m_liveAttempts.empty());
    } else {
      harness.Send(
        AttemptFailed{ id, AttemptNumber(1), AttemptFailure::ConnectFailed });
      EXPECT_EQ(harness.Outcome(id), "outcome_unknown");
    }
  }
}

// Guards against a drain that loses work in progress or waiting.
TEST(DispatcherTest, DrainFinishesWhatWasAccepted)
{
  Harness harness(PlainPolicy());
  harness.AddEngine("e1", 1, 1);
  const auto running = harness.SubmitRequest(ModelRequest());
  const auto waiting = harness.SubmitRequest(ModelRequest());
  harness.Send(DrainRequested{});
  EXPECT_TRUE(harness.m_dispatcher.IsDraining());
  harness.Finish(running);
  harness.Finish(waiting);
  EXPECT_EQ(harness.Outcome(waiting), "finished");
}

// Guards against requests that wait forever after the last server of a model is
// removed, and against failing them during a short gap.
TEST(DispatcherTest, WaitingWorkFailsWhenNoServerIsLeft)
{
  Harness harness(PlainPolicy());
  harness.AddEngine("e1", 1, 1);
  const auto running = harness.SubmitRequest(ModelRequest());
  const auto waiting = harness.SubmitRequest(ModelRequest());
  harness.Advance(seconds(4), false);
  EXPECT_EQ(harness.Outcome(waiting), "open");
  harness.Advance(seconds(5), false);
  EXPECT_EQ(harness.Outcome(waiting), "not_run");
  EXPECT_EQ(harness.Code(waiting), ErrorCode::NoBackend);
  // Work in progress may still finish after the lease has ended.
  harness.Finish(running);
  EXPECT_EQ(harness.Outcome(running), "finished");
}

} // namespace
} // namespace auburntrestle::routing
