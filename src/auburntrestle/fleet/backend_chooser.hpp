#ifndef AUBURNTRESTLE_FLEET_BACKEND_CHOOSER_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_CHOOSER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/backend_rate_limits.hpp"
#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/draining_backends.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::fleet {

/** Which backend servers a BackendChooser may choose. */
struct ChooserLimits
{
  /** A backend server with this share of its slots in use, or more, is not
   * chosen. Only requests of this instance count, and one request is always
   * permitted. Absent for no limit. */
  std::optional<double> m_maxSlotShare = std::nullopt;
  /** Whether an avoided backend server is chosen if there is no other. A
   * request that can wait for a later attempt does better without. */
  bool m_usesAvoided = true;
};

/**
 * Chooses the backend server for a short request. Designed for a light load of
 * short requests, with backend servers that slow down or fail without notice.
 * Each instance estimates latencies from its own requests only, since reports
 * are always outdated.
 */
class BackendChooser
{
public:
  /** @param aHome the data centre of this instance. */
  explicit BackendChooser(DataCentreId aHome, ChooserLimits aLimits = {});

  /** Sets what backend servers stated in responses; one without a permit or
   * that drains is not chosen. Both must outlive the chooser. */
  void SetStatements(const BackendRateLimits& aLimits,
                     const DrainingBackends& aDraining) noexcept
  {
    m_rateLimits = &aLimits;
    m_draining = &aDraining;
  }

  /** Replaces the backend servers. */
  void SetBackends(const std::vector<BackendRecord>& aBackends);

  /**
   * @param aExclude backend servers that have received this request already.
   * @param aSoftware the only software that may run the request; absent for
   *   any.
   * @return the serving backend server with the lowest expected latency, or
   *   null.
   */
  [[nodiscard]] const BackendRecord* Choose(
    const ServiceName& aService,
    const std::set<BackendId>& aExclude,
    TimePoint aNow,
    const std::optional<SoftwareVersion>& aSoftware = std::nullopt) const;

  /** Records that a request was sent. */
  void RecordSent(const BackendId& aId);
  /** Records a response and its latency. */
  void RecordResponse(const BackendId& aId, Duration aLatency);
  /** Records a request that got no usable response; the backend server is
   * avoided with exponential backoff. */
  void RecordFailure(const BackendId& aId, TimePoint aNow);
  /** Records that the backend server refused a request. */
  void RecordRefusal(const BackendId& aId, TimePoint aNow);
  /** Records a request that was cancelled after waiting for a response. */
  void RecordCancellation(const BackendId& aId, Duration aWaited);
  /** Records that another process answers at a backend server's address. */
  void RecordMisdirection(const BackendId& aId);

  /** @return the median of the smoothed latencies of a service's backend
   * servers, or nothing while none is known. */
  [[nodiscard]] std::optional<Duration> MedianLatency(
    const ServiceName& aService) const;
  /** @return when a backend server of a service may next be chosen that now
   * lacks a permit; nothing if there is none. */
  [[nodiscard]] std::optional<TimePoint> NextPermit(const ServiceName& aService,
                                                    TimePoint aNow) const;

private:
  struct Backend
  {
    BackendRecord m_record;
    std::uint32_t m_inFlight = 0;
    /** Smoothed latency in microseconds; 0 while unknown. */
    double m_latency = 0;
    std::uint32_t m_failures = 0;
    TimePoint m_avoidUntil{};
    bool m_misdirected = false;
  };

  [[nodiscard]] bool IsFull(const Backend& aBackend) const;
  [[nodiscard]] bool IsDraining(const Backend& aBackend) const;
  /** @return when a request may be sent to a backend server. */
  [[nodiscard]] TimePoint PermitOf(const Backend& aBackend) const;
  void DecrementInFlight(Backend& aBackend);
  void Avoid(const BackendId& aId, Duration aTime, TimePoint aNow);

  DataCentreId m_home;
  ChooserLimits m_limits;
  const BackendRateLimits* m_rateLimits = nullptr;
  const DrainingBackends* m_draining = nullptr;
  std::map<BackendId, Backend> m_backends;
};

} // namespace auburntrestle::fleet

#endif
