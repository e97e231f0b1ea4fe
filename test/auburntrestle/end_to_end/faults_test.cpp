#include "auburntrestle/end_to_end/deployment.hpp"
#include "auburntrestle/settings/configuration_file.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <set>

namespace auburntrestle {
namespace {

using test::Deployment;
using test::Process;

constexpr const char* kPrompt =
  R"({"model":"model","prompt":"flat roof","max_tokens":8})";

/** @return the body that applies a configuration file of one site. */
std::string EditBody(std::uint64_t aNumber,
                     int aDelayMs,
                     const std::string& aId)
{
  const settings::ConfigurationFile text{
    "lisboa.toml",
    "number = " + std::to_string(aNumber) +
      "\nsite = \"lisboa\"\n[hedging]\ndelay_ms = " + std::to_string(aDelayMs) +
      "\n"
  };
  const auto file =
    settings::ParsedConfigurationFile::Parse(text, settings::FileRole::Overlay)
      .value();
  return nlohmann::json{
    { "site", "lisboa" },
    { "number", aNumber },
    { "digest", file.ContentDigest().Get() },
    { "text", file.CanonicalText() },
    { "edit", aId }
  }.dump();
}

/** Waits until all instances have a revision in force. */
void AwaitInForce(Deployment& aDeployment, int aNumber, std::uint64_t aRevision)
{
  while (true) {
    const auto force = nlohmann::json::parse(
      aDeployment.Caller()
        .Get(aDeployment.Url(aNumber) + "/v1/config/force")
        .m_body);
    std::size_t reached = 0;
    for (const auto& instance : force["instances"]) {
      reached += instance["revision"] >= aRevision ? 1 : 0;
    }
    if (reached == Deployment::kInstances) {
      return;
    }
    std::this_thread::yield();
  }
}

// Guards against a batch that is lost, repeated, stale or incomplete when the
// ledger leader, which coordinates the trainer, is killed during a step.
TEST(EndToEnd, TrainerReceivesEachSampleOnceWhenTheLeaderIsKilled)
{
  Deployment deployment;
  std::vector<Process> engines;
  for (int number = 1; number <= Deployment::kInstances; ++number) {
    engines.push_back(
      deployment.StartEngine(number, "a" + std::to_string(number)));
    engines.push_back(
      deployment.StartEngine(number, "b" + std::to_string(number)));
    deployment.AwaitServed(number, "/v1/completions", kPrompt);
  }
  auto trainer = deployment.StartTool("fake_trainer",
                                      "trainer",
                                      { "--target",
                                        deployment.AllUrls(),
                                        "--steps",
                                        "6",
                                        "--groups",
                                        "3",
                                        "--samples",
                                        "3",
                                        "--train_ms",
                                        "200" });
  trainer.WaitFor("batch cursor=2");
  deployment.Kill(deployment.Leader(1));
  EXPECT_EQ(trainer.Wait(), 0) << trainer.Output();
  EXPECT_NE(trainer.Output().find("samples=54"), std::string::npos)
    << trainer.Output();
}

// Guards against accepted edits that are lost or reverted when the leader is
// killed, and when a second member is killed right after the first recovered.
TEST(EndToEnd, AcceptedEditsSurviveALossRightAfterARepair)
{
  Deployment deployment;
  auto& caller = deployment.Caller();
  const auto apply = [&](int aNumber, std::uint64_t aEdit) {
    const auto response = caller.Post(
      deployment.Url(aNumber) + "/v1/config",
      EditBody(
        aEdit, static_cast<int>(100 + aEdit), "edit-" + std::to_string(aEdit)));
    return response.Status();
  };
  ASSERT_EQ(apply(1, 1), 200);
  AwaitInForce(deployment, 1, 1);
  const int first = deployment.Leader(1);
  const int second = first == 1 ? 2 : 1;
  const int third = 6 - first - second;
  deployment.Kill(first);
  while (apply(second, 2) != 200) {
    std::this_thread::yield();
  }
  deployment.Start(first, false);
  deployment.AwaitReady(first);
  deployment.Kill(second);
  while (apply(first, 3) != 200) {
    std::this_thread::yield();
  }
  const auto history = nlohmann::json::parse(
    caller.Get(deployment.Url(third) + "/v1/config/history").m_body);
  std::set<std::uint64_t> numbers;
  for (const auto& edit : history["edits"]) {
    numbers.insert(edit["number"].get<std::uint64_t>());
  }
  EXPECT_TRUE(numbers.contains(1) && numbers.contains(2)) << history.dump();
  deployment.Start(second, false);
  AwaitInForce(deployment, first, 3);
}

// Guards against two operators who both believe that their edit was accepted,
// and against a resent edit that is refused or applied twice.
TEST(EndToEnd, OneOfTwoEditsWithEqualNumberIsAccepted)
{
  Deployment deployment;
  auto& caller = deployment.Caller();
  const auto url = [&](int aNumber) {
    return deployment.Url(aNumber) + "/v1/config";
  };
  const auto one = caller.Post(url(1), EditBody(1, 110, "one"));
  ASSERT_EQ(one.Status(), 200) << one.m_body;
  const auto two = caller.Post(url(2), EditBody(1, 120, "two"));
  EXPECT_EQ(two.Status(), 409);
  EXPECT_EQ(nlohmann::json::parse(two.m_body)["error"]["kind"], "number_taken");
  const auto again = caller.Post(url(3), EditBody(1, 110, "one"));
  EXPECT_EQ(again.Status(), 200);
  EXPECT_EQ(nlohmann::json::parse(again.m_body),
            nlohmann::json::parse(one.m_body));
}

// Guards against a non-idempotent call that runs again when it is resent with
// its key through other instances.
TEST(EndToEnd, ResentNonIdempotentCallRunsOnce)
{
  Deployment deployment;
  auto service = deployment.StartTool("fake_service",
                                      "service",
                                      { "--announce",
                                        deployment.Url(2),
                                        "--id",
                                        "s1",
                                        "--data_centre",
                                        "dc2",
                                        "--service",
                                        "polish" });
  auto& caller = deployment.Caller();
  std::set<std::string> bodies;
  for (int number = 1; number <= Deployment::kInstances; ++number) {
    deployment.AwaitServed(number, "/v1/services/polish/ping", "{}");
    const auto response =
      caller.Post(deployment.Url(number) + "/v1/services/polish/plaque",
                  R"({"plaque":7})",
                  { { "X-Non-Idempotent", "true" },
                    { "Idempotency-Key", "plaque-7" },
                    { "X-Caller", "desk" } });
    EXPECT_EQ(response.Status(), 200) << response.m_body;
    bodies.insert(response.m_body);
  }
  EXPECT_EQ(bodies.size(), 1U);
  const auto calls = nlohmann::json::parse(
    caller.Get("http://127.0.0.1:" + service.Port() + "/fake/calls").m_body);
  EXPECT_EQ(calls["calls"]["plaque-7"]["started"], 1);
}

// Guards against an instance without a disk that finds no ledger member through
// its seed, and so never becomes ready or never learns who the leader is.
TEST(EndToEnd, EntryInstanceWithASeedTakesPart)
{
  Deployment deployment;
  deployment.StartEntryInstance(4);
  auto& caller = deployment.Caller();
  const auto applied = caller.Post(deployment.Url(4) + "/v1/config",
                                   EditBody(1, 130, "through-entry"));
  ASSERT_EQ(applied.Status(), 200) << applied.m_body;
  const std::string revision = "\"revision\":1";
  while (caller.Get(deployment.Url(4) + "/v1/config").m_body.find(revision) ==
         std::string::npos) {
    std::this_thread::yield();
  }
  const auto step = R"({"step":1,"model":"model","groups":[{"prompt":"p"}]})";
  int status = 503;
  while (status == 503) {
    status =
      caller.Post(deployment.Url(4) + "/v1/trainers/t/steps", step).Status();
  }
  EXPECT_EQ(status, 201);
}

// Guards against an incomplete response when an engine crashes in mid-stream.
TEST(EndToEnd, StreamIsWholeWhenItsEngineIsKilled)
{
  Deployment deployment;
  std::map<std::string, Process> engines;
  for (const auto* name : { "a1", "b1" }) {
    engines.emplace(name, deployment.StartEngine(1, name));
  }
  deployment.AwaitServed(1, "/v1/completions", kPrompt);
  auto& caller = deployment.Caller();
  const std::string prompt =
    R"({"model":"model","prompt":"long","max_tokens":4000})";
  const auto expected =
    caller.Post(deployment.Url(1) + "/v1/completions", prompt);
  ASSERT_EQ(expected.Status(), 200);
  auto response = std::async(std::launch::async, [&] {
    test::HttpCaller own;
    return own.Post(deployment.Url(1) + "/v1/completions", prompt);
  });
  // Find the engine that serves the request, in order to kill it.
  std::string busy;
  const auto running = [&] {
    return response.wait_for(std::chrono::seconds(0)) ==
           std::future_status::timeout;
  };
  while (busy.empty() && running()) {
    const auto backends = nlohmann::json::parse(
      caller.Get(deployment.Url(1) + "/v1/backends").m_body);
    for (const auto& backend : backends["backends"]) {
      if (backend["in_flight"] > 0) {
        busy = backend["backend"].get<std::string>();
      }
    }
  }
  ASSERT_FALSE(busy.empty()) << "the answer ended before the engine was seen";
  engines.at(busy).Kill();
  const auto received = response.get();
  ASSERT_EQ(received.Status(), 200) << received.m_body;
  EXPECT_EQ(nlohmann::json::parse(received.m_body)["choices"],
            nlohmann::json::parse(expected.m_body)["choices"]);
}

// Guards against a refused `members add` for a member that asked to join: only
// the leader knows the incarnation of the new member.
TEST(EndToEnd, OperatorAddsAMemberThatAskedToJoin)
{
  constexpr int kNewMember = 4;
  Deployment deployment;
  int calls = 0;
  const auto add = [&] {
    const int leader = deployment.Leader(1);
    auto tool = deployment.StartTool("trestlectl",
                                     "add" + std::to_string(++calls),
                                     { "--target=" + deployment.Url(leader),
                                       "members",
                                       "add",
                                       "i4",
                                       Deployment::PeerAddress(kNewMember) });
    const int code = tool.Wait();
    return std::pair(code, tool.Output());
  };
  const auto refused = add();
  EXPECT_NE(refused.first, 0);
  EXPECT_NE(refused.second.find("not_joining"), std::string::npos)
    << refused.second;
  deployment.StartJoiningMember(kNewMember);
  auto added = add();
  while (added.second.find("not_joining") != std::string::npos) {
    added = add();
  }
  EXPECT_EQ(added.first, 0) << added.second;
  EXPECT_NE(added.second.find("learner"), std::string::npos) << added.second;
}

} // namespace
} // namespace auburntrestle
