#include "platform/crowds/request_bytes.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace auburntrestle::platform::test {
namespace {

/** The body limit of the platform's configurations, and a body within it. */
constexpr std::size_t kPlatformBodyLimit = 33'554'432;
constexpr std::size_t kLargestBody = 33'000'000;

/** @return the smallest machines of the platform, with the limits that follow
 * from their memory. */
MachineSize SmallestMachines()
{
  return { 110, 4100, "" };
}

/** A crowd of clients that send large requests to callers' addresses. */
struct LargeCase
{
  std::string m_name;
  int m_clients = 0;
  std::string m_path;
  std::function<std::string()> m_body;
};

/** A deployment of the smallest machines of the platform. */
class DefaultLimitsTest
  : public SmallDeployment
  , public testing::TestWithParam<LargeCase>
{
protected:
  DefaultLimitsTest()
    : SmallDeployment(SmallestMachines())
  {
  }

  static Json PlatformConfiguration()
  {
    Json configuration = ConfigurationWithEngines();
    configuration["limits"]["body_bytes"] = kPlatformBodyLimit;
    return configuration;
  }

  ClientCrowd m_crowd{ m_loop, Buffering::Network };
};

// Guards against default limits that together exceed the memory of a machine:
// many large requests of legal size at once ended the process.
TEST_P(DefaultLimitsTest, LeaveRoomForOthers)
{
  SetUpService(PlatformConfiguration());
  m_sampler.SetPlainResponse("answer");
  m_sampler.SetRunTime(std::chrono::seconds(1));
  for (int client = 0; client < GetParam().m_clients; ++client) {
    m_crowd.Connect(1,
                    m_addresses.at(Target::Callers),
                    WholeRequest("POST",
                                 GetParam().m_path,
                                 GetParam().m_body(),
                                 "crowd" + std::to_string(client)));
  }
  WaitFor(std::chrono::seconds(3));
  for (const auto& request : OrdinaryRequests()) {
    SendUntilServed(
      request.m_target, request.m_method, request.m_path, request.m_body);
  }
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Bodies,
  DefaultLimitsTest,
  testing::Values(LargeCase{ "of_the_largest_size",
                             8,
                             "/plain/x",
                             [] { return std::string(kLargestBody, 'x'); } },
                  LargeCase{ "of_a_few_megabytes",
                             40,
                             "/plain/x",
                             [] { return std::string(4'000'000, 'x'); } },
                  LargeCase{ "jobs_of_large_items",
                             8,
                             "/jobs/a",
                             [] {
                               return JobOfItems(std::string(800'000, 'A'),
                                                 kLargestBody);
                             } },
                  LargeCase{ "jobs_of_small_items",
                             8,
                             "/jobs/a",
                             [] { return JobOfItems("", kLargestBody); } },
                  LargeCase{ "jobs_of_numbers",
                             8,
                             "/jobs/a",
                             [] {
                               return Document(
                                 "{\"requests\":[1", ",1", "]}", kLargestBody);
                             } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
