#ifndef AUBURNTRESTLE_ROUTING_POOL_HPP
#define AUBURNTRESTLE_ROUTING_POOL_HPP

#include "auburntrestle/admission/drain_rate.hpp"
#include "auburntrestle/admission/policy.hpp"
#include "auburntrestle/admission/waiting_queue.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/routing/affinity_map.hpp"
#include "auburntrestle/routing/backend_state.hpp"
#include "auburntrestle/routing/load_index.hpp"
#include "auburntrestle/routing/request.hpp"
#include "auburntrestle/routing/slot_index.hpp"

#include <array>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::routing::internal {

/** A running estimate of a high quantile, in constant time and memory. */
class QuantileEstimate
{
public:
  /** Records a sample. */
  void Record(double aSample) noexcept;

  /** @return the estimate, or nothing before enough samples. */
  [[nodiscard]] std::optional<double> Value() const noexcept;

private:
  double m_value = 0.0;
  std::uint32_t m_samples = 0;
};

/** The backend servers and waiting requests of one target. */
struct Pool
{
  explicit Pool(Target aTarget);

  Target m_target;
  admission::WaitingQueue m_queue;
  SlotIndex m_slots;
  LoadIndex m_loads;
  AffinityMap m_affinity;
  /** Servers that are owned and not leaving, including paused ones. */
  std::set<BackendIndex> m_members;
  SlotTotals m_totals;
  /** By class and size. */
  std::array<std::array<admission::DrainRate, 2>, 2> m_drainRates;
  QuantileEstimate m_firstTokenP95;
  /** Median microseconds per token of the members. */
  std::optional<double> m_typicalTimePerToken;
  std::optional<double> m_peerTimePerToken;
  /** Slow members whose speed should be measured by a probe. */
  std::vector<BackendIndex> m_probeTargets;
  /**
   * Training starts that are due, used when the guaranteed share is less than
   * one slot.
   */
  double m_trainingCredit = 0.0;
  std::optional<TimePoint> m_emptySince;

  [[nodiscard]] bool IsService() const noexcept;

  [[nodiscard]] admission::DrainRate& DrainRateOf(
    admission::RequestClass aClass,
    admission::WorkSize aSize) noexcept
  {
    return m_drainRates[static_cast<std::size_t>(aClass)]
                       [static_cast<std::size_t>(aSize)];
  }
  [[nodiscard]] const admission::DrainRate& DrainRateOf(
    admission::RequestClass aClass,
    admission::WorkSize aSize) const noexcept
  {
    return m_drainRates[static_cast<std::size_t>(aClass)]
                       [static_cast<std::size_t>(aSize)];
  }

  /**
   * @return whether another long request may be started.
   * @param aShortShare the share of slots reserved for short work.
   */
  [[nodiscard]] bool CanStartLong(double aShortShare) const noexcept;

  /** @return whether training has less than its guaranteed minimum. */
  [[nodiscard]] bool IsTrainingDue(double aFloor) const noexcept;

  /** @return which waiting requests of a class may be started. */
  [[nodiscard]] admission::Eligibility EligibilityOf(
    admission::RequestClass aClass,
    double aShortShare) const;

  /** @return the microseconds per token to compare the members with. */
  [[nodiscard]] std::optional<double> ReferenceTimePerToken() const noexcept;
};

} // namespace auburntrestle::routing::internal

#endif
