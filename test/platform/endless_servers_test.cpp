#include "auburntrestle/http/raw_peer.hpp"
#include "platform/engine_documents.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::platform::test {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

/** What a server in trouble sends to each request: a start, and then the same
 * bytes again and again. */
struct EndlessCase
{
  std::string m_name;
  std::string m_start;
  std::string m_repeated;
};

/** A small deployment with two servers that send without end: one for short
 * requests, and one that is the only engine. */
class EndlessServersTest
  : public SmallDeployment
  , public testing::TestWithParam<EndlessCase>
{
protected:
  static constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;

  static std::function<void(RawPeer&)> MakeScript()
  {
    std::string piece;
    while (piece.size() < kPieceBytes) {
      piece += GetParam().m_repeated;
    }
    return [piece](RawPeer& aPeer) {
      if (AsksForReport(aPeer.Received())) {
        aPeer.Send(ReportResponse());
        return;
      }
      aPeer.Send(GetParam().m_start);
      aPeer.SendForever(piece);
    };
  }

  /** @return whether the engine got an item. */
  [[nodiscard]] bool HasRunItem()
  {
    for (std::size_t peer = 0; peer < m_troubledEngine.AcceptedCount();
         ++peer) {
      const auto& received = m_troubledEngine.Peer(peer).Received();
      if (received.find(std::string("POST ") + kItemPath) !=
          std::string::npos) {
        return true;
      }
    }
    return false;
  }

  /** Sends many short requests at once, of which the troubled server gets a
   * part, and waits for their responses. */
  void SendManyRequests()
  {
    constexpr int kRequests = 32;
    int open = kRequests;
    for (int request = 0; request < kRequests; ++request) {
      StartRequest(
        Target::Callers, "POST", "/plain/x", "query", [&](std::optional<int>) {
          --open;
        });
    }
    RunUntil([&] { return open == 0; });
  }

  RawServer m_troubled{ m_loop, MakeScript() };
  RawServer m_troubledEngine{ m_loop, MakeScript() };
};

// Guards against a server in trouble that sends without end, in a head or in a
// body: the process that called it kept all bytes, ran out of memory, and the
// requests of others ended with it.
TEST_P(EndlessServersTest, LeaveRoomForOthers)
{
  constexpr int kItems = 16;
  SetUpService(ConfigurationWithEngines());
  Announce("i-2", "samplers", m_troubled);
  Announce("e-1", "engines", m_troubledEngine);
  while (Send(Target::Callers, "POST", "/jobs/a", MakeJob(kItems)) != 202) {
    WaitFor(std::chrono::milliseconds(20));
  }
  RunUntil([&] { return HasRunItem(); });
  constexpr int kRounds = 5;
  for (int round = 0; round < kRounds; ++round) {
    SendManyRequests();
    WaitFor(std::chrono::milliseconds(100));
  }
  SendUntilServed(Target::Callers, "POST", "/plain/x", "query");
  SendUntilServed(Target::Control, "GET", "/auburntrestle/config");
  EXPECT_GT(m_troubled.AcceptedCount(), 0U);
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  EndlessServersTest,
  testing::Values(
    EndlessCase{ "header_line", "HTTP/1.1 200 OK\r\nName: ", "value" },
    EndlessCase{ "header_fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n" },
    EndlessCase{ "interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "body_without_length", "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
    EndlessCase{ "body_with_length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                 "bytes" },
    EndlessCase{ "chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 "5\r\nbytes\r\n" },
    EndlessCase{ "events",
                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
                 "id: 1\ndata: x\n\n" },
    EndlessCase{ "event_without_end",
                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                 "id: 1\ndata: ",
                 "x" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
