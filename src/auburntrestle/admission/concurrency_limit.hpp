#ifndef AUBURNTRESTLE_ADMISSION_CONCURRENCY_LIMIT_HPP
#define AUBURNTRESTLE_ADMISSION_CONCURRENCY_LIMIT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/registry/announcement.hpp"

#include <cstdint>
#include <optional>

namespace auburntrestle::admission {

/**
 * Adaptive limit on the requests in flight at one backend server. It follows
 * the observed time to first token and time per token relative to their
 * uncontended baseline: it grows while it is fully used and the times stay near
 * the baseline, and shrinks when they exceed it.
 */
class ConcurrencyLimit
{
public:
  /**
   * @param aInitial the limit before anything is observed, at least 1.
   * @param aMax the maximum limit, at least 1.
   */
  ConcurrencyLimit(std::uint32_t aInitial, std::uint32_t aMax) noexcept;

  /**
   * Records a time to first token.
   * @param aPromptLength scales the expected time.
   * @param aInFlight the requests in flight on the server.
   */
  void RecordFirstToken(Duration aElapsed,
                        TokenCount aPromptLength,
                        std::uint32_t aInFlight,
                        TimePoint aNow);

  /**
   * Records consecutive tokens of one attempt; zero tokens are ignored.
   * @param aElapsed the time in which they arrived.
   */
  void RecordTokens(Duration aElapsed,
                    TokenCount aTokens,
                    std::uint32_t aInFlight,
                    TimePoint aNow);

  /**
   * Lowers the limit gradually after consecutive load reports that show
   * requests waiting inside the server or a full KV cache.
   */
  void RecordLoad(const registry::LoadReport& aLoad, TimePoint aNow) noexcept;

  /** Changes the maximum limit, at least 1. */
  void SetMax(std::uint32_t aMax) noexcept;

  /** @return the limit, at least 1. */
  [[nodiscard]] std::uint32_t Limit() const noexcept;

private:
  struct Signal
  {
    std::optional<double> m_baseline;
    double m_sum = 0.0;
    double m_weight = 0.0;

    void Add(double aSample, double aWeight) noexcept;
    [[nodiscard]] std::optional<double> Mean() const noexcept;
    /**
     * Starts a new window.
     * @return the ratio of the baseline to the mean of the window that ended.
     */
    double CloseWindow(bool aUncontended) noexcept;
  };

  void MaybeAdjust(std::uint32_t aInFlight, TimePoint aNow) noexcept;

  double m_limit;
  double m_max;
  Signal m_firstToken;
  Signal m_perToken;
  std::uint32_t m_peakInFlight = 0;
  std::optional<TimePoint> m_windowStart;
  TimePoint m_growNotBefore{};
  /**
   * Consecutive load reports of a full server, and the maximum number of
   * requests that it ran in them.
   */
  std::uint32_t m_fullReports = 0;
  std::uint32_t m_maxRunning = 0;
};

} // namespace auburntrestle::admission

#endif
