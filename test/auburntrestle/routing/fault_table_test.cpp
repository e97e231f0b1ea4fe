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
  DuplicateAnswer,
  LateAnswer,
  WrongVersion,
  Refused,
};

enum class Kind
{
  /** Idempotent, may continue on another engine. */
  Resumable,
  /** Idempotent, but a partial answer cannot be continued. */
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
  // Tokens that were sent prove that the work ran; before them, the loss of a
  // connection after sending leaves the outcome open.
  { Fault::Crash, "crash", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::Slow, "slow", { "ffffff", "ffffff", "ffffff" } },
  { Fault::Silent, "silent", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::HalfOpen, "half_open", { "ffffff", "fffuuu", "fuuuuu" } },
  { Fault::DuplicateAnswer, "duplicate", { "ffffff", "ffffff", "ffffff" } },
  { Fault::LateAnswer, "late", { "ffffff", "fffuuu", "fuuuuu" } },
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
    Occupy();
    m_id = m_harness.Arrive(m_spec);
    if (m_step == Step::Queued) {
      EXPECT_EQ(m_harness.Starts(m_id), 0U);
      Inject(m_busy.front());
    }
    Release();
    EXPECT_EQ(m_harness.Starts(m_id), 1U);
    ReachStep();
    m_harmed = m_harness.LastAttempt(m_id);
    if (m_step != Step::Queued) {
      Inject(m_id);
    }
    Complete();
    return m_harness.Outcome(m_id);
  }

  [[nodiscard]] std::size_t Starts() const { return m_harness.Starts(m_id); }

private:
  static Policy MakePolicy()
  {
    Policy policy;
    policy.m_admission.m_shortWorkShare = 0.0;
    policy.m_hedging.m_enabled = false;
    return policy;
  }

  /** Fills both engines, so that the request has to wait. */
  void Occupy()
  {
    if (m_step != Step::Queued) {
      return;
    }
    for (int i = 0; i < 2; ++i) {
      m_busy.push_back(m_harness.Arrive(m_spec));
      EXPECT_EQ(m_harness.Starts(m_busy.back()), 1U);
    }
  }
  void Release()
  {
    for (const auto id : m_busy) {
      if (m_harness.Outcome(id) == "open") {
        m_harness.Tokens(id);
        m_harness.Finish(id);
      }
    }
    m_harness.Advance(std::chrono::seconds(1));
  }
  void ReachStep()
  {
    const auto tokens = [this](std::uint64_t aCount) {
      m_harness.Advance(std::chrono::milliseconds(20));
      m_harness.Tokens(m_id, aCount, WeightVersion(5));
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

  void Inject(RequestId aId)
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
      case Fault::LateAnswer:
        m_harness.Advance(std::chrono::seconds(31));
        break;
      case Fault::DuplicateAnswer:
        if (m_step != Step::Queued) {
          m_harness.Tokens(aId);
          m_harness.Finish(aId);
          m_harness.Finish(aId);
          m_harness.Tokens(aId);
        }
        break;
      case Fault::WrongVersion:
        m_harness.Tokens(aId, 1, WeightVersion(4));
        break;
      case Fault::Refused:
        m_harness.Fail(aId, AttemptFailure::Refused);
        break;
    }
    if (m_fault == Fault::LateAnswer && m_step != Step::Queued) {
      // The answer of the attempt that was given up arrives after all.
      const auto finished = m_harness.m_finished.size();
      m_harness.Send(AttemptTokens{ aId, attempt, TokenCount(5), {} });
      m_harness.Send(AttemptFinished{ aId, attempt });
      EXPECT_EQ(m_harness.m_finished.size(), finished);
    }
  }

  /** Lets the attempt that is in flight now, if any, succeed. */
  void Complete()
  {
    m_harness.Advance(std::chrono::milliseconds(500));
    if (m_harness.Outcome(m_id) != "open") {
      return;
    }
    if (m_fault != Fault::Slow && m_step != Step::Queued) {
      EXPECT_GT(m_harness.LastAttempt(m_id), m_harmed);
      // The new attempt continues after the tokens of the first one.
      const auto received = m_step >= Step::LastToken    ? 100U
                            : m_step >= Step::MidStream  ? 11U
                            : m_step >= Step::FirstToken ? 1U
                                                         : 0U;
      EXPECT_EQ(m_harness.LastStart(m_id).m_resumeFromTokens,
                TokenCount(received));
    }
    m_harness.Tokens(m_id, 1, WeightVersion(5));
    m_harness.Finish(m_id);
  }

  Fault m_fault;
  Step m_step;
  Harness m_harness;
  RequestSpec m_spec;
  std::vector<RequestId> m_busy;
  RequestId m_id;
  AttemptNumber m_harmed;
};

// Guards against an untrue outcome, a second dispatch of work that may have
// run, and answers that reach the caller from an attempt that was given up.
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
          EXPECT_EQ(table.Starts(), 1U);
        }
      }
    }
  }
}

// Guards against calling a failure "not run" without evidence, or hiding it
// when every attempt has it.
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
      ErrorCode::BadBackendAnswer },
  };
  for (const auto& row : cases) {
    Policy policy;
    policy.m_hedging.m_enabled = false;
    Harness harness(policy);
    harness.AddEngine("e1");
    harness.AddEngine("e2");
    const auto id = harness.Arrive(ModelRequest());
    for (const auto failure : row.m_failures) {
      harness.Advance(std::chrono::seconds(1));
      harness.Fail(id, failure);
    }
    EXPECT_EQ(harness.Outcome(id), row.m_outcome);
    EXPECT_EQ(harness.Code(id), row.m_code);
  }
}

// Guards against a deadline that claims "not run" for work in flight.
TEST(FaultTableTest, DeadlineTellsWhetherWorkMayHaveRun)
{
  for (const bool started : { false, true }) {
    Harness harness;
    harness.AddEngine("e1", 1, 1);
    auto spec = ModelRequest();
    spec.m_idempotent = false;
    if (!started) {
      harness.Arrive(ModelRequest());
    }
    spec.m_deadline = harness.Now() + std::chrono::seconds(1);
    const auto id = harness.Arrive(spec);
    EXPECT_EQ(harness.Starts(id), started ? 1U : 0U);
    harness.Advance(std::chrono::seconds(2));
    EXPECT_EQ(harness.Outcome(id), started ? "outcome_unknown" : "not_run");
    EXPECT_EQ(harness.Code(id), ErrorCode::DeadlineExceeded);
  }
}

} // namespace
} // namespace auburntrestle::routing
