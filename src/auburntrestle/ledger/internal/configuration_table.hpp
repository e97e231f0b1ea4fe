#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_CONFIGURATION_TABLE_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_CONFIGURATION_TABLE_HPP

#include "auburntrestle/ledger/internal/state.hpp"
#include "auburntrestle/ledger/limits.hpp"

namespace auburntrestle::ledger::internal {

/** Applies an edit of the operators' configuration. */
[[nodiscard]] Result Apply(const ApplyConfiguration& aCommand,
                           State& aState,
                           const Limits& aLimits);

/** Records the revision in force on an instance. */
[[nodiscard]] Result Apply(const ReportRevision& aCommand,
                           State& aState,
                           const Limits& aLimits);

/**
 * Records an incarnation of an instance.
 * @return its entry, or a refusal if the incarnation is known to have ended or
 * the table is full.
 */
[[nodiscard]] tl::expected<InstanceState*, Refusal> RecordInstance(
  const InstanceIdentity& aIdentity,
  State& aState,
  const Limits& aLimits);

} // namespace auburntrestle::ledger::internal

#endif
