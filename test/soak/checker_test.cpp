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

std::string Whole(const std::string& aItem, int aVersion)
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

/** What callers and engines see when one promise is broken. */
struct PlantedFault
{
  std::string m_name;
  std::function<void(Checker&)> m_plant;
};

void PrintTo(const PlantedFault& aFault, std::ostream* aStream)
{
  *aStream << aFault.m_name;
}

class CheckerTest : public testing::TestWithParam<PlantedFault>
{};

// Guards against a soak that passes because its checks see nothing.
TEST_P(CheckerTest, CatchesAPlantedFault)
{
  Checker checker;
  GetParam().m_plant(checker);
  checker.Finish();
  EXPECT_EQ(checker.Violations().size(), 1U);
}

void Read(Checker& aChecker, AcceptedJob& aJob, const Json& aResults)
{
  aChecker.ReadResults("job", aJob, 0, View(aResults));
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  CheckerTest,
  testing::Values(
    PlantedFault{ "answer of another request",
                  [](Checker& aChecker) {
                    aChecker.Answered("q1", 200, "answer to q2", "stamp-q1");
                  } },
    PlantedFault{ "refused and ran",
                  [](Checker& aChecker) {
                    aChecker.Ran("q1");
                    aChecker.Answered("q1", 503, "", "");
                  } },
    PlantedFault{ "ran twice",
                  [](Checker& aChecker) {
                    aChecker.SentOnce("q1");
                    aChecker.Ran("q1");
                    aChecker.Ran("q1");
                  } },
    PlantedFault{ "job missing",
                  [](Checker& aChecker) { aChecker.JobMissing("job"); } },
    PlantedFault{
      "result changed",
      [](Checker& aChecker) {
        AcceptedJob job = Job();
        Read(aChecker, job, Json::array({ Result("a", Whole("a", 2), 2) }));
        Read(aChecker, job, Json::array({ Result("a", Whole("a", 3), 3) }));
      } },
    PlantedFault{ "item listed twice",
                  [](Checker& aChecker) {
                    AcceptedJob job = Job();
                    const auto result = Result("a", Whole("a", 2), 2);
                    Read(aChecker, job, Json::array({ result, result }));
                  } },
    PlantedFault{ "item of another job",
                  [](Checker& aChecker) {
                    AcceptedJob job = Job();
                    Read(aChecker,
                         job,
                         Json::array({ Result("c", Whole("c", 2), 2) }));
                  } },
    PlantedFault{ "text cut short",
                  [](Checker& aChecker) {
                    AcceptedJob job = Job();
                    Read(
                      aChecker, job, Json::array({ Result("a", "a-1-v2", 2) }));
                  } },
    PlantedFault{ "wrong version named",
                  [](Checker& aChecker) {
                    AcceptedJob job = Job();
                    Read(aChecker,
                         job,
                         Json::array({ Result("a", Whole("a", 2), 3) }));
                  } },
    PlantedFault{ "version too old",
                  [](Checker& aChecker) {
                    AcceptedJob job = Job();
                    Read(aChecker,
                         job,
                         Json::array({ Result("a", Whole("a", 1), 1) }));
                  } },
    PlantedFault{ "configuration reverts",
                  [](Checker& aChecker) {
                    aChecker.ConfigurationAcknowledged(7);
                    aChecker.ConfigurationRead(6, aChecker.Configuration());
                  } },
    PlantedFault{ "two holders of one fencing number", [](Checker& aChecker) {
                   aChecker.Ordered("i-1", "a", 3);
                   aChecker.Ordered("i-2", "b", 3);
                 } }));

} // namespace
} // namespace auburntrestle::soak
