#include "auburntrestle/operator_client/explain.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace auburntrestle::operator_client {
namespace {

class ExplainTest : public testing::Test
{
protected:
  ExplainTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("trestle-explain-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_folder);
  }
  ~ExplainTest() override { std::filesystem::remove_all(m_folder); }

  void Write(const std::string& aInstance, const std::string& aLines) const
  {
    std::ofstream(m_folder / (aInstance + ".log")) << aLines;
  }

  std::filesystem::path m_folder;
};

struct CauseCase
{
  std::string m_name;
  std::string m_lines;
  std::string m_cause;
};

class CauseTest
  : public ExplainTest
  , public testing::WithParamInterface<CauseCase>
{};

TEST_P(CauseTest, IsDetermined)
{
  Write("entry-1", GetParam().m_lines);
  const auto explanation = Explain("r1", m_folder);
  ASSERT_TRUE(explanation);
  EXPECT_EQ(explanation->m_cause, GetParam().m_cause);
}

INSTANTIATE_TEST_SUITE_P(
  Causes,
  CauseTest,
  testing::Values(
    CauseCase{ "no_backend",
               "time=1 event=request_refused request=r1 configuration=4 "
               "status=503 tried=0\n",
               "no backend server of its service was usable under "
               "configuration 4" },
    CauseCase{ "all_failed",
               "time=1 event=backend_failed request=r1 backend=b "
               "failure=broken_off\n"
               "time=2 event=request_refused request=r1 status=502 tried=1\n",
               "all 1 backend servers that it was sent to refused or failed; "
               "before that, backend server b: broken_off" },
    CauseCase{ "time_limit",
               "time=1 event=request_refused request=r1 status=504 tried=1\n",
               "the time limit passed while a backend server worked on it" },
    CauseCase{ "no_route",
               "time=1 event=no_route request=r1 configuration=9\n",
               "no route of configuration 9 matches its host and path" },
    CauseCase{ "caller_left",
               "time=1 event=caller_left request=r1\n",
               "the caller closed its connection before the response" },
    CauseCase{ "lost_for_its_reward",
               "time=1 event=reward_started job=j item=r1 reward=w backend=b\n"
               "time=2 event=reward_unsuccessful job=j item=r1 reward=w "
               "backend=b reason=failed\n"
               "time=2 event=reward_attempt_failed job=j item=r1 reward=w "
               "status=500 failures=4\n"
               "time=3 event=reward_finished job=j item=r1 reward=w scored=0\n"
               "time=4 event=item_finished job=j item=r1 lost=1\n",
               "given up; before that, the reward model failed its reward call "
               "with 500, attempt 4" },
    CauseCase{ "late_reward",
               "time=1 event=reward_unsuccessful job=j item=i reward=r1 "
               "backend=b reason=timed_out\n",
               "its reward call to backend server b ended: timed_out" },
    CauseCase{ "lost_item",
               "time=1 event=item_attempt_failed job=j item=r1 status=422 "
               "attempts=1\n"
               "time=2 event=item_finished job=j item=r1 lost=1\n",
               "given up; before that, an engine failed it with 422, attempt "
               "1" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST_F(ExplainTest, CollectsRecordsOfAllInstancesSortedByTime)
{
  Write("store-1", "time=3 event=job_accepted job=r1\n");
  Write("entry-1",
        "noise\ntime=2 event=job_submitted job=r1 outcome=0\n"
        "time=4 event=item_finished job=r1 item=x lost=0\n"
        "time=5 event=item_run_broken job=r1 item=y reason=\"a b\"\n"
        "time=6 event=job_submitted job=other outcome=0\n");
  const auto explanation = Explain("r1", m_folder);
  ASSERT_TRUE(explanation);
  ASSERT_EQ(explanation->m_records.size(), 3U);
  EXPECT_EQ(explanation->m_records[0].m_instance, "entry-1");
  EXPECT_EQ(explanation->m_records[1].m_instance, "store-1");
  EXPECT_EQ(explanation->m_records[2].Field("reason"), "a b");
  EXPECT_NE(RenderExplanation(*explanation).find("cause: "), std::string::npos);
  EXPECT_NE(ExplanationAsJson(*explanation).find("\"records\""),
            std::string::npos);
}

TEST_F(ExplainTest, UnknownIdAndMissingFolderAreErrors)
{
  EXPECT_FALSE(Explain("r1", m_folder));
  EXPECT_FALSE(Explain("r1", m_folder / "none"));
}

} // namespace
} // namespace auburntrestle::operator_client
