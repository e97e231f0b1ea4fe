#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_CHECK_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_CHECK_HPP

#include "auburntrestle/ledger/limits.hpp"
#include "auburntrestle/ledger/results.hpp"

#include <string>

namespace auburntrestle::ledger::internal {

/** @return a refusal as the error of a Result. */
[[nodiscard]] inline tl::unexpected<Refusal> Refuse(RefusalKind aKind,
                                                    std::uint64_t aCurrent = 0,
                                                    std::string aDetail = {})
{
  return tl::unexpected(Refusal{ aKind, aCurrent, std::move(aDetail) });
}

/** @return whether a name is not empty and not too long. */
[[nodiscard]] inline bool IsValidName(const std::string& aName,
                                      const Limits& aLimits)
{
  return !aName.empty() && aName.size() <= aLimits.m_nameBytes;
}

/** @return a time plus a span; the codec bounds both against overflow. */
[[nodiscard]] inline LedgerTime After(LedgerTime aTime, Duration aSpan)
{
  return LedgerTime(aTime.Get() + aSpan);
}

} // namespace auburntrestle::ledger::internal

#endif
