#include "auburntrestle/admission/output_estimator.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace auburntrestle::admission {

namespace internal {

// Weight of a new sample in the moving average.
constexpr double kSampleWeight = 0.1;
// Requests without a maximum are treated as having this one; 2^32 tokens exceed
// the limit of any model.
constexpr std::uint64_t kMaxOutputTokens = std::uint64_t{ 1 } << 32U;
// Estimate for a caller without samples and with a larger or no maximum.
constexpr std::uint64_t kUnknownOutputTokens = 4096;
// Bounds the memory that callers with changing names can occupy.
constexpr std::size_t kMaxEntries = 10000;

std::uint64_t BoundedMaxTokens(TokenCount aMaxTokens)
{
  return aMaxTokens.Get() == 0 ? kMaxOutputTokens
                               : std::min(aMaxTokens.Get(), kMaxOutputTokens);
}

int Magnitude(TokenCount aMaxTokens)
{
  return static_cast<int>(std::bit_width(BoundedMaxTokens(aMaxTokens)));
}

} // namespace internal

TokenCount OutputEstimator::EstimateOutput(const CallerId& aCaller,
                                           TokenCount aMaxTokens) const
{
  // For an unknown caller the maximum is assumed, so that a long request of
  // unknown length never occupies a slot reserved for short work.
  const auto maximum = internal::BoundedMaxTokens(aMaxTokens);
  const auto found = m_means.find({ aCaller, internal::Magnitude(aMaxTokens) });
  if (found == m_means.end()) {
    return TokenCount(std::min(maximum, internal::kUnknownOutputTokens));
  }
  return TokenCount(
    std::min(maximum, static_cast<std::uint64_t>(std::ceil(found->second))));
}

void OutputEstimator::Record(const CallerId& aCaller,
                             TokenCount aMaxTokens,
                             TokenCount aOutput)
{
  const auto output = static_cast<double>(aOutput.Get());
  if (m_means.size() >= internal::kMaxEntries) {
    m_means.clear();
  }
  auto [entry, added] =
    m_means.try_emplace({ aCaller, internal::Magnitude(aMaxTokens) }, output);
  if (!added) {
    entry->second += internal::kSampleWeight * (output - entry->second);
  }
}

} // namespace auburntrestle::admission
