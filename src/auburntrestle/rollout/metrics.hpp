#ifndef AUBURNTRESTLE_ROLLOUT_METRICS_HPP
#define AUBURNTRESTLE_ROLLOUT_METRICS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace auburntrestle::rollout {

/** Counters of one trainer. */
struct TrainerMetrics
{
  /** Number of staleness counters; the last one includes all larger values. */
  static constexpr std::size_t kStalenessBuckets = 9;

  /** Time from a batch request without a ready batch to its response;
   * overlapping requests count once. */
  Duration m_idle{};
  std::uint64_t m_samplesDelivered = 0;
  std::uint64_t m_batchesDelivered = 0;
  /** Samples by staleness at their first delivery. */
  std::array<std::uint64_t, kStalenessBuckets> m_staleness{};
};

/** Counters of a coordinator since its creation. */
struct Metrics
{
  std::map<TrainerId, TrainerMetrics> m_trainers;
  /** Complete results dropped because the sample already had a result. */
  std::uint64_t m_duplicatesDropped = 0;
  /** Other events for attempts that are not in progress. */
  std::uint64_t m_lateEvents = 0;
  /** Results rejected because of tokens of unknown version. */
  std::uint64_t m_unknownVersion = 0;
  /** Samples generated again, for any reason. */
  std::uint64_t m_regenerated = 0;
  /** Attempts cancelled because they exceeded the staleness bound. */
  std::uint64_t m_cancelledStale = 0;
  /** Complete results dropped because they exceeded the staleness bound. */
  std::uint64_t m_droppedStale = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_attemptsFailed = 0;
  std::uint64_t m_mitigations = 0;
  /** Number of times that a trainer's work began to be deferred. */
  std::uint64_t m_deferrals = 0;
  std::uint64_t m_judgeCalls = 0;
  std::uint64_t m_judgeFailures = 0;
  /** Samples delivered without a score because their judge failed. */
  std::uint64_t m_unscoredSamples = 0;
  std::uint64_t m_stepsRefused = 0;
  std::uint64_t m_batchesFixed = 0;
  std::uint64_t m_batchesResent = 0;
  std::uint64_t m_batchesExpired = 0;
  std::uint64_t m_batchesDiscarded = 0;
};

} // namespace auburntrestle::rollout

#endif
