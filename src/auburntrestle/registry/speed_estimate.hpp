#ifndef AUBURNTRESTLE_REGISTRY_SPEED_ESTIMATE_HPP
#define AUBURNTRESTLE_REGISTRY_SPEED_ESTIMATE_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>

namespace auburntrestle::registry {

/**
 * The speed of one backend server as observed by this instance. The time per
 * token is a decaying peak: it rises quickly with slow tokens and falls slowly,
 * because a server that was slow recently is likely to be slow again.
 */
class SpeedEstimate
{
public:
  /**
   * Records tokens of one attempt.
   * @param aElapsed the time since the attempt's previous progress.
   * @param aTokens the number of tokens received; zero is ignored.
   */
  void RecordTokens(Duration aElapsed, TokenCount aTokens, TimePoint aNow);

  /**
   * Records the time from dispatch to the first token or the complete response.
   */
  void RecordFirstToken(Duration aElapsed, TimePoint aNow);

  /** Records that an attempt made no progress for `aElapsed`. */
  void RecordStall(Duration aElapsed, TimePoint aNow);

  /** @return microseconds per token, or nothing before the first tokens. */
  [[nodiscard]] std::optional<double> TimePerToken() const noexcept
  {
    return m_timePerToken;
  }

  /** @return the time to first token, or nothing before the first one. */
  [[nodiscard]] std::optional<Duration> TimeToFirstToken() const noexcept;

  /** @return when the last observation was made. */
  [[nodiscard]] TimePoint LastObserved() const noexcept
  {
    return m_lastObserved;
  }

private:
  std::optional<double> m_timePerToken;
  std::optional<double> m_timeToFirstToken;
  TimePoint m_lastObserved{};
};

} // namespace auburntrestle::registry

#endif
