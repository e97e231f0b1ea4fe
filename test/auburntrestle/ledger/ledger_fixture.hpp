#ifndef AUBURNTRESTLE_TEST_LEDGER_LEDGER_FIXTURE_HPP
#define AUBURNTRESTLE_TEST_LEDGER_LEDGER_FIXTURE_HPP

#include "auburntrestle/ledger/state_machine.hpp"

#include <string>

namespace auburntrestle::ledger {

/** A state machine that applies commands as consecutive log entries. */
struct LedgerFixture
{
  explicit LedgerFixture(const Limits& aLimits = {})
    : m_machine(aLimits)
  {
  }

  Result Apply(const Command& aCommand, Term aTerm = Term(1))
  {
    m_index = m_index.Next();
    return m_machine.Apply(
      m_index, aTerm, Encode(Proposal{ LedgerTime(m_now), aCommand }));
  }

  StateMachine m_machine;
  LogIndex m_index;
  Duration m_now = std::chrono::seconds(1);
};

inline InstanceIdentity Identity(const std::string& aName,
                                 std::uint64_t aIncarnation = 1)
{
  return InstanceIdentity{ InstanceId(aName), Incarnation(aIncarnation) };
}

inline ClaimKey Key(const std::string& aKey)
{
  return ClaimKey{ CallerId("web"), IdempotencyKey(aKey) };
}

inline ClaimOwner Owner(const std::string& aName,
                        std::uint64_t aRequest = 1,
                        std::uint64_t aIncarnation = 1)
{
  return ClaimOwner{ Identity(aName, aIncarnation), RequestId(aRequest) };
}

inline SampleRef Sample(std::uint64_t aStep,
                        std::uint32_t aGroup,
                        std::uint32_t aIndex)
{
  return SampleRef{ StepNumber(aStep),
                    GroupIndex(aGroup),
                    SampleIndex(aIndex) };
}

} // namespace auburntrestle::ledger

#endif
