#include "common/batch_verifier.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace auburntrestle::tools {
namespace {

using nlohmann::json;

StepShape Shape()
{
  StepShape shape;
  shape.m_groups = 2;
  shape.m_samples = 2;
  shape.m_stalenessBound = 1;
  return shape;
}

json Group(std::uint64_t aStep, std::uint64_t aGroup)
{
  const StepShape shape = Shape();
  const auto prompt = shape.PromptOf(aStep, aGroup);
  json samples = json::array();
  for (std::uint64_t index = 0; index < shape.m_samples; ++index) {
    samples.push_back(
      { { "id", "x" },
        { "step", aStep },
        { "group", aGroup },
        { "index", index },
        { "prompt", prompt },
        { "text", ExpectedOutput(prompt, shape.m_maxTokens) },
        { "trail",
          json::array(
            { { { "version", 4 },
                { "tokens", OutputLength(prompt, shape.m_maxTokens) } } }) } });
  }
  return samples;
}

const VersionWindow kVersions{ 5, 5 };

TEST(BatchVerifier, AcceptsASoundStep)
{
  BatchVerifier verifier(Shape());
  EXPECT_TRUE(verifier.Check({ { "samples", Group(1, 0) } }, kVersions)
                .m_violations.empty());
  const auto findings =
    verifier.Check({ { "samples", Group(1, 1) } }, kVersions);
  EXPECT_TRUE(findings.m_violations.empty());
  EXPECT_EQ(findings.m_completedSteps, std::vector<std::uint64_t>{ 1 });
  EXPECT_EQ(findings.m_staleness.at(1), 2U);
}

struct Fault
{
  std::string m_name;
  std::function<void(json&)> m_apply;
};

// Guards against a verifier that misses a fault of the service.
TEST(BatchVerifier, ReportsEachFault)
{
  const std::vector<Fault> faults{
    { "incomplete group", [](json& aSamples) { aSamples.erase(1); } },
    { "twice", [](json& aSamples) { aSamples[1]["index"] = 0; } },
    { "not requested", [](json& aSamples) { aSamples[1]["index"] = 9; } },
    { "cut text", [](json& aSamples) { aSamples[0]["text"] = "ab"; } },
    { "other prompt", [](json& aSamples) { aSamples[0]["prompt"] = "ab"; } },
    { "stale", [](json& aSamples) { aSamples[0]["trail"][0]["version"] = 3; } },
    { "unknown version",
      [](json& aSamples) { aSamples[0]["trail"][0]["version"] = 0; } },
    { "version not published",
      [](json& aSamples) { aSamples[0]["trail"][0]["version"] = 6; } },
    { "short trail",
      [](json& aSamples) { aSamples[0]["trail"] = json::array(); } },
    { "missing field", [](json& aSamples) { aSamples[0].erase("text"); } },
  };
  for (const auto& fault : faults) {
    BatchVerifier verifier(Shape());
    json samples = Group(1, 0);
    fault.m_apply(samples);
    EXPECT_FALSE(verifier.Check({ { "samples", samples } }, kVersions)
                   .m_violations.empty())
      << fault.m_name;
  }
}

// Guards against a restarted trainer that forgets what it received.
TEST(BatchVerifier, RemembersSamplesOverARestart)
{
  BatchVerifier first(Shape());
  EXPECT_TRUE(first.Check({ { "samples", Group(1, 0) } }, kVersions)
                .m_violations.empty());
  BatchVerifier second(Shape());
  second.Restore(json::parse(first.Save().dump()));
  EXPECT_EQ(
    second.Check({ { "samples", Group(1, 0) } }, kVersions).m_violations.size(),
    2U);
  EXPECT_TRUE(second.Check({ { "samples", Group(1, 1) } }, kVersions)
                .m_violations.empty());
  EXPECT_EQ(second.CompletedSteps(), 1U);
}

} // namespace
} // namespace auburntrestle::tools
