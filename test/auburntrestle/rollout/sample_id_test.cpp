#include "auburntrestle/rollout/sample_id.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::rollout {
namespace {

// Guards against a sample id that changes in a round trip through its text
// form, so that one sample would count as two.
TEST(SampleIdTest, RoundTripsThroughText)
{
  for (const std::string trainer : { "alpha", "team/alpha", "7" }) {
    const SampleId id{
      TrainerId(trainer), StepNumber(12), GroupIndex(0), SampleIndex(3)
    };
    EXPECT_EQ(ToText(id), trainer + "/12/0/3");
    EXPECT_EQ(ParseSampleId(ToText(id)), id);
  }
}

TEST(SampleIdTest, RefusesMalformedText)
{
  const struct
  {
    std::string_view m_text;
    SampleIdError m_error;
  } cases[] = {
    { "", SampleIdError::MissingPart },
    { "1/2", SampleIdError::MissingPart },
    { "1/2/3", SampleIdError::MissingPart },
    { "/1/2/3", SampleIdError::EmptyTrainer },
    { "t/1/2/", SampleIdError::BadNumber },
    { "t/1/-2/3", SampleIdError::BadNumber },
    { "t/1/02/3", SampleIdError::BadNumber },
    { "t/1/2/4294967296", SampleIdError::BadNumber },
    { "t/x/2/3", SampleIdError::BadNumber },
  };
  for (const auto& entry : cases) {
    const auto parsed = ParseSampleId(entry.m_text);
    ASSERT_FALSE(parsed) << entry.m_text;
    EXPECT_EQ(parsed.error(), entry.m_error) << entry.m_text;
  }
}

} // namespace
} // namespace auburntrestle::rollout
