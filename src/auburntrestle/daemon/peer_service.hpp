#ifndef AUBURNTRESTLE_DAEMON_PEER_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_PEER_SERVICE_HPP

#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/membership/membership.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"
#include "auburntrestle/protocol/udp_transport.hpp"
#include "auburntrestle/settings/instance_settings.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** The connections to other instances cannot be set up. */
struct PeerError
{
  std::string m_reason;
};

/** Receives messages and calls of other instances, on the transport's thread
 * unless stated otherwise. */
struct PeerListener
{
  std::function<void(protocol::Channel, std::string)> m_onMessage;
  std::function<void(protocol::Method, std::string, protocol::Reply)> m_onCall;
  /** Called on the control loop when the live instances may have changed. */
  std::function<void()> m_onChanged;
};

/** Connects to the other instances and tracks which of them are alive. */
class PeerService
{
public:
  /** Opens the peer address for TCP and UDP. */
  [[nodiscard]] static tl::expected<std::unique_ptr<PeerService>, PeerError>
  Create(const settings::InstanceSettings& aSettings,
         ControlLoop& aLoop,
         Incarnation aIncarnation,
         PeerListener aListener);

  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;
  ~PeerService();

  /** Joins the other instances; on the control loop or before it runs. */
  void Start(const std::string& aHttpAddress);

  [[nodiscard]] protocol::PeerTransport& Transport() { return *m_transport; }
  /** Used on the control loop only. */
  [[nodiscard]] const membership::Membership& Members() const
  {
    return *m_membership;
  }

  /** Advertises a change of this instance; on the control loop. */
  void Advertise(membership::LocalStateChanged aChange);
  /** Announces that this instance leaves; on the control loop. */
  void Leave();

private:
  PeerService(const settings::InstanceSettings& aSettings,
              ControlLoop& aLoop,
              Incarnation aIncarnation,
              PeerListener aListener);

  void Handle(const membership::Event& aEvent);
  void HandleDatagram(const protocol::Datagram& aDatagram,
                      const std::string& aSource);
  void Execute(const membership::Action& aAction);
  void Connect(const InstanceId& aInstance);
  void ConnectRepresentatives(const DataCentreId& aDataCentre);

  const settings::InstanceSettings& m_settings;
  ControlLoop& m_loop;
  Incarnation m_incarnation;
  PeerListener m_listener;
  std::unique_ptr<membership::Membership> m_membership;
  std::unique_ptr<protocol::UdpTransport> m_datagrams;
  std::unique_ptr<protocol::PeerTransport> m_transport;
};

} // namespace auburntrestle::daemon

#endif
