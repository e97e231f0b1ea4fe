#ifndef AUBURNTRESTLE_CORE_TRANSFER_TIME_HPP
#define AUBURNTRESTLE_CORE_TRANSFER_TIME_HPP

#include "auburntrestle/core/time.hpp"

#include <cstddef>

namespace auburntrestle {

/** @return the time that bytes take at a rate in bytes per second. */
[[nodiscard]] inline Duration TransferTime(std::size_t aBytes,
                                           std::size_t aRate)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(aBytes) / static_cast<double>(aRate)));
}

} // namespace auburntrestle

#endif
