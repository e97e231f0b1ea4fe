#include "auburntrestle/daemon/claim_service.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/protocol/pack.hpp"
#include "auburntrestle/settings/digest.hpp"

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kLedgerTimeout = std::chrono::seconds(5);

std::string EncodeServiceResponse(const ServiceResponse& aResponse)
{
  protocol::Writer writer;
  writer(aResponse.m_status, aResponse.m_contentType, aResponse.m_body);
  return writer.ExtractBytes();
}

std::optional<ServiceResponse> DecodeServiceResponse(std::string_view aBytes)
{
  protocol::Reader reader(aBytes);
  ServiceResponse response;
  reader(response.m_status, response.m_contentType, response.m_body);
  return reader.Result() ? std::optional(std::move(response)) : std::nullopt;
}

settings::Digest DigestOfWork(const ServiceWork& aWork)
{
  protocol::Writer writer;
  writer(aWork.m_service, aWork.m_method, aWork.m_path, aWork.m_body);
  return settings::DigestOf(writer.ExtractBytes());
}

RequestError ErrorOf(const LedgerFailure& aFailure)
{
  return std::visit(
    Overloaded{
      [](const ledger::Refusal& aRefusal) -> RequestError {
        const bool reused =
          aRefusal.m_kind == ledger::RefusalKind::KeyReused ||
          aRefusal.m_kind == ledger::RefusalKind::InvalidArgument;
        return NotRunError(reused ? ErrorCode::Conflict : ErrorCode::Overloaded,
                           NotRunEvidence::NeverSent);
      },
      // In both cases this instance has not dispatched the call. If the claim
      // was committed nevertheless, it prevents others from dispatching it.
      [](const LedgerUnavailable&) -> RequestError {
        return NotRunError(ErrorCode::NoQuorum, NotRunEvidence::NeverSent);
      },
      [](const LedgerOutcomeUnknown&) -> RequestError {
        return NotRunError(ErrorCode::NoQuorum, NotRunEvidence::NeverSent);
      } },
    aFailure);
}

} // namespace internal

struct ClaimService::Claim
{
  ledger::ClaimKey m_key;
  ledger::ClaimOwner m_owner;
  routing::RequestSpec m_spec;
  ServiceWork m_work;
  WorkHandlers m_handlers;
};

ClaimService::ClaimService(LedgerService& aLedger,
                           RequestRelay& aRelay,
                           ledger::InstanceIdentity aIdentity)
  : m_ledger(aLedger)
  , m_relay(aRelay)
  , m_identity(std::move(aIdentity))
{
}

void ClaimService::Run(routing::RequestSpec aSpec,
                       ServiceWork aWork,
                       WorkHandlers aHandlers)
{
  auto claim = std::make_shared<Claim>();
  claim->m_key = ledger::ClaimKey{ aSpec.m_caller, *aSpec.m_key };
  claim->m_owner = ledger::ClaimOwner{ m_identity, RequestId(m_nextRequest++) };
  claim->m_spec = std::move(aSpec);
  claim->m_spec.m_idempotent = false;
  claim->m_work = std::move(aWork);
  claim->m_handlers = std::move(aHandlers);
  m_ledger.Propose(ledger::BeginClaim{ claim->m_key,
                                       claim->m_owner,
                                       internal::DigestOfWork(claim->m_work),
                                       m_retention },
                   internal::kLedgerTimeout,
                   [this, claim](const LedgerResult& aResult) {
                     HandleBeginResult(claim, aResult);
                   });
}

void ClaimService::HandleBeginResult(const ClaimPointer& aClaim,
                                     const LedgerResult& aResult)
{
  if (aResult) {
    HandleClaimState(aClaim, std::get<ledger::ClaimResult>(*aResult));
    return;
  }
  if (std::holds_alternative<LedgerOutcomeUnknown>(aResult.error())) {
    m_ledger.Propose(ledger::AbandonClaim{ aClaim->m_key, aClaim->m_owner },
                     internal::kLedgerTimeout,
                     [](const LedgerResult&) {});
  }
  aClaim->m_handlers.m_onFailed(internal::ErrorOf(aResult.error()),
                                Duration::zero());
}

void ClaimService::HandleClaimState(const ClaimPointer& aClaim,
                                    const ledger::ClaimResult& aResponse)
{
  if (aResponse.m_begun) {
    Dispatch(aClaim);
    return;
  }
  if (aResponse.m_state == ledger::ClaimState::Finished) {
    auto response = internal::DecodeServiceResponse(aResponse.m_response);
    if (response) {
      aClaim->m_handlers.m_onResponse(std::move(*response));
      return;
    }
  }
  // The work of this key is running or may have run, so "not run" would be
  // false.
  const auto code = aResponse.m_state == ledger::ClaimState::Running
                      ? ErrorCode::KeyInProgress
                      : ErrorCode::KeyOutcomeUnknown;
  aClaim->m_handlers.m_onFailed(UnknownOutcomeError(code), Duration::zero());
}

void ClaimService::Dispatch(const ClaimPointer& aClaim)
{
  WorkHandlers handlers;
  handlers.m_onResponse = [this, aClaim](ServiceResponse aResponse) {
    Finish(aClaim, std::move(aResponse));
  };
  handlers.m_onFailed = [this, aClaim](const RequestError& aError, Duration) {
    Fail(aClaim, aError);
  };
  std::ignore =
    m_relay.Submit(aClaim->m_spec, aClaim->m_work, std::move(handlers));
}

void ClaimService::Finish(const ClaimPointer& aClaim, ServiceResponse aResponse)
{
  // Encoded first, because the callback moves the response and arguments are
  // evaluated in no specified order.
  ledger::FinishClaim command{ aClaim->m_key,
                               aClaim->m_owner,
                               internal::EncodeServiceResponse(aResponse) };
  m_ledger.Propose(
    std::move(command),
    internal::kLedgerTimeout,
    [aClaim, response = std::move(aResponse)](const LedgerResult&) mutable {
      // Without a majority a retry gets an unknown outcome, but this caller
      // still gets the response of the service.
      aClaim->m_handlers.m_onResponse(std::move(response));
    });
}

void ClaimService::Fail(const ClaimPointer& aClaim, const RequestError& aError)
{
  const bool notRun = std::holds_alternative<NotRunError>(aError);
  ledger::Command command;
  if (notRun) {
    command = ledger::AbandonClaim{ aClaim->m_key, aClaim->m_owner };
  } else {
    command = ledger::MarkClaimUnknown{ aClaim->m_key, aClaim->m_owner };
  }
  m_ledger.Propose(std::move(command),
                   internal::kLedgerTimeout,
                   [aClaim, aError](const LedgerResult&) {
                     aClaim->m_handlers.m_onFailed(aError, Duration::zero());
                   });
}

} // namespace auburntrestle::daemon
