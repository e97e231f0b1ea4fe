#include "auburntrestle/fleet/peer_link.hpp"

namespace auburntrestle::fleet {

namespace {

/** A snapshot of the complete state is sent in one frame. */
constexpr std::size_t kMaxFrameBytes = std::size_t{ 64 } * 1024 * 1024;
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxFrameBytes;
// Log messages are resent, so only a few are queued for an unreachable member.
constexpr std::size_t kMaxWaitingMessages = 8;
// A silent connection has to be detected before callers time out.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1600);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
constexpr Duration kMaxBackOff = std::chrono::milliseconds(400);

} // namespace

tl::expected<std::unique_ptr<protocol::PeerTransport>, StartError>
StartPeerTransport(const InstanceOptions& aOptions,
                   protocol::PeerHandlers aHandlers)
{
  auto key = protocol::SharedKey::FromText(aOptions.m_sharedKey);
  if (!key) {
    return tl::make_unexpected(StartError{ "shared key: too short" });
  }
  protocol::PeerTransportOptions options{ .m_self = aOptions.m_self,
                                          .m_listenAddress =
                                            aOptions.m_peerBindAddress,
                                          .m_key = std::move(*key) };
  options.m_maxFrameBytes = kMaxFrameBytes;
  options.m_maxQueuedBytes = kMaxQueuedBytes;
  options.m_maxWaitingMessages = kMaxWaitingMessages;
  options.m_heartbeatInterval = kHeartbeatInterval;
  options.m_silenceLimit = kSilenceLimit;
  options.m_connectTimeout = kConnectTimeout;
  options.m_maxBackOff = kMaxBackOff;
  auto transport =
    protocol::PeerTransport::Start(std::move(options), std::move(aHandlers));
  if (!transport) {
    return tl::make_unexpected(
      StartError{ std::string(protocol::ToString(transport.error().m_code)) +
                  " " + transport.error().m_detail });
  }
  return std::move(*transport);
}

} // namespace auburntrestle::fleet
