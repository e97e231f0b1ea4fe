#ifndef AUBURNTRESTLE_TOOLS_COMMON_PROMPT_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_PROMPT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::tools {

/** Parameters of generated prompts. */
struct PromptShape
{
  std::uint64_t m_seed = 1;
  /** Tokens that all prompts of one family share at the start. */
  std::uint64_t m_sharedTokens = 64;
  /** Tokens of the complete prompt; must exceed m_sharedTokens by a few. */
  std::uint64_t m_tokens = 96;
};

/**
 * Makes a prompt.
 *
 * @param aFamily prompts of one family share a prefix.
 * @param aNumber differs between prompts of one family.
 */
[[nodiscard]] std::string MakePrompt(const PromptShape& aShape,
                                     std::string_view aFamily,
                                     std::uint64_t aNumber);

} // namespace auburntrestle::tools

#endif
