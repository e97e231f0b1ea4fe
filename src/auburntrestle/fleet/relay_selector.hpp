#ifndef AUBURNTRESTLE_FLEET_RELAY_SELECTOR_HPP
#define AUBURNTRESTLE_FLEET_RELAY_SELECTOR_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

/**
 * Selects the relay from which an instance reads routes and backend servers.
 * Designed for hundreds of instances that all want a change at the same moment:
 * they spread over the relays by a hash, relays of the own data centre first,
 * so that the leader's work does not grow with their number. A relay whose last
 * reply was useful is preferred to all others; after a failure the others are
 * tried first, and the relay itself again after an exponential backoff.
 */
class RelaySelector
{
public:
  /** @param aSelf this instance. @param aHome its data centre. */
  RelaySelector(InstanceId aSelf, DataCentreId aHome);

  /** Replaces the relays. */
  void SetRelays(std::vector<Relay> aRelays);
  /** @return the relay to ask, or nothing if the leader is to be asked because
   * no relay is usable. */
  [[nodiscard]] std::optional<InstanceId> Select(TimePoint aNow) const;
  /** @return a relay that would be preferred to the selected one but for its
   * missing success, and is worth a try beside it; nothing if there is none. */
  [[nodiscard]] std::optional<InstanceId> SelectProbe(TimePoint aNow) const;
  /** Records a relay that did not answer or was out of date. */
  void RecordFailure(const InstanceId& aRelay, TimePoint aNow);
  /** Records a useful reply; ends the backoff. */
  void RecordSuccess(const InstanceId& aRelay);

private:
  /** What is known of a relay. */
  struct Record
  {
    bool m_lastSucceeded = false;
    /** Failures since the last success. */
    std::uint32_t m_failures = 0;
    TimePoint m_avoidUntil{};
  };
  /** The preference for a relay by its place alone; the highest is best. */
  using Place = std::pair<bool, std::uint64_t>;

  [[nodiscard]] Place PlaceOf(const Relay& aRelay) const;
  [[nodiscard]] Record RecordOf(const Relay& aRelay) const;
  [[nodiscard]] bool IsUsable(const Relay& aRelay, TimePoint aNow) const;
  [[nodiscard]] const Relay* Best(TimePoint aNow) const;

  InstanceId m_self;
  DataCentreId m_home;
  std::vector<Relay> m_relays;
  std::map<InstanceId, Record> m_records;
};

} // namespace auburntrestle::fleet

#endif
