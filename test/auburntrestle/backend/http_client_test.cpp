#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/http/raw_peer.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>

namespace auburntrestle::backend {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

/** A server on a thread of its own that sends raw bytes. */
class ScriptedServer
{
public:
  /** @param aScript called once, when a request arrives. */
  explicit ScriptedServer(std::function<void(RawPeer&)> aScript)
    : m_server(
        m_loop,
        [script = std::move(aScript), started = false](RawPeer& aPeer) mutable {
          if (!std::exchange(started, true)) {
            script(aPeer);
          }
        })
    , m_thread([this] { m_loop.Run(); })
  {
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer()
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

struct EndlessCase
{
  std::string m_name;
  std::string m_start;
  std::string m_repeated;
};

class EndlessResponseTest : public testing::TestWithParam<EndlessCase>
{};

// Guards against a server in trouble that sends without end: its response must
// not be received until the time limit.
TEST_P(EndlessResponseTest, IsCutOffAtItsLimit)
{
  const ScriptedServer server([](RawPeer& aPeer) {
    aPeer.Send(GetParam().m_start);
    aPeer.SendForever(GetParam().m_repeated);
  });
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

struct BrokenCase
{
  std::string m_name;
  std::string m_bytes;
  CallStatus m_status = CallStatus::LostMidResponse;
};

class BrokenResponseTest : public testing::TestWithParam<BrokenCase>
{};

// Guards against a response that breaks off, or whose head is none, and counts
// as complete: the caller would get a success with an empty body or a part of
// it.
TEST_P(BrokenResponseTest, IsNotComplete)
{
  const ScriptedServer server([](RawPeer& aPeer) {
    aPeer.Send(GetParam().m_bytes);
    aPeer.Close();
  });
  const auto client = HttpClient::Create().value();
  std::promise<CallResult> result;
  HttpCall call;
  call.m_method = "GET";
  call.m_url = server.Url();
  call.m_newConnection = true;
  std::ignore =
    client->Start(call, { {}, {}, [&result](const CallResult& aResult) {
                           result.set_value(aResult);
                         } });
  EXPECT_EQ(result.get_future().get().m_status, GetParam().m_status);
}

/** @return a response with a line in its head. */
std::string WithLine(const std::string& aLine)
{
  return "HTTP/1.1 200 OK\r\n" + aLine + "\r\nContent-Length: 4\r\n\r\nbody";
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  BrokenResponseTest,
  testing::Values(
    BrokenCase{ "nothing", "", CallStatus::LostBeforeResponse },
    // The library reports no part of a line.
    BrokenCase{ "in_status_line",
                "HTTP/1.1 200",
                CallStatus::LostBeforeResponse },
    BrokenCase{ "after_status_line", "HTTP/1.1 200 OK\r\n" },
    BrokenCase{ "in_field", "HTTP/1.1 200 OK\r\nContent-Le" },
    BrokenCase{ "after_field", "HTTP/1.1 200 OK\r\nName: value\r\n" },
    BrokenCase{ "after_interim", "HTTP/1.1 100 Continue\r\n\r\n" },
    // The library reports no part of such a response.
    BrokenCase{ "status_zero",
                "HTTP/1.1 000 Error\r\nContent-Length: 4\r\n\r\nbody",
                CallStatus::LostBeforeResponse },
    BrokenCase{ "status_beyond_the_classes",
                "HTTP/1.1 600 Error\r\nContent-Length: 4\r\n\r\nbody" },
    BrokenCase{ "switching_protocols",
                "HTTP/1.1 101 Switching Protocols\r\n\r\n" },
    BrokenCase{ "in_body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo" },
    BrokenCase{ "status_zero_without_length",
                "HTTP/1.1 000 Error\r\n\r\nbody",
                CallStatus::LostBeforeResponse },
    BrokenCase{ "status_zero_before_response",
                "HTTP/1.1 000 Error\r\nContent-Length: 4\r\n\r\nbody"
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                CallStatus::LostBeforeResponse },
    BrokenCase{ "status_zero_line_feeds_only",
                "HTTP/1.1 000 Error\nContent-Length: 4\n\nbody",
                CallStatus::LostBeforeResponse },
    BrokenCase{ "status_beyond_the_classes_line_feeds_only",
                "HTTP/1.1 600 Error\nContent-Length: 4\n\nbody" },
    BrokenCase{ "blank_in_name", WithLine("Bad Name: value") },
    BrokenCase{ "blank_before_colon", WithLine("Name : value") },
    BrokenCase{ "blank_before_first_name", WithLine(" Name: value") },
    BrokenCase{ "blank_before_later_name",
                WithLine("Name: value\r\n Other: value") },
    BrokenCase{ "chunks_with_blank",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
                "4\r\nbody\r\n0\r\n\r\n" },
    BrokenCase{ "control_byte_in_name", WithLine("Bad\x01Name: value") },
    BrokenCase{ "null_byte_in_name",
                WithLine(std::string("Bad\0Name: value", 15)) },
    BrokenCase{ "no_name", WithLine(": value") },
    BrokenCase{ "no_colon", WithLine("Name") },
    BrokenCase{ "status_line_as_field", WithLine("HTTP/1.1 200: value") },
    BrokenCase{ "odd_name_after_interim",
                "HTTP/1.1 103 Early Hints\r\n\r\n" +
                  WithLine("Bad Name: value") },
    BrokenCase{ "interim_before_response",
                "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n" +
                  WithLine("Name: value"),
                CallStatus::Complete },
    BrokenCase{ "line_feeds_only",
                "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
                CallStatus::Complete },
    BrokenCase{ "complete",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                CallStatus::Complete },
    BrokenCase{ "without_length",
                "HTTP/1.1 200 OK\r\n\r\nbody",
                CallStatus::Complete }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

using ResetFunction = void (RawPeer::*)();

class ResetDuringUploadTest : public testing::TestWithParam<ResetFunction>
{};

// Guards against a part of a response without a length that counts as complete
// because the connection was reset while the request body was still written.
TEST_P(ResetDuringUploadTest, LeavesNoCompleteResponse)
{
  const ScriptedServer server([](RawPeer& aPeer) {
    aPeer.Send("HTTP/1.1 200 OK\r\n\r\nbo");
    (aPeer.*GetParam())();
  });
  const auto client = HttpClient::Create().value();
  std::promise<CallStatus> status;
  HttpCall call;
  call.m_url = server.Url();
  // Larger than what the system buffers for a connection.
  call.m_body.resize(std::size_t{ 32 } * 1024 * 1024, 'x');
  std::ignore =
    client->Start(call, { {}, {}, [&status](const CallResult& aResult) {
                           status.set_value(aResult.m_status);
                         } });
  EXPECT_NE(status.get_future().get(), CallStatus::Complete);
}

INSTANTIATE_TEST_SUITE_P(Resets,
                         ResetDuringUploadTest,
                         testing::Values(&RawPeer::Reset,
                                         &RawPeer::ResetLater));

} // namespace
} // namespace auburntrestle::backend
