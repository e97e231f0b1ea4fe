#ifndef AUBURNTRESTLE_ROLLOUT_COORDINATOR_HPP
#define AUBURNTRESTLE_ROLLOUT_COORDINATOR_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/rollout/actions.hpp"
#include "auburntrestle/rollout/events.hpp"
#include "auburntrestle/rollout/metrics.hpp"
#include "auburntrestle/rollout/policy.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace auburntrestle::rollout {

namespace internal {
class StateMachine;
}

/** Parameters of a coordinator. */
struct CoordinatorOptions
{
  Policy m_policy;
  /** Seed of the retry jitter. */
  std::uint64_t m_seed = 1;
};

/** The policy is invalid; the value is the stable name of the setting. */
struct PolicyError
{
  std::string_view m_member;

  friend bool operator==(const PolicyError&, const PolicyError&) = default;
};

/** @return an error for the first member that is out of range, if any. */
[[nodiscard]] tl::expected<void, PolicyError> CheckPolicy(
  const Policy& aPolicy) noexcept;

/**
 * Generates the samples of trainers' steps and delivers them in batches. Runs
 * on the ledger leader: it refuses all requests before LedgerStateRestored and
 * after LeadershipLost.
 */
class Coordinator
{
public:
  [[nodiscard]] static tl::expected<Coordinator, PolicyError> Create(
    CoordinatorOptions aOptions);

  Coordinator(Coordinator&&) noexcept;
  Coordinator& operator=(Coordinator&&) noexcept;
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;
  ~Coordinator();

  /**
   * Handles an event and appends the resulting actions in the order of their
   * execution. A PolicyChanged with an invalid policy is ignored; callers check
   * it with CheckPolicy.
   *
   * @param aNow must not be before the time of an earlier call.
   */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** @return the counters; idle time includes waits in progress, up to the last
   * event. */
  [[nodiscard]] const Metrics& GetMetrics() const noexcept;

private:
  explicit Coordinator(
    std::unique_ptr<internal::StateMachine> aMachine) noexcept;

  std::unique_ptr<internal::StateMachine> m_machine;
};

} // namespace auburntrestle::rollout

#endif
