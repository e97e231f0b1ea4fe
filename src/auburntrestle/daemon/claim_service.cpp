#include "auburntrestle/daemon/claim_service.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/protocol/pack.hpp"
#include "auburntrestle/settings/digest.hpp"

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kLedgerTimeout = std::chrono::seconds(5);

std::string EncodeAnswer(const ServiceAnswer& aAnswer)
{
  protocol::Writer writer;
  writer(aAnswer.m_status, aAnswer.m_contentType, aAnswer.m_body);
  return writer.Take();
}

std::optional<ServiceAnswer> DecodeAnswer(std::string_view aBytes)
{
  protocol::Reader reader(aBytes);
  ServiceAnswer answer;
  reader(answer.m_status, answer.m_contentType, answer.m_body);
  return reader.Result() ? std::optional(std::move(answer)) : std::nullopt;
}

settings::Digest DigestOfWork(const ServiceWork& aWork)
{
  protocol::Writer writer;
  writer(aWork.m_service, aWork.m_method, aWork.m_path, aWork.m_body);
  return settings::DigestOf(writer.Take());
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
      // In both cases this instance has not dispatched the call, and a claim
      // that was committed after all keeps others from dispatching it.
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
                           ledger::InstanceIdentity aLife)
  : m_ledger(aLedger)
  , m_relay(aRelay)
  , m_life(std::move(aLife))
{
}

void ClaimService::Run(routing::RequestSpec aSpec,
                       ServiceWork aWork,
                       WorkHandlers aHandlers)
{
  auto claim = std::make_shared<Claim>();
  claim->m_key = ledger::ClaimKey{ aSpec.m_caller, *aSpec.m_key };
  claim->m_owner = ledger::ClaimOwner{ m_life, RequestId(m_nextRequest++) };
  claim->m_spec = std::move(aSpec);
  claim->m_spec.m_idempotent = false;
  claim->m_work = std::move(aWork);
  claim->m_handlers = std::move(aHandlers);
  m_ledger.Propose(
    ledger::BeginClaim{ claim->m_key,
                        claim->m_owner,
                        internal::DigestOfWork(claim->m_work),
                        m_retention },
    internal::kLedgerTimeout,
    [this, claim](const LedgerResult& aResult) { TakeBegun(claim, aResult); });
}

void ClaimService::TakeBegun(const ClaimPointer& aClaim,
                             const LedgerResult& aResult)
{
  if (aResult) {
    TakeState(aClaim, std::get<ledger::ClaimResult>(*aResult));
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

void ClaimService::TakeState(const ClaimPointer& aClaim,
                             const ledger::ClaimResult& aAnswer)
{
  if (aAnswer.m_begun) {
    Dispatch(aClaim);
    return;
  }
  if (aAnswer.m_state == ledger::ClaimState::Finished) {
    auto answer = internal::DecodeAnswer(aAnswer.m_response);
    if (answer) {
      aClaim->m_handlers.m_onAnswered(std::move(*answer));
      return;
    }
  }
  // The work under this key runs or may have run, so "not run" would be false.
  const auto code = aAnswer.m_state == ledger::ClaimState::Running
                      ? ErrorCode::KeyInProgress
                      : ErrorCode::KeyOutcomeUnknown;
  aClaim->m_handlers.m_onFailed(UnknownOutcomeError(code), Duration::zero());
}

void ClaimService::Dispatch(const ClaimPointer& aClaim)
{
  WorkHandlers handlers;
  handlers.m_onAnswered = [this, aClaim](ServiceAnswer aAnswer) {
    Finish(aClaim, std::move(aAnswer));
  };
  handlers.m_onFailed = [this, aClaim](const RequestError& aError, Duration) {
    Fail(aClaim, aError);
  };
  std::ignore =
    m_relay.Submit(aClaim->m_spec, aClaim->m_work, std::move(handlers));
}

void ClaimService::Finish(const ClaimPointer& aClaim, ServiceAnswer aAnswer)
{
  // Encoded first: the callback takes the answer over, and arguments are
  // evaluated in no particular order.
  ledger::FinishClaim command{ aClaim->m_key,
                               aClaim->m_owner,
                               internal::EncodeAnswer(aAnswer) };
  m_ledger.Propose(
    std::move(command),
    internal::kLedgerTimeout,
    [aClaim, answer = std::move(aAnswer)](const LedgerResult&) mutable {
      // Without a majority a resend will be told that the outcome is unknown;
      // this caller still gets the answer that the service gave.
      aClaim->m_handlers.m_onAnswered(std::move(answer));
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
