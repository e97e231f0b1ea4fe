#include "auburntrestle/fleet/backend_rate_limits.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** A server that accepts less still gets a request now and then, since only a
 * response can end its limit. */
constexpr RequestRate kMinRate(0.25);
/** After a pause, the requests of this time may be sent at once: the limit is a
 * number of requests in a second, however they are spread over it. */
constexpr Duration kBurstTime = std::chrono::seconds(1);
/** Requests that may be sent at once after a pause in any case, so that a late
 * timer does not waste capacity. */
constexpr std::int64_t kMinBurst = 2;
/** Requests that need no permit delay the next permit by this time at most. */
constexpr Duration kMaxDelay = std::chrono::seconds(4);
constexpr Duration kMaxSilence = std::chrono::minutes(10);

} // namespace

Duration BackendRateLimits::Spacing(RequestRate aRate)
{
  const double rate = std::max(aRate, kMinRate).Get();
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1.0 / rate));
}

Duration BackendRateLimits::Tolerance(RequestRate aRate)
{
  const Duration spacing = Spacing(aRate);
  return std::max(kBurstTime - spacing, spacing * (kMinBurst - 1));
}

bool BackendRateLimits::RecordStatement(const BackendProcess& aBackend,
                                        std::optional<RequestRate> aLimit,
                                        TimePoint aSentAt,
                                        TimePoint aNow)
{
  const auto found = m_limited.find(aBackend);
  if (!aLimit) {
    const bool ends =
      found != m_limited.end() && aSentAt > found->second.m_statedAt;
    if (ends) {
      m_limited.erase(found);
    }
    return ends;
  }
  if (found != m_limited.end()) {
    found->second.m_statedAt = aNow;
    return std::exchange(found->second.m_rate, *aLimit) != *aLimit;
  }
  RemoveOld(aNow);
  // The load so far is too high for the server, so there is no burst.
  const TimePoint nextDue = aNow + Spacing(*aLimit) + Tolerance(*aLimit);
  m_limited.emplace(aBackend, Limited{ *aLimit, aNow, nextDue, {} });
  return true;
}

void BackendRateLimits::RemoveOld(TimePoint aNow)
{
  std::erase_if(m_limited, [aNow](const auto& aItem) {
    return aItem.second.m_statedAt + kMaxSilence < aNow;
  });
}

void BackendRateLimits::RecordSent(const BackendProcess& aBackend,
                                   TimePoint aNow)
{
  const auto found = m_limited.find(aBackend);
  if (found == m_limited.end()) {
    return;
  }
  Limited& limited = found->second;
  const Duration spacing = Spacing(limited.m_rate);
  const TimePoint due = std::max(limited.m_nextDue, aNow) + spacing;
  const Duration maxDelay = std::max(kMaxDelay, 2 * spacing);
  limited.m_nextDue =
    std::min(due, aNow + Tolerance(limited.m_rate) + maxDelay);
}

void BackendRateLimits::RecordNoPermit(const BackendProcess& aBackend,
                                       TimePoint aUntil)
{
  const auto found = m_limited.find(aBackend);
  if (found != m_limited.end()) {
    found->second.m_noneBefore = aUntil;
  }
}

std::optional<Duration> BackendRateLimits::Grant(const BackendProcess& aBackend,
                                                 RequestRate aLimit,
                                                 TimePoint aNow)
{
  RecordStatement(aBackend, aLimit, aNow, aNow);
  const TimePoint next = NextPermit(aBackend);
  if (next > aNow) {
    return next - aNow;
  }
  RecordSent(aBackend, aNow);
  return std::nullopt;
}

std::optional<RequestRate> BackendRateLimits::LimitOf(
  const BackendProcess& aBackend) const
{
  const auto found = m_limited.find(aBackend);
  return found == m_limited.end() ? std::nullopt
                                  : std::optional(found->second.m_rate);
}

TimePoint BackendRateLimits::NextPermit(const BackendProcess& aBackend) const
{
  const auto found = m_limited.find(aBackend);
  if (found == m_limited.end()) {
    return TimePoint{};
  }
  const Limited& limited = found->second;
  return std::max(limited.m_noneBefore,
                  limited.m_nextDue - Tolerance(limited.m_rate));
}

} // namespace auburntrestle::fleet
