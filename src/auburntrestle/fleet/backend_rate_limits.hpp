#ifndef AUBURNTRESTLE_FLEET_BACKEND_RATE_LIMITS_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_RATE_LIMITS_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/backend_statement.hpp"

#include <map>
#include <optional>

namespace auburntrestle::fleet {

/**
 * Keeps requests to each backend server within the rate that it stated.
 * Designed for servers in trouble that state a fraction of their usual load:
 * requests are spaced evenly, so that a server gets no burst that it would have
 * to queue. A server that restarts has no limit until it states one. Reads no
 * clock and sends nothing.
 */
class BackendRateLimits
{
public:
  /**
   * Records what a response states.
   *
   * @param aLimit the stated limit; absent if the response states none, which
   *   ends the limit unless the request was sent before the limit was stated.
   * @param aSentAt when the request was sent.
   * @return whether a limit starts, ends or changes.
   */
  bool RecordStatement(const BackendProcess& aBackend,
                       std::optional<RequestRate> aLimit,
                       TimePoint aSentAt,
                       TimePoint aNow);
  /** Records a request that was sent, also one that needed no permit. */
  void RecordSent(const BackendProcess& aBackend, TimePoint aNow);
  /** Records that no permit is available before a time. */
  void RecordNoPermit(const BackendProcess& aBackend, TimePoint aUntil);
  /**
   * Grants a permit to another instance, which counts as a request sent.
   *
   * @param aLimit the limit that the other instance knows.
   * @return nothing if the request may be sent, otherwise the time until the
   *   next permit.
   */
  [[nodiscard]] std::optional<Duration> Grant(const BackendProcess& aBackend,
                                              RequestRate aLimit,
                                              TimePoint aNow);

  /** @return the limit that a backend server stated. */
  [[nodiscard]] std::optional<RequestRate> LimitOf(
    const BackendProcess& aBackend) const;
  /** @return the earliest time at which a request may be sent; in the past if
   * it may be sent at once. */
  [[nodiscard]] TimePoint NextPermit(const BackendProcess& aBackend) const;

private:
  struct Limited
  {
    RequestRate m_rate;
    /** When the limit was last stated. */
    TimePoint m_statedAt{};
    /** When the next request would be due if all were spaced evenly. */
    TimePoint m_nextDue{};
    /** No permit is available before this time. */
    TimePoint m_noneBefore{};
  };

  [[nodiscard]] static Duration Spacing(RequestRate aRate);
  /** @return how early a request may be sent. */
  [[nodiscard]] static Duration Tolerance(RequestRate aRate);
  /** Removes limits of servers that have not responded for long. */
  void RemoveOld(TimePoint aNow);

  std::map<BackendProcess, Limited> m_limited;
};

} // namespace auburntrestle::fleet

#endif
