#include "platform/crowds/request_bytes.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace auburntrestle::platform::test {
namespace {

/** A crowd of clients at one address. */
struct CrowdCase
{
  std::string m_name;
  Target m_target{};
  int m_clients = 0;
  /** What a client sends. */
  std::function<std::string(int)> m_bytes;
  SendPace m_pace = {};
  /** Bytes of the responses to ordinary requests, and of a field in the
   * configuration. */
  std::size_t m_responseBytes = kMediumBody;
  std::size_t m_notesBytes = kMediumBody;
  /** The time that a backend server needs for an ordinary request. */
  Duration m_runTime{};
};

/** More than the system buffers for a connection on loopback. */
constexpr std::size_t kLargeResponse = 3'900'000;

/** The pace of clients that stay just above a minimum of 1 KiB in 500 ms. */
constexpr SendPace kSlowPieces{ 1024, std::chrono::milliseconds(400) };
/** The pace of clients that send large bodies piece by piece. */
constexpr SendPace kLargePieces{ std::size_t{ 64 } * 1024,
                                 std::chrono::milliseconds(400) };
/** The time for which a crowd is observed. A body of 31,000 bytes in slow
 * pieces takes 12 s. */
constexpr Duration kCalmTime = std::chrono::seconds(3);
constexpr Duration kPiecesTime = std::chrono::seconds(13);

/** @return what all clients of a crowd send. */
std::function<std::string(int)> Same(std::string aBytes)
{
  return [bytes = std::move(aBytes)](int) { return bytes; };
}

/** @return requests that differ in their id. */
std::function<std::string(int)> OwnIds(std::string aMethod,
                                       std::string aPath,
                                       std::string aBody)
{
  return [method = std::move(aMethod),
          path = std::move(aPath),
          body = std::move(aBody)](int aClient) {
    return WholeRequest(method, path, body, "crowd" + std::to_string(aClient));
  };
}

/** A small deployment with large bodies and batch jobs, and a crowd of clients
 * at one of its addresses. */
class ClientCrowdsTest
  : public SmallDeployment
  , public testing::TestWithParam<CrowdCase>
{
protected:
  static constexpr auto kJob = "crowd-items";
  static constexpr std::size_t kItemBytes = 600'000;

  static Json LargeConfiguration()
  {
    Json configuration = ConfigurationWithEngines();
    configuration["limits"]["body_bytes"] = kBodyLimit;
    configuration["notes"] = std::string(GetParam().m_notesBytes, 'n');
    return configuration;
  }

  /** Sets the service up, with a job whose item can be read. No engine takes
   * it. */
  void SetUpLargeService()
  {
    SetUpService(LargeConfiguration());
    const std::string job =
      JobOfItems(std::string(kItemBytes, 'A'), kMediumBody);
    RunUntilStatus(202, Target::Callers, WithId("POST", "/jobs/a", job, kJob));
    m_sampler.SetPlainResponse(std::string(GetParam().m_responseBytes, 'r'));
    m_sampler.SetRunTime(GetParam().m_runTime);
  }

  /** Sends an ordinary request with the retries of a caller. */
  [[nodiscard]] bool IsServed(const OrdinaryRequest& aRequest)
  {
    constexpr int kAttempts = 10;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      if (Send(aRequest.m_target,
               aRequest.m_method,
               aRequest.m_path,
               aRequest.m_body) == 200) {
        return true;
      }
      WaitFor(std::chrono::milliseconds(100));
    }
    return false;
  }

  ClientCrowd m_crowd{ m_loop, Buffering::Network };
};

// Guards against clients within the limits for one request that together fill
// the memory of a process, or keep others out: it ran out of memory and ended.
TEST_P(ClientCrowdsTest, LeaveRoomForOthers)
{
  SetUpLargeService();
  for (int client = 0; client < GetParam().m_clients; ++client) {
    m_crowd.Connect(1,
                    m_addresses.at(GetParam().m_target),
                    GetParam().m_bytes(client),
                    GetParam().m_pace);
  }
  const bool inPieces = GetParam().m_pace.m_pieceBytes > 0;
  WaitFor(inPieces ? kPiecesTime : kCalmTime);
  for (const auto& request : OrdinaryRequests()) {
    EXPECT_TRUE(IsServed(request)) << request.m_method << request.m_path;
  }
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Heads,
  ClientCrowdsTest,
  testing::Values(CrowdCase{ "whole_short_lines",
                             Target::Callers,
                             300,
                             Same(WholeHead("a:\r\n")) },
                  CrowdCase{ "whole_short_lines_at_the_same_time",
                             Target::Callers,
                             300,
                             Same(WholeHead("a:\r\n")),
                             {},
                             kMediumBody,
                             kMediumBody,
                             std::chrono::seconds(1) },
                  CrowdCase{ "whole_folded_lines",
                             Target::Callers,
                             300,
                             Same(WholeHead("a: b\r\n c\r\n")) },
                  CrowdCase{ "short_lines_in_pieces",
                             Target::Callers,
                             400,
                             Same(WholeHead("a:\r\n")),
                             kSlowPieces },
                  CrowdCase{ "control_lines_in_pieces",
                             Target::Control,
                             400,
                             Same(WholeHead("a:\r\n")),
                             kSlowPieces }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Bodies,
  ClientCrowdsTest,
  testing::Values(
    CrowdCase{
      "whole_bodies",
      Target::Callers,
      100,
      Same(WholeRequest("POST", "/plain/x", std::string(kMediumBody, 'x'))) },
    CrowdCase{
      "whole_bodies_at_the_same_time",
      Target::Callers,
      100,
      Same(WholeRequest("POST", "/plain/x", std::string(kMediumBody, 'x'))),
      {},
      kMediumBody,
      kMediumBody,
      std::chrono::seconds(1) },
    CrowdCase{
      "whole_large_bodies",
      Target::Callers,
      8,
      Same(WholeRequest("POST", "/plain/x", std::string(kLargeBody, 'x'))) },
    CrowdCase{ "bodies_of_the_reserve_in_pieces",
               Target::Callers,
               400,
               Same(UnfinishedBody(24'000)),
               kSlowPieces },
    CrowdCase{ "small_bodies_in_pieces",
               Target::Callers,
               400,
               Same(UnfinishedBody(31'000)),
               kSlowPieces },
    CrowdCase{ "medium_bodies_in_slow_pieces",
               Target::Callers,
               400,
               Same(UnfinishedBody(kMediumBody)),
               kSlowPieces },
    CrowdCase{ "medium_bodies_in_large_pieces",
               Target::Callers,
               100,
               Same(UnfinishedBody(kMediumBody)),
               kLargePieces },
    CrowdCase{ "small_chunks_in_pieces",
               Target::Callers,
               400,
               Same(UnfinishedChunks("1\r\nx\r\n", 150'000)),
               kSlowPieces },
    CrowdCase{ "control_bodies_of_the_reserve_in_pieces",
               Target::Control,
               400,
               Same(UnfinishedBody(24'000)),
               kSlowPieces },
    CrowdCase{ "control_bodies_in_pieces",
               Target::Control,
               400,
               Same(UnfinishedBody(31'000)),
               kSlowPieces }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Jobs,
  ClientCrowdsTest,
  testing::Values(
    CrowdCase{
      "numbers",
      Target::Callers,
      4,
      OwnIds("POST", "/jobs/a", Document("{\"requests\":[1", ",1", "]}")) },
    CrowdCase{
      "nested_lists",
      Target::Callers,
      4,
      OwnIds("POST", "/jobs/a", Document("{\"requests\":[", "[", "")) },
    CrowdCase{
      "nested_objects",
      Target::Callers,
      4,
      OwnIds("POST", "/jobs/a", Document("{\"requests\":[", "{\"a\":", "")) },
    CrowdCase{ "fields",
               Target::Callers,
               4,
               OwnIds("POST", "/jobs/a", DocumentOfFields("{", "0", "}")) },
    CrowdCase{
      "numbers_in_an_item",
      Target::Callers,
      4,
      OwnIds("POST",
             "/jobs/a",
             Document("{\"requests\":[{\"id\":\"i\",\"x\":[1", ",1", "]}]}")) },
    CrowdCase{ "headers_of_an_item",
               Target::Callers,
               4,
               OwnIds("POST",
                      "/jobs/a",
                      DocumentOfFields("{\"requests\":[{\"id\":\"i\","
                                       "\"path\":\"/jobs/1/x\",\"body\":\"\","
                                       "\"headers\":{",
                                       "\"\"",
                                       "}}]}")) },
    CrowdCase{ "small_items",
               Target::Callers,
               4,
               OwnIds("POST", "/jobs/a", JobOfItems("", kLargeBody)) },
    CrowdCase{ "many_jobs_of_small_items",
               Target::Callers,
               100,
               OwnIds("POST", "/jobs/a", JobOfItems("", kMediumBody)) },
    CrowdCase{ "many_jobs_of_large_items",
               Target::Callers,
               100,
               OwnIds("POST",
                      "/jobs/a",
                      JobOfItems(std::string(80'000, 'A'), kMediumBody)) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Control,
  ClientCrowdsTest,
  testing::Values(
    CrowdCase{ "configurations_of_numbers",
               Target::Control,
               4,
               Same(WholeRequest(
                 "PUT",
                 "/auburntrestle/config",
                 Document("{\"version\":2,\"routes\":[1", ",1", "]}"))) },
    CrowdCase{
      "configurations_of_lists",
      Target::Control,
      4,
      Same(WholeRequest("PUT",
                        "/auburntrestle/config",
                        Document("{\"version\":2,\"routes\":[", "[", ""))) },
    CrowdCase{ "configurations_of_fields",
               Target::Control,
               4,
               Same(WholeRequest("PUT",
                                 "/auburntrestle/config",
                                 DocumentOfFields("{", "0", "}"))) },
    CrowdCase{ "heartbeats_of_fields",
               Target::Control,
               4,
               Same(WholeRequest("PUT",
                                 "/auburntrestle/instances/i-9",
                                 DocumentOfFields("{", "0", "}"))) },
    CrowdCase{ "versions_of_lists",
               Target::Control,
               4,
               Same(WholeRequest("POST",
                                 "/auburntrestle/version-put",
                                 Document("{\"model\":[", "[", ""))) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Unread,
  ClientCrowdsTest,
  testing::Values(
    CrowdCase{ "responses",
               Target::Callers,
               100,
               Same(SentAhead(WholeRequest("POST", "/plain/x", "query"), 8)) },
    CrowdCase{
      "responses_on_few_connections",
      Target::Callers,
      8,
      Same(SentAhead(WholeRequest("POST", "/plain/x", "query"), 1000)) },
    CrowdCase{ "responses_at_the_same_time",
               Target::Callers,
               200,
               Same(SentAhead(WholeRequest("POST", "/plain/x", "query"), 2)),
               {},
               kMediumBody,
               kMediumBody,
               std::chrono::seconds(1) },
    CrowdCase{ "responses_of_30_kb_at_the_same_time",
               Target::Callers,
               300,
               Same(SentAhead(WholeRequest("POST", "/plain/x", "query"), 2)),
               {},
               30'000,
               kMediumBody,
               std::chrono::seconds(1) },
    CrowdCase{ "large_responses",
               Target::Callers,
               60,
               Same(SentAhead(WholeRequest("POST", "/plain/x", "query"), 2)),
               {},
               kLargeResponse },
    CrowdCase{
      "large_configurations",
      Target::Control,
      40,
      Same(SentAhead(StartHead("GET", "/auburntrestle/config") + "\r\n", 2)),
      {},
      kMediumBody,
      kLargeResponse },
    CrowdCase{
      "item_bodies",
      Target::Callers,
      100,
      Same(SentAhead(
        StartHead("GET", "/auburntrestle/items/crowd-items?id=i0") + "\r\n",
        20)) },
    CrowdCase{
      "configurations",
      Target::Control,
      100,
      Same(SentAhead(StartHead("GET", "/auburntrestle/config") + "\r\n", 20)) },
    CrowdCase{ "entry_metrics",
               Target::EntryMetrics,
               300,
               Same(SentAhead(StartHead("GET", "/metrics") + "\r\n", 500)) },
    CrowdCase{ "store_metrics",
               Target::StoreMetrics,
               300,
               Same(SentAhead(StartHead("GET", "/metrics") + "\r\n", 500)) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
