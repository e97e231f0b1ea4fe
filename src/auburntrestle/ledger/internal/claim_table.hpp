#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_CLAIM_TABLE_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_CLAIM_TABLE_HPP

#include "auburntrestle/ledger/internal/state.hpp"
#include "auburntrestle/ledger/limits.hpp"

#include <cstddef>
#include <set>
#include <utility>

namespace auburntrestle::ledger::internal {

/** Applies commands on claims and keeps an index of the replicated claims. */
class ClaimTable
{
public:
  /** Rebuilds the index from a restored state. */
  void Rebuild(const State& aState);

  [[nodiscard]] Result Apply(const BeginClaim& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const FinishClaim& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const MarkClaimUnknown& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const AbandonClaim& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const InstanceDied& aCommand,
                             State& aState,
                             const Limits& aLimits);

  /** Sets running claims of previous incarnations to OutcomeUnknown. */
  void EndPreviousIncarnations(const InstanceIdentity& aIdentity,
                               State& aState);

  /** Removes claims whose retention has passed. */
  void Expire(State& aState);

private:
  void EndClaim(const ClaimKey& aKey,
                Claim& aClaim,
                ClaimState aNewState,
                LedgerTime aNow);

  /** Ended claims by the time at which they expire. */
  std::set<std::pair<LedgerTime, ClaimKey>> m_expiry;
  /** Running claims by the identity of their owner. */
  std::set<std::pair<InstanceIdentity, ClaimKey>> m_running;
  std::size_t m_responseBytes = 0;
};

} // namespace auburntrestle::ledger::internal

#endif
