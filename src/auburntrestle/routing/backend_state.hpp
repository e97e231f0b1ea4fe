#ifndef AUBURNTRESTLE_ROUTING_BACKEND_STATE_HPP
#define AUBURNTRESTLE_ROUTING_BACKEND_STATE_HPP

#include "auburntrestle/admission/concurrency_limit.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/registry/speed_estimate.hpp"
#include "auburntrestle/routing/slot_index.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::routing::internal {

using PoolIndex = std::size_t;

/** A target that a backend server serves, and the version of its weights. */
struct Membership
{
  PoolIndex m_pool = 0;
  WeightVersion m_version;
  friend bool operator==(const Membership&, const Membership&) = default;
};

/** Slot limit and slots in use, of one backend server or of a whole pool. */
struct SlotTotals
{
  std::uint64_t m_limit = 0;
  std::uint64_t m_inFlight = 0;
  std::uint64_t m_longInFlight = 0;
  std::uint64_t m_trainingInFlight = 0;

  SlotTotals& operator+=(const SlotTotals& aOther) noexcept;
  SlotTotals& operator-=(const SlotTotals& aOther) noexcept;
};

/** What the dispatcher tracks about one backend server that it owns. */
struct BackendState
{
  BackendState(BackendId aId, std::uint32_t aInitial, std::uint32_t aMax);

  BackendId m_id;
  std::string m_address;
  std::vector<Membership> m_memberships;

  /** Owned, with a lease in force, and not leaving. */
  bool m_acceptsWork = false;
  /** Whether this instance owns it and its lease is in force. */
  bool m_isOwned = false;

  admission::ConcurrencyLimit m_limit;
  registry::SpeedEstimate m_speed;
  SlotTotals m_used;
  /** The part of the totals of its pools that this server contributes. */
  SlotTotals m_contribution;

  /**
   * Set from a takeover until a load report that was measured after it; the
   * limit is reduced meanwhile.
   */
  bool m_awaitsLoadReport = true;
  /** Requests of the previous owner that are still in flight. */
  std::uint32_t m_previousOwnerInFlight = 0;

  std::uint32_t m_failures = 0;
  std::optional<TimePoint> m_lastFailure;
  std::optional<TimePoint> m_pausedUntil;
  /**
   * Circuit breaker half-open: set after the pause that follows a failure,
   * until a success. The server receives one request at a time.
   */
  bool m_halfOpen = false;

  /** Observed time per token relative to peers, 1 or more. */
  double m_slowness = 1.0;
  bool m_isSlow = false;
  /**
   * Set when an idle slow server should be measured by a probe, which is a
   * duplicate of a request.
   */
  bool m_probeDue = false;
  Duration m_probeInterval = std::chrono::seconds(1);

  /**
   * Baseline policy: the newest reported load plus the requests started since.
   */
  std::uint64_t m_reportedLoad = 0;

  /** @return whether it may receive new work, regardless of free slots. */
  [[nodiscard]] bool IsUsable() const noexcept;

  /** @param aInitial the configured initial limit. */
  [[nodiscard]] std::uint32_t SlotLimit(std::uint32_t aInitial) const noexcept;

  [[nodiscard]] Tier CurrentTier() const noexcept;

  /**
   * Updates whether the server counts as slow.
   * @param aSlowness its time per token relative to its peers.
   */
  void SetSlowness(double aSlowness, TimePoint aNow) noexcept;

  /**
   * Pauses new work after a failure.
   * @param aStartedAt when the failed attempt was started. Attempts that end
   * together in one crash count as one failure.
   * @return when the pause ends.
   */
  TimePoint RecordFailure(TimePoint aStartedAt, TimePoint aNow);

  /** Pauses new work briefly because the server refused a request. */
  TimePoint RecordRefusal(TimePoint aNow);

  /**
   * Records progress of an attempt.
   * @return whether the circuit breaker was half-open.
   */
  bool RecordSuccess() noexcept;
};

} // namespace auburntrestle::routing::internal

#endif
