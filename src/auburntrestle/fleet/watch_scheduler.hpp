#ifndef AUBURNTRESTLE_FLEET_WATCH_SCHEDULER_HPP
#define AUBURNTRESTLE_FLEET_WATCH_SCHEDULER_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/relay_selector.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburntrestle::fleet {

/** @return whether a view shows that its routes were up to date recently.
 * @param aNewestTerm the newest term of the views so far; a leader of an
 * earlier term was replaced and may not know it. */
[[nodiscard]] bool ConfirmsRoutes(const DirectoryView& aView,
                                  Term aNewestTerm) noexcept;

/** Numbers the Watches that an instance has sent. */
using WatchNumber = StrongType<struct WatchNumberTag, std::uint64_t>;

/** A Watch to be sent. */
struct WatchRequest
{
  WatchNumber m_number;
  /** The relay to ask; nothing if the leader is to be asked. */
  std::optional<InstanceId> m_relay;
};

/**
 * Decides when an entry instance sends a Watch and to whom, so that its routes
 * are always confirmed by a recent reply. Without a fault there is one Watch at
 * a time. One that takes too long is followed by a Watch to another relay, and
 * a relay that failed is probed beside the one in use. Reads no clock and sends
 * nothing: the owner sends what Advance returns and reports each reply once.
 */
class WatchScheduler
{
public:
  /** @param aSelf this instance. @param aHome its data centre. */
  WatchScheduler(InstanceId aSelf, DataCentreId aHome);

  /** Replaces the relays. */
  void SetRelays(std::vector<Relay> aRelays);
  /** @return the Watches to be sent now. */
  [[nodiscard]] std::vector<WatchRequest> Advance(TimePoint aNow);
  /** @return when Advance may next return a Watch without a reply; max if
   * only a reply can cause one. */
  [[nodiscard]] TimePoint NextDeadline() const noexcept;
  /** Records a reply or its failure.
   * @param aConfirmed whether the reply confirms the routes. */
  void HandleReply(const WatchRequest& aRequest,
                   bool aConfirmed,
                   TimePoint aNow);

private:
  struct Outstanding
  {
    WatchRequest m_request;
    TimePoint m_sentAt{};
  };

  /** Stops waiting for a relay that takes too long. */
  void AbandonSlow(TimePoint aNow);
  [[nodiscard]] Outstanding MakeRequest(std::optional<InstanceId> aRelay,
                                        TimePoint aNow);

  RelaySelector m_selector;
  WatchNumber m_lastNumber;
  /** The Watch whose reply is followed by the next one. */
  std::optional<Outstanding> m_current;
  /** A Watch to a relay that may replace the one in use. */
  std::optional<Outstanding> m_probe;
  /** When the next Watch is due after a failure. */
  TimePoint m_nextAt{};
};

} // namespace auburntrestle::fleet

#endif
