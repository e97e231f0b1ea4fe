#ifndef AUBURNTRESTLE_ROUTING_ATTEMPT_BUDGET_HPP
#define AUBURNTRESTLE_ROUTING_ATTEMPT_BUDGET_HPP

#include <algorithm>

namespace auburntrestle::routing::internal {

/**
 * Limits extra attempts (retries, moves, hedges and probes) to a share of the
 * requests. Each request deposits this share, and each extra attempt withdraws
 * one.
 */
class AttemptBudget
{
public:
  /** @param aInitial extra attempts permitted before any request. */
  explicit constexpr AttemptBudget(double aInitial) noexcept
    : m_available(aInitial)
  {
  }

  /** Adds the extra attempts that one request permits, 0 to 1. */
  constexpr void Deposit(double aShare) noexcept
  {
    m_available = std::min(m_available + aShare, kMaxAvailable);
  }

  /**
   * Withdraws one extra attempt.
   * @return whether the budget permitted it.
   */
  [[nodiscard]] constexpr bool TryWithdraw() noexcept
  {
    if (m_available < 1.0) {
      return false;
    }
    m_available -= 1.0;
    return true;
  }

private:
  // Bounds the burst after a long time without extra attempts.
  static constexpr double kMaxAvailable = 100.0;

  double m_available;
};

} // namespace auburntrestle::routing::internal

#endif
