#include "auburntrestle/http/raw_peer.hpp"
#include "auburntrestle/http/server.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::http {
namespace {

using test::ConnectTo;
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
