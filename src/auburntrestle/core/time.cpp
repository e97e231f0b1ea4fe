#include "auburntrestle/core/time.hpp"

#include <ctime>

namespace auburntrestle {

BootClock::time_point BootClock::Now() noexcept
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  const auto sinceBoot =
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace auburntrestle
