#ifndef AUBURNTRESTLE_ADMISSION_OUTPUT_ESTIMATOR_HPP
#define AUBURNTRESTLE_ADMISSION_OUTPUT_ESTIMATOR_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace auburntrestle::admission {

/**
 * A running estimate of output lengths per caller and per magnitude (power of
 * two) of the requested maximum. It is a hint: work that exceeds its estimate
 * is charged for its actual output.
 */
class OutputEstimator
{
public:
  /** @return the expected output of a request of the caller. */
  [[nodiscard]] TokenCount EstimateOutput(const CallerId& aCaller,
                                          TokenCount aMaxTokens) const;

  /** Records the output of a completed request. */
  void Record(const CallerId& aCaller,
              TokenCount aMaxTokens,
              TokenCount aOutput);

private:
  std::map<std::pair<CallerId, int>, double> m_means;
};

} // namespace auburntrestle::admission

#endif
