#ifndef AUBURNTRESTLE_FLEET_BACKEND_CHOOSER_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_CHOOSER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/backend_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::fleet {

/**
 * Chooses the backend server for a short request. Answers a light load of
 * short requests whose backend servers slow down or vanish without notice:
 * each instance judges them by the responses that it sees itself, since every
 * report lags behind.
 */
class BackendChooser
{
public:
  /** @param aHome the data centre of this instance. */
  explicit BackendChooser(DataCentreId aHome);

  /** Replaces the backend servers. */
  void SetBackends(const std::vector<BackendRecord>& aBackends);

  /**
   * @param aExclude backend servers that this request has been sent to.
   * @return the serving backend server expected to answer first, or null.
   */
  [[nodiscard]] const BackendRecord* Choose(const ServiceName& aService,
                                            const std::set<BackendId>& aExclude,
                                            TimePoint aNow) const;

  /** Records that a request was sent. */
  void RecordSent(const BackendId& aId);
  /** Records a response after a time. */
  void RecordResponse(const BackendId& aId, Duration aLatency);
  /** Records a request that got no usable response; the backend server is
   * avoided for a time that grows with each failure. */
  void RecordFailure(const BackendId& aId, TimePoint aNow);
  /** Records a request that the backend server did not take. */
  void RecordRefusal(const BackendId& aId, TimePoint aNow);
  /** Records a request that was cancelled after a time without an answer. */
  void RecordCancellation(const BackendId& aId, Duration aWaited);
  /** Another process has the address of a backend server. */
  void RecordMisdirection(const BackendId& aId);

  /** @return the typical latency of a service as seen here, or nothing. */
  [[nodiscard]] std::optional<Duration> MedianLatency(
    const ServiceName& aService) const;

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

  void DecrementInFlight(Backend& aBackend);
  void Avoid(const BackendId& aId, Duration aTime, TimePoint aNow);

  DataCentreId m_home;
  std::map<BackendId, Backend> m_backends;
};

} // namespace auburntrestle::fleet

#endif
