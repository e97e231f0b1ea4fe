#include "harness.hpp"

#include <string>
#include <vector>

namespace auburntrestle::routing {
namespace {

enum class Step
{
  Queued,
  Started,
  Accepted,
  FirstToken,
  MidStream,
  LastToken,
};

enum class Fault
{
  Crash,
  Slow,
  Silent,
  HalfOpen,
  DuplicateResponse,
  LateResponse,
  WrongVersion,
  Refused,
};

enum class Kind
{
  /** Idempotent, may continue on another engine. */
  Resumable,
  /** Idempotent, but a partial response cannot be continued. */
  NotResumable,
  /** Must not run twice. */
  NonIdempotent,
};

const std::vector<Step> kSteps{ Step::Queued,    Step::Started,
                                Step::Accepted,  Step::FirstToken,
                                Step::MidStream, Step::LastToken };

struct Row
{
  Fault m_fault;
  std::string m_name;
  /**
   * The outcome for each step: f finished, n not run, u outcome unknown.
   * Rows of a kind are in the order of Kind.
   */
  std::string m_expected[3];
};

const std::vector<Row> kRows{
  // Tokens prove that the work ran. Before the first token, the loss of a
  // connection after sending leaves the outcome unknown.
  { Fault::Crash, "crash", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::Slow, "slow", { "ffffff", "ffffff", "ffffff" } },
  { Fault::Silent, "silent", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::HalfOpen, "half_open", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::DuplicateResponse, "duplicate", { "ffffff", "ffffff", "ffffff" } },
  { Fault::LateResponse, "late", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::WrongVersion, "wrong_version", { "ffffff", "fffuuu", "fuuuuu" } },
  // A refusal proves that nothing ran only before any token.
  { Fault::Refused, "refused", { "ffffff", "fffuuu", "fffuuu" } },
};

class FaultTable
{
public:
  FaultTable(Fault aFault, Step aStep, Kind aKind)
    : m_fault(aFault)
    , m_step(aStep)
    , m_harness(MakePolicy())
  {
    m_harness.AddEngine("e1", 5, 1);
    m_harness.AddEngine("e2", 5, 1);
    m_spec = ModelRequest();
    m_spec.m_minVersion = WeightVersion(5);
    m_spec.m_idempotent = aKind != Kind::NonIdempotent;
    m_spec.m_resumable = aKind == Kind::Resumable;
  }

  std::string Run()
  {
    OccupyEngines();
    m_id = m_harness.SubmitRequest(m_spec);
    if (m_step == Step::Queued) {
      EXPECT_EQ(m_harness.StartCount(m_id), 0U);
      InjectFault(m_busy.front());
    }
    ReleaseEngines();
    EXPECT_EQ(m_harness.StartCount(m_id), 1U);
    AdvanceToStep();
    m_faultedAttempt = m_harness.LastAttempt(m_id);
    if (m_step != Step::Queued) {
      InjectFault(m_id);
    }
    CompleteRequest();
    return m_harness.Outcome(m_id);
  }

  [[nodiscard]] std::size_t StartCount() const
  {
    return m_harness.StartCount(m_id);
  }

private:
  static Policy MakePolicy()
  {
    Policy policy;
    policy.m_admission.m_shortWorkShare = 0.0;
    policy.m_hedging.m_enabled = false;
    return policy;
  }

  /** Fills both engines, so that the request has to wait. */
  void OccupyEngines()
  {
    if (m_step != Step::Queued) {
      return;
    }
    for (int i = 0; i < 2; ++i) {
      m_busy.push_back(m_harness.SubmitRequest(m_spec));
      EXPECT_EQ(m_harness.StartCount(m_busy.back()), 1U);
    }
  }
  void ReleaseEngines()
  {
    for (const auto id : m_busy) {
      if (m_harness.Outcome(id) == "open") {
        m_harness.SendTokens(id);
        m_harness.Finish(id);
      }
    }
    m_harness.Advance(std::chrono::seconds(1));
  }
  void AdvanceToStep()
  {
    const auto tokens = [this](std::uint64_t aCount) {
      m_harness.Advance(std::chrono::milliseconds(20));
      m_harness.SendTokens(m_id, aCount, WeightVersion(5));
    };
    if (m_step >= Step::Accepted) {
      m_harness.Send(AttemptAccepted{ m_id, m_harness.LastAttempt(m_id) });
    }
    if (m_step >= Step::FirstToken) {
      tokens(1);
    }
    if (m_step >= Step::MidStream) {
      tokens(10);
    }
    if (m_step >= Step::LastToken) {
      tokens(89);
    }
  }

  void InjectFault(RequestId aId)
  {
    const auto attempt = m_harness.LastAttempt(aId);
    switch (m_fault) {
      case Fault::Crash:
        m_harness.Fail(aId,
                       m_step >= Step::FirstToken
                         ? AttemptFailure::LostMidStream
                         : AttemptFailure::LostBeforeResponse);
        break;
      case Fault::Slow:
        m_harness.Advance(std::chrono::milliseconds(900));
        break;
      case Fault::Silent:
      case Fault::HalfOpen:
      case Fault::LateResponse:
        m_harness.Advance(std::chrono::seconds(31));
        break;
      case Fault::DuplicateResponse:
        if (m_step != Step::Queued) {
          m_harness.SendTokens(aId);
          m_harness.Finish(aId);
          m_harness.Finish(aId);
          m_harness.SendTokens(aId);
        }
        break;
      case Fault::WrongVersion:
        m_harness.SendTokens(aId, 1, WeightVersion(4));
        break;
      case Fault::Refused:
        m_harness.Fail(aId, AttemptFailure::Refused);
        break;
    }
    if (m_fault == Fault::LateResponse && m_step != Step::Queued) {
      // The response of the attempt that was given up arrives late.
      const auto finished = m_harness.m_finished.size();
      m_harness.Send(AttemptTokens{ aId, attempt, TokenCount(5), {} });
      m_harness.Send(AttemptFinished{ aId, attempt });
      EXPECT_EQ(m_harness.m_finished.size(), finished);
    }
  }

  /** Finishes the attempt that is in flight, if any. */
  void CompleteRequest()
  {
    m_harness.Advance(std::chrono::milliseconds(500));
    if (m_harness.Outcome(m_id) != "open") {
      return;
    }
    if (m_fault != Fault::Slow && m_step != Step::Queued) {
      EXPECT_GT(m_harness.LastAttempt(m_id), m_faultedAttempt);
      // The new attempt continues after the tokens of the first one.
      const auto received = m_step >= Step::LastToken    ? 100U
                            : m_step >= Step::MidStream  ? 11U
                            : m_step >= Step::FirstToken ? 1U
                                                         : 0U;
      EXPECT_EQ(m_harness.LastStart(m_id).m_resumeFromTokens,
                TokenCount(received));
    }
    m_harness.SendTokens(m_id, 1, WeightVersion(5));
    m_harness.Finish(m_id);
  }

  Fault m_fault;
  Step m_step;
  Harness m_harness;
  RequestSpec m_spec;
  std::vector<RequestId> m_busy;
  RequestId m_id;
  AttemptNumber m_faultedAttempt;
};

// Guards against a wrong outcome, a second start of non-idempotent work that
// may have run, and responses of abandoned attempts that reach the caller.
TEST(FaultTableTest, OutcomeForEachFaultAndStep)
{
  for (const auto& row : kRows) {
    for (const auto kind :
         { Kind::Resumable, Kind::NotResumable, Kind::NonIdempotent }) {
      for (const auto step : kSteps) {
        const auto index = static_cast<std::size_t>(step);
        SCOPED_TRACE(row.m_name + ", kind " +
                     std::to_string(static_cast<int>(kind)) + ", step " +
                     std::to_string(index));
        const char letter = row.m_expected[static_cast<int>(kind)][index];
        const std::string expected = letter == 'f'   ? "finished"
                                     : letter == 'n' ? "not_run"
                                                     : "outcome_unknown";
        FaultTable table(row.m_fault, step, kind);
        EXPECT_EQ(table.Run(), expected);
        if (kind == Kind::NonIdempotent && row.m_fault != Fault::Refused) {
          EXPECT_EQ(table.StartCount(), 1U);
        }
      }
    }
  }
}

// Guards against reporting "not run" without evidence, and against not
// reporting it when there is evidence for every attempt.
TEST(FaultTableTest, NotRunNeedsEvidenceFromEveryAttempt)
{
  struct Case
  {
    std::vector<AttemptFailure> m_failures;
    std::string m_outcome;
    ErrorCode m_code;
  };
  using enum AttemptFailure;
  const std::vector<Case> cases{
    { { ConnectFailed, ConnectFailed, ConnectFailed },
      "not_run",
      ErrorCode::BackendLost },
    { { Refused, ConnectFailed, Refused },
      "not_run",
      ErrorCode::BackendRefused },
    { { LostBeforeResponse, Refused, Refused },
      "outcome_unknown",
      ErrorCode::BackendRefused },
    { { Refused, Refused, BadResponse },
      "outcome_unknown",
      ErrorCode::BadBackendResponse },
  };
  for (const auto& row : cases) {
    Policy policy;
    policy.m_hedging.m_enabled = false;
    Harness harness(policy);
    harness.AddEngine("e1");
    harness.AddEngine("e2");
    const auto id = harness.SubmitRequest(ModelRequest());
    for (const auto failure : row.m_failures) {
      harness.Advance(std::chrono::seconds(1));
      harness.Fail(id, failure);
    }
    EXPECT_EQ(harness.Outcome(id), row.m_outcome);
    EXPECT_EQ(harness.Code(id), row.m_code);
  }
}

// Guards against reporting "not run" for work that is in flight at its
// deadline.
TEST(FaultTableTest, DeadlineTellsWhetherWorkMayHaveRun)
{
  for (const bool started : { false, true }) {
    Harness harness;
    harness.AddEngine("e1", 1, 1);
    auto spec = ModelRequest();
    spec.m_idempotent = false;
    if (!started) {
      harness.SubmitRequest(ModelRequest());
    }
    spec.m_deadline = harness.Now() + std::chrono::seconds(1);
    const auto id = harness.SubmitRequest(spec);
    EXPECT_EQ(harness.StartCount(id), started ? 1U : 0U);
    harness.Advance(std::chrono::seconds(2));
    EXPECT_EQ(harness.Outcome(id), started ? "outcome_unknown" : "not_run");
    EXPECT_EQ(harness.Code(id), ErrorCode::DeadlineExceeded);
  }
}

} // namespace
} // namespace auburntrestle::routing
