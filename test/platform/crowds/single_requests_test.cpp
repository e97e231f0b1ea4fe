#include "platform/crowds/request_bytes.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace auburntrestle::platform::test {
namespace {

/** One request within the limits, and its status. */
struct SingleCase
{
  std::string m_name;
  std::string m_path;
  std::function<std::string()> m_body;
  int m_status = 0;
  /** Header fields beside the usual ones. */
  int m_fields = 0;
};

/** A small deployment in calm. */
class SingleRequestsTest
  : public SmallDeployment
  , public testing::TestWithParam<SingleCase>
{
protected:
  static Json LargeConfiguration()
  {
    Json configuration = ConfigurationWithEngines();
    configuration["limits"]["body_bytes"] = kBodyLimit;
    return configuration;
  }
};

// Guards against limits that refuse a single request within the configuration's
// limits: it has to be served in calm, and within the memory.
TEST_P(SingleRequestsTest, IsServedInCalm)
{
  SetUpService(LargeConfiguration());
  // A response of the request's size would exceed the limit of responses.
  m_sampler.SetPlainResponse("answer");
  http::Request request =
    WithId("POST", GetParam().m_path, GetParam().m_body(), "single");
  for (int field = 0; field < GetParam().m_fields; ++field) {
    request.m_headers.Add("a", "");
  }
  EXPECT_EQ(Send(Target::Callers, request), GetParam().m_status);
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Callers,
  SingleRequestsTest,
  testing::Values(
    SingleCase{ "large_body",
                "/plain/x",
                [] { return std::string(kLargeBody, 'x'); },
                200 },
    SingleCase{ "short_lines", "/plain/x", [] { return "query"; }, 200, 3000 },
    SingleCase{ "job_of_large_items",
                "/jobs/a",
                [] { return JobOfItems(std::string(80'000, 'A'), kLargeBody); },
                202 },
    SingleCase{ "job_of_ordinary_items",
                "/jobs/a",
                [] { return JobOfItems(std::string(1'000, 'A'), kMediumBody); },
                202 },
    SingleCase{ "job_of_small_items",
                "/jobs/a",
                [] { return JobOfItems("", kMediumBody); },
                202 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
