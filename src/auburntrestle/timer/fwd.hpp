#ifndef AUBURNTRESTLE_TIMER_FWD_HPP
#define AUBURNTRESTLE_TIMER_FWD_HPP

#include <cstdint>

namespace auburntrestle::timer {

enum class TimerError : std::uint8_t;
struct Expiry;
class TimerService;

} // namespace auburntrestle::timer

#endif
