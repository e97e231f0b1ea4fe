#ifndef AUBURNTRESTLE_ROUTING_DISPATCHER_HPP
#define AUBURNTRESTLE_ROUTING_DISPATCHER_HPP

#include "auburntrestle/registry/registry.hpp"
#include "auburntrestle/routing/action.hpp"
#include "auburntrestle/routing/event.hpp"
#include "auburntrestle/routing/policy.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace auburntrestle::routing {

namespace internal {
class DispatcherCore;
}

/** Totals since the dispatcher was created. */
struct DispatcherCounters
{
  std::uint64_t m_arrived = 0;
  std::uint64_t m_finished = 0;
  std::uint64_t m_failedNotRun = 0;
  std::uint64_t m_failedUnknown = 0;
  std::uint64_t m_cancelled = 0;
  /** Refused on arrival; part of m_failedNotRun. */
  std::uint64_t m_refused = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_resumptions = 0;
  std::uint64_t m_hedges = 0;
  /** Attempts moved from a slowed backend server to a faster one. */
  std::uint64_t m_moves = 0;
  std::uint64_t m_timeouts = 0;
  std::uint64_t m_wrongVersions = 0;
  /** Events of unknown requests or attempts, which were dropped. */
  std::uint64_t m_droppedEvents = 0;
};

/**
 * Decides which backend server runs which request, and when. It owns no socket,
 * thread or clock: it turns events into actions. All calls must come from one
 * thread.
 *
 * Every request that arrives ends with exactly one FinishRequest or
 * FailRequest, unless it is cancelled with RequestCancelled.
 */
class Dispatcher
{
public:
  /**
   * @param aPolicy the initial policy.
   * @param aSeed seeds the random choices.
   * @return the dispatcher, or the field of the policy that is out of range.
   */
  [[nodiscard]] static tl::expected<Dispatcher, PolicyError> Create(
    const Policy& aPolicy,
    std::uint64_t aSeed);

  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  ~Dispatcher();

  /**
   * Handles one event.
   * @param aNow must not be before that of the previous call.
   * @param aActions receives the resulting actions at its end.
   */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** @return the known backend servers. */
  [[nodiscard]] const registry::BackendRegistry& Registry() const noexcept;

  /** @return all backend servers with dispatch data, in order of id. */
  [[nodiscard]] std::vector<registry::BackendView> BackendViews(
    TimePoint aNow) const;

  /**
   * @return the median microseconds per token of a target on the backend
   * servers of this instance, which other instances receive as
   * PeerSpeedReported.
   */
  [[nodiscard]] std::optional<double> TypicalTimePerToken(
    const Target& aTarget) const;

  /** @return the number of requests of a class that wait for a slot. */
  [[nodiscard]] std::size_t WaitingCount(admission::RequestClass aClass) const;

  /** @return the number of attempts in flight. */
  [[nodiscard]] std::size_t InFlightCount() const noexcept;

  /** @return the number of requests that have not ended. */
  [[nodiscard]] std::size_t RequestCount() const noexcept;

  /** @return whether DrainRequested has been handled. */
  [[nodiscard]] bool IsDraining() const noexcept;

  /** @return when the next timer expires, if any is armed. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] const DispatcherCounters& Counters() const noexcept;

private:
  explicit Dispatcher(std::unique_ptr<internal::DispatcherCore> aCore) noexcept;

  std::unique_ptr<internal::DispatcherCore> m_core;
};

} // namespace auburntrestle::routing

#endif
