#ifndef AUBURNTRESTLE_LEDGER_LEASE_HOLDER_HPP
#define AUBURNTRESTLE_LEDGER_LEASE_HOLDER_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/results.hpp"

#include <cstdint>
#include <optional>

namespace auburntrestle::ledger {

/** The maximum rate error of any clock. */
struct DriftBound
{
  /** Parts per million; the default is far above the drift of a quartz clock.
   */
  std::int64_t m_partsPerMillion = 10'000;
};

/**
 * @return the maximum time on the local clock during which at most the duration
 * of a lease passes on any other clock.
 * @param aLease the duration of the lease on the leader's clock.
 */
[[nodiscard]] Duration SafeLeaseTime(Duration aLease,
                                     DriftBound aDrift) noexcept;

/**
 * @return the minimum time on the local clock after which a span has passed on
 * every other clock.
 */
[[nodiscard]] Duration SafeWaitTime(Duration aSpan, DriftBound aDrift) noexcept;

/**
 * The holder's view of a lease. Its time starts when the request was sent,
 * which is before the leader's stamp, and ends while the lease is still valid
 * on every clock.
 */
class LeaseHolder
{
public:
  /**
   * @param aDrift the maximum clock drift.
   * @param aMaxOrderTime the maximum time that an order may be in flight to an
   * engine.
   */
  LeaseHolder(DriftBound aDrift, Duration aMaxOrderTime) noexcept
    : m_drift(aDrift)
    , m_maxOrderTime(aMaxOrderTime)
  {
  }

  /**
   * Handles the result of a request to acquire or renew the lease.
   * @param aGrant the result.
   * @param aRequested the requested duration.
   * @param aSentAt when the request was first sent.
   * @param aNow the current time.
   */
  void OnGranted(const LeaseGranted& aGrant,
                 Duration aRequested,
                 TimePoint aSentAt,
                 TimePoint aNow);

  /** The ledger reported the lease as lost, or the lease was released. */
  void OnLost() noexcept { m_fencing.reset(); }

  /** @return whether the holder may send orders now. */
  [[nodiscard]] bool MayAct(TimePoint aNow) const noexcept;

  /**
   * @return whether the holder may also send orders to an engine that ignores
   * fencing numbers: the previous holder's lease and the maximum order time
   * after it must have passed.
   */
  [[nodiscard]] bool MayActUnfenced(TimePoint aNow) const noexcept;

  /** @return the fencing number for orders; none unless MayAct. */
  [[nodiscard]] std::optional<Fencing> FencingNumber(
    TimePoint aNow) const noexcept;

  /** @return when the holder must stop unless it renews; none without lease. */
  [[nodiscard]] std::optional<TimePoint> StopsAt() const noexcept;
  /** @return when to renew: after a third of the safe time. */
  [[nodiscard]] std::optional<TimePoint> RenewAt() const noexcept;
  /** @return when unfenced orders become allowed; none without lease. */
  [[nodiscard]] std::optional<TimePoint> UnfencedFrom() const noexcept;

private:
  DriftBound m_drift;
  Duration m_maxOrderTime;
  std::optional<Fencing> m_fencing;
  TimePoint m_stopsAt;
  TimePoint m_renewAt;
  TimePoint m_unfencedFrom;
};

} // namespace auburntrestle::ledger

#endif
