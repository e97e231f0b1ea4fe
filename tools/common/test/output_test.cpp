#include "common/output.hpp"
#include "common/prompt.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::tools {
namespace {

// Guards against a resumed output that differs from the complete one.
TEST(Output, IsTheSequenceOfItsTokens)
{
  const std::string prompt = MakePrompt({}, "catalogo", 7);
  const auto length = OutputLength(prompt, 200);
  std::string joined;
  for (std::uint64_t index = 0; index < length; ++index) {
    joined += OutputToken(prompt, index);
  }
  EXPECT_EQ(joined, ExpectedOutput(prompt, 200));
}

// Guards against equal outputs, which would hide mixed-up responses.
TEST(Output, DiffersBetweenPrompts)
{
  EXPECT_NE(OutputToken("one", 0), OutputToken("two", 0));
  EXPECT_NE(MakePrompt({}, "a", 1), MakePrompt({}, "a", 2));
  EXPECT_NE(MakePrompt({}, "a", 1), MakePrompt({}, "b", 1));
}

// Guards against lengths out of bounds and a tail that is not heavy.
TEST(Output, LengthsAreBoundedAndHeavyTailed)
{
  constexpr std::uint64_t kMaxTokens = 400;
  std::uint64_t shortOnes = 0;
  std::uint64_t longest = 0;
  for (int number = 0; number < 2000; ++number) {
    const auto length =
      OutputLength("prompt " + std::to_string(number), kMaxTokens);
    ASSERT_GE(length, 1U);
    ASSERT_LE(length, kMaxTokens);
    shortOnes += length <= kMaxTokens / 20 ? 1 : 0;
    longest = std::max(longest, length);
  }
  EXPECT_GT(shortOnes, 900U);
  EXPECT_EQ(longest, kMaxTokens);
  EXPECT_EQ(OutputLength("x", 0), 0U);
}

// Guards against a prompt family without a common prefix for the cache.
TEST(Prompt, SharesThePrefixOfItsFamily)
{
  const PromptShape shape{ 1, 64, 96 };
  const auto one = MakePrompt(shape, "a", 1);
  const auto two = MakePrompt(shape, "a", 2);
  EXPECT_EQ(one.substr(0, 256), two.substr(0, 256));
  EXPECT_GE(PromptTokens(one), 96U);
}

} // namespace
} // namespace auburntrestle::tools
