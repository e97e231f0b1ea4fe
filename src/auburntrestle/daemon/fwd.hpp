#ifndef AUBURNTRESTLE_DAEMON_FWD_HPP
#define AUBURNTRESTLE_DAEMON_FWD_HPP

namespace auburntrestle::daemon {

class ControlLoop;
class AttemptStream;
class Daemon;

} // namespace auburntrestle::daemon

#endif
