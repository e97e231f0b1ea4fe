#include "auburntrestle/ledger/ledger_fixture.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::ledger {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const TrainerId kTrainer{ "t" };

ApplyConfiguration Edit(std::uint64_t aNumber,
                        const std::string& aDigest,
                        const std::string& aEdit = "",
                        const std::string& aSite = "")
{
  return { SiteName(aSite),
           aNumber,
           Digest(aDigest),
           "text of " + aDigest,
           EditId(aEdit) };
}

AcquireLease Acquire(const std::string& aHolder, std::uint64_t aIncarnation = 1)
{
  return { LeaseName("w"), Identity(aHolder, aIncarnation), seconds(10) };
}

BeginClaim Begin(const std::string& aOwner,
                 std::uint64_t aRequest = 1,
                 std::uint64_t aIncarnation = 1,
                 const std::string& aDigest = "r")
{
  return {
    Key("k"), Owner(aOwner, aRequest, aIncarnation), Digest(aDigest), hours(1)
  };
}

OpenStep Step(std::uint64_t aStep,
              const std::string& aDigest = "d",
              std::vector<std::uint32_t> aSizes = { 2, 1 })
{
  return {
    kTrainer, StepNumber(aStep), Digest(aDigest), std::move(aSizes), "prompts"
  };
}

FixBatch Fix(std::uint64_t aCursor,
             std::vector<SampleRef> aSamples,
             const std::string& aPayload = "batch",
             std::uint64_t aTerm = 1)
{
  return {
    kTrainer, Cursor(aCursor), std::move(aSamples), aPayload, Term(aTerm)
  };
}

AcknowledgeBatch Acknowledge(std::uint64_t aCursor)
{
  return { kTrainer, Cursor(aCursor) };
}

DiscardBatch Discard(std::uint64_t aCursor)
{
  return { kTrainer, Cursor(aCursor) };
}

struct Case
{
  const char* m_name;
  /** The preceding commands, which must succeed. */
  std::vector<Command> m_before;
  Command m_command;
  /** The expected result of the command. */
  Result m_expected;
};

Result Refused(RefusalKind aKind,
               std::uint64_t aCurrent = 0,
               std::string aDetail = {})
{
  return tl::unexpected(Refusal{ aKind, aCurrent, std::move(aDetail) });
}

Result Accepted(std::uint64_t aRevision,
                std::uint64_t aNumber,
                const char* aDigest)
{
  return ConfigurationAccepted{ Revision(aRevision), aNumber, Digest(aDigest) };
}

Result Claimed(bool aBegun, ClaimState aState, const char* aAnswer = "")
{
  return ClaimResult{ aBegun, aState, aAnswer };
}

std::string Describe(const Result& aResult)
{
  return aResult ? "result " + std::to_string(aResult->index())
                 : std::string(ToString(aResult.error().m_kind)) + " " +
                     std::to_string(aResult.error().m_current) + " " +
                     aResult.error().m_detail;
}

void RunCases(const std::vector<Case>& aCases, const Limits& aLimits = {})
{
  for (const Case& testCase : aCases) {
    SCOPED_TRACE(testCase.m_name);
    LedgerFixture ledger(aLimits);
    for (const Command& command : testCase.m_before) {
      const Result result = ledger.Apply(command);
      ASSERT_TRUE(result) << Describe(result);
    }
    const Result result = ledger.Apply(testCase.m_command);
    EXPECT_TRUE(result == testCase.m_expected) << Describe(result);
  }
}

// Guards against two accepted edits of one number, a resend whose first result
// is lost and a revision that is assigned twice.
TEST(StateMachine, ConfigurationIsComparedAndSet)
{
  RunCases({
    { "first", {}, Edit(7, "a"), Accepted(1, 7, "a") },
    { "next", { Edit(1, "a") }, Edit(2, "b"), Accepted(2, 2, "b") },
    { "other file has its own numbers",
      { Edit(1, "a"), Edit(2, "b") },
      Edit(1, "c", "", "north"),
      Accepted(3, 1, "c") },
    { "race lost",
      { Edit(1, "a") },
      Edit(1, "b"),
      Refused(RefusalKind::NumberTaken, 1, "a") },
    { "race lost, seen after later edits",
      { Edit(1, "a"), Edit(2, "c") },
      Edit(1, "b"),
      Refused(RefusalKind::NumberTaken, 2, "a") },
    { "resent", { Edit(1, "a", "e") }, Edit(1, "a", "e"), Accepted(1, 1, "a") },
    { "resent after later edits",
      { Edit(1, "a", "e"), Edit(2, "b"), Edit(3, "c") },
      Edit(1, "a", "e"),
      Accepted(1, 1, "a") },
    { "gap",
      { Edit(1, "a") },
      Edit(3, "b"),
      Refused(RefusalKind::NumberNotNext, 1) },
    { "before the first",
      { Edit(5, "a") },
      Edit(4, "b"),
      Refused(RefusalKind::NumberNotNext, 5) },
    { "edit id of another edit",
      { Edit(1, "a", "e") },
      Edit(2, "b", "e"),
      Refused(RefusalKind::EditIdReused, 1) },
    { "number zero", {}, Edit(0, "a"), Refused(RefusalKind::InvalidArgument) },
    { "report of an unknown revision",
      { Edit(1, "a") },
      ReportRevision{ Identity("i"), DataCentreId("d"), Revision(2) },
      Refused(RefusalKind::UnknownRevision, 1) },
    { "report that goes back, by a later incarnation",
      { Edit(1, "a"),
        Edit(2, "b"),
        ReportRevision{ Identity("i"), DataCentreId("d"), Revision(2) } },
      ReportRevision{ Identity("i", 2), DataCentreId("d"), Revision(1) },
      Refused(RefusalKind::RevisionWentBack, 2) },
  });
}

// Guards against edits that fill the memory, and against accepting a forgotten
// number again.
TEST(StateMachine, ForgottenEditsStayRefused)
{
  Limits limits;
  limits.m_editsPerFile = 2;
  limits.m_files = 1;
  limits.m_configurationBytes = 16;
  RunCases(
    {
      { "resent after it was forgotten",
        { Edit(1, "a"), Edit(2, "b"), Edit(3, "c") },
        Edit(1, "a"),
        Refused(RefusalKind::NumberNotNext, 3) },
      { "too many files",
        { Edit(1, "a") },
        Edit(1, "a", "", "north"),
        Refused(RefusalKind::LimitReached, 1) },
      { "text too large",
        {},
        Edit(1, "long enough"),
        Refused(RefusalKind::PayloadTooLarge, 16) },
    },
    limits);
}

// Guards against two concurrent holders and the reuse of a fencing number.
TEST(StateMachine, LeasesHaveOneHolderAndGrowingNumbers)
{
  LedgerFixture ledger;
  const auto granted = [](std::uint64_t aFencing, Duration aPrevious) {
    return Result(LeaseGranted{ Fencing(aFencing), seconds(10), aPrevious });
  };
  const RenewLease renew{
    LeaseName("w"), Identity("a"), Fencing(1), seconds(10)
  };
  EXPECT_EQ(ledger.Apply(Acquire("a")), granted(1, seconds(0)));
  ledger.m_now += seconds(9);
  EXPECT_EQ(ledger.Apply(Acquire("b")),
            Refused(RefusalKind::LeaseHeld, 1, "a"));
  EXPECT_EQ(ledger.Apply(Acquire("a")), granted(1, seconds(0)));
  ledger.m_now += seconds(9);
  EXPECT_EQ(ledger.Apply(renew), granted(1, seconds(0)));
  ledger.m_now += seconds(10);
  EXPECT_EQ(ledger.Apply(renew), Refused(RefusalKind::LeaseLost));
  EXPECT_EQ(ledger.Apply(Acquire("b")), granted(2, seconds(10)));
  EXPECT_EQ(
    ledger.Apply(ReleaseLease{ LeaseName("w"), Identity("a"), Fencing(1) }),
    Refused(RefusalKind::LeaseLost));
  const ReleaseLease release{ LeaseName("w"), Identity("b"), Fencing(2) };
  EXPECT_EQ(ledger.Apply(release), Result(Done{}));
  EXPECT_EQ(ledger.Apply(release), Result(Done{}));
  EXPECT_EQ(ledger.Apply(Acquire("c")), granted(3, seconds(10)));
  EXPECT_EQ(ledger.Apply(Acquire("c", 2)),
            Refused(RefusalKind::LeaseHeld, 3, "c"));
  EXPECT_EQ(ledger.Apply(Acquire("c", 1)),
            Refused(RefusalKind::DeadIncarnation, 2));
  AcquireLease endless = Acquire("d");
  endless.m_duration = hours(1);
  EXPECT_EQ(ledger.Apply(endless), Refused(RefusalKind::InvalidArgument));
}

// Guards against a ledger time that decreases with the stamp of a new leader,
// which would revive an expired lease.
TEST(StateMachine, TimeNeverGoesBack)
{
  LedgerFixture ledger;
  ASSERT_TRUE(ledger.Apply(Acquire("a")));
  ledger.m_now += seconds(11);
  ASSERT_TRUE(ledger.Apply(AdvanceTime{}));
  ledger.m_now -= seconds(5);
  EXPECT_TRUE(ledger.Apply(Acquire("b")));
  EXPECT_EQ(ledger.m_machine.Now(), LedgerTime(seconds(12)));
}

// Guards against work that runs twice, a response that changes and a claim that
// no owner can finish.
TEST(StateMachine, ClaimsRunOnce)
{
  const FinishClaim finish{ Key("k"), Owner("a"), "answer" };
  const MarkClaimUnknown lost{ Key("k"), Owner("a") };
  const AbandonClaim abandon{ Key("k"), Owner("a") };
  const InstanceDied died{ Identity("a") };
  const Result running = Claimed(false, ClaimState::Running);
  const Result unknown = Claimed(false, ClaimState::OutcomeUnknown);
  RunCases({
    { "first", {}, Begin("a"), Claimed(true, ClaimState::Running) },
    { "same proposal again",
      { Begin("a") },
      Begin("a"),
      Claimed(true, ClaimState::Running) },
    { "another request of the same instance",
      { Begin("a") },
      Begin("a", 2),
      running },
    { "another instance", { Begin("a") }, Begin("b"), running },
    { "resent after the response",
      { Begin("a"), finish },
      Begin("b"),
      Claimed(false, ClaimState::Finished, "answer") },
    { "resent by its owner after the response",
      { Begin("a"), finish },
      Begin("a"),
      Claimed(false, ClaimState::Finished, "answer") },
    { "resent after the response was lost",
      { Begin("a"), lost },
      Begin("b"),
      unknown },
    { "resent after the owner died",
      { Begin("a"), died },
      Begin("b"),
      unknown },
    { "resent by the next incarnation of the owner",
      { Begin("a") },
      Begin("a", 1, 2),
      unknown },
    { "next incarnation reported a revision",
      { Begin("a"),
        ReportRevision{ Identity("a", 2), DataCentreId("d"), Revision() } },
      Begin("b"),
      unknown },
    { "next incarnation asked for a lease",
      { Begin("a"), Acquire("a", 2) },
      Begin("b"),
      unknown },
    { "begun after a proved not run",
      { Begin("a"), abandon },
      Begin("b"),
      Claimed(true, ClaimState::Running) },
    { "delayed begin of a dead incarnation",
      { died },
      Begin("a"),
      Refused(RefusalKind::DeadIncarnation, 2) },
    { "other request under the key",
      { Begin("a") },
      Begin("b", 1, 1, "s"),
      Refused(RefusalKind::KeyReused, 0, "r") },
    { "finish resent", { Begin("a"), finish }, finish, Done{} },
    { "finish by an incarnation believed dead",
      { Begin("a"), died },
      finish,
      Done{} },
    { "finish with another response",
      { Begin("a"), finish },
      FinishClaim{ Key("k"), Owner("a"), "other" },
      Refused(RefusalKind::AnswerConflict) },
    { "finish by another",
      { Begin("a") },
      FinishClaim{ Key("k"), Owner("b"), "x" },
      Refused(RefusalKind::NotClaimOwner, 0, "a") },
    { "finish without claim", {}, finish, Refused(RefusalKind::UnknownClaim) },
    { "unknown after the response",
      { Begin("a"), finish },
      lost,
      Refused(RefusalKind::ClaimNotRunning) },
    { "abandon after unknown",
      { Begin("a"), lost },
      abandon,
      Refused(RefusalKind::ClaimNotRunning) },
  });
  Limits limits;
  limits.m_claims = 1;
  limits.m_claimResponseBytes = 4;
  BeginClaim other = Begin("a", 2);
  other.m_key = Key("k2");
  RunCases({ { "too many claims",
               { Begin("a") },
               other,
               Refused(RefusalKind::LimitReached, 1) },
             { "response too large",
               { Begin("a") },
               finish,
               Refused(RefusalKind::PayloadTooLarge, 4) } },
           limits);
  limits.m_claims = 2;
  limits.m_claimResponseBytes = 6;
  limits.m_claimTotalBytes = 6;
  RunCases({ { "no room for more responses",
               { Begin("a"), finish },
               other,
               Refused(RefusalKind::StoreFull, 6) } },
           limits);
}

// Guards against claims that never expire, or that expire while running.
TEST(StateMachine, ClaimsAreForgottenAfterTheirRetention)
{
  LedgerFixture ledger;
  ASSERT_TRUE(ledger.Apply(Begin("a")));
  ledger.m_now += hours(48);
  ASSERT_TRUE(ledger.Apply(AdvanceTime{}));
  EXPECT_TRUE(ledger.m_machine.Claim(Key("k")));
  ASSERT_TRUE(ledger.Apply(FinishClaim{ Key("k"), Owner("a"), "x" }));
  ledger.m_now += hours(1) - Duration(1);
  ASSERT_TRUE(ledger.Apply(AdvanceTime{}));
  EXPECT_TRUE(ledger.m_machine.Claim(Key("k")));
  ledger.m_now += Duration(1);
  ASSERT_TRUE(ledger.Apply(AdvanceTime{}));
  EXPECT_FALSE(ledger.m_machine.Claim(Key("k")));
}

// Guards against a sample that is delivered twice or lost, and against a batch
// fixed by a replaced coordinator.
TEST(StateMachine, StepsAndBatchesFollowTheCursor)
{
  const std::vector<SampleRef> group0{ Sample(1, 0, 0), Sample(1, 0, 1) };
  const std::vector<SampleRef> group1{ Sample(1, 1, 0) };
  const std::vector<Command> complete{
    Step(1), Fix(1, group0), Acknowledge(1), Fix(2, group1), Acknowledge(2)
  };
  const Result openedFirst = StepOpened{ StepNumber(1), LogIndex(1) };
  RunCases({
    { "step resent", { Step(1), Step(2) }, Step(1), openedFirst },
    { "step resent after completion", complete, Step(1), openedFirst },
    { "step 0 after step 1",
      { Step(1) },
      Step(0),
      StepOpened{ StepNumber(0), LogIndex(2) } },
    { "step with other content",
      { Step(1) },
      Step(1, "e"),
      Refused(RefusalKind::StepConflict, 1, "d") },
    { "step without samples",
      {},
      Step(1, "d", { 2, 0 }),
      Refused(RefusalKind::InvalidArgument) },
    { "step with too many samples",
      {},
      Step(1, "d", { 4'000'000'000U, 2 }),
      Refused(RefusalKind::InvalidArgument) },
    { "batch",
      { Step(1) },
      Fix(1, group0),
      BatchFixed{ Cursor(1), LogIndex(2) } },
    { "batch resent",
      { Step(1), Fix(1, group0) },
      Fix(1, group0),
      BatchFixed{ Cursor(1), LogIndex(2) } },
    { "other batch under the cursor",
      { Step(1), Fix(1, group0) },
      Fix(1, group1),
      Refused(RefusalKind::CursorTaken, 2) },
    { "other payload under the cursor",
      { Step(1), Fix(1, group0) },
      Fix(1, group0, "x"),
      Refused(RefusalKind::CursorTaken, 2) },
    { "cursor skipped",
      { Step(1) },
      Fix(2, group0),
      Refused(RefusalKind::CursorNotNext, 1) },
    { "cursor of an acknowledged batch",
      { Step(1), Fix(1, group0), Acknowledge(1) },
      Fix(1, group0),
      Refused(RefusalKind::CursorNotNext, 2) },
    { "batch before is outstanding",
      { Step(1), Fix(1, group0) },
      Fix(2, group1),
      Refused(RefusalKind::BatchOutstanding, 1) },
    { "sample delivered before",
      { Step(1), Fix(1, group0), Acknowledge(1) },
      Fix(2, group0),
      Refused(RefusalKind::SampleTaken) },
    { "sample of a complete step",
      complete,
      Fix(3, group0),
      Refused(RefusalKind::SampleTaken) },
    { "sample twice in a batch",
      { Step(1) },
      Fix(1, { Sample(1, 0, 0), Sample(1, 0, 0) }),
      Refused(RefusalKind::SampleTaken) },
    { "sample discarded before",
      { Step(1), Fix(1, group0), Discard(1) },
      Fix(2, group0),
      BatchFixed{ Cursor(2), LogIndex(4) } },
    { "sample outside its group",
      { Step(1) },
      Fix(1, { Sample(1, 1, 1) }),
      Refused(RefusalKind::UnknownSample) },
    { "sample of no step",
      { Step(1) },
      Fix(1, { Sample(2, 0, 0) }),
      Refused(RefusalKind::UnknownStep) },
    { "empty batch",
      { Step(1) },
      Fix(1, {}),
      Refused(RefusalKind::InvalidArgument) },
    { "coordinator of an earlier term",
      { Step(1) },
      Fix(1, group0, "batch", 0),
      Refused(RefusalKind::NotCoordinator, 1) },
    { "acknowledge resent", complete, Acknowledge(1), Done{} },
    { "discard resent",
      { Step(1), Fix(1, group0), Discard(1) },
      Discard(1),
      Done{} },
    { "discard after acknowledge",
      { Step(1), Fix(1, group0), Acknowledge(1) },
      Discard(1),
      Refused(RefusalKind::BatchAcknowledged, 1) },
    { "acknowledge after discard",
      { Step(1), Fix(1, group0), Discard(1) },
      Acknowledge(1),
      Refused(RefusalKind::BatchDiscarded, 1) },
    { "acknowledge before the batch",
      { Step(1) },
      Acknowledge(1),
      Refused(RefusalKind::UnknownCursor) },
    { "abandon a step in delivery",
      { Step(1), Fix(1, group0) },
      AbandonStep{ kTrainer, StepNumber(1) },
      Refused(RefusalKind::StepInDelivery, 1) },
    { "sample of an abandoned step",
      { Step(1), AbandonStep{ kTrainer, StepNumber(1) } },
      Fix(1, group0),
      Refused(RefusalKind::SampleTaken) },
    { "version goes back",
      { PublishVersion{ kTrainer, ModelName("m"), WeightVersion(3) } },
      PublishVersion{ kTrainer, ModelName("m"), WeightVersion(2) },
      Refused(RefusalKind::VersionWentBack, 3) },
    { "version resent",
      { PublishVersion{ kTrainer, ModelName("m"), WeightVersion(3) } },
      PublishVersion{ kTrainer, ModelName("m"), WeightVersion(3) },
      VersionPublished{ WeightVersion(3) } },
  });
}

// Guards against payloads and steps that exceed the memory limits.
TEST(StateMachine, StepsAndPayloadsAreBounded)
{
  Limits limits;
  limits.m_openSteps = 2;
  limits.m_closedSteps = 1;
  limits.m_closedCursors = 1;
  limits.m_batchPayloadBytes = 8;
  limits.m_payloadTotalBytes = 20;
  const auto single = [](std::uint64_t aStep) {
    return Step(aStep, "d", { 1 });
  };
  const auto batch = [](std::uint64_t aCursor) {
    return Fix(aCursor, { Sample(aCursor, 0, 0) }, "12345678");
  };
  RunCases(
    {
      { "open steps",
        { single(1), single(2) },
        single(3),
        Refused(RefusalKind::LimitReached, 2) },
      { "batch payload",
        { single(1) },
        Fix(1, { Sample(1, 0, 0) }, "123456789"),
        Refused(RefusalKind::PayloadTooLarge, 8) },
      { "all payloads",
        { single(1), single(2) },
        batch(1),
        Refused(RefusalKind::StoreFull, 20) },
      { "complete step is forgotten",
        { single(1),
          batch(1),
          Acknowledge(1),
          single(2),
          batch(2),
          Acknowledge(2) },
        single(1),
        Refused(RefusalKind::StepForgotten, 2) },
      { "closed cursor is forgotten",
        { single(1),
          batch(1),
          Acknowledge(1),
          single(2),
          batch(2),
          Acknowledge(2) },
        Discard(1),
        Refused(RefusalKind::UnknownCursor, 2) },
    },
    limits);
  LedgerFixture ledger(limits);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    ASSERT_TRUE(ledger.Apply(single(i)));
    ASSERT_TRUE(ledger.Apply(batch(i)));
    ASSERT_TRUE(ledger.Apply(Acknowledge(i)));
  }
  EXPECT_EQ(ledger.m_machine.Size().m_payloadBytes, 0U);
  EXPECT_TRUE(ledger.m_machine.Trainer(kTrainer)->m_openSteps.empty());
}

// Guards against queries that do not match the effect of the commands.
TEST(StateMachine, QueriesShowTheState)
{
  LedgerFixture ledger;
  ASSERT_TRUE(ledger.Apply(Edit(1, "a")));
  ASSERT_TRUE(ledger.Apply(Edit(4, "b", "e", "north")));
  const AcceptedConfiguration north =
    ledger.m_machine.ConfigurationOf(SiteName("north"));
  EXPECT_EQ(north.m_revision, Revision(2));
  EXPECT_EQ(north.m_base->m_text, "text of a");
  EXPECT_EQ(north.m_overlay->m_number, 4U);
  EXPECT_FALSE(ledger.m_machine.ConfigurationOf(SiteName("south")).m_overlay);
  ASSERT_EQ(ledger.m_machine.History(1).size(), 1U);
  EXPECT_EQ(ledger.m_machine.History(1).front().m_edit, EditId("e"));
  ASSERT_TRUE(ledger.Apply(
    ReportRevision{ Identity("i"), DataCentreId("d"), Revision(2) }));
  EXPECT_EQ(ledger.m_machine.InForceOnAll({ InstanceId("i") }), Revision(2));
  EXPECT_EQ(ledger.m_machine.InForceOnAll({ InstanceId("i"), InstanceId("j") }),
            Revision(0));
  ASSERT_TRUE(ledger.Apply(Step(1)));
  ASSERT_TRUE(ledger.Apply(Fix(1, { Sample(1, 0, 1) })));
  const TrainerView trainer = *ledger.m_machine.Trainer(kTrainer);
  EXPECT_EQ(trainer.m_openSteps.front().m_free,
            (std::vector<SampleRef>{ Sample(1, 0, 0), Sample(1, 1, 0) }));
  EXPECT_EQ(ledger.m_machine.Batch(kTrainer, Cursor(1))->m_payload, "batch");
  EXPECT_FALSE(ledger.m_machine.Batch(kTrainer, Cursor(2)));
}

// Guards against applying an entry twice after a restart.
TEST(StateMachine, RefusesAnOldIndex)
{
  LedgerFixture ledger;
  ASSERT_TRUE(ledger.Apply(Edit(1, "a")));
  const Digest before = ledger.m_machine.StateDigest();
  ledger.m_index = LogIndex(0);
  EXPECT_EQ(ledger.Apply(Edit(2, "b")),
            Refused(RefusalKind::AlreadyApplied, 1));
  EXPECT_EQ(ledger.m_machine.StateDigest(), before);
}

} // namespace
} // namespace auburntrestle::ledger
