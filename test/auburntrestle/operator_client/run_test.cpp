#include "auburntrestle/operator_client/run.hpp"
#include "support/running_daemon.hpp"
#include "support/scripted_server.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <future>
#include <sstream>

namespace auburntrestle::operator_client {
namespace {

using test::ScriptedServer;
using Arguments = std::vector<std::string>;

struct RunResult
{
  ExitCode m_exitCode;
  std::string m_output;
  std::string m_errors;
};

struct RunOptions
{
  bool m_json = false;
  bool m_wait = false;
  std::int64_t m_timeoutMs = 30000;
  std::int64_t m_requestTimeoutMs = 30000;
};

RunResult RunCommand(const Arguments& aArguments,
                     const std::string& aTarget,
                     const RunOptions& aOptions = {})
{
  Flags flags;
  flags.m_target = aTarget;
  flags.m_json = aOptions.m_json;
  flags.m_wait = aOptions.m_wait;
  flags.m_timeoutMs = aOptions.m_timeoutMs;
  flags.m_requestTimeoutMs = aOptions.m_requestTimeoutMs;
  const auto invocation = ParseArguments(aArguments, flags);
  if (!invocation) {
    return { ExitCode::InvalidInput, "", invocation.error().m_message };
  }
  std::ostringstream output;
  std::ostringstream errors;
  const auto exitCode =
    Run(*invocation, { output, errors, std::chrono::milliseconds(1) });
  return { exitCode, output.str(), errors.str() };
}

ScriptedServer::Script RespondWith(int aStatus, std::string aBody)
{
  return [=](const auto&, auto aResponder) {
    aResponder->Send({ aStatus, "application/json", aBody, {} });
  };
}

/** Receives requests, but sends no response. */
class UnresponsiveServer
{
public:
  UnresponsiveServer()
    : m_server([this](const auto&, auto aResponder) {
      const std::lock_guard lock(m_mutex);
      m_responders.push_back(std::move(aResponder));
      m_arrived.set_value();
    })
  {
  }

  [[nodiscard]] std::string Address() const { return m_server.Address(); }
  [[nodiscard]] auto Received() const { return m_server.Received(); }
  /** Closes the connections after the first request has been received. */
  void LoseResponse()
  {
    m_arrived.get_future().wait();
    {
      // A responder must not outlive its server.
      const std::lock_guard lock(m_mutex);
      m_responders.clear();
    }
    m_server.Kill();
  }

private:
  std::mutex m_mutex;
  std::promise<void> m_arrived;
  std::vector<std::shared_ptr<gateway::Responder>> m_responders;
  ScriptedServer m_server;
};

std::string GetRefusingAddress()
{
  ScriptedServer server(RespondWith(200, "{}"));
  std::string address = server.Address();
  server.Kill();
  return address;
}

/** A folder with a valid base. */
class BaseFile
{
public:
  explicit BaseFile(const char* aText = "number = 3\n")
  {
    std::ofstream(Path()) << aText;
  }
  [[nodiscard]] std::string Path() const
  {
    return (m_folder.Path() / "base.toml").string();
  }

private:
  test::TemporaryFolder m_folder;
};

constexpr const char* kAccepted = R"({"revision":7,"number":3,"digest":"d"})";
constexpr const char* kMembers =
  R"({"leader":"a","term":4,"members":[{"instance":"a","incarnation":1,)"
  R"("role":"voter","match":9,"last_contact_ms":0}],"commit":9,"applied":9})";
constexpr const char* kNoQuorum =
  R"({"error":{"code":"no_quorum","message":"m","outcome":"not_run"}})";

struct ResponseRow
{
  const char* m_name;
  Arguments m_arguments;
  int m_status;
  std::string m_body;
  ExitCode m_exitCode;
  const char* m_request;
  const char* m_output;
  const char* m_errors;
};

void PrintTo(const ResponseRow& aRow, std::ostream* aStream)
{
  *aStream << aRow.m_name;
}

class SingleResponse : public testing::TestWithParam<ResponseRow>
{};

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Guards against a wrong exit code, path or table for a response.
TEST_P(SingleResponse, GivesExitCodeAndText)
{
  const auto& row = GetParam();
  ScriptedServer server(RespondWith(row.m_status, row.m_body));
  const auto result = RunCommand(row.m_arguments, server.Address());
  EXPECT_EQ(result.m_exitCode, row.m_exitCode);
  EXPECT_TRUE(Contains(result.m_output, row.m_output)) << result.m_output;
  EXPECT_TRUE(Contains(result.m_errors, row.m_errors)) << result.m_errors;
  ASSERT_EQ(server.Received().size(), 1U);
  const auto request = server.Received().front();
  EXPECT_EQ(request.m_method + " " + request.m_path, row.m_request);
}

// Guards against an exit code that depends on the output format, and against
// text other than JSON on standard output.
TEST_P(SingleResponse, GivesJson)
{
  const auto& row = GetParam();
  ScriptedServer server(RespondWith(row.m_status, row.m_body));
  RunOptions options;
  options.m_json = true;
  const auto result = RunCommand(row.m_arguments, server.Address(), options);
  EXPECT_EQ(result.m_exitCode, row.m_exitCode);
  const auto json = nlohmann::json::parse(result.m_output);
  if (row.m_exitCode == ExitCode::Success) {
    EXPECT_EQ(result.m_output, row.m_body + "\n");
  } else {
    EXPECT_TRUE(json["error"]["outcome"].is_string());
  }
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  SingleResponse,
  testing::Values(
    ResponseRow{
      "history",
      { "config", "history" },
      200,
      R"({"edits":[{"site":"north","number":5,"digest":"abc",)"
      R"("edit":"e","revision":7},)"
      R"({"site":"","number":1,"digest":"d","edit":"f","revision":8}]})",
      ExitCode::Success,
      "GET /v1/config/history",
      "REVISION  SITE    NUMBER  DIGEST  EDIT\n"
      "7         north   5       abc     e\n"
      "8         (base)  1       d       f\n",
      "" },
    ResponseRow{ "show without overlay",
                 { "config", "show" },
                 200,
                 R"({"site":"north","revision":7,"base":{"number":3,)"
                 R"("digest":"abc","text":"t"},"overlay":null,)"
                 R"("effective":"[retry]\nbudget = 0.1"})",
                 ExitCode::Success,
                 "GET /v1/config",
                 "base      number 3, digest abc\noverlay   none\n[retry]\n",
                 "" },
    ResponseRow{ "members",
                 { "members" },
                 200,
                 kMembers,
                 ExitCode::Success,
                 "GET /v1/members",
                 "a         1            voter  9      0\n",
                 "" },
    ResponseRow{ "member change",
                 { "members", "promote", "b" },
                 200,
                 R"({"members":[]})",
                 ExitCode::Success,
                 "POST /v1/members",
                 "INSTANCE",
                 "" },
    ResponseRow{ "member change refused",
                 { "members", "promote", "b" },
                 409,
                 R"({"error":{"code":"conflict","message":"behind",)"
                 R"("outcome":"not_run"}})",
                 ExitCode::Conflict,
                 "POST /v1/members",
                 "",
                 "conflict (not_run): behind" },
    ResponseRow{ "no quorum",
                 { "members" },
                 503,
                 kNoQuorum,
                 ExitCode::RequestFailed,
                 "GET /v1/members",
                 "",
                 "no_quorum (not_run)" },
    ResponseRow{ "terminal escape in a name",
                 { "backends" },
                 200,
                 R"({"backends":[{"backend":"\u001b[2J"}]})",
                 ExitCode::Success,
                 "GET /v1/backends",
                 "?[2J",
                 "" },
    ResponseRow{ "no JSON",
                 { "status" },
                 200,
                 "<html>",
                 ExitCode::RequestFailed,
                 "GET /v1/status",
                 "",
                 "bad_answer" },
    ResponseRow{ "no list",
                 { "backends" },
                 200,
                 R"({"backends":7})",
                 ExitCode::RequestFailed,
                 "GET /v1/backends",
                 "",
                 "bad_answer" },
    ResponseRow{ "list of numbers",
                 { "config", "history" },
                 200,
                 R"({"edits":[1]})",
                 ExitCode::RequestFailed,
                 "GET /v1/config/history",
                 "",
                 "bad_answer" },
    ResponseRow{ "failure without an error object",
                 { "drain" },
                 500,
                 "oops",
                 ExitCode::RequestFailed,
                 "POST /v1/drain",
                 "",
                 "bad_answer (outcome_unknown): HTTP status 500" },
    // Only an explicit not_run proves that the request had no effect.
    ResponseRow{ "failure without an outcome",
                 { "members", "remove", "b" },
                 503,
                 R"({"error":{"code":"no_quorum"}})",
                 ExitCode::RequestFailed,
                 "POST /v1/members",
                 "",
                 "no_quorum (outcome_unknown)" }));

// Guards against a site name that corrupts the query string.
TEST(Run, SiteIsEscapedInTheQuery)
{
  ScriptedServer server(RespondWith(404, kNoQuorum));
  static_cast<void>(
    RunCommand({ "config", "show", "a&b c" }, server.Address()));
  ASSERT_EQ(server.Received().size(), 1U);
  EXPECT_EQ(server.Received().front().m_query.at("site"), "a&b c");
}

TEST(Run, ValidationErrorsPreventApply)
{
  const BaseFile file("number = 3\nnone = 1\n");
  ScriptedServer server(RespondWith(200, kAccepted));
  const auto result = RunCommand({ "apply", file.Path() }, server.Address());
  EXPECT_EQ(result.m_exitCode, ExitCode::InvalidInput);
  EXPECT_TRUE(Contains(result.m_errors, "base.toml:2: none: unknown_key"));
  EXPECT_TRUE(server.Received().empty());
  const auto validated =
    RunCommand({ "validate", file.Path() }, "http://[::1]:1");
  EXPECT_EQ(validated.m_exitCode, ExitCode::InvalidInput);
  EXPECT_TRUE(Contains(validated.m_output, "base.toml:2: none: unknown_key"));
}

TEST(Run, TakenNumberIsAConflict)
{
  const BaseFile file;
  ScriptedServer server(RespondWith(
    409,
    R"({"error":{"code":"conflict","message":"taken","outcome":"not_run",)"
    R"("kind":"number_taken","current":4,"detail":"abc"}})"));
  const auto result = RunCommand({ "apply", file.Path() }, server.Address());
  EXPECT_EQ(result.m_exitCode, ExitCode::Conflict);
  EXPECT_TRUE(
    Contains(result.m_errors,
             "conflict: number_taken, current number 4, accepted digest abc"));
}

TEST(Run, RefusedConnectionsCauseFallbackToTheNextTarget)
{
  ScriptedServer server(RespondWith(200, kMembers));
  const std::string refusing = GetRefusingAddress();
  const Arguments arguments{ "members", "remove", "b" };
  EXPECT_EQ(RunCommand(arguments, refusing + "," + server.Address()).m_exitCode,
            ExitCode::Success);
  const auto result = RunCommand(arguments, refusing + "," + refusing);
  EXPECT_EQ(result.m_exitCode, ExitCode::Unreachable);
  EXPECT_TRUE(Contains(result.m_errors, "unreachable (not_run)"));
}

// An isolated instance must not prevent the use of another one with a quorum.
TEST(Run, NotRunRefusalCausesFallbackToTheNextTarget)
{
  ScriptedServer isolated(RespondWith(503, kNoQuorum));
  ScriptedServer server(RespondWith(200, kMembers));
  const auto result = RunCommand({ "members", "remove", "b" },
                                 isolated.Address() + "," + server.Address());
  EXPECT_EQ(result.m_exitCode, ExitCode::Success);
}

// Guards against a membership change that runs twice.
TEST(Run, NonIdempotentRequestIsNotResentAfterALostResponse)
{
  UnresponsiveServer unresponsive;
  ScriptedServer other(RespondWith(200, kMembers));
  auto running = std::async(std::launch::async, [&] {
    return RunCommand({ "members", "add", "b", "10.0.0.1:9" },
                      unresponsive.Address() + "," + other.Address());
  });
  unresponsive.LoseResponse();
  const auto result = running.get();
  EXPECT_EQ(result.m_exitCode, ExitCode::RequestFailed);
  EXPECT_TRUE(Contains(result.m_errors, "answer_lost (outcome_unknown)"));
  EXPECT_TRUE(other.Received().empty());
  EXPECT_EQ(unresponsive.Received().size(), 1U);
}

// Guards against an edit that is accepted twice under different ids.
TEST(Run, EditIsResentWithTheSameIdAfterALostResponse)
{
  const BaseFile file;
  UnresponsiveServer unresponsive;
  ScriptedServer other(RespondWith(200, kAccepted));
  auto running = std::async(std::launch::async, [&] {
    return RunCommand({ "apply", file.Path() },
                      unresponsive.Address() + "," + other.Address());
  });
  unresponsive.LoseResponse();
  EXPECT_EQ(running.get().m_exitCode, ExitCode::Success);
  ASSERT_EQ(other.Received().size(), 1U);
  EXPECT_EQ(other.Received().front().m_body,
            unresponsive.Received().front().m_body);
}

// With a single target, the edit is resent to the same target.
TEST(Run, EditIsResentAfterATruncatedResponse)
{
  const BaseFile file;
  std::atomic<int> calls{ 0 };
  std::shared_ptr<gateway::Responder> kept;
  ScriptedServer server([&](const auto&, auto aResponder) {
    if (calls++ == 0) {
      aResponder->Begin(200, "application/json");
      aResponder->Write(R"({"revision":)");
      kept = std::move(aResponder);
    } else {
      aResponder->Send({ 200, "application/json", kAccepted, {} });
    }
  });
  RunOptions options;
  options.m_requestTimeoutMs = 2000;
  const auto result =
    RunCommand({ "apply", file.Path() }, server.Address(), options);
  kept.reset();
  EXPECT_EQ(result.m_exitCode, ExitCode::Success) << result.m_errors;
  const auto received = server.Received();
  ASSERT_EQ(received.size(), 2U);
  EXPECT_EQ(received[0].m_body, received[1].m_body);
}

// Guards against "not run" for an edit whose first attempt may have run.
TEST(Run, RefusalAfterALostResponseLeavesTheOutcomeUnknown)
{
  const BaseFile file;
  UnresponsiveServer unresponsive;
  ScriptedServer isolated(RespondWith(503, kNoQuorum));
  auto running = std::async(std::launch::async, [&] {
    return RunCommand({ "apply", file.Path() },
                      unresponsive.Address() + "," + isolated.Address());
  });
  unresponsive.LoseResponse();
  const auto result = running.get();
  EXPECT_EQ(result.m_exitCode, ExitCode::RequestFailed);
  EXPECT_TRUE(Contains(result.m_errors, "outcome_unknown"));
  EXPECT_TRUE(Contains(result.m_errors, "same edit id"));
}

std::string MakeInForceBody(const char* aRevisionOfSecond)
{
  return std::string(R"({"newest":7,"instances":[)") +
         R"({"instance":"a","data_centre":"x","revision":8,"alive":true},)" +
         R"({"instance":"b","data_centre":"y","revision":)" +
         aRevisionOfSecond + R"(,"alive":true},)" +
         R"({"instance":"c","data_centre":"y","revision":2,"alive":false}]})";
}

/** Accepts an edit and responds to polls with the given bodies in order; the
 * last one is repeated. */
class InForceServer
{
public:
  explicit InForceServer(std::vector<std::string> aPolls)
    : m_polls(std::move(aPolls))
    , m_server([this](const auto& aRequest, auto aResponder) {
      const bool isEdit = aRequest.m_path == "/v1/config";
      aResponder->Send(
        { 200, "application/json", isEdit ? kAccepted : NextPoll(), {} });
    })
  {
  }
  [[nodiscard]] std::string Address() const { return m_server.Address(); }

private:
  std::string NextPoll()
  {
    const std::size_t index = m_next++;
    return m_polls[std::min(index, m_polls.size() - 1)];
  }

  std::vector<std::string> m_polls;
  std::atomic<std::size_t> m_next{ 0 };
  ScriptedServer m_server;
};

struct WaitRow
{
  const char* m_name;
  std::vector<std::string> m_polls;
  std::int64_t m_timeoutMs;
  ExitCode m_exitCode;
  const char* m_output;
};

void PrintTo(const WaitRow& aRow, std::ostream* aStream)
{
  *aStream << aRow.m_name;
}

class Wait : public testing::TestWithParam<WaitRow>
{};

// Guards against a wait that ends before every live instance has the revision.
TEST_P(Wait, EndsWhenInForceOrTimedOut)
{
  const BaseFile file;
  const auto& row = GetParam();
  const InForceServer server(row.m_polls);
  RunOptions options;
  options.m_wait = true;
  options.m_timeoutMs = row.m_timeoutMs;
  const auto result =
    RunCommand({ "apply", file.Path() }, server.Address(), options);
  EXPECT_EQ(result.m_exitCode, row.m_exitCode) << result.m_errors;
  EXPECT_TRUE(Contains(result.m_output, row.m_output)) << result.m_output;
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  Wait,
  testing::Values(
    WaitRow{
      "in force after two polls; a dead instance is not waited for",
      { MakeInForceBody("null"), MakeInForceBody("6"), MakeInForceBody("7") },
      600000,
      ExitCode::Success,
      "b         y            7         in force\n"
      "c         y            2         down\n" },
    WaitRow{ "a failed poll is repeated",
             { "{}", kNoQuorum, MakeInForceBody("7") },
             600000,
             ExitCode::Success,
             "in force" },
    WaitRow{ "one instance stays behind",
             { MakeInForceBody("6") },
             50,
             ExitCode::WaitTimedOut,
             "b         y            6         pending\n" },
    WaitRow{ "no instance is listed",
             { R"({"newest":7,"instances":[]})" },
             50,
             ExitCode::WaitTimedOut,
             "INSTANCE" },
    WaitRow{ "no poll succeeds", { "{}" }, 50, ExitCode::WaitTimedOut, "" }));

// Guards against paths and tables that do not match those of the daemon.
TEST(Run, ReadsARealDaemonAndDrainsIt)
{
  const test::RunningDaemon daemon;
  const std::string target = daemon.Url("");
  for (const auto& [word, text] :
       std::vector<std::pair<std::string, std::string>>{
         { "status", "instance" },
         { "backends", "BACKEND" },
         { "report", "Not observed" },
         { "drain", "draining  yes" } }) {
    const auto result = RunCommand({ word }, target);
    EXPECT_EQ(result.m_exitCode, ExitCode::Success) << result.m_errors;
    EXPECT_TRUE(Contains(result.m_output, text)) << result.m_output;
  }
}

} // namespace
} // namespace auburntrestle::operator_client
