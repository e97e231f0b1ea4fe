#ifndef AUBURNTRESTLE_LEDGER_PROPOSAL_CLOCK_HPP
#define AUBURNTRESTLE_LEDGER_PROPOSAL_CLOCK_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/ledger/commands.hpp"

namespace auburntrestle::ledger {

/**
 * Creates the time stamps of a leader's proposals. The clocks of different
 * leaders are unrelated, so a new leader continues from the ledger time that it
 * has applied. Ledger time therefore stops while there is no leader and never
 * runs faster than a leader's clock: a lease may end late, but not early.
 */
class ProposalClock
{
public:
  /**
   * Construct this when the instance has become leader and has applied the
   * first entry of its term, hence all entries of previous leaders.
   * @param aLedgerNow StateMachine::Now() at that moment.
   * @param aNow the current time of this process.
   */
  ProposalClock(LedgerTime aLedgerNow, TimePoint aNow) noexcept
    : m_ledgerStart(aLedgerNow)
    , m_start(aNow)
  {
  }

  /** @return the stamp of a proposal made now. */
  [[nodiscard]] LedgerTime Stamp(TimePoint aNow) const noexcept
  {
    return LedgerTime(m_ledgerStart.Get() + (aNow - m_start));
  }

private:
  LedgerTime m_ledgerStart;
  TimePoint m_start;
};

} // namespace auburntrestle::ledger

#endif
