#include "auburntrestle/fleet/request_relay.hpp"
#include "auburntrestle/http/raw_peer.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::fleet {
namespace {

using http::test::RawPeer;
using http::test::RawServer;
using http::test::RunUntil;

constexpr auto kRequestId = "Request-Id";
constexpr auto kNotRun = "Not-Run";
/** Larger than what the system buffers for a connection, and within the limit
 * of a server. */
constexpr std::size_t kUploadBytes = std::size_t{ 24 } * 1024 * 1024;
/** A response that ends with its connection, or a part of it. */
constexpr auto kWithoutLength =
  "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nSignature: s\r\n\r\nbo";

std::string ResponseTo(const std::string& aId,
                       const std::string& aStatus,
                       const std::string& aFields = "Signature: s\r\n")
{
  const std::string id = aId.empty() ? "" : "Request-Id: " + aId + "\r\n";
  return "HTTP/1.1 " + aStatus + "\r\n" + id + aFields +
         "Content-Length: 4\r\n\r\nbody";
}

constexpr auto kBlankInName = "Signature: s\r\nBad Name: x\r\n";
constexpr auto kControlByteInName = "Signature: s\r\nBad\x01Name: x\r\n";

std::string RefusalOf(const std::string& aId)
{
  return ResponseTo(aId, "503 Unavailable", std::string(kNotRun) + ": 1\r\n");
}

/** What the first backend server sends when it receives request "own", and what
 * the caller gets. */
struct RelayCase
{
  std::string m_name;
  std::string m_bytes;
  int m_status = 200;
  /** Whether the request is sent to the second backend server too. */
  bool m_isRetried = false;
  bool m_closes = false;
  RouteKind m_kind = RouteKind::NonIdempotent;
  /** Whether the request has a long body, during which the server resets the
   * connection. */
  bool m_resetsUpload = false;
};

class RequestRelayTest : public testing::TestWithParam<RelayCase>
{
protected:
  static BackendRecord MakeBackend(const std::string& aId,
                                   const std::string& aDataCentre,
                                   const RawServer& aServer)
  {
    BackendRecord record;
    record.m_id = BackendId(aId);
    record.m_service = ServiceName("service");
    record.m_address = aServer.Address();
    record.m_dataCentre = DataCentreId(aDataCentre);
    return record;
  }

  event_loop::EventLoop m_loop;
  observe::Instruments m_instruments;
  RawServer m_first{ m_loop, [](RawPeer& aPeer) {
                      aPeer.Send(GetParam().m_bytes);
                      if (GetParam().m_closes) {
                        aPeer.Close();
                      } else if (GetParam().m_resetsUpload) {
                        aPeer.Reset();
                      }
                    } };
  RawServer m_second{ m_loop, [](RawPeer& aPeer) {
                       aPeer.Send(ResponseTo("own", "200 OK"));
                     } };
  BackendClient m_client{ m_loop,
                          {},
                          kRequestId,
                          [](const http::ResponseHead&) {
                            return BackendStatement{};
                          },
                          m_instruments };
  BackendChooser m_chooser{ DataCentreId("home") };
  RequestRelay m_relay{ m_loop,
                        m_client,
                        m_chooser,
                        { kRequestId, "Time", "Backend", kNotRun, "Signature" },
                        {},
                        [](const RequestPermit&, const auto& aCallback) {
                          aCallback(std::nullopt);
                        },
                        m_instruments };
};

// Guards against a response to another request, above all a refusal, that
// counts for the request which waits on the connection: it would run twice, or
// be refused although it runs. Guards too against a broken response that the
// caller gets as a response.
TEST_P(RequestRelayTest, CountsOnlyItsOwnResponse)
{
  Route route;
  route.m_name = "route";
  route.m_kind = GetParam().m_kind;
  route.m_timeout = std::chrono::seconds(2);
  route.m_maxAttempts = 2;
  m_chooser.SetBackends({ MakeBackend("first", "home", m_first),
                          MakeBackend("second", "other", m_second) });
  const auto server = http::Server::Listen(
    m_loop,
    "127.0.0.1:0",
    [&](const std::shared_ptr<http::Exchange>& aExchange) {
      m_relay.Relay(
        aExchange, route, ConfigurationVersion(1), ServiceName("service"));
    });
  ASSERT_TRUE(server);
  http::Request request;
  request.m_method = "POST";
  request.m_target = "/";
  request.m_headers.Add(kRequestId, "own");
  if (GetParam().m_resetsUpload) {
    request.m_body.resize(kUploadBytes, 'x');
  }
  http::Client caller(m_loop, {});
  std::optional<http::FetchResult> response;
  const auto call = http::Fetch(
    caller,
    "127.0.0.1:" + std::to_string((*server)->Port()),
    request,
    {},
    [&](http::FetchResult aResponse) { response = std::move(aResponse); });
  RunUntil(m_loop, [&] { return response.has_value(); });
  ASSERT_TRUE(*response);
  EXPECT_EQ((*response)->m_status, GetParam().m_status);
  if (GetParam().m_status == 200) {
    EXPECT_EQ((*response)->m_body, "body");
  }
  EXPECT_EQ(m_second.AcceptedCount(), GetParam().m_isRetried ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  RequestRelayTest,
  testing::Values(
    RelayCase{ .m_name = "own", .m_bytes = ResponseTo("own", "200 OK") },
    RelayCase{ .m_name = "foreign_refusal_first",
               .m_bytes = RefusalOf("other") + ResponseTo("own", "200 OK") },
    RelayCase{ .m_name = "foreign_misdirection_first",
               .m_bytes = ResponseTo("other", "421 Misdirected") +
                          ResponseTo("own", "200 OK") },
    RelayCase{ .m_name = "foreign_success_first",
               .m_bytes = ResponseTo("other", "200 OK") +
                          ResponseTo("own", "200 OK") },
    RelayCase{ .m_name = "foreign_refusal_only",
               .m_bytes = RefusalOf("other"),
               .m_status = 502,
               .m_closes = true },
    RelayCase{ .m_name = "foreign_refusal_then_own_refusal",
               .m_bytes = RefusalOf("other") + RefusalOf("own"),
               .m_isRetried = true },
    RelayCase{ .m_name = "own_refusal",
               .m_bytes = RefusalOf("own"),
               .m_isRetried = true },
    RelayCase{ .m_name = "refusal_without_id",
               .m_bytes = RefusalOf(""),
               .m_status = 502 },
    RelayCase{ .m_name = "idempotent_refusal_without_id",
               .m_bytes = RefusalOf(""),
               .m_isRetried = true,
               .m_kind = RouteKind::Idempotent },
    RelayCase{ .m_name = "status_zero",
               .m_bytes = ResponseTo("own", "000 Error"),
               .m_status = 502 },
    RelayCase{ .m_name = "idempotent_status_zero",
               .m_bytes = ResponseTo("own", "000 Error"),
               .m_isRetried = true,
               .m_kind = RouteKind::Idempotent },
    RelayCase{ .m_name = "reset_during_upload",
               .m_bytes = kWithoutLength,
               .m_status = 502,
               .m_resetsUpload = true },
    RelayCase{ .m_name = "idempotent_reset_during_upload",
               .m_bytes = kWithoutLength,
               .m_isRetried = true,
               .m_kind = RouteKind::Idempotent,
               .m_resetsUpload = true },
    RelayCase{ .m_name = "blank_in_field_name",
               .m_bytes = ResponseTo("own", "200 OK", kBlankInName),
               .m_status = 502 },
    RelayCase{ .m_name = "idempotent_blank_in_field_name",
               .m_bytes = ResponseTo("own", "200 OK", kBlankInName),
               .m_isRetried = true,
               .m_kind = RouteKind::Idempotent },
    RelayCase{ .m_name = "control_byte_in_field_name",
               .m_bytes = ResponseTo("own", "200 OK", kControlByteInName),
               .m_status = 502 },
    RelayCase{ .m_name = "idempotent_foreign_refusal_only",
               .m_bytes = RefusalOf("other"),
               .m_isRetried = true,
               .m_closes = true,
               .m_kind = RouteKind::Idempotent }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
