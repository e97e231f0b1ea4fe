#include "soak/checker.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace auburntrestle::soak {
namespace {

using platform::Json;

/** @return a view of a job of two items that lists some results. */
Json View(const Json& aResults)
{
  return { { "total", 2 },
           { "next", aResults.size() },
           { "results", aResults } };
}

Json Result(const std::string& aItem, const std::string& aOutput, int aVersion)
{
  return { { "id", aItem },
           { "state", "completed" },
           { "output", aOutput },
           { "versions", { aVersion } } };
}

std::string CompleteOutput(const std::string& aItem, int aVersion)
{
  const auto end = "-v" + std::to_string(aVersion);
  return aItem + "-1" + end + "\n" + aItem + "-2" + end + "\n" + aItem + "-3" +
         end;
}

AcceptedJob Job()
{
  AcceptedJob job;
  job.m_items = { "a", "b" };
  job.m_minVersion = 2;
  return job;
}

/** Observations that contain one violation. */
struct InjectedFault
{
  std::string m_name;
  std::function<void(Checker&)> m_inject;
};

void PrintTo(const InjectedFault& aFault, std::ostream* aStream)
{
  *aStream << aFault.m_name;
}

class CheckerTest : public testing::TestWithParam<InjectedFault>
{};

// Guards against a soak test that passes because a check detects nothing.
TEST_P(CheckerTest, DetectsAnInjectedFault)
{
  Checker checker;
  GetParam().m_inject(checker);
  checker.CheckFinalState();
  EXPECT_EQ(checker.Violations().size(), 1U);
}

void Read(Checker& aChecker, AcceptedJob& aJob, const Json& aResults)
{
  aChecker.CheckJobResults("job", aJob, 0, View(aResults));
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  CheckerTest,
  testing::Values(
    InjectedFault{ "answer of another request",
                   [](Checker& aChecker) {
                     aChecker.CheckResponse(
                       "q1", 200, "answer to q2", "stamp-q1");
                   } },
    InjectedFault{ "refused and ran",
                   [](Checker& aChecker) {
                     aChecker.RecordRun("q1");
                     aChecker.CheckResponse("q1", 503, "", "");
                   } },
    InjectedFault{ "ran twice",
                   [](Checker& aChecker) {
                     aChecker.RecordSentOnce("q1");
                     aChecker.RecordRun("q1");
                     aChecker.RecordRun("q1");
                   } },
    InjectedFault{
      "job missing",
      [](Checker& aChecker) { aChecker.RecordMissingJob("job"); } },
    InjectedFault{
      "result changed",
      [](Checker& aChecker) {
        AcceptedJob job = Job();
        Read(aChecker,
             job,
             Json::array({ Result("a", CompleteOutput("a", 2), 2) }));
        Read(aChecker,
             job,
             Json::array({ Result("a", CompleteOutput("a", 3), 3) }));
      } },
    InjectedFault{ "item listed twice",
                   [](Checker& aChecker) {
                     AcceptedJob job = Job();
                     const auto result = Result("a", CompleteOutput("a", 2), 2);
                     Read(aChecker, job, Json::array({ result, result }));
                   } },
    InjectedFault{ "item of another job",
                   [](Checker& aChecker) {
                     AcceptedJob job = Job();
                     Read(
                       aChecker,
                       job,
                       Json::array({ Result("c", CompleteOutput("c", 2), 2) }));
                   } },
    InjectedFault{ "text cut short",
                   [](Checker& aChecker) {
                     AcceptedJob job = Job();
                     Read(aChecker,
                          job,
                          Json::array({ Result("a", "a-1-v2", 2) }));
                   } },
    InjectedFault{ "wrong version named",
                   [](Checker& aChecker) {
                     AcceptedJob job = Job();
                     Read(
                       aChecker,
                       job,
                       Json::array({ Result("a", CompleteOutput("a", 2), 3) }));
                   } },
    InjectedFault{ "version too old",
                   [](Checker& aChecker) {
                     AcceptedJob job = Job();
                     Read(
                       aChecker,
                       job,
                       Json::array({ Result("a", CompleteOutput("a", 1), 1) }));
                   } },
    InjectedFault{ "configuration reverts",
                   [](Checker& aChecker) {
                     aChecker.RecordAcknowledgedConfiguration(7);
                     aChecker.CheckReadConfiguration(
                       6, aChecker.AcknowledgedConfiguration());
                   } },
    InjectedFault{ "two holders of one fencing number", [](Checker& aChecker) {
                    aChecker.RecordOrder("i-1", "a", 3);
                    aChecker.RecordOrder("i-2", "b", 3);
                  } }));

} // namespace
} // namespace auburntrestle::soak
