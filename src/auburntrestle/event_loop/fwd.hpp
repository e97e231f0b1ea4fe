#ifndef AUBURNTRESTLE_EVENT_LOOP_FWD_HPP
#define AUBURNTRESTLE_EVENT_LOOP_FWD_HPP

namespace auburntrestle::event_loop {

class EventLoop;
struct LoopCounts;

} // namespace auburntrestle::event_loop

#endif
