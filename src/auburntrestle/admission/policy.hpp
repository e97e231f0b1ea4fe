#ifndef AUBURNTRESTLE_ADMISSION_POLICY_HPP
#define AUBURNTRESTLE_ADMISSION_POLICY_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstddef>
#include <cstdint>

namespace auburntrestle::admission {

/** Application work takes priority over training work. */
enum class RequestClass : std::uint8_t
{
  Application,
  Training,
};

/** Whether the expected cost of a request is within the configured bound. */
enum class WorkSize : std::uint8_t
{
  Short,
  Long,
};

/** The operators' `[admission]` table. */
struct AdmissionPolicy
{
  /** Maximum number of waiting requests, in total. */
  std::size_t m_maxWaiting = 10000;
  /** Minimum share of the slots of a model that training work receives. */
  double m_trainingFloor = 0.2;
  /** Share of the slots of a model that is reserved for short work. */
  double m_shortWorkShare = 0.15;
  /** Expected cost, prompt and output, up to which work is short. */
  TokenCount m_shortWorkTokens{ 512 };
  /** Requests in flight per backend server before anything is observed. */
  std::uint32_t m_initialLimit = 8;
  /** Maximum requests in flight per backend server. */
  std::uint32_t m_maxLimit = 256;
};

/** The operators' `[callers.NAME]` table, or the weight of a trainer. */
struct CallerPolicy
{
  /** Share of the capacity of its class, relative to other callers. */
  double m_weight = 1.0;
  /** Maximum number of waiting requests of the caller. */
  std::size_t m_maxWaiting = 4096;
};

} // namespace auburntrestle::admission

#endif
