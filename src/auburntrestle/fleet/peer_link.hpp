#ifndef AUBURNTRESTLE_FLEET_PEER_LINK_HPP
#define AUBURNTRESTLE_FLEET_PEER_LINK_HPP

#include "auburntrestle/core/transfer_time.hpp"
#include "auburntrestle/fleet/instance_options.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <memory>

namespace auburntrestle::fleet {

/** Bytes per second at which a large message reaches a peer at the least. */
inline constexpr std::size_t kMinTransferRate = std::size_t{ 8 } * 1024 * 1024;

/** @return the maximum time that bytes take to a peer. */
[[nodiscard]] inline Duration TransferTime(std::size_t aBytes)
{
  return auburntrestle::TransferTime(aBytes, kMinTransferRate);
}

/** Starts the transport between an instance and its peers. */
[[nodiscard]] tl::expected<std::unique_ptr<protocol::PeerTransport>, StartError>
StartPeerTransport(const InstanceOptions& aOptions,
                   protocol::PeerHandlers aHandlers);

} // namespace auburntrestle::fleet

#endif
