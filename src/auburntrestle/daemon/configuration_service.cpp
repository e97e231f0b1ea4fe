#include "auburntrestle/daemon/configuration_service.hpp"

#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

// Long enough for an election; after it the instance counts as cut off from the
// majority.
constexpr Duration kConfirmTimeout = std::chrono::seconds(5);
constexpr Duration kReportTimeout = std::chrono::seconds(10);
constexpr Duration kPollInterval = std::chrono::seconds(1);

/** Parses the accepted files; after a fault the previous configuration stays in
 * force. */
tl::expected<settings::Configuration, settings::ValidationErrors> Parse(
  const ledger::AcceptedConfiguration& aAccepted)
{
  if (!aAccepted.m_base) {
    return settings::Configuration();
  }
  const settings::ConfigurationFile base{ "base.toml",
                                          aAccepted.m_base->m_text };
  if (!aAccepted.m_overlay) {
    return settings::Configuration::FromBase(base);
  }
  return settings::Configuration::FromTexts(
    settings::ConfigurationTexts{
      base,
      settings::ConfigurationFile{ aAccepted.m_site.Get() + ".toml",
                                   aAccepted.m_overlay->m_text } },
    aAccepted.m_site);
}

} // namespace internal

ConfigurationService::ConfigurationService(
  const settings::InstanceSettings& aSettings,
  ledger::AcceptedConfigurationStore aStore,
  LedgerService& aLedger,
  ledger::InstanceIdentity aIdentity,
  ControlLoop& aLoop,
  ConfigurationListener aListener)
  : m_self(aSettings.m_instance.m_id)
  , m_dataCentre(aSettings.m_instance.m_dataCentre)
  , m_site(aSettings.m_instance.m_site)
  , m_store(std::move(aStore))
  , m_ledger(aLedger)
  , m_identity(std::move(aIdentity))
  , m_loop(aLoop)
  , m_listener(std::move(aListener))
  , m_gate(m_self)
{
}

void ConfigurationService::Start()
{
  m_gate.RecordOwnRevision(m_store.HeldRevision());
  Confirm();
  m_loop.RunPeriodically(internal::kPollInterval, [this] {
    m_ledger.PollConfiguration(m_store.HeldRevision());
    ReportRevision();
  });
}

void ConfigurationService::Confirm()
{
  m_ledger.ConfirmConfiguration(
    internal::kConfirmTimeout,
    [this](const std::optional<ledger::AcceptedConfiguration>& aFound) {
      m_gate.SetCutOff(!aFound.has_value());
      if (aFound) {
        AcceptConfiguration(*aFound);
        m_gate.OnReadConfirmed(aFound->m_revision);
      }
      OpenGateIfAllowed();
      if (m_gate.State() != ledger::GateState::OpenConfirmed) {
        Confirm();
      }
    });
}

void ConfigurationService::AcceptConfiguration(
  const ledger::AcceptedConfiguration& aAccepted)
{
  if (aAccepted.m_revision <= m_store.HeldRevision()) {
    return;
  }
  const auto stored = m_store.Accept(aAccepted);
  if (!stored) {
    observe::LogLine(observe::LogLevel::Error, "configuration_not_stored")
      .Add("kind", ledger::ToString(stored.error().m_kind))
      .Add("detail", stored.error().m_detail);
    return;
  }
  m_gate.RecordOwnRevision(aAccepted.m_revision);
  OpenGateIfAllowed();
  if (m_open) {
    Activate();
  }
}

void ConfigurationService::HandleMembers(const membership::Membership* aMembers)
{
  std::set<InstanceId> live{ m_self };
  if (aMembers != nullptr) {
    for (const auto& member : aMembers->LiveMembers()) {
      live.insert(member.m_id);
      m_gate.RecordPeerRevision(member.m_id, member.m_advertisement.m_revision);
    }
  }
  m_gate.SetLiveInstances(std::move(live));
  OpenGateIfAllowed();
}

void ConfigurationService::OpenGateIfAllowed()
{
  if (m_open || !m_gate.MayUseConfiguration()) {
    return;
  }
  m_open = true;
  observe::LogLine(observe::LogLevel::Info, "configuration_confirmed")
    .Add("revision", m_store.HeldRevision())
    .Add("cut_off", m_gate.State() == ledger::GateState::OpenCutOff);
  Activate();
  m_listener.m_onOpen();
}

void ConfigurationService::Activate()
{
  const auto& held = m_store.Current();
  if (held) {
    auto parsed = internal::Parse(*held);
    if (!parsed) {
      observe::LogLine(observe::LogLevel::Error, "configuration_unreadable")
        .Add("revision", held->m_revision)
        .Add("first_error", settings::FormatError(parsed.error().front()));
      return;
    }
    m_configuration =
      std::make_shared<const settings::Configuration>(std::move(*parsed));
    m_inForce = held->m_revision;
  }
  observe::LogLine(observe::LogLevel::Info, "configuration_in_force")
    .Add("revision", m_inForce);
  m_listener.m_onActivated(m_configuration, m_inForce);
  ReportRevision();
}

void ConfigurationService::ReportRevision()
{
  if (!m_open || m_reporting || m_reported == m_inForce) {
    return;
  }
  m_reporting = true;
  m_ledger.Propose(
    ledger::ReportRevision{ m_identity, m_dataCentre, m_inForce },
    internal::kReportTimeout,
    [this, revision = m_inForce](const LedgerResult& aResult) {
      m_reporting = false;
      if (aResult) {
        m_reported = revision;
      }
    });
}

} // namespace auburntrestle::daemon
