#ifndef AUBURNTRESTLE_PROTOCOL_INTERNAL_COUNTER_STORE_HPP
#define AUBURNTRESTLE_PROTOCOL_INTERNAL_COUNTER_STORE_HPP

#include "auburntrestle/protocol/counters.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <cstddef>
#include <mutex>

namespace auburntrestle::protocol::internal {

/** Thread-safe holder of TransportCounters. */
class CounterStore
{
public:
  /** Runs aChange on the counters. */
  template<typename Change>
  void Update(Change&& aChange)
  {
    const std::lock_guard lock(m_mutex);
    aChange(m_counters);
  }

  void AddSent(TrafficKind aKind, std::size_t aBytes)
  {
    Update([&](TransportCounters& aCounters) {
      Add(aCounters.m_sent[static_cast<std::size_t>(aKind)], aBytes);
    });
  }

  void AddReceived(TrafficKind aKind, std::size_t aBytes)
  {
    Update([&](TransportCounters& aCounters) {
      Add(aCounters.m_received[static_cast<std::size_t>(aKind)], aBytes);
    });
  }

  /** Counts a frame or datagram that was dropped because of aCode. */
  void AddDropped(ProtocolErrorCode aCode)
  {
    Update([&](TransportCounters& aCounters) {
      if (aCode == ProtocolErrorCode::BadAuthentication) {
        ++aCounters.m_unauthenticated;
      } else if (aCode == ProtocolErrorCode::Replayed) {
        ++aCounters.m_replayed;
      } else {
        ++aCounters.m_malformed;
      }
    });
  }

  [[nodiscard]] TransportCounters Copy() const
  {
    const std::lock_guard lock(m_mutex);
    return m_counters;
  }

private:
  static void Add(Traffic& aTraffic, std::size_t aBytes)
  {
    ++aTraffic.m_count;
    aTraffic.m_bytes += aBytes;
  }

  mutable std::mutex m_mutex;
  TransportCounters m_counters;
};

} // namespace auburntrestle::protocol::internal

#endif
