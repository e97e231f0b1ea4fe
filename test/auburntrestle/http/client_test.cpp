#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/internal/call_history.hpp"
#include "auburntrestle/http/raw_peer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::http {
namespace {

using test::RawPeer;
using test::RawServer;
using test::RunUntil;

/** How a scripted server ends its response. */
enum class Ending : std::uint8_t
{
  Keep,
  Close,
  Reset,
};

struct ResponseCase
{
  std::string m_name;
  std::string m_bytes = {};
  Ending m_ending = Ending::Keep;
  /** Absent when there is no complete response. */
  std::optional<std::string> m_body = std::nullopt;
  CallFailure m_failure = CallFailure::IncompleteResponse;
  /** A second call uses the same connection. */
  bool m_reused = false;
};

class ClientTest : public testing::Test
{
protected:
  FetchResult Call(const std::string& aAddress, const std::string& aBody = {})
  {
    std::optional<FetchResult> response;
    Request request;
    request.m_method = "POST";
    request.m_target = "/path";
    request.m_headers.Add("Host", "host");
    request.m_body = aBody;
    CallOptions options;
    options.m_timeout = std::chrono::milliseconds(300);
    std::ignore =
      Fetch(m_client, aAddress, request, options, [&](FetchResult aResponse) {
        response = std::move(aResponse);
      });
    RunUntil(m_loop, [&] { return response.has_value(); });
    return *response;
  }

  event_loop::EventLoop m_loop;
  Client m_client{ m_loop, {} };
};

class ResponseTest
  : public ClientTest
  , public testing::WithParamInterface<ResponseCase>
{};

TEST_P(ResponseTest, AcceptsOnlyCompleteResponses)
{
  RawServer server(m_loop, [](RawPeer& aPeer) {
    aPeer.Send(GetParam().m_bytes);
    if (GetParam().m_ending == Ending::Close) {
      aPeer.Close();
    } else if (GetParam().m_ending == Ending::Reset) {
      aPeer.Reset();
    }
  });
  const auto response = Call(server.Address());
  ASSERT_EQ(response.has_value(), GetParam().m_body.has_value());
  if (response) {
    EXPECT_EQ(response->m_status, 200);
    EXPECT_EQ(response->m_body, *GetParam().m_body);
  } else {
    EXPECT_EQ(response.error(), GetParam().m_failure);
  }
  std::ignore = Call(server.Address());
  EXPECT_EQ(server.AcceptedCount(), GetParam().m_reused ? 1U : 2U);
}

constexpr auto kCompleteResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

INSTANTIATE_TEST_SUITE_P(
  Responses,
  ResponseTest,
  testing::Values(
    ResponseCase{ .m_name = "length",
                  .m_bytes = kCompleteResponse,
                  .m_body = "body",
                  .m_reused = true },
    ResponseCase{ .m_name = "chunks",
                  .m_bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
                  .m_body = "body",
                  .m_reused = true },
    ResponseCase{ .m_name = "interim_first",
                  .m_bytes = std::string("HTTP/1.1 100 Continue\r\n\r\n") +
                             kCompleteResponse,
                  .m_body = "body",
                  .m_reused = true },
    ResponseCase{ .m_name = "without_length",
                  .m_bytes = "HTTP/1.1 200 OK\r\n\r\nbody",
                  .m_ending = Ending::Close,
                  .m_body = "body" },
    ResponseCase{ .m_name = "without_length_reset",
                  .m_bytes = "HTTP/1.1 200 OK\r\n\r\nbo",
                  .m_ending = Ending::Reset },
    ResponseCase{ .m_name = "truncated",
                  .m_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "truncated_chunk",
                  .m_bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n4\r\nbo",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "closed_in_status_line",
                  .m_bytes = "HTTP/1.1 200",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "closed_after_status_line",
                  .m_bytes = "HTTP/1.1 200 OK\r\n",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "closed_in_field",
                  .m_bytes = "HTTP/1.1 200 OK\r\nContent-Le",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "closed_after_field",
                  .m_bytes = "HTTP/1.1 200 OK\r\nName: value\r\n",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "closed_after_interim",
                  .m_bytes = "HTTP/1.1 100 Continue\r\n\r\n",
                  .m_ending = Ending::Close },
    ResponseCase{ .m_name = "not_a_response",
                  .m_bytes = "garbage\r\n\r\n",
                  .m_failure = CallFailure::Malformed },
    ResponseCase{ .m_name = "closed_at_once",
                  .m_ending = Ending::Close,
                  .m_failure = CallFailure::ClosedBeforeResponse },
    ResponseCase{ .m_name = "silent", .m_failure = CallFailure::TimedOut },
    ResponseCase{ .m_name = "second_response",
                  .m_bytes = std::string(kCompleteResponse) + kCompleteResponse,
                  .m_body = "body" },
    ResponseCase{ .m_name = "asked_to_close",
                  .m_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                             "Connection: close\r\n\r\nbody",
                  .m_body = "body" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

struct StatusCase
{
  std::string m_name;
  /** The first piece that the server sends; the rest follows later. */
  std::string m_first;
  std::string m_rest = {};
  /** Absent when there is no response. */
  std::optional<std::string> m_body = std::nullopt;
};

class StatusTest
  : public ClientTest
  , public testing::WithParamInterface<StatusCase>
{};

// Guards against bytes with a status outside the protocol, such as 000, that
// count as a response or become part of the next one.
TEST_P(StatusTest, AcceptsOnlyStatusesOfTheProtocol)
{
  constexpr Duration kPause = std::chrono::milliseconds(20);
  RawServer server(m_loop, [&](RawPeer& aPeer) {
    aPeer.Send(GetParam().m_first);
    if (!GetParam().m_rest.empty()) {
      m_loop.After(kPause, [&aPeer] { aPeer.Send(GetParam().m_rest); });
    }
  });
  const auto response = Call(server.Address());
  ASSERT_EQ(response.has_value(), GetParam().m_body.has_value());
  if (response) {
    EXPECT_EQ(response->m_body, *GetParam().m_body);
  } else {
    EXPECT_EQ(response.error(), CallFailure::Malformed);
  }
}

std::string HeadWithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: 4\r\n\r\n";
}

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  StatusTest,
  testing::Values(
    StatusCase{ "zero", HeadWithStatus("000") + "body" },
    StatusCase{ "zero_in_pieces", HeadWithStatus("000"), "body" },
    StatusCase{ "zero_before_response",
                HeadWithStatus("000 Error") + "none" + kCompleteResponse },
    StatusCase{ "two_digits", HeadWithStatus("99 Error") + "body" },
    StatusCase{ "beyond_the_classes", HeadWithStatus("600 Error") + "body" },
    StatusCase{ "three_nines", HeadWithStatus("999 Error"), "body" },
    StatusCase{ "switching_protocols",
                "HTTP/1.1 101 Switching Protocols\r\n\r\n" },
    StatusCase{ "interim_with_body",
                HeadWithStatus("102 Processing"),
                std::string("none") + kCompleteResponse },
    StatusCase{ "interim_with_length",
                HeadWithStatus("103 Early Hints"),
                kCompleteResponse,
                "body" },
    StatusCase{ "first_final", HeadWithStatus("200 OK"), "body", "body" },
    StatusCase{ "last_final", HeadWithStatus("599 Error"), "body", "body" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a late second response that is taken for the response to the
// next request on the connection.
TEST_F(ClientTest, BytesOnAnIdleConnectionCloseIt)
{
  RawServer server(m_loop,
                   [](RawPeer& aPeer) { aPeer.Send(kCompleteResponse); });
  ASSERT_TRUE(Call(server.Address()));
  server.Peer(0).Send(kCompleteResponse);
  RunUntil(m_loop, [&] { return server.Peer(0).IsClosed(); });
  ASSERT_TRUE(Call(server.Address()));
  EXPECT_EQ(server.AcceptedCount(), 2U);
}

struct CorrelationCase
{
  std::string m_name;
  /** What the server sends, in this many bytes at a time. */
  std::string m_bytes;
  std::size_t m_pieceBytes = 1000;
  Ending m_ending = Ending::Keep;
  /** Absent when there is no complete response. */
  std::optional<std::string> m_body = std::nullopt;
  CallFailure m_failure = CallFailure::IncompleteResponse;
  /** The id of the request; empty for none. */
  std::string m_id = "own";
};

class CorrelationTest
  : public ClientTest
  , public testing::WithParamInterface<CorrelationCase>
{};

// Guards against a repeated response to an earlier request that is taken for
// the response to the request which waits on the connection.
TEST_P(CorrelationTest, SkipsResponsesToOtherRequests)
{
  RawServer server(m_loop, [](RawPeer& aPeer) {
    const auto& param = GetParam();
    for (std::size_t at = 0; at < param.m_bytes.size();
         at += param.m_pieceBytes) {
      aPeer.Send(param.m_bytes.substr(at, param.m_pieceBytes));
    }
    if (param.m_ending == Ending::Close) {
      aPeer.Close();
    }
  });
  Request request;
  request.m_method = "POST";
  request.m_target = "/";
  CallOptions options;
  options.m_timeout = std::chrono::milliseconds(300);
  options.m_maxResponseBytes = 2000;
  options.m_correlation = Correlation{ "Id", GetParam().m_id };
  std::optional<FetchResult> response;
  const auto call =
    Fetch(m_client, server.Address(), request, options, [&](auto aResponse) {
      response = std::move(aResponse);
    });
  RunUntil(m_loop, [&] { return response.has_value(); });
  ASSERT_EQ(response->has_value(), GetParam().m_body.has_value());
  if (*response) {
    EXPECT_EQ((*response)->m_body, *GetParam().m_body);
  } else {
    EXPECT_EQ(response->error(), GetParam().m_failure);
  }
  EXPECT_EQ(m_client.ReceivedBytes(), 0U);
}

std::string ResponseWithId(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aId +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

const std::string kForeignResponse = ResponseWithId("Id: other\r\n", "foreign");
const std::string kOwnResponse = ResponseWithId("Id: own\r\n", "mine");

INSTANTIATE_TEST_SUITE_P(
  Responses,
  CorrelationTest,
  testing::Values(
    CorrelationCase{ .m_name = "own",
                     .m_bytes = kOwnResponse,
                     .m_body = "mine" },
    CorrelationCase{ .m_name = "foreign_then_own",
                     .m_bytes = kForeignResponse + kOwnResponse,
                     .m_body = "mine" },
    CorrelationCase{ .m_name = "in_small_pieces",
                     .m_bytes = kForeignResponse + kForeignResponse +
                                kOwnResponse,
                     .m_pieceBytes = 3,
                     .m_body = "mine" },
    CorrelationCase{ .m_name = "foreign_chunks",
                     .m_bytes = "HTTP/1.1 200 OK\r\nId: other\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "2\r\nbo\r\n0\r\n\r\n" +
                                kOwnResponse,
                     .m_body = "mine" },
    CorrelationCase{ .m_name = "foreign_only",
                     .m_bytes = kForeignResponse,
                     .m_failure = CallFailure::TimedOut },
    CorrelationCase{ .m_name = "foreign_then_closed",
                     .m_bytes = kForeignResponse,
                     .m_ending = Ending::Close },
    CorrelationCase{ .m_name = "foreign_without_length",
                     .m_bytes = "HTTP/1.1 200 OK\r\nId: other\r\n\r\nbytes",
                     .m_ending = Ending::Close },
    CorrelationCase{
      .m_name = "foreign_beyond_the_limit",
      .m_bytes = ResponseWithId("Id: other\r\n", std::string(3000, 'x')),
      .m_failure = CallFailure::TooLarge },
    CorrelationCase{ .m_name = "without_id",
                     .m_bytes = ResponseWithId("", "body"),
                     .m_body = "body" },
    CorrelationCase{ .m_name = "request_without_id",
                     .m_bytes = kForeignResponse + ResponseWithId("", "body"),
                     .m_body = "body",
                     .m_id = "" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** Calls that follow each other, and a server that repeats its first response
 * while the last call waits. */
struct RepeatedResponseCase
{
  std::string m_name;
  /** The ids of the calls; empty for none. */
  std::vector<std::string> m_ids;
  std::size_t m_connections = 1;
};

class RepeatedResponseTest
  : public ClientTest
  , public testing::WithParamInterface<RepeatedResponseCase>
{
protected:
  /** @return the body of the response to a call with an id. */
  std::string CallWithId(const RawServer& aServer, const std::string& aId)
  {
    Request request;
    request.m_method = "POST";
    request.m_target = "/";
    request.m_headers.Add("Id", aId);
    CallOptions options;
    options.m_correlation = Correlation{ "Id", aId };
    std::optional<FetchResult> response;
    const auto call =
      Fetch(m_client, aServer.Address(), request, options, [&](auto aResponse) {
        response = std::move(aResponse);
      });
    RunUntil(m_loop, [&] { return response.has_value(); });
    return *response ? (*response)->m_body : "none";
  }

  /** Responds to a call. The last one is responded to when a copy of the first
   * response has been sent on the connection of the first call. */
  void Respond(RawServer& aServer, RawPeer& aPeer)
  {
    const auto& ids = GetParam().m_ids;
    const std::size_t call = m_calls++;
    if (call + 1 == ids.size()) {
      aServer.Peer(0).Send(ResponseTo(ids, 0));
    }
    aPeer.Send(ResponseTo(ids, call));
  }

  [[nodiscard]] static std::string ResponseTo(
    const std::vector<std::string>& aIds,
    std::size_t aCall)
  {
    const std::string& id = aIds[aCall];
    return ResponseWithId(id.empty() ? "" : "Id: " + id + "\r\n",
                          "response " + std::to_string(aCall));
  }

  std::size_t m_calls = 0;
};

// Guards against a late copy of a response that is taken for the response to a
// further call with the same id: an item of a batch job that failed twice was
// given up as if it had failed three times. A copy without an id, such as that
// of a report of an engine, was taken for the response to any later call.
TEST_P(RepeatedResponseTest, IsNotTheResponseToALaterCall)
{
  RawServer server(m_loop, [&](RawPeer& aPeer) { Respond(server, aPeer); });
  const auto& ids = GetParam().m_ids;
  for (std::size_t call = 0; call < ids.size(); ++call) {
    EXPECT_EQ(CallWithId(server, ids[call]),
              "response " + std::to_string(call));
  }
  EXPECT_EQ(server.AcceptedCount(), GetParam().m_connections);
}

INSTANTIATE_TEST_SUITE_P(
  Calls,
  RepeatedResponseTest,
  testing::Values(
    RepeatedResponseCase{ "other_ids", { "a", "b", "c" } },
    RepeatedResponseCase{ "same_id", { "a", "a" }, 2 },
    RepeatedResponseCase{ "same_id_later", { "a", "b", "a" }, 2 },
    RepeatedResponseCase{ "same_id_again_and_again", { "a", "a", "a" }, 3 },
    RepeatedResponseCase{ "other_id_after_the_same", { "a", "a", "b" }, 2 },
    RepeatedResponseCase{ "no_id_before_an_id", { "", "a" }, 2 },
    RepeatedResponseCase{ "no_id_after_an_id", { "a", "" }, 2 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a connection whose record of ids grows without end.
TEST_F(ClientTest, AConnectionCarriesALimitedNumberOfIds)
{
  RawServer server(m_loop,
                   [](RawPeer& aPeer) { aPeer.Send(kCompleteResponse); });
  constexpr std::size_t kCalls = internal::CallHistory::kMaxIds + 1;
  for (std::size_t call = 0; call < kCalls; ++call) {
    CallOptions options;
    options.m_correlation = Correlation{ "Id", std::to_string(call) };
    bool done = false;
    const auto running = Fetch(
      m_client, server.Address(), {}, options, [&](const FetchResult& aResult) {
        EXPECT_TRUE(aResult);
        done = true;
      });
    RunUntil(m_loop, [&] { return done; });
  }
  EXPECT_EQ(server.AcceptedCount(), 2U);
}

// Guards against reusing a connection on which the server still expects the
// rest of a request body.
TEST_F(ClientTest, AnEarlyResponseEndsTheConnection)
{
  RawServer server(m_loop, [responded = false](RawPeer& aPeer) mutable {
    if (!std::exchange(responded, true)) {
      aPeer.Send(kCompleteResponse);
    }
  });
  const std::string large(std::size_t{ 32 } * 1024 * 1024, 'x');
  const auto response = Call(server.Address(), large);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_body, "body");
  RunUntil(m_loop, [&] { return server.Peer(0).IsClosed(); });
}

/** How a server ends its response while the request body is still written. */
enum class EarlyEnding : std::uint8_t
{
  /** It resets the connection. */
  Reset,
  /** It resets the connection later, when the start of its response has been
   * received. */
  LateReset,
  /** It ends its response in order and reads the rest of the request. */
  EndOfStream,
  /** It ends its response in order and rejects the rest of the request. */
  Close,
};

struct EarlyResponseCase
{
  std::string m_name;
  std::string m_bytes;
  EarlyEnding m_ending{};
  /** Absent when there is no complete response. */
  std::optional<std::string> m_body = std::nullopt;
};

class EarlyResponseTest
  : public ClientTest
  , public testing::WithParamInterface<EarlyResponseCase>
{
protected:
  /** Larger than what the system buffers for a connection. */
  static constexpr std::size_t kUploadBytes = std::size_t{ 32 } * 1024 * 1024;

  static void EndResponse(RawPeer& aPeer)
  {
    switch (GetParam().m_ending) {
      case EarlyEnding::Reset:
        aPeer.Reset();
        break;
      case EarlyEnding::LateReset:
        aPeer.ResetLater();
        break;
      case EarlyEnding::EndOfStream:
        aPeer.EndStream();
        break;
      case EarlyEnding::Close:
        aPeer.Close();
        break;
    }
  }
};

// Guards against a part of a response that counts as complete: the write of the
// request body meets the reset of the connection, so that the read only sees
// the end of the stream, which ends a response without a length.
TEST_P(EarlyResponseTest, IsCompleteOnlyWithoutAReset)
{
  RawServer server(m_loop, [responded = false](RawPeer& aPeer) mutable {
    if (!std::exchange(responded, true)) {
      aPeer.Send(GetParam().m_bytes);
      EndResponse(aPeer);
    }
  });
  const auto response = Call(server.Address(), std::string(kUploadBytes, 'x'));
  ASSERT_EQ(response.has_value(), GetParam().m_body.has_value());
  if (response) {
    EXPECT_EQ(response->m_body, *GetParam().m_body);
  } else {
    EXPECT_EQ(response.error(), CallFailure::IncompleteResponse);
  }
  std::ignore = Call(server.Address());
  EXPECT_EQ(server.AcceptedCount(), 2U);
}

constexpr auto kWithoutLength = "HTTP/1.1 200 OK\r\n\r\nbo";

INSTANTIATE_TEST_SUITE_P(
  Responses,
  EarlyResponseTest,
  testing::Values(
    EarlyResponseCase{ "without_length_reset",
                       kWithoutLength,
                       EarlyEnding::Reset },
    EarlyResponseCase{ "without_length_reset_later",
                       kWithoutLength,
                       EarlyEnding::LateReset },
    EarlyResponseCase{ "without_length_ended",
                       kWithoutLength,
                       EarlyEnding::EndOfStream,
                       "bo" },
    EarlyResponseCase{ "without_length_closed",
                       kWithoutLength,
                       EarlyEnding::Close,
                       "bo" },
    EarlyResponseCase{ "head_only_reset",
                       "HTTP/1.1 200 OK\r\n\r\n",
                       EarlyEnding::Reset },
    EarlyResponseCase{ "part_of_head_reset",
                       "HTTP/1.1 200 OK\r\nName",
                       EarlyEnding::Reset },
    EarlyResponseCase{ "part_of_length_reset",
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo",
                       EarlyEnding::Reset },
    EarlyResponseCase{ "part_of_chunk_reset",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n4\r\nbo",
                       EarlyEnding::Reset },
    EarlyResponseCase{ "complete_length_reset",
                       kCompleteResponse,
                       EarlyEnding::Reset,
                       "body" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST_F(ClientTest, AFailedConnectionIsReported)
{
  std::string address;
  {
    RawServer server(m_loop, [](RawPeer&) {});
    address = server.Address();
  }
  EXPECT_EQ(Call(address).error(), CallFailure::ConnectFailed);
  EXPECT_EQ(Call("no address").error(), CallFailure::ConnectFailed);
}

// Guards against a request that waits for a data centre which is cut off: no
// packet of the connection is answered there, so only a time limit ends it.
TEST_F(ClientTest, AConnectionWithoutAnAnswerIsGivenUpSoon)
{
  // The kernel drops the packets of new connections to a full listener.
  test::tcp::acceptor listener(m_loop.Context());
  listener.open(test::tcp::v4());
  listener.bind({ asio::ip::make_address("127.0.0.1"), 0 });
  listener.listen(0);
  const auto endpoint = listener.local_endpoint();
  constexpr int kFillers = 4;
  std::vector<test::tcp::socket> fillers;
  for (int filler = 0; filler < kFillers; ++filler) {
    fillers.emplace_back(m_loop.Context());
    fillers.back().async_connect(endpoint, [](const asio::error_code&) {});
  }
  bool filled = false;
  m_loop.After(std::chrono::milliseconds(50), [&filled] { filled = true; });
  RunUntil(m_loop, [&filled] { return filled; });

  Request request;
  request.m_method = "GET";
  request.m_target = "/";
  std::optional<FetchResult> response;
  const TimePoint started = MonotonicClock::Now();
  const auto call =
    Fetch(m_client,
          "127.0.0.1:" + std::to_string(endpoint.port()),
          request,
          {},
          [&](FetchResult aResponse) { response = std::move(aResponse); });
  RunUntil(m_loop, [&] { return response.has_value(); });
  ASSERT_FALSE(*response);
  EXPECT_EQ(response->error(), CallFailure::ConnectFailed);
  // As long as the kernel repeats the first packet after a second, a longer
  // limit does not help.
  EXPECT_LT(MonotonicClock::Now() - started, std::chrono::seconds(1));
}

TEST_F(ClientTest, ACancelledCallClosesItsConnection)
{
  RawServer server(m_loop, [](RawPeer&) {});
  Request request;
  request.m_method = "GET";
  request.m_target = "/";
  bool called = false;
  const auto call =
    Fetch(m_client, server.Address(), request, {}, [&](const FetchResult&) {
      called = true;
    });
  RunUntil(m_loop, [&] {
    return server.AcceptedCount() == 1 && !server.Peer(0).Received().empty();
  });
  call->Cancel();
  RunUntil(m_loop, [&] { return server.Peer(0).IsClosed(); });
  EXPECT_FALSE(called);
}

struct EndlessCase
{
  std::string m_name;
  std::string m_start;
  std::string m_repeated;
  CallFailure m_failure = CallFailure::TooLarge;
};

class EndlessResponseTest
  : public ClientTest
  , public testing::WithParamInterface<EndlessCase>
{
protected:
  static constexpr std::size_t kMaxResponseBytes = std::size_t{ 256 } * 1024;

  EndlessResponseTest() { m_options.m_maxResponseBytes = kMaxResponseBytes; }

  ClientOptions m_options;
};

// Guards against a server in trouble that sends without end: its response must
// not fill the memory until the time limit.
TEST_P(EndlessResponseTest, EndsInAFailureAndAClosedConnection)
{
  RawServer server(m_loop, [started = false](RawPeer& aPeer) mutable {
    if (!std::exchange(started, true)) {
      aPeer.Send(GetParam().m_start);
      aPeer.SendForever(GetParam().m_repeated);
    }
  });
  Client client(m_loop, m_options);
  Request request;
  request.m_method = "GET";
  request.m_target = "/";
  std::optional<FetchResult> response;
  std::size_t received = 0;
  const auto call =
    Fetch(client, server.Address(), request, {}, [&](FetchResult aResponse) {
      response = std::move(aResponse);
    });
  RunUntil(m_loop, [&] {
    received = std::max(received, client.ReceivedBytes());
    return response.has_value();
  });
  ASSERT_FALSE(*response);
  EXPECT_EQ(response->error(), GetParam().m_failure);
  EXPECT_LE(received, kMaxResponseBytes);
  EXPECT_EQ(client.ReceivedBytes(), 0U);
  RunUntil(m_loop, [&] { return server.Peer(0).IsClosed(); });
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  EndlessResponseTest,
  testing::Values(
    EndlessCase{ "status_line", "HTTP/1.1 200 ", "O", CallFailure::Malformed },
    EndlessCase{ "header_line",
                 "HTTP/1.1 200 OK\r\nName: ",
                 "value",
                 CallFailure::Malformed },
    EndlessCase{ "header_fields",
                 "HTTP/1.1 200 OK\r\n",
                 "Name: value\r\n",
                 CallFailure::Malformed },
    EndlessCase{ "interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "body_without_length", "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
    EndlessCase{ "body_with_length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                 "bytes" },
    EndlessCase{ "chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                 "5\r\nbytes\r\n" },
    EndlessCase{ "chunk_extension",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5",
                 ";name=value",
                 CallFailure::Malformed },
    EndlessCase{ "trailers",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                 "Name: value\r\n",
                 CallFailure::Malformed }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against many servers in trouble at once, each within its limit.
TEST_F(ClientTest, AllResponsesTogetherStayWithinTheirLimit)
{
  constexpr std::size_t kServers = 8;
  constexpr std::size_t kMaxReceivedBytes = std::size_t{ 512 } * 1024;
  const std::string piece(std::size_t{ 4 } * 1024, 'x');
  RawServer server(m_loop, [&piece](RawPeer& aPeer) {
    aPeer.Send("HTTP/1.1 200 OK\r\n\r\n");
    aPeer.SendForever(piece);
  });
  ClientOptions options;
  options.m_maxReceivedBytes = kMaxReceivedBytes;
  Client client(m_loop, options);
  Request request;
  request.m_method = "GET";
  request.m_target = "/";
  std::size_t failed = 0;
  for (std::size_t count = 0; count < kServers; ++count) {
    std::ignore =
      Fetch(client, server.Address(), request, {}, [&](FetchResult aResponse) {
        EXPECT_EQ(aResponse.error(), CallFailure::TooLarge);
        ++failed;
      });
  }
  RunUntil(m_loop, [&] {
    EXPECT_LE(client.ReceivedBytes(), kMaxReceivedBytes);
    return failed == kServers;
  });
}

// Guards against servers in trouble whose long responses end the calls to other
// servers, because they use up the limit of all responses.
TEST_F(ClientTest, TheLongestResponseMakesRoomForOthers)
{
  constexpr std::size_t kTroubled = 4;
  constexpr std::size_t kMaxReceivedBytes = std::size_t{ 512 } * 1024;
  RawServer troubled(m_loop, [](RawPeer& aPeer) {
    std::string response = "HTTP/1.1 200 OK\r\n\r\n";
    response.resize(kMaxReceivedBytes / kTroubled, 'x');
    aPeer.SendAll(response);
  });
  RawServer ordinary(m_loop,
                     [](RawPeer& aPeer) { aPeer.Send(kCompleteResponse); });
  ClientOptions options;
  options.m_maxReceivedBytes = kMaxReceivedBytes;
  Client client(m_loop, options);
  Request request;
  request.m_method = "GET";
  request.m_target = "/";
  std::vector<CallFailure> failures;
  for (std::size_t count = 0; count < kTroubled; ++count) {
    std::ignore = Fetch(
      client, troubled.Address(), request, {}, [&](FetchResult aResponse) {
        failures.push_back(aResponse.error());
      });
  }
  RunUntil(m_loop, [&] { return client.ReceivedBytes() == kMaxReceivedBytes; });
  std::optional<FetchResult> response;
  const auto call =
    Fetch(client, ordinary.Address(), request, {}, [&](FetchResult aResponse) {
      response = std::move(aResponse);
    });
  RunUntil(m_loop, [&] {
    EXPECT_LE(client.ReceivedBytes(), kMaxReceivedBytes);
    return response.has_value() && !failures.empty();
  });
  ASSERT_TRUE(*response);
  EXPECT_EQ((*response)->m_body, "body");
  EXPECT_EQ(failures, std::vector{ CallFailure::TooLarge });
}

} // namespace
} // namespace auburntrestle::http
