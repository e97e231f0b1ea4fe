#ifndef AUBURNTRESTLE_LEDGER_LEASE_HOLDER_HPP
#define AUBURNTRESTLE_LEDGER_LEASE_HOLDER_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/results.hpp"

#include <cstdint>
#include <optional>

namespace auburntrestle::ledger {

/** By how much any clock may run fast or slow. */
struct DriftBound
{
  /** Parts per million; the default is far above what a quartz clock shows. */
  std::int64_t m_partsPerMillion = 10'000;
};

/**
 * @return the longest time that may pass on a local clock so that less than a
 * lease has passed on any other clock.
 * @param aLease the duration of the lease on the leader's clock.
 */
[[nodiscard]] Duration SafeLeaseTime(Duration aLease,
                                     DriftBound aDrift) noexcept;

/**
 * @return the time on a local clock after which a span has passed on every
 * clock.
 */
[[nodiscard]] Duration SafeWaitTime(Duration aSpan, DriftBound aDrift) noexcept;

/**
 * The holder's side of a lease. It counts from the moment at which the request
 * was sent, which is before the leader's stamp, and stops while the lease must
 * still be running on every clock.
 */
class LeaseHolder
{
public:
  /**
   * @param aDrift the bound on clocks.
   * @param aLongestOrder how long an order to an engine may be in flight.
   */
  LeaseHolder(DriftBound aDrift, Duration aLongestOrder) noexcept
    : m_drift(aDrift)
    , m_longestOrder(aLongestOrder)
  {
  }

  /**
   * A request to acquire or renew was answered.
   * @param aGrant the answer.
   * @param aRequested the duration that the request asked for.
   * @param aSentAt when the request was sent for the first time.
   * @param aNow the present time.
   */
  void OnGranted(const LeaseGranted& aGrant,
                 Duration aRequested,
                 TimePoint aSentAt,
                 TimePoint aNow);

  /** The ledger said that the lease is lost, or it was released. */
  void OnLost() noexcept { m_fencing.reset(); }

  /** @return whether the holder may send an order now. */
  [[nodiscard]] bool MayAct(TimePoint aNow) const noexcept;

  /**
   * @return whether it may also order an engine that ignores fencing numbers:
   * the lease of the holder before and its longest order must be over.
   */
  [[nodiscard]] bool MayActUnfenced(TimePoint aNow) const noexcept;

  /** @return the fencing number for orders; none when it may not act. */
  [[nodiscard]] std::optional<Fencing> FencingNumber(
    TimePoint aNow) const noexcept;

  /** @return when the holder stops unless it renews; none without a lease. */
  [[nodiscard]] std::optional<TimePoint> StopsAt() const noexcept;
  /** @return when to renew: a third of the safe time after the request. */
  [[nodiscard]] std::optional<TimePoint> RenewAt() const noexcept;
  /** @return from when unfenced orders are allowed; none without a lease. */
  [[nodiscard]] std::optional<TimePoint> UnfencedFrom() const noexcept;

private:
  DriftBound m_drift;
  Duration m_longestOrder;
  std::optional<Fencing> m_fencing;
  TimePoint m_stopsAt;
  TimePoint m_renewAt;
  TimePoint m_unfencedFrom;
};

} // namespace auburntrestle::ledger

#endif
