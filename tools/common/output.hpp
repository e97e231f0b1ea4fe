#ifndef AUBURNTRESTLE_TOOLS_COMMON_OUTPUT_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_OUTPUT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::tools {

/**
 * Distribution of the output lengths: a Pareto distribution that starts at
 * max_tokens / spread and is clamped to max_tokens, so that the longest outputs
 * are `spread` times as long as the shortest ones.
 */
struct OutputShape
{
  std::uint64_t m_seed = 1;
  double m_spread = 40.0;
  /** Smaller values give a heavier tail. */
  double m_tailIndex = 1.1;
};

/** @return the text of the output token at an index, counted from 0. */
[[nodiscard]] std::string OutputToken(std::string_view aPrompt,
                                      std::uint64_t aIndex);

/** @return the number of tokens of an output; at least 1, unless aMaxTokens
 *  is 0. */
[[nodiscard]] std::uint64_t OutputLength(std::string_view aPrompt,
                                         std::uint64_t aMaxTokens,
                                         const OutputShape& aShape = {});

/** @return the complete output that every engine produces for a prompt. */
[[nodiscard]] std::string ExpectedOutput(std::string_view aPrompt,
                                         std::uint64_t aMaxTokens,
                                         const OutputShape& aShape = {});

/** @return the number of tokens of a prompt: one for each four bytes. */
[[nodiscard]] std::uint64_t PromptTokens(std::string_view aPrompt) noexcept;

/** @return the score that the fake service gives to an output, in [0, 1). */
[[nodiscard]] double ScoreOf(std::string_view aText) noexcept;

} // namespace auburntrestle::tools

#endif
