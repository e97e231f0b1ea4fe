#ifndef AUBURNTRESTLE_LEDGER_LIMITS_HPP
#define AUBURNTRESTLE_LEDGER_LIMITS_HPP

#include "auburntrestle/core/time.hpp"

#include <cstddef>

namespace auburntrestle::ledger {

/**
 * Limits of the state. They must be equal on all members, because a refusal is
 * part of the replicated result.
 */
struct Limits
{
  std::size_t m_nameBytes = 256;
  std::size_t m_files = 256;
  std::size_t m_configurationBytes = 256U << 10U;
  /** Accepted edits kept for each file, for resends and history. */
  std::size_t m_editsPerFile = 1024;
  std::size_t m_instances = 4096;
  std::size_t m_leases = 1024;
  Duration m_maxLeaseDuration = std::chrono::minutes(10);
  /** Minimum time for which an ended lease is kept when the table is full. */
  Duration m_leaseRetention = std::chrono::hours(24);
  std::size_t m_claims = 65536;
  std::size_t m_claimResponseBytes = 256U << 10U;
  std::size_t m_claimTotalBytes = 16U << 20U;
  Duration m_maxRetention = std::chrono::hours(24 * 7);
  std::size_t m_trainers = 256;
  std::size_t m_models = 1024;
  std::size_t m_openSteps = 64;
  /** Closed steps and closed cursors kept for each trainer. */
  std::size_t m_closedSteps = 64;
  std::size_t m_closedCursors = 64;
  std::size_t m_stepSamples = 65536;
  std::size_t m_stepPayloadBytes = 4U << 20U;
  std::size_t m_batchPayloadBytes = 4U << 20U;
  /** Total payload bytes of open steps and outstanding batches. */
  std::size_t m_payloadTotalBytes = 48U << 20U;
};

} // namespace auburntrestle::ledger

#endif
