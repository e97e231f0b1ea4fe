#include "auburntrestle/http/raw_peer.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <optional>
#include <string>

namespace auburntrestle::platform::test {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

/** @return the start of a response to the request "own". */
std::string StartHead(const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\n" + names::kRequestId + ": own\r\n" +
         names::kSignature + ": s\r\n";
}

/** @return a response to the request "own" with further lines in its head. */
std::string ResponseWith(const std::string& aLines,
                         const std::string& aStatus = "200 OK")
{
  return StartHead(aStatus) + aLines + "Content-Length: 4\r\n\r\nbody";
}

/** What a server in trouble sends to a request, and what its caller gets. */
struct BrokenCase
{
  std::string m_name;
  std::string m_response;
  int m_status = 502;
  /** Whether the request has a long body, during which the server resets the
   * connection. */
  bool m_resetsUpload = false;
};

/** A small deployment with a server in trouble, which alone serves a route
 * whose requests must not run twice. */
class BrokenResponsesTest
  : public SmallDeployment
  , public testing::TestWithParam<BrokenCase>
{
protected:
  /** Larger than what the system buffers for a connection. */
  static constexpr std::size_t kUploadBytes = 7'000'000;
  static constexpr std::size_t kBodyLimit = 8'000'000;

  [[nodiscard]] static Json ConfigurationWithBrokenServer()
  {
    Json configuration = Configuration();
    configuration["routes"].push_back(
      Json::parse(R"({"name":"broken","host":"app.example",
        "path_prefix":"/broken/","route_type":"non_idempotent",
        "timeout_ms":2000,"latency_target_ms":150,"priority":1,
        "service":"broken","max_attempts":1})"));
    configuration["services"].push_back(Json::parse(R"({"name":"broken",
        "health_path":"/h","max_conns":90,"protocol":"h1","tls":false})"));
    configuration["limits"]["body_bytes"] = kBodyLimit;
    return configuration;
  }

  [[nodiscard]] static http::Request MakeRequest()
  {
    const std::size_t bytes = GetParam().m_resetsUpload ? kUploadBytes : 1;
    return WithId("POST", "/broken/x", std::string(bytes, 'x'), "own");
  }

  /** Sends the response to the first part of the request. */
  void Respond(RawPeer& aPeer)
  {
    if (m_hasResponded || !aPeer.Received().starts_with("POST /broken/x")) {
      return;
    }
    m_hasResponded = true;
    aPeer.Send(GetParam().m_response);
    if (GetParam().m_resetsUpload) {
      aPeer.ResetLater();
    }
  }

  bool m_hasResponded = false;
  RawServer m_broken{ m_loop, [this](RawPeer& aPeer) { Respond(aPeer); } };
};

// Guards against a broken response that the caller of a process gets as a
// response.
TEST_P(BrokenResponsesTest, DoNotReachTheCaller)
{
  SetUpService(ConfigurationWithBrokenServer());
  Announce("b-1", "broken", m_broken);
  std::optional<int> status;
  while (!m_hasResponded) {
    status = Send(Target::Callers, MakeRequest());
    WaitFor(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(status, GetParam().m_status);
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Responses,
  BrokenResponsesTest,
  testing::Values(
    BrokenCase{ "proper", ResponseWith(""), 200 },
    BrokenCase{ "reset_during_upload", StartHead() + "\r\nbo", 502, true },
    BrokenCase{ "status_zero", ResponseWith("", "000 Error") },
    BrokenCase{ "blank_in_field_name", ResponseWith("Bad Name: x\r\n") },
    BrokenCase{ "length_with_blank",
                StartHead() + "Content-Length : 2\r\n\r\nbody" },
    BrokenCase{ "control_byte_in_field_name",
                ResponseWith("Bad\x01Name: x\r\n") }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
