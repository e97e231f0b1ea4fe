#ifndef AUBURNTRESTLE_DAEMON_PEER_METHODS_HPP
#define AUBURNTRESTLE_DAEMON_PEER_METHODS_HPP

#include "auburntrestle/protocol/frame.hpp"

namespace auburntrestle::daemon {

/** Messages of the replicated log. */
constexpr protocol::Channel kConsensusChannel{ 1 };
/** Announcements of backend servers, forwarded to their owner. */
constexpr protocol::Channel kAnnouncementChannel{ 2 };

/** Announcements of engines, forwarded to the leader by their owners. */
constexpr protocol::Channel kEngineChannel{ 3 };
/** Engines that the leader has taken out of service; a lease that the leader
 * renews by repeating the message. */
constexpr protocol::Channel kOutOfServiceChannel{ 4 };

/** Proposes a ledger command to the leader. */
constexpr protocol::Method kProposeMethod{ 1 };
/** Asks a ledger member for the accepted configuration of a site. */
constexpr protocol::Method kConfigurationMethod{ 2 };
/** Asks the leader for the configuration of a site by a linearizable read. */
constexpr protocol::Method kConfirmMethod{ 4 };
/** Forwards a trainer's request to the coordinator. */
constexpr protocol::Method kTrainerMethod{ 3 };

} // namespace auburntrestle::daemon

#endif
