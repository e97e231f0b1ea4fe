#include "auburntrestle/backend/event_stream.hpp"
#include "support/running_daemon.hpp"
#include "support/scripted_server.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace auburntrestle {
namespace {

using test::EndEvents;
using test::HttpCaller;
using test::RunningDaemon;
using test::ScriptedServer;
using test::TokenEvent;

void SendCompletion(gateway::Responder& aResponder, std::size_t aFirst)
{
  aResponder.Begin(200, "text/event-stream");
  const std::vector<std::string> tokens{ "a ", "b ", "c ", "d " };
  for (std::size_t index = aFirst; index < tokens.size(); ++index) {
    aResponder.Write(TokenEvent(tokens[index], index, 1));
  }
  aResponder.Write(EndEvents());
  aResponder.End();
}

std::size_t ResumeTokensOf(const gateway::HttpRequest& aRequest)
{
  const auto body = nlohmann::json::parse(aRequest.m_body);
  return body.contains("resume") ? body["resume"]["tokens"].get<std::size_t>()
                                 : 0;
}

struct BadRequestRow
{
  const char* m_name;
  std::string m_method;
  std::string m_path;
  std::string m_body;
  std::vector<std::pair<std::string, std::string>> m_headers;
  int m_status;
  const char* m_code;
};

void PrintTo(const BadRequestRow& aRow, std::ostream* aStream)
{
  *aStream << aRow.m_name;
}

std::vector<BadRequestRow> BadRequests()
{
  const std::string big(std::size_t{ 17 } << 20U, 'x');
  return {
    { "malformed", "POST", "/v1/completions", "{", {}, 400, "bad_request" },
    { "array", "POST", "/v1/completions", "[1]", {}, 400, "bad_request" },
    { "wrong_type",
      "POST",
      "/v1/completions",
      R"({"model":1,"prompt":"p"})",
      {},
      400,
      "bad_request" },
    { "no_prompt",
      "POST",
      "/v1/completions",
      R"({"model":"m"})",
      {},
      400,
      "bad_request" },
    { "zero_tokens",
      "POST",
      "/v1/completions",
      R"({"model":"m","prompt":"p","max_tokens":0})",
      {},
      400,
      "bad_request" },
    { "several_answers",
      "POST",
      "/v1/completions",
      R"({"model":"m","prompt":"p","n":2})",
      {},
      400,
      "bad_request" },
    { "unknown_model",
      "POST",
      "/v1/completions",
      R"({"model":"x","prompt":"p"})",
      {},
      404,
      "unknown_model" },
    { "unknown_service",
      "POST",
      "/v1/services/x/y",
      "{}",
      {},
      404,
      "unknown_service" },
    { "method", "GET", "/v1/completions", "", {}, 405, "method_not_allowed" },
    { "path", "GET", "/v1/nothing", "", {}, 404, "not_found" },
    { "large_body", "POST", "/v1/completions", big, {}, 413, "body_too_large" },
    { "large_header",
      "GET",
      "/v1/status",
      "",
      { { "X-Big", std::string(std::size_t{ 40 } << 10U, 'x') } },
      431,
      "headers_too_large" },
    { "announcement",
      "POST",
      "/v1/backends/announce",
      R"({"backend":"b"})",
      {},
      400,
      "bad_request" },
    { "cursor_zero",
      "GET",
      "/v1/trainers/t/batches/0",
      "",
      {},
      400,
      "bad_request" },
    { "cursor_text",
      "GET",
      "/v1/trainers/t/batches/x",
      "",
      {},
      400,
      "bad_request" },
    { "wait",
      "GET",
      "/v1/trainers/t/batches/1?wait_ms=-1",
      "",
      {},
      400,
      "bad_request" },
    { "empty_step",
      "POST",
      "/v1/trainers/t/steps",
      R"({"step":1,"model":"m","groups":[]})",
      {},
      400,
      "bad_request" },
    { "version_zero",
      "POST",
      "/v1/trainers/t/versions",
      R"({"model":"m","version":0})",
      {},
      400,
      "bad_request" },
  };
}

class BadRequestTest : public testing::TestWithParam<BadRequestRow>
{};

// Guards against bad input that crashes the process or gets a response without
// an error code or without the outcome of the work.
TEST_P(BadRequestTest, GetsATypedRefusal)
{
  RunningDaemon daemon;
  HttpCaller caller;
  backend::HttpCall call;
  call.m_method = GetParam().m_method;
  call.m_url = daemon.Url(GetParam().m_path);
  call.m_body = GetParam().m_body;
  call.m_headers = GetParam().m_headers;
  const auto response = caller.Call(call);
  EXPECT_EQ(response.Status(), GetParam().m_status);
  const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
  ASSERT_TRUE(body.is_object()) << response.m_body;
  EXPECT_EQ(body["error"]["code"], GetParam().m_code);
  EXPECT_EQ(body["error"]["outcome"], "not_run");
  EXPECT_EQ(caller.Get(daemon.Url("/healthz")).Status(), 200);
}

INSTANTIATE_TEST_SUITE_P(Rows,
                         BadRequestTest,
                         testing::ValuesIn(BadRequests()),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.m_name);
                         });

constexpr const char* kPrompt = R"({"model":"m","prompt":"p","max_tokens":8)";

// Guards against a response that is truncated, reordered or not marked as
// complete.
TEST(Completion, CompleteAndStreamedResponsesAgree)
{
  ScriptedServer engine([](const auto& aRequest, auto aResponder) {
    SendCompletion(*aResponder, ResumeTokensOf(aRequest));
  });
  RunningDaemon daemon;
  HttpCaller caller;
  ASSERT_EQ(daemon.AnnounceEngine(caller, "e1", engine.Address()).Status(),
            200);
  const auto complete =
    caller.Post(daemon.Url("/v1/completions"), std::string(kPrompt) + "}");
  ASSERT_EQ(complete.Status(), 200) << complete.m_body;
  const auto body = nlohmann::json::parse(complete.m_body);
  EXPECT_EQ(body["choices"][0]["text"], "a b c d ");
  EXPECT_EQ(body["trail"][0]["version"], 1);
  const auto streamed = caller.Post(
    daemon.Url("/v1/completions"), std::string(kPrompt) + R"(,"stream":true})");
  std::string text;
  backend::EventStreamParser parser;
  const auto events = parser.Feed(streamed.m_body);
  ASSERT_FALSE(events.empty());
  EXPECT_EQ(events.back(), "[DONE]");
  for (const auto& event : events) {
    const auto json = nlohmann::json::parse(event, nullptr, false);
    if (json.is_object()) {
      text += json["choices"][0]["text"].get<std::string>();
    }
  }
  EXPECT_EQ(text, "a b c d ");
}

/** How the engine fails the first attempt. */
enum class EngineFault : std::uint8_t
{
  ClosesBeforeResponse,
  RefusesWithProof,
  CutsMidStream,
  EndsWithoutMarker,
  MalformedEvent,
  SkipsAToken,
  ServerError,
};

struct FaultRow
{
  const char* m_name;
  EngineFault m_fault;
};

class EngineFaultTest : public testing::TestWithParam<FaultRow>
{};

// Guards against a caller that receives a part of the text, or a token twice,
// when an engine fails at any point of its response.
TEST_P(EngineFaultTest, CallerReceivesTheCompleteText)
{
  std::atomic<bool> failed{ false };
  ScriptedServer engine([&](const auto& aRequest, auto aResponder) {
    if (failed.exchange(true)) {
      SendCompletion(*aResponder, ResumeTokensOf(aRequest));
      return;
    }
    gateway::HttpResponse refusal;
    switch (GetParam().m_fault) {
      case EngineFault::ClosesBeforeResponse:
        refusal.m_status = 200;
        refusal.m_contentType = "text/event-stream";
        aResponder->Send(std::move(refusal));
        break;
      case EngineFault::RefusesWithProof:
        refusal.m_status = 503;
        refusal.m_headers.emplace_back("X-Not-Run", "true");
        aResponder->Send(std::move(refusal));
        break;
      case EngineFault::ServerError:
        refusal.m_status = 500;
        aResponder->Send(std::move(refusal));
        break;
      case EngineFault::CutsMidStream:
      case EngineFault::EndsWithoutMarker:
        aResponder->Begin(200, "text/event-stream");
        aResponder->Write(TokenEvent("a ", 0, 1) + TokenEvent("b ", 1, 1));
        aResponder->End();
        break;
      case EngineFault::MalformedEvent:
        aResponder->Begin(200, "text/event-stream");
        aResponder->Write(TokenEvent("a ", 0, 1) + "data: {oops\n\n");
        aResponder->End();
        break;
      case EngineFault::SkipsAToken:
        aResponder->Begin(200, "text/event-stream");
        aResponder->Write(TokenEvent("a ", 0, 1) + TokenEvent("c ", 2, 1));
        aResponder->End();
        break;
    }
  });
  RunningDaemon daemon;
  HttpCaller caller;
  std::ignore = daemon.AnnounceEngine(caller, "e1", engine.Address());
  std::ignore = daemon.AnnounceEngine(caller, "e2", engine.Address());
  const auto response =
    caller.Post(daemon.Url("/v1/completions"), std::string(kPrompt) + "}");
  ASSERT_EQ(response.Status(), 200) << response.m_body;
  EXPECT_EQ(nlohmann::json::parse(response.m_body)["choices"][0]["text"],
            "a b c d ");
  EXPECT_EQ(engine.Received().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  EngineFaultTest,
  testing::Values(FaultRow{ "closes", EngineFault::ClosesBeforeResponse },
                  FaultRow{ "refuses", EngineFault::RefusesWithProof },
                  FaultRow{ "error", EngineFault::ServerError },
                  FaultRow{ "cuts", EngineFault::CutsMidStream },
                  FaultRow{ "no_marker", EngineFault::EndsWithoutMarker },
                  FaultRow{ "malformed", EngineFault::MalformedEvent },
                  FaultRow{ "skips", EngineFault::SkipsAToken }),
  [](const auto& aInfo) { return std::string(aInfo.param.m_name); });

// Guards against an engine that continues to generate after the caller has
// disconnected.
TEST(Completion, ClosedCallerCancelsTheEngine)
{
  std::promise<void> started;
  std::promise<void> closed;
  std::shared_ptr<gateway::Responder> held;
  ScriptedServer engine([&](const auto&, auto aResponder) {
    held = aResponder;
    aResponder->OnClosed([&] { closed.set_value(); });
    aResponder->Begin(200, "text/event-stream");
    aResponder->Write(TokenEvent("a ", 0, 1));
    started.set_value();
  });
  RunningDaemon daemon;
  HttpCaller caller;
  std::ignore = daemon.AnnounceEngine(caller, "e1", engine.Address());
  backend::HttpCall call;
  call.m_url = daemon.Url("/v1/completions");
  call.m_body = std::string(kPrompt) + R"(,"stream":true})";
  const auto id = caller.Client().Start(call, {});
  started.get_future().wait();
  caller.Client().Cancel(id);
  closed.get_future().wait();
}

// Guards against a graceful shutdown that aborts a stream in progress or
// accepts new requests.
TEST(Drain, FinishesStreamsAndRefusesNewRequests)
{
  std::promise<void> started;
  std::promise<void> release;
  std::thread writer;
  ScriptedServer engine([&](const auto&, auto aResponder) {
    aResponder->Begin(200, "text/event-stream");
    aResponder->Write(TokenEvent("a ", 0, 1));
    started.set_value();
    writer = std::thread([aResponder, &release] {
      release.get_future().wait();
      aResponder->Write(TokenEvent("b ", 1, 1) + EndEvents());
      aResponder->End();
    });
  });
  RunningDaemon daemon;
  HttpCaller caller;
  std::ignore = daemon.AnnounceEngine(caller, "e1", engine.Address());
  auto pending = std::async(std::launch::async, [&] {
    HttpCaller own;
    return own.Post(daemon.Url("/v1/completions"), std::string(kPrompt) + "}");
  });
  started.get_future().wait();
  EXPECT_EQ(caller.Post(daemon.Url("/v1/drain"), "").Status(), 202);
  const auto refused =
    caller.Post(daemon.Url("/v1/completions"), std::string(kPrompt) + "}");
  EXPECT_EQ(refused.Status(), 503);
  EXPECT_EQ(nlohmann::json::parse(refused.m_body)["error"]["code"], "draining");
  EXPECT_EQ(caller.Get(daemon.Url("/readyz")).Status(), 503);
  release.set_value();
  const auto response = pending.get();
  writer.join();
  ASSERT_EQ(response.Status(), 200);
  EXPECT_EQ(nlohmann::json::parse(response.m_body)["choices"][0]["text"],
            "a b ");
}

} // namespace
} // namespace auburntrestle
