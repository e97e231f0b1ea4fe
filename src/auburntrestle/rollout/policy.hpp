#ifndef AUBURNTRESTLE_ROLLOUT_POLICY_HPP
#define AUBURNTRESTLE_ROLLOUT_POLICY_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace auburntrestle::rollout {

/** Settings of one trainer, configured by operators as `[trainers.NAME]`. */
struct TrainerSettings
{
  ModelName m_model;
  /** Share of the concurrent samples, relative to the other trainers. */
  double m_weight = 1.0;
  /** Maximum staleness of a delivered sample, in versions. */
  std::uint64_t m_stalenessBound = 1;
  /** Maximum number of open steps. */
  std::size_t m_maxOutstandingSteps = 2;
  /** Number of groups in a batch; the last batch of a step may have fewer. */
  std::size_t m_batchGroups = 8;
  /** Service that scores the samples of steps without a judge of their own. */
  std::optional<ServiceName> m_judge;
  /** Whether a judge call may be repeated for the same result. */
  bool m_judgeRepeatable = true;

  friend bool operator==(const TrainerSettings&,
                         const TrainerSettings&) = default;
};

/** What the coordinator does about an attempt that delays its group. */
enum class StragglerMitigation : std::uint8_t
{
  Off,
  /** Start a second attempt that continues from the received tokens; the first
   * complete result wins. */
  SecondAttempt,
  /** Cancel the slow attempt and continue it on another engine. */
  Move,
};

/** Settings common to all trainers. */
struct Policy
{
  /** Maximum number of samples that generate concurrently; trainers share it in
   * proportion to their weights. */
  std::size_t m_maxGenerating = 8192;

  StragglerMitigation m_stragglerMitigation =
    StragglerMitigation::SecondAttempt;
  /** An attempt is slow if its predicted remaining time exceeds the predicted
   * time of a new attempt by this factor. */
  double m_stragglerFactor = 2.0;
  /** Maximum share of a trainer's generating samples with a second attempt. */
  double m_stragglerBudget = 0.1;
  /** Maximum number of mitigations for one result. */
  std::size_t m_maxMitigations = 2;
  /** Interval between two scans of a trainer's samples for stragglers. */
  Duration m_stragglerScanInterval = std::chrono::seconds(1);
  /** Minimum age of an attempt that counts as slow. */
  Duration m_stragglerMinimumAge = std::chrono::seconds(1);

  /** Whether to defer work that is predicted to be stale when it completes. */
  bool m_deferStaleWork = true;
  /** Maximum deferral, in publish intervals. It bounds how long a wrong
   * estimate can stop a trainer. */
  double m_maxDeferralIntervals = 2.0;

  Duration m_retryDelay = std::chrono::milliseconds(100);
  Duration m_maxRetryDelay = std::chrono::seconds(5);

  /** Maximum number of judge calls for one result, including the first. */
  std::size_t m_maxJudgeCalls = 3;
  Duration m_judgeTimeout = std::chrono::seconds(30);
  /** Maximum number of samples of one trainer with a judge call in flight. */
  std::size_t m_maxParallelJudgeCalls = 256;

  /** Maximum encoded size of the samples of a batch. A batch with a single
   * group may exceed it. */
  ByteCount m_maxBatchBytes{ 8ULL * 1024 * 1024 };
  /** Maximum total size of the prompts of a step. */
  ByteCount m_maxStepBytes{ 16ULL * 1024 * 1024 };
  /** Maximum number of samples in a step. */
  std::size_t m_maxStepSamples = 65536;
  /** Size of a trainer's undelivered outputs above which no further group is
   * started. */
  ByteCount m_maxUndeliveredBytes{ 256ULL * 1024 * 1024 };
};

} // namespace auburntrestle::rollout

#endif
