#include "auburntrestle/daemon/peer_service.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/membership_codec.hpp"

#include <random>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kMembershipTick = std::chrono::milliseconds(50);
// Shorter than the default of the membership package, because requests are
// forwarded according to the advertised free capacity.
constexpr Duration kCapacityInterval = std::chrono::seconds(1);
// A batch of samples is sent in one frame.
constexpr std::size_t kMaxFrameBytes = std::size_t{ 32 } << 20U;
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 64 } << 20U;

membership::MembershipSettings MembershipSettingsOf(
  const settings::InstanceSettings& aSettings,
  Incarnation aIncarnation,
  const std::string& aHttpAddress)
{
  membership::MembershipSettings result;
  result.m_id = aSettings.m_instance.m_id;
  result.m_dataCentre = aSettings.m_instance.m_dataCentre;
  result.m_incarnation = aIncarnation;
  result.m_httpAddress = aHttpAddress;
  result.m_peerAddress = aSettings.m_listen.m_peer.ToString();
  for (const auto& seed : aSettings.m_peers.m_seeds) {
    result.m_seeds.push_back(seed.ToString());
  }
  for (const auto& member : aSettings.m_ledger.m_members) {
    if (member.m_id != aSettings.m_instance.m_id) {
      result.m_seeds.push_back(member.m_address.ToString());
    }
  }
  result.m_capacityInterval = kCapacityInterval;
  return result;
}

void LogMember(const char* aEvent, const InstanceId& aInstance)
{
  observe::LogLine(observe::LogLevel::Info, aEvent).Add("instance", aInstance);
}

} // namespace internal

tl::expected<std::unique_ptr<PeerService>, PeerError> PeerService::Create(
  const settings::InstanceSettings& aSettings,
  ControlLoop& aLoop,
  Incarnation aIncarnation,
  PeerListener aListener)
{
  const auto key =
    protocol::SharedKey::FromFile(aSettings.m_peers.m_sharedKeyFile.string());
  if (!key) {
    return tl::make_unexpected(PeerError{ key.error().m_detail });
  }
  std::unique_ptr<PeerService> self(
    new PeerService(aSettings, aLoop, aIncarnation, std::move(aListener)));
  auto* raw = self.get();
  const auto address = aSettings.m_listen.m_peer.ToString();
  protocol::PeerTransportOptions options{ .m_self = aSettings.m_instance.m_id,
                                          .m_listenAddress = address,
                                          .m_key = *key };
  options.m_maxFrameBytes = internal::kMaxFrameBytes;
  options.m_maxQueuedBytes = internal::kMaxQueuedBytes;
  protocol::PeerHandlers handlers;
  handlers.m_onMessage =
    [raw](const InstanceId&, protocol::Channel aChannel, std::string aPayload) {
      raw->m_listener.m_onMessage(aChannel, std::move(aPayload));
    };
  handlers.m_onCall = [raw](const InstanceId&,
                            protocol::Method aMethod,
                            std::string aPayload,
                            protocol::Reply aReply) {
    raw->m_listener.m_onCall(aMethod, std::move(aPayload), std::move(aReply));
  };
  auto transport =
    protocol::PeerTransport::Start(std::move(options), std::move(handlers));
  if (!transport) {
    return tl::make_unexpected(PeerError{ transport.error().m_detail });
  }
  self->m_transport = std::move(*transport);
  auto datagrams = protocol::UdpTransport::Start(
    protocol::UdpTransportOptions{ .m_self = aSettings.m_instance.m_id,
                                   .m_incarnation = aIncarnation,
                                   .m_listenAddress = address,
                                   .m_key = *key },
    [raw](protocol::Datagram aDatagram, const std::string& aSource) {
      raw->m_loop.Post(
        [raw, datagram = std::move(aDatagram), source = aSource] {
          raw->HandleDatagram(datagram, source);
        });
    });
  if (!datagrams) {
    return tl::make_unexpected(PeerError{ datagrams.error().m_detail });
  }
  self->m_datagrams = std::move(*datagrams);
  for (const auto& member : aSettings.m_ledger.m_members) {
    if (member.m_id != aSettings.m_instance.m_id) {
      std::ignore =
        raw->m_transport->SetPeer(member.m_id, member.m_address.ToString());
    }
  }
  return self;
}

PeerService::PeerService(const settings::InstanceSettings& aSettings,
                         ControlLoop& aLoop,
                         Incarnation aIncarnation,
                         PeerListener aListener)
  : m_settings(aSettings)
  , m_loop(aLoop)
  , m_incarnation(aIncarnation)
  , m_listener(std::move(aListener))
{
}

PeerService::~PeerService() = default;

void PeerService::Start(const std::string& aHttpAddress)
{
  std::random_device device;
  m_membership = std::make_unique<membership::Membership>(
    internal::MembershipSettingsOf(m_settings, m_incarnation, aHttpAddress),
    device(),
    MonotonicClock::Now());
  m_loop.RunPeriodically(internal::kMembershipTick, [this] {
    if (MonotonicClock::Now() >= m_membership->NextDeadline()) {
      Handle(membership::Tick{});
    }
  });
}

void PeerService::HandleDatagram(const protocol::Datagram& aDatagram,
                                 const std::string& aSource)
{
  auto message = protocol::DecodeMembership(aDatagram.m_payload);
  if (message && m_membership) {
    Handle(membership::MessageReceived{
      aDatagram.m_from, aSource, aDatagram.m_directed, std::move(*message) });
  }
}

void PeerService::Handle(const membership::Event& aEvent)
{
  std::vector<membership::Action> actions;
  m_membership->Handle(aEvent, MonotonicClock::Now(), actions);
  for (const auto& action : actions) {
    Execute(action);
  }
}

void PeerService::Execute(const membership::Action& aAction)
{
  std::visit(Overloaded{ [this](const membership::SendMessage& aSend) {
                          std::ignore = m_datagrams->Send(
                            aSend.m_address,
                            aSend.m_to,
                            protocol::EncodeMembership(aSend.m_message));
                        },
                         [this](const membership::MemberAlive& aAlive) {
                           internal::LogMember("instance_alive", aAlive.m_id);
                           Connect(aAlive.m_id);
                           m_listener.m_onChanged();
                         },
                         [](const membership::MemberSuspect& aSuspect) {
                           internal::LogMember("instance_suspect",
                                               aSuspect.m_id);
                         },
                         [this](const membership::MemberDead& aDead) {
                           internal::LogMember("instance_dead", aDead.m_id);
                           m_listener.m_onChanged();
                         },
                         [this](const membership::MemberLeft& aLeft) {
                           internal::LogMember("instance_left", aLeft.m_id);
                           m_listener.m_onChanged();
                         },
                         [this](const membership::MemberChanged& aChanged) {
                           Connect(aChanged.m_id);
                           m_listener.m_onChanged();
                         },
                         [this](const membership::IsolationChanged& aChange) {
                           observe::LogLine(observe::LogLevel::Warning,
                                            "isolation_changed")
                             .Add("isolated", aChange.m_isolated);
                           m_listener.m_onChanged();
                         },
                         [this](const membership::DataCentreChanged& aChanged) {
                           ConnectRepresentatives(aChanged.m_dataCentre);
                           m_listener.m_onChanged();
                         } },
             aAction);
}

void PeerService::Connect(const InstanceId& aInstance)
{
  for (const auto& member : m_membership->LiveMembers()) {
    if (member.m_id == aInstance && aInstance != m_settings.m_instance.m_id) {
      std::ignore =
        m_transport->SetPeer(aInstance, member.m_advertisement.m_peerAddress);
    }
  }
}

void PeerService::ConnectRepresentatives(const DataCentreId& aDataCentre)
{
  const auto* known = m_membership->Summaries().Find(aDataCentre);
  if (known == nullptr) {
    return;
  }
  for (const auto& representative : known->m_summary.m_representatives) {
    if (representative.m_id != m_settings.m_instance.m_id) {
      std::ignore =
        m_transport->SetPeer(representative.m_id, representative.m_peerAddress);
    }
  }
}

void PeerService::Advertise(membership::LocalStateChanged aChange)
{
  Handle(std::move(aChange));
}

void PeerService::Leave()
{
  Handle(membership::LeaveRequested{});
}

} // namespace auburntrestle::daemon
