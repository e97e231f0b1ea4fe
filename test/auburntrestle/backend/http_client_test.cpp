#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/http/raw_peer.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <future>
#include <string>
#include <thread>
#include <utility>

namespace auburntrestle::backend {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

struct EndlessCase
{
  std::string m_name;
  std::string m_start;
  std::string m_repeated;
};

/** A server on a thread of its own that sends without end. */
class EndlessServer
{
public:
  explicit EndlessServer(const EndlessCase& aCase)
    : m_server(m_loop,
               [&aCase, started = false](RawPeer& aPeer) mutable {
                 if (!std::exchange(started, true)) {
                   aPeer.Send(aCase.m_start);
                   aPeer.SendForever(aCase.m_repeated);
                 }
               })
    , m_thread([this] { m_loop.Run(); })
  {
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;
  ~EndlessServer()
  {
    m_loop.Post([this] { m_loop.Stop(); });
    m_thread.join();
  }

  [[nodiscard]] std::string Url() const
  {
    return "http://" + m_server.Address() + "/";
  }

private:
  event_loop::EventLoop m_loop;
  RawServer m_server;
  std::thread m_thread;
};

class EndlessResponseTest : public testing::TestWithParam<EndlessCase>
{};

// Guards against a server in trouble that sends without end: its response must
// not be received until the time limit.
TEST_P(EndlessResponseTest, IsCutOffAtItsLimit)
{
  const EndlessServer server(GetParam());
  const auto client = HttpClient::Create().value();
  std::promise<CallStatus> status;
  std::atomic<std::size_t> received = 0;
  HttpCall call;
  call.m_method = "GET";
  call.m_url = server.Url();
  call.m_maxResponseBytes = std::size_t{ 64 } * 1024;
  std::ignore = client->Start(
    call,
    { {},
      [&received](const std::string& aData) { received += aData.size(); },
      [&status](const CallResult& aResult) {
        status.set_value(aResult.m_status);
      } });
  EXPECT_EQ(status.get_future().get(), CallStatus::TooLarge);
  EXPECT_LE(received, call.m_maxResponseBytes);
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  EndlessResponseTest,
  testing::Values(
    EndlessCase{ "header_fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n" },
    EndlessCase{ "interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "body_without_length",
                 "HTTP/1.1 200 OK\r\n\r\n",
                 std::string(1000, 'x') },
    EndlessCase{ "chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 "5\r\nbytes\r\n" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::backend
