#include "auburntrestle/http/raw_peer.hpp"
#include "platform/engine_documents.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::platform::test {
namespace {

using http::test::RawPeer;
using http::test::RawServer;

/** A server that sends a stream of two events, each of which names it. */
class StreamingServer
{
public:
  StreamingServer(event_loop::EventLoop& aLoop, std::string aId)
    : m_id(std::move(aId))
    , m_server(aLoop, [this](RawPeer& aPeer) { HandleRequest(aPeer); })
  {
  }

  /** Breaks the next stream off after its first event, and refuses all requests
   * after it. */
  void BreakOff() { m_breaksOff = true; }

  [[nodiscard]] const std::string& Id() const { return m_id; }
  [[nodiscard]] const RawServer& Server() const { return m_server; }

  /** @return the data of an event of a server. */
  [[nodiscard]] static std::string Data(const std::string& aId, int aEvent)
  {
    return aId + "-" + std::to_string(aEvent);
  }

private:
  static constexpr int kEvents = 2;

  /** @return the last value of a header field that was received, or nothing. */
  [[nodiscard]] static std::optional<std::string> FieldOf(
    const std::string& aRequest,
    const std::string& aName)
  {
    const std::string prefix = "\r\n" + aName + ": ";
    const auto found = aRequest.find(prefix);
    if (found == std::string::npos) {
      return std::nullopt;
    }
    const auto start = found + prefix.size();
    return aRequest.substr(start, aRequest.find("\r\n", start) - start);
  }

  void HandleRequest(RawPeer& aPeer)
  {
    if (AsksForReport(aPeer.Received())) {
      aPeer.Send(ReportResponse());
      return;
    }
    const auto& received = aPeer.Received();
    const std::string request = received.substr(received.rfind("POST "));
    const std::string id = FieldOf(request, names::kRequestId).value_or("");
    if (m_isBroken) {
      aPeer.Send("HTTP/1.1 503 Full\r\n" + std::string(names::kNotRun) +
                 ": 1\r\n" + names::kRequestId + ": " + id +
                 "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
      std::string(names::kRequestId) + ": " + id + "\r\n" + names::kSignature +
      ": s\r\n" + names::kWeightVersion + ": 1\r\n";
    const int last =
      std::stoi(FieldOf(request, names::kLastEvent).value_or("0"));
    if (std::exchange(m_breaksOff, false)) {
      m_isBroken = true;
      aPeer.Send(head + "Content-Length: 1000\r\n\r\n" + Events(last, 1));
      aPeer.ResetLater();
      return;
    }
    const std::string body = Events(last, kEvents);
    aPeer.Send(head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body);
  }

  /** @return the events after one up to another one. */
  [[nodiscard]] std::string Events(int aAfter, int aLast) const
  {
    std::string events;
    for (int event = aAfter + 1; event <= aLast; ++event) {
      events += "id: " + std::to_string(event) +
                "\ndata: " + Data(m_id, event) + "\n\n";
    }
    return events;
  }

  std::string m_id;
  bool m_breaksOff = false;
  bool m_isBroken = false;
  RawServer m_server;
};

/** Further engines beside e-1, which has software v1 and breaks off. */
struct ItemCase
{
  std::string m_name;
  std::vector<std::string> m_softwareOfOthers;
  /** The engines that generated the two events. */
  std::string m_first;
  std::string m_second;
};

class ItemSoftwareTest
  : public SmallDeployment
  , public testing::TestWithParam<ItemCase>
{
protected:
  /** @return the output of the job's only item when it has one. */
  std::string ReadOutput()
  {
    const auto read =
      WithId("GET", "/auburntrestle/lots/job-1?after=0", "", "read");
    while (true) {
      const auto response = FetchFrom(Target::Callers, read);
      const Json document = response && response->m_status == 200
                              ? Json::parse(response->m_body)
                              : Json();
      if (document.contains("results") && !document["results"].empty()) {
        return document["results"][0]["output"];
      }
      WaitFor(std::chrono::milliseconds(20));
    }
  }
};

// Guards against an output that is joined from what two software versions of
// its engines generated, after the run of the first one broke off.
TEST_P(ItemSoftwareTest, ContinuesOnlyAnOutputOfTheSameSoftware)
{
  SetUpService(ConfigurationWithEngines());
  std::vector<std::unique_ptr<StreamingServer>> engines;
  engines.push_back(std::make_unique<StreamingServer>(m_loop, "e-1"));
  engines.front()->BreakOff();
  Announce("e-1", "engines", engines.front()->Server());
  for (const auto& software : GetParam().m_softwareOfOthers) {
    const std::string id = "e-" + std::to_string(engines.size() + 1);
    engines.push_back(std::make_unique<StreamingServer>(m_loop, id));
    Announce(id, "engines", engines.back()->Server(), software);
  }
  WaitFor(std::chrono::milliseconds(500));
  RunUntilStatus(
    202, Target::Callers, WithId("POST", "/jobs/a", MakeJob(1), "job-1"));
  EXPECT_EQ(ReadOutput(),
            StreamingServer::Data(GetParam().m_first, 1) + "\n" +
              StreamingServer::Data(GetParam().m_second, 2));
}

INSTANTIATE_TEST_SUITE_P(
  Engines,
  ItemSoftwareTest,
  testing::Values(
    ItemCase{ "same_software", { "v1" }, "e-1", "e-2" },
    ItemCase{ "other_software", { "v2" }, "e-2", "e-2" },
    ItemCase{ "unknown_software", { "" }, "e-2", "e-2" },
    ItemCase{ "same_software_beside_other", { "v2", "v1" }, "e-1", "e-3" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** A caller that takes a stream up. */
struct StreamCase
{
  std::string m_name;
  bool m_entryRestarts = false;
  /** The servers with the software that began the stream leave before. */
  bool m_softwareLeaves = false;
  /** The request names the stream. */
  bool m_namesStream = true;
};

class StreamSoftwareTest
  : public SmallDeployment
  , public testing::TestWithParam<StreamCase>
{
protected:
  [[nodiscard]] static Json StreamingConfiguration()
  {
    Json configuration = Configuration();
    configuration["routes"].push_back(
      Json::parse(R"({"name":"streams","host":"app.example",
        "path_prefix":"/streams/","route_type":"streaming","timeout_ms":2000,
        "latency_target_ms":400,"priority":1,"service":"writers",
        "max_attempts":2,"resumable":true})"));
    configuration["services"].push_back(Json::parse(R"({"name":"writers",
        "health_path":"/h","max_conns":90,"protocol":"h1","tls":false})"));
    return configuration;
  }

  /** @return the server that answered, or the status of a refusal. */
  std::string AnswerTo(const http::Request& aRequest)
  {
    const auto response = FetchFrom(Target::Callers, aRequest);
    if (!response || response->m_status != 200) {
      return response ? std::to_string(response->m_status) : "none";
    }
    const auto data = response->m_body.find("data: ") + 6;
    return response->m_body.substr(data,
                                   response->m_body.find('-', data) - data);
  }

  [[nodiscard]] static http::Request Resumption(int aTry)
  {
    auto request =
      WithId("POST", "/streams/x", "", "again" + std::to_string(aTry));
    request.m_headers.Add(names::kLastEvent, "1");
    if (GetParam().m_namesStream) {
      request.m_headers.Add("Resumes", "first");
    }
    return request;
  }
};

// Guards against a stream that a caller takes up at a server with another
// software version than the one that began it, also at an instance that has
// restarted meanwhile.
TEST_P(StreamSoftwareTest, GoesOnOnlyAtTheSoftwareThatBeganIt)
{
  constexpr int kTries = 10;
  SetUpService(StreamingConfiguration());
  StreamingServer one(m_loop, "one");
  StreamingServer two(m_loop, "two");
  Announce("w-2", "writers", two.Server(), "v2");
  const auto first = WithId("POST", "/streams/x", "", "first");
  while (AnswerTo(first) != "two") {
    WaitFor(std::chrono::milliseconds(20));
  }
  Announce("w-1", "writers", one.Server(), "v1");
  if (GetParam().m_softwareLeaves) {
    Announce("w-2", "writers", two.Server(), "v2", "draining");
  }
  WaitFor(std::chrono::milliseconds(500));
  const bool goesOn = !GetParam().m_softwareLeaves && GetParam().m_namesStream;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    if (GetParam().m_entryRestarts && attempt == 0) {
      RestartEntry();
      SendUntilServed(Target::Callers, "POST", "/plain/x", "query");
    }
    EXPECT_EQ(AnswerTo(Resumption(attempt)), goesOn ? "two" : "503");
  }
}

INSTANTIATE_TEST_SUITE_P(
  Streams,
  StreamSoftwareTest,
  testing::Values(StreamCase{ "at_the_same_instance" },
                  StreamCase{ "after_a_restart", true },
                  StreamCase{ "after_the_software_left", false, true },
                  StreamCase{ "after_both", true, true },
                  StreamCase{ "without_a_name", false, false, false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
