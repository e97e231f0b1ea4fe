#include "auburntrestle/http/raw_peer.hpp"
#include "auburntrestle/http/server.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::http {
namespace {

using test::ConnectTo;
using test::ConnectWithoutReading;
using test::RunUntil;

std::size_t CountOccurrences(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

class ServerTest : public testing::Test
{
protected:
  void Listen(RequestHandler aHandler)
  {
    m_server =
      std::move(*Server::Listen(m_loop, "127.0.0.1:0", std::move(aHandler)));
  }

  void ListenWithEcho()
  {
    Listen([](const std::shared_ptr<Exchange>& aExchange) {
      Response response;
      response.m_body =
        aExchange->GetRequest().m_target + aExchange->GetRequest().m_body;
      aExchange->Respond(response);
    });
  }

  event_loop::EventLoop m_loop;
  std::unique_ptr<Server> m_server;
};

struct RequestCase
{
  std::string m_name;
  std::string m_bytes;
  /** Parts of the responses, in order. */
  std::vector<std::string> m_responseParts;
  bool m_closed = false;
};

class RequestTest
  : public ServerTest
  , public testing::WithParamInterface<RequestCase>
{};

TEST_P(RequestTest, GetsItsResponse)
{
  ListenWithEcho();
  ServerLimits limits;
  limits.m_headerBytes = 200;
  limits.m_bodyBytes = 100;
  m_server->SetLimits(limits);
  const auto peer = ConnectTo(m_loop, m_server->Port());
  peer->Send(GetParam().m_bytes);
  const auto& last = GetParam().m_responseParts.back();
  RunUntil(m_loop,
           [&] { return peer->Received().find(last) != std::string::npos; });
  std::size_t at = 0;
  for (const auto& part : GetParam().m_responseParts) {
    at = peer->Received().find(part, at);
    ASSERT_NE(at, std::string::npos) << part << " in " << peer->Received();
  }
  if (GetParam().m_closed) {
    RunUntil(m_loop, [&] { return peer->IsClosed(); });
  }
}

INSTANTIATE_TEST_SUITE_P(
  Requests,
  RequestTest,
  testing::Values(
    RequestCase{ "plain",
                 "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
                 { "200 OK", "\r\n\r\n/a" } },
    RequestCase{ "body",
                 "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyz",
                 { "200 OK", "/axyz" } },
    RequestCase{ "chunks",
                 "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "1\r\nx\r\n2\r\nyz\r\n0\r\n\r\n",
                 { "200 OK", "/axyz" } },
    RequestCase{ "pipelined",
                 "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                 { "\r\n\r\n/a", "\r\n\r\n/b" } },
    RequestCase{ "asks_to_close",
                 "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
                 { "Connection: close", "/a" },
                 true },
    RequestCase{ "large_header",
                 "GET /a HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n",
                 { "431" },
                 true },
    RequestCase{ "large_body",
                 "POST /a HTTP/1.1\r\nContent-Length: 200\r\n\r\n" +
                   std::string(200, 'x'),
                 { "413" },
                 true },
    RequestCase{ "malformed", "nonsense\r\n\r\n", { "400" }, true },
    // Guards against request smuggling: a second request hidden in the body
    // of the first.
    RequestCase{ "two_lengths",
                 "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b",
                 { "400" },
                 true }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

struct BodyCase
{
  std::string m_name;
  /** The framing field of the second request. */
  std::string m_field;
  std::string m_body;
  std::string m_status;
};

class TotalBodyTest
  : public ServerTest
  , public testing::WithParamInterface<BodyCase>
{
protected:
  static constexpr std::size_t kLarge = std::size_t{ 100 } * 1024;
};

// Guards against several large requests at a time that fill the memory, though
// each is within the limit of one.
TEST_P(TotalBodyTest, RefusesALargeRequestWhileThereIsNoRoom)
{
  std::vector<std::shared_ptr<Exchange>> exchanges;
  Listen([&](const std::shared_ptr<Exchange>& aExchange) {
    exchanges.push_back(aExchange);
  });
  ServerLimits limits;
  limits.m_totalBodyBytes = kLarge + kLarge / 2;
  m_server->SetLimits(limits);
  const auto first = ConnectTo(m_loop, m_server->Port());
  first->Send("POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(kLarge) +
              "\r\n\r\n" + std::string(kLarge, 'x'));
  RunUntil(m_loop, [&] { return exchanges.size() == 1; });

  const auto second = ConnectTo(m_loop, m_server->Port());
  second->Send("POST /b HTTP/1.1\r\n" + GetParam().m_field + "\r\n\r\n" +
               GetParam().m_body);
  RunUntil(m_loop, [&] {
    if (exchanges.size() == 2) {
      exchanges.back()->Respond(Response{});
    }
    return !second->Received().empty();
  });
  EXPECT_NE(second->Received().find(GetParam().m_status), std::string::npos)
    << second->Received();

  // There is room again once the first request is answered.
  exchanges.front()->Respond(Response{});
  const auto third = ConnectTo(m_loop, m_server->Port());
  third->Send("POST /c HTTP/1.1\r\nContent-Length: " + std::to_string(kLarge) +
              "\r\n\r\n" + std::string(kLarge, 'x'));
  RunUntil(m_loop, [&] {
    return exchanges.back()->GetRequest().m_target == "/c" ||
           !third->Received().empty();
  });
  EXPECT_EQ(third->Received(), "");
}

INSTANTIATE_TEST_SUITE_P(
  Bodies,
  TotalBodyTest,
  testing::Values(BodyCase{ "announced", "Content-Length: 100000", "", "503" },
                  BodyCase{ "chunks",
                            "Transfer-Encoding: chunked",
                            "18000\r\n" + std::string(0x18000, 'x') +
                              "\r\n0\r\n\r\n",
                            "503" },
                  BodyCase{ "small", "Content-Length: 3", "xyz", "200 OK" },
                  BodyCase{ "none", "Name: value", "", "200 OK" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a refusal of the body limit that comes only after the body.
TEST_F(ServerTest, ATooLargeBodyIsRefusedBeforeItArrives)
{
  ListenWithEcho();
  const auto peer = ConnectTo(m_loop, m_server->Port());
  peer->Send("POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
  RunUntil(m_loop, [&] { return !peer->Received().empty(); });
  EXPECT_NE(peer->Received().find("413"), std::string::npos);
}

struct PipelineCase
{
  std::string m_name;
  std::size_t m_firstBytes = 0;
  /** Time before the client begins to read. */
  Duration m_pause{};
  /** The client closes after this many bytes; absent to read everything. */
  std::optional<std::size_t> m_closesAfter = std::nullopt;
  std::size_t m_furtherRequests = 3;
};

class PipelineTest
  : public ServerTest
  , public testing::WithParamInterface<PipelineCase>
{
protected:
  static Response ResponseFor(const std::string& aTarget)
  {
    Response response;
    response.m_body = aTarget == "/first"
                        ? std::string(GetParam().m_firstBytes, 'x')
                        : "answer to " + aTarget;
    return response;
  }

  static std::string Get(const std::string& aTarget)
  {
    return "GET " + aTarget + " HTTP/1.1\r\n\r\n";
  }
};

// Guards against a request that arrives while the answer before it is sent: its
// own answer took the place of the bytes being sent, which were freed.
TEST_P(PipelineTest, AnswersFollowEachOtherWhole)
{
  std::size_t handled = 0;
  Listen([&](const std::shared_ptr<Exchange>& aExchange) {
    ++handled;
    aExchange->Respond(ResponseFor(aExchange->GetRequest().m_target));
  });
  const auto peer = ConnectWithoutReading(m_loop, m_server->Port());
  peer->Send(Get("/first"));
  RunUntil(m_loop, [&] { return handled == 1; });
  std::string expected = Serialise(ResponseFor("/first"), false);
  for (std::size_t count = 0; count < GetParam().m_furtherRequests; ++count) {
    const std::string target = "/next-" + std::to_string(count);
    peer->Send(Get(target));
    expected += Serialise(ResponseFor(target), false);
  }
  bool paused = false;
  m_loop.After(GetParam().m_pause, [&paused] { paused = true; });
  RunUntil(m_loop, [&paused] { return paused; });
  peer->Read();
  if (GetParam().m_closesAfter) {
    RunUntil(m_loop, [&] {
      return peer->Received().size() >= *GetParam().m_closesAfter;
    });
    peer->Close();
    RunUntil(m_loop, [&] { return m_server->Connections() == 0; });
  } else {
    RunUntil(m_loop,
             [&] { return peer->Received().size() >= expected.size(); });
    EXPECT_TRUE(peer->Received() == expected);
  }
  EXPECT_EQ(m_server->ActiveExchanges(), 0U);
}

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

INSTANTIATE_TEST_SUITE_P(
  Answers,
  PipelineTest,
  testing::Values(PipelineCase{ .m_name = "small", .m_firstBytes = 1024 },
                  PipelineCase{ .m_name = "large", .m_firstBytes = kMebibyte },
                  PipelineCase{ .m_name = "very_large",
                                .m_firstBytes = 16 * kMebibyte },
                  PipelineCase{ .m_name = "slow_reader",
                                .m_firstBytes = 16 * kMebibyte,
                                .m_pause = std::chrono::seconds(1) },
                  PipelineCase{ .m_name = "many_requests",
                                .m_firstBytes = 16 * kMebibyte,
                                .m_furtherRequests = 5000 },
                  PipelineCase{ .m_name = "closes_halfway",
                                .m_firstBytes = 16 * kMebibyte,
                                .m_closesAfter = kMebibyte }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against an interim response whose bytes mix with those of the answer.
TEST_F(ServerTest, AnAnswerFollowsItsInterimResponse)
{
  ListenWithEcho();
  const auto peer = ConnectTo(m_loop, m_server->Port());
  peer->Send("POST /a HTTP/1.1\r\nExpect: 100-continue\r\n"
             "Content-Length: 3\r\n\r\n");
  RunUntil(m_loop, [&] { return !peer->Received().empty(); });
  peer->Send("xyz");
  Response answer;
  answer.m_body = "/axyz";
  const auto expected =
    "HTTP/1.1 100 Continue\r\n\r\n" + Serialise(answer, false);
  RunUntil(m_loop, [&] { return peer->Received().size() >= expected.size(); });
  EXPECT_EQ(peer->Received(), expected);
}

TEST_F(ServerTest, ReportsAClientThatDisconnectsBeforeItsResponse)
{
  bool disconnected = false;
  std::shared_ptr<Exchange> held;
  Listen([&](const std::shared_ptr<Exchange>& aExchange) {
    aExchange->OnClosed([&] { disconnected = true; });
    held = aExchange;
  });
  const auto peer = ConnectTo(m_loop, m_server->Port());
  peer->Send("GET /a HTTP/1.1\r\n\r\n");
  RunUntil(m_loop, [&] { return held != nullptr; });
  EXPECT_EQ(m_server->ActiveExchanges(), 1U);
  peer->Close();
  RunUntil(m_loop, [&] { return disconnected; });
  EXPECT_EQ(m_server->ActiveExchanges(), 0U);
  held->Respond(Response{});
}

TEST_F(ServerTest, DrainFinishesActiveExchangesAndClosesIdleConnections)
{
  std::shared_ptr<Exchange> held;
  Listen([&](const std::shared_ptr<Exchange>& aExchange) { held = aExchange; });
  const auto busy = ConnectTo(m_loop, m_server->Port());
  const auto idle = ConnectTo(m_loop, m_server->Port());
  busy->Send("GET /a HTTP/1.1\r\n\r\n");
  RunUntil(m_loop,
           [&] { return held != nullptr && m_server->Connections() == 2; });
  m_server->Drain(std::chrono::milliseconds(10));
  RunUntil(m_loop, [&] { return idle->IsClosed(); });
  held->Respond(Response{});
  RunUntil(m_loop, [&] { return busy->IsClosed(); });
  EXPECT_EQ(CountOccurrences(busy->Received(), "200 OK"), 1U);
  EXPECT_EQ(CountOccurrences(busy->Received(), "Connection: close"), 1U);
}

// Guards against a process that exits while it sends an answer, because it has
// no request left.
TEST_F(ServerTest, ARequestIsActiveUntilItsAnswerIsSent)
{
  constexpr std::size_t kAnswerBytes = 16 * kMebibyte;
  std::shared_ptr<Exchange> held;
  Listen([&](const std::shared_ptr<Exchange>& aExchange) { held = aExchange; });
  const auto peer = ConnectWithoutReading(m_loop, m_server->Port());
  peer->Send("GET /a HTTP/1.1\r\n\r\n");
  RunUntil(m_loop, [&] { return held != nullptr; });
  m_server->Drain(std::chrono::milliseconds(10));
  Response response;
  response.m_body = std::string(kAnswerBytes, 'x');
  held->Respond(response);
  bool waited = false;
  m_loop.After(std::chrono::milliseconds(50), [&waited] { waited = true; });
  RunUntil(m_loop, [&waited] { return waited; });
  EXPECT_EQ(m_server->ActiveExchanges(), 1U);
  peer->Read();
  RunUntil(m_loop, [&] { return peer->IsClosed(); });
  EXPECT_TRUE(peer->Received() == Serialise(response, true));
  peer->Close();
  RunUntil(m_loop, [&] { return m_server->ActiveExchanges() == 0; });
}

TEST_F(ServerTest, DisconnectsASlowClient)
{
  ListenWithEcho();
  ServerLimits limits;
  limits.m_headerTimeout = std::chrono::milliseconds(30);
  m_server->SetLimits(limits);
  const auto peer = ConnectTo(m_loop, m_server->Port());
  peer->Send("GET /a HT");
  RunUntil(m_loop, [&] { return peer->IsClosed(); });
  EXPECT_TRUE(peer->Received().empty());
}

TEST_F(ServerTest, AnAddressInUseIsAnError)
{
  ListenWithEcho();
  const auto second =
    Server::Listen(m_loop, "127.0.0.1:" + std::to_string(m_server->Port()), {});
  ASSERT_FALSE(second);
  EXPECT_FALSE(second.error().m_reason.empty());
  EXPECT_FALSE(Server::Listen(m_loop, "nowhere", {}));
}

} // namespace
} // namespace auburntrestle::http
