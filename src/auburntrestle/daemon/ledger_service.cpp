#include "auburntrestle/daemon/ledger_service.hpp"

#include "auburntrestle/daemon/internal/ledger_implementation.hpp"

#include <utility>

namespace auburntrestle::daemon {

tl::expected<std::unique_ptr<LedgerService>, LedgerOpenError>
LedgerService::Create(const settings::InstanceSettings& aSettings,
                      ControlLoop& aLoop,
                      protocol::PeerTransport* aTransport,
                      ledger::InstanceIdentity aIdentity,
                      bool aBootstrap,
                      LedgerListener aListener)
{
  auto implementation = std::make_unique<Implementation>(
    aSettings, aLoop, aTransport, std::move(aIdentity), std::move(aListener));
  if (aSettings.IsLedgerMember()) {
    const auto opened = implementation->Open(aSettings, aBootstrap);
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
  }
  implementation->Start();
  return std::unique_ptr<LedgerService>(
    new LedgerService(aLoop, std::move(implementation)));
}

LedgerService::LedgerService(ControlLoop& aLoop,
                             std::unique_ptr<Implementation> aImplementation)
  : m_loop(aLoop)
  , m_implementation(std::move(aImplementation))
{
}

LedgerService::~LedgerService() = default;

void LedgerService::Propose(ledger::Command aCommand,
                            Duration aTimeout,
                            std::function<void(LedgerResult)> aCallback)
{
  m_implementation->Propose(
    std::move(aCommand), aTimeout, std::move(aCallback));
}

void LedgerService::OnLedger(
  std::function<void(const ledger::StateMachine&)> aWork)
{
  m_implementation->Post(
    [this, work = std::move(aWork)] { work(m_implementation->State()); });
}

void LedgerService::Status(std::function<void(consensus::NodeStatus)> aCallback)
{
  m_implementation->Status(std::move(aCallback));
}

void LedgerService::ChangeMembership(
  consensus::MembershipChange aChange,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  m_implementation->ChangeMembership(std::move(aChange), std::move(aCallback));
}

void LedgerService::AddMember(
  const InstanceId& aInstance,
  const std::string& aAddress,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  m_implementation->AddMember(aInstance, aAddress, std::move(aCallback));
}

void LedgerService::HandleMessage(const std::string& aPayload)
{
  m_implementation->HandleMessage(aPayload);
}

void LedgerService::HandleProposal(const std::string& aPayload,
                                   const protocol::Reply& aReply)
{
  m_implementation->HandleProposal(aPayload, aReply);
}

void LedgerService::HandleConfigurationRequest(const std::string& aPayload,
                                               const protocol::Reply& aReply)
{
  m_implementation->HandleConfigurationRequest(aPayload, aReply);
}

void LedgerService::HandleConfirmRequest(const std::string& aPayload,
                                         const protocol::Reply& aReply)
{
  m_implementation->HandleConfirmRequest(aPayload, aReply);
}

void LedgerService::ConfirmConfiguration(
  Duration aTimeout,
  std::function<void(std::optional<ledger::AcceptedConfiguration>)> aCallback)
{
  m_implementation->Confirm(aTimeout, std::move(aCallback));
}

void LedgerService::SetFallbackPeers(std::vector<InstanceId> aPeers)
{
  m_implementation->SetFallbackPeers(std::move(aPeers));
}

bool LedgerService::IsMember() const noexcept
{
  return m_implementation->IsMember();
}

void LedgerService::PollConfiguration(Revision aHeld)
{
  m_implementation->Poll(aHeld);
}

void LedgerService::Stop()
{
  m_implementation->Stop();
}

void LedgerService::TransferLeadership()
{
  m_implementation->TransferLeadership();
}

} // namespace auburntrestle::daemon
