#include "common/prompt.hpp"

#include "common/output.hpp"

#include <xxhash.h>

#include <array>

namespace auburntrestle::tools {

namespace internal {

/** Appends pseudo-random words until the text has aTokens tokens. */
void FillWords(std::string& aText, std::uint64_t aTokens, std::uint64_t aSeed)
{
  static constexpr std::array<std::string_view, 16> kWords{
    "azulejo", "roof", "tile", "kiln",  "clay", "price", "order", "glaze",
    "sand",    "load", "ship", "stock", "ruby", "slate", "round", "ledge"
  };
  std::uint64_t state = aSeed;
  while (PromptTokens(aText) < aTokens) {
    state = XXH64(&state, sizeof(state), aSeed);
    aText += kWords[state % kWords.size()];
    aText += ' ';
  }
}

} // namespace internal

std::string MakePrompt(const PromptShape& aShape,
                       std::string_view aFamily,
                       std::uint64_t aNumber)
{
  const auto familySeed = XXH64(aFamily.data(), aFamily.size(), aShape.m_seed);
  std::string result;
  internal::FillWords(result, aShape.m_sharedTokens, familySeed);
  result += std::string(aFamily) + " " + std::to_string(aNumber) + ": ";
  internal::FillWords(
    result, aShape.m_tokens, XXH64(&aNumber, sizeof(aNumber), familySeed));
  return result;
}

} // namespace auburntrestle::tools
