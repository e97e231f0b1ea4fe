#ifndef AUBURNTRESTLE_OBSERVE_FWD_HPP
#define AUBURNTRESTLE_OBSERVE_FWD_HPP

namespace auburntrestle::observe {

class LogLine;

} // namespace auburntrestle::observe

#endif
