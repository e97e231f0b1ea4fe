#ifndef AUBURNTRESTLE_DAEMON_ROLLOUT_LEDGER_HPP
#define AUBURNTRESTLE_DAEMON_ROLLOUT_LEDGER_HPP

#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/state_machine.hpp"
#include "auburntrestle/rollout/events.hpp"
#include "auburntrestle/rollout/step.hpp"

namespace auburntrestle::daemon {

/** @return the reference under which the ledger keeps a sample. */
[[nodiscard]] ledger::SampleRef ToSampleRef(const rollout::SampleId& aSample);

/** @return the command that opens a step, with the data that a new coordinator
 * needs to resume it. */
[[nodiscard]] ledger::OpenStep MakeOpenStep(const rollout::StepSpec& aSpec);

/** @return the initial state of a new coordinator, read from the ledger. */
[[nodiscard]] rollout::LedgerStateRestored ReadRestored(
  const ledger::StateMachine& aState);

} // namespace auburntrestle::daemon

#endif
