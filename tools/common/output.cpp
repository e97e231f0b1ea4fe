#include "common/output.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace auburntrestle::tools {

namespace internal {

std::uint64_t Hash(std::string_view aText, std::uint64_t aSeed) noexcept
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

double ToUnit(std::uint64_t aHash) noexcept
{
  // The upper 53 bits fill the mantissa of a double exactly.
  return static_cast<double>(aHash >> 11U) * 0x1.0p-53;
}

} // namespace internal

std::string OutputToken(std::string_view aPrompt, std::uint64_t aIndex)
{
  const auto hash = internal::Hash(aPrompt, aIndex + 1);
  std::array<char, 8> text{};
  std::snprintf(text.data(),
                text.size(),
                aIndex == 0 ? "%04x" : " %04x",
                static_cast<unsigned>(hash & 0xffffU));
  return text.data();
}

std::uint64_t OutputLength(std::string_view aPrompt,
                           std::uint64_t aMaxTokens,
                           const OutputShape& aShape)
{
  if (aMaxTokens == 0) {
    return 0;
  }
  constexpr std::uint64_t kLengthSalt = 0x6c656e677468ULL;
  const double unit =
    1.0 -
    internal::ToUnit(internal::Hash(aPrompt, aShape.m_seed ^ kLengthSalt));
  const double minimum = static_cast<double>(aMaxTokens) / aShape.m_spread;
  const double length = minimum * std::pow(unit, -1.0 / aShape.m_tailIndex);
  const double bounded =
    std::clamp(std::ceil(length), 1.0, static_cast<double>(aMaxTokens));
  return static_cast<std::uint64_t>(bounded);
}

std::string ExpectedOutput(std::string_view aPrompt,
                           std::uint64_t aMaxTokens,
                           const OutputShape& aShape)
{
  const auto length = OutputLength(aPrompt, aMaxTokens, aShape);
  std::string result;
  result.reserve(length * 5);
  for (std::uint64_t index = 0; index < length; ++index) {
    result += OutputToken(aPrompt, index);
  }
  return result;
}

std::uint64_t PromptTokens(std::string_view aPrompt) noexcept
{
  constexpr std::uint64_t kBytesPerToken = 4;
  return (aPrompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

double ScoreOf(std::string_view aText) noexcept
{
  return internal::ToUnit(internal::Hash(aText, 7));
}

} // namespace auburntrestle::tools
