#include "common/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace auburntrestle::tools {

namespace internal {

/** Each power of two is divided into 2^7 buckets. */
constexpr unsigned kSubBucketBits = 7;
constexpr std::uint64_t kSubBucketCount = std::uint64_t{ 1 } << kSubBucketBits;

std::size_t BucketOf(std::uint64_t aValue) noexcept
{
  if (aValue < kSubBucketCount) {
    return aValue;
  }
  const auto shift =
    static_cast<unsigned>(std::bit_width(aValue)) - kSubBucketBits - 1;
  return (static_cast<std::size_t>(shift) << kSubBucketBits) +
         (aValue >> shift);
}

/** @return the largest value of a bucket. */
std::uint64_t UpperBound(std::size_t aBucket) noexcept
{
  if (aBucket < 2 * kSubBucketCount) {
    return aBucket;
  }
  const std::size_t shift = (aBucket >> kSubBucketBits) - 1;
  const std::uint64_t base =
    kSubBucketCount + (aBucket & (kSubBucketCount - 1));
  return ((base + 1) << shift) - 1;
}

} // namespace internal

void LatencyHistogram::Add(Duration aValue)
{
  const Duration value = std::max(aValue, Duration(0));
  const auto bucket =
    internal::BucketOf(static_cast<std::uint64_t>(value.count()));
  if (bucket >= m_buckets.size()) {
    m_buckets.resize(bucket + 1);
  }
  ++m_buckets[bucket];
  ++m_count;
  m_sum += value;
  m_max = std::max(m_max, value);
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  if (aOther.m_buckets.size() > m_buckets.size()) {
    m_buckets.resize(aOther.m_buckets.size());
  }
  for (std::size_t bucket = 0; bucket < aOther.m_buckets.size(); ++bucket) {
    m_buckets[bucket] += aOther.m_buckets[bucket];
  }
  m_count += aOther.m_count;
  m_sum += aOther.m_sum;
  m_max = std::max(m_max, aOther.m_max);
}

Duration LatencyHistogram::Mean() const noexcept
{
  return m_count == 0 ? Duration(0)
                      : m_sum / static_cast<Duration::rep>(m_count);
}

Duration LatencyHistogram::Quantile(double aQuantile) const
{
  const auto rank =
    std::max<std::uint64_t>(1,
                            static_cast<std::uint64_t>(std::ceil(
                              aQuantile * static_cast<double>(m_count))));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
    seen += m_buckets[bucket];
    if (seen >= rank) {
      return std::min(
        m_max,
        Duration(static_cast<Duration::rep>(internal::UpperBound(bucket))));
    }
  }
  return m_max;
}

} // namespace auburntrestle::tools
