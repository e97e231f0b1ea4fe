#include "auburntrestle/http/raw_peer.hpp"
#include "platform/engine_documents.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::platform::test {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

/** The statuses of the runs of an item that fail; the next run succeeds. */
struct RepeatedFailureCase
{
  std::string m_name;
  std::vector<int> m_failures;
};

/** A small deployment with one engine, which sends the response to the first
 * run of an item a second time while it works on the second run. */
class RepeatedFailureTest
  : public SmallDeployment
  , public testing::TestWithParam<RepeatedFailureCase>
{
protected:
  static constexpr Duration kRunTime = std::chrono::milliseconds(60);
  static constexpr Duration kCopyDelay = std::chrono::milliseconds(30);

  void HandleRequest(RawPeer& aPeer)
  {
    if (AsksForReport(aPeer.Received())) {
      aPeer.Send(ReportResponse());
      return;
    }
    const std::string response = ResponseTo(m_runs++);
    SendAfter(kRunTime, aPeer, response);
    if (m_runs == 1) {
      SendAfter(kRunTime + kCopyDelay, aPeer, response);
    }
  }

  void SendAfter(Duration aDelay, RawPeer& aPeer, const std::string& aBytes)
  {
    m_loop.After(aDelay, [peer = aPeer.shared_from_this(), aBytes] {
      peer->Send(aBytes);
    });
  }

  [[nodiscard]] static std::string ResponseTo(std::size_t aRun)
  {
    const auto& failures = GetParam().m_failures;
    if (aRun < failures.size()) {
      return Response(std::to_string(failures[aRun]) + " Error", "", "error");
    }
    return Response("200 OK",
                    std::string("Content-Type: text/event-stream\r\n") +
                      names::kWeightVersion + ": 1\r\n",
                    "id: 1\ndata: output\n\n");
  }

  /** @return a response to the item.
   * @param aLines further lines of its head. */
  [[nodiscard]] static std::string Response(const std::string& aStatus,
                                            const std::string& aLines,
                                            const std::string& aBody)
  {
    return "HTTP/1.1 " + aStatus + "\r\n" + names::kRequestId + ": item0\r\n" +
           names::kSignature + ": s\r\n" + aLines +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  /** @return the state of the job's only item when it has one. */
  std::string ReadItemState()
  {
    const auto read =
      WithId("GET", "/auburntrestle/lots/job-1?after=0", "", "read");
    while (true) {
      const auto response = FetchFrom(Target::Callers, read);
      const Json document = response && response->m_status == 200
                              ? Json::parse(response->m_body)
                              : Json();
      if (document.contains("results") && !document["results"].empty()) {
        return document["results"][0]["state"];
      }
      WaitFor(std::chrono::milliseconds(20));
    }
  }

  std::size_t m_runs = 0;
  RawServer m_engine{ m_loop,
                      [this](RawPeer& aPeer) { HandleRequest(aPeer); } };
};

// Guards against an item that is given up too early: a copy of the failure of
// its first run was taken for the response to its second run, and counted as
// another failure.
TEST_P(RepeatedFailureTest, CountsOnce)
{
  SetUpService(ConfigurationWithEngines());
  Announce("e-1", "engines", m_engine);
  RunUntilStatus(
    202, Target::Callers, WithId("POST", "/jobs/a", MakeJob(1), "job-1"));
  EXPECT_EQ(ReadItemState(), "completed");
  EXPECT_EQ(m_runs, GetParam().m_failures.size() + 1);
}

INSTANTIATE_TEST_SUITE_P(
  Items,
  RepeatedFailureTest,
  testing::Values(RepeatedFailureCase{ "one_failure", { 500 } },
                  RepeatedFailureCase{ "as_many_as_allowed", { 500, 500 } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
