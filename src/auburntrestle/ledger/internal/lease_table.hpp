#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_LEASE_TABLE_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_LEASE_TABLE_HPP

#include "auburntrestle/ledger/internal/state.hpp"
#include "auburntrestle/ledger/limits.hpp"

namespace auburntrestle::ledger::internal {

/** @return whether a lease is held at a ledger time. */
[[nodiscard]] bool IsHeld(const LeaseState& aLease, LedgerTime aNow) noexcept;

[[nodiscard]] Result Apply(const AcquireLease& aCommand,
                           State& aState,
                           const Limits& aLimits);
[[nodiscard]] Result Apply(const RenewLease& aCommand,
                           State& aState,
                           const Limits& aLimits);
[[nodiscard]] Result Apply(const ReleaseLease& aCommand,
                           State& aState,
                           const Limits& aLimits);

} // namespace auburntrestle::ledger::internal

#endif
