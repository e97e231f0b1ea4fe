#ifndef AUBURNTRESTLE_FLEET_PEER_LINK_HPP
#define AUBURNTRESTLE_FLEET_PEER_LINK_HPP

#include "auburntrestle/fleet/instance_options.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <memory>

namespace auburntrestle::fleet {

/** Starts the transport between an instance and its peers. */
[[nodiscard]] tl::expected<std::unique_ptr<protocol::PeerTransport>, StartError>
StartPeerTransport(const InstanceOptions& aOptions,
                   protocol::PeerHandlers aHandlers);

} // namespace auburntrestle::fleet

#endif
