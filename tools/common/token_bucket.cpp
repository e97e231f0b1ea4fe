#include "common/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace auburntrestle::tools {

TokenBucket::TokenBucket(double aRate, double aCapacity, TimePoint aNow)
  : m_rate(aRate)
  , m_capacity(aCapacity)
  , m_level(aCapacity)
  , m_filledAt(aNow)
{
}

Duration TokenBucket::TryConsume(double aAmount, TimePoint aNow)
{
  const double seconds = static_cast<double>((aNow - m_filledAt).count()) / 1e6;
  m_level = std::min(m_capacity, m_level + seconds * m_rate);
  m_filledAt = aNow;
  const double needed = std::min(aAmount, m_capacity);
  if (m_level < needed) {
    const double wait = (needed - m_level) / m_rate * 1e6;
    return Duration(static_cast<Duration::rep>(std::ceil(wait)));
  }
  m_level -= aAmount;
  return Duration(0);
}

} // namespace auburntrestle::tools
