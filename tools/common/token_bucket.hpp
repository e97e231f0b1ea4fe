#ifndef AUBURNTRESTLE_TOOLS_COMMON_TOKEN_BUCKET_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_TOKEN_BUCKET_HPP

#include "auburntrestle/core/time.hpp"

namespace auburntrestle::tools {

/** Limits a rate; callers pass the current time. */
class TokenBucket
{
public:
  /**
   * @param aRate units added per second.
   * @param aCapacity maximum number of units; the bucket starts full.
   */
  TokenBucket(double aRate, double aCapacity, TimePoint aNow);

  /**
   * Removes units if there are enough. An amount above the capacity is granted
   * when the bucket is full, and leaves a negative level.
   *
   * @return zero when granted, otherwise the time until it would be granted.
   */
  [[nodiscard]] Duration TryConsume(double aAmount, TimePoint aNow);

private:
  double m_rate;
  double m_capacity;
  double m_level;
  TimePoint m_filledAt;
};

} // namespace auburntrestle::tools

#endif
