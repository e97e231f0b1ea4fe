#ifndef AUBURNTRESTLE_ROUTING_REQUEST_STATE_HPP
#define AUBURNTRESTLE_ROUTING_REQUEST_STATE_HPP

#include "auburntrestle/admission/policy.hpp"
#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/routing/backend_state.hpp"
#include "auburntrestle/routing/request.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburntrestle::routing::internal {

/** An attempt in flight. */
struct AttemptState
{
  AttemptNumber m_number;
  BackendIndex m_backend = 0;
  TimePoint m_startedAt{};
  TimePoint m_lastProgress{};
  bool m_accepted = false;
  bool m_hasTokens = false;
  TokenCount m_tokens;
  /** Measures a slowed server; its tokens are not used. */
  bool m_isProbe = false;
  /** Whether it counts as long work on its backend server. */
  bool m_isLong = false;
  TimePoint m_progressTimer{};
};

/** A request that has not ended. */
struct RequestState
{
  RequestId m_id;
  RequestSpec m_spec;
  PoolIndex m_pool = 0;
  admission::WorkSize m_size = admission::WorkSize::Short;
  TokenCount m_expectedOutput;
  bool m_waiting = false;

  /** Attempts in flight: one, or two during a hedge or a probe. */
  std::vector<AttemptState> m_attempts;
  std::uint32_t m_lastAttempt = 0;
  std::optional<AttemptNumber> m_selected;
  /** Tokens that the caller has received. */
  TokenCount m_receivedTokens;
  std::uint32_t m_attemptsWithoutProgress = 0;
  std::uint32_t m_resumptions = 0;
  std::uint32_t m_moves = 0;
  std::optional<BackendIndex> m_avoidedBackend;
  std::optional<TimePoint> m_hedgeTimer;

  /** Whether an earlier attempt may have run, partly or completely. */
  bool m_mayHaveRun = false;
  /** Evidence that the last attempt did not run. */
  NotRunEvidence m_notRunEvidence = NotRunEvidence::NeverSent;

  /** @return whether a partial response can continue on another server. */
  [[nodiscard]] bool IsResumable() const
  {
    return m_spec.m_idempotent && m_spec.m_resumable &&
           std::holds_alternative<ModelName>(m_spec.m_target);
  }

  [[nodiscard]] WeightVersion MinVersion() const
  {
    // Services have no weights, so that no version bound applies to them.
    return std::holds_alternative<ServiceName>(m_spec.m_target)
             ? WeightVersion(0)
             : m_spec.m_minVersion.value_or(WeightVersion(0));
  }
};

} // namespace auburntrestle::routing::internal

#endif
