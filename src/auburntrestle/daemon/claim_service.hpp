#ifndef AUBURNTRESTLE_DAEMON_CLAIM_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_CLAIM_SERVICE_HPP

#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/daemon/request_relay.hpp"
#include "auburntrestle/daemon/work.hpp"

#include <functional>
#include <memory>

namespace auburntrestle::daemon {

/**
 * Runs non-idempotent calls of plain services at most once: a claim for the
 * caller's key is committed to the ledger before the call is dispatched, and
 * the response is committed before the caller receives it. Used on the control
 * loop only.
 */
class ClaimService
{
public:
  ClaimService(LedgerService& aLedger,
               RequestRelay& aRelay,
               ledger::InstanceIdentity aIdentity);

  /** Sets how long outcomes are kept. */
  void SetRetention(Duration aRetention) { m_retention = aRetention; }

  /**
   * Runs a call, or returns the recorded outcome of an earlier call with the
   * same key. The call continues after its caller disconnects, so that a retry
   * gets its response.
   *
   * @param aSpec must have a key.
   */
  void Run(routing::RequestSpec aSpec,
           ServiceWork aWork,
           WorkHandlers aHandlers);

private:
  struct Claim;
  using ClaimPointer = std::shared_ptr<Claim>;

  void HandleBeginResult(const ClaimPointer& aClaim,
                         const LedgerResult& aResult);
  void HandleClaimState(const ClaimPointer& aClaim,
                        const ledger::ClaimResult& aResponse);
  void Dispatch(const ClaimPointer& aClaim);
  void Finish(const ClaimPointer& aClaim, ServiceResponse aResponse);
  void Fail(const ClaimPointer& aClaim, const RequestError& aError);

  LedgerService& m_ledger;
  RequestRelay& m_relay;
  ledger::InstanceIdentity m_identity;
  Duration m_retention = std::chrono::hours(1);
  std::uint64_t m_nextRequest = 1;
};

} // namespace auburntrestle::daemon

#endif
