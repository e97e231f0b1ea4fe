#ifndef AUBURNTRESTLE_EVENT_LOOP_SIGNAL_MASK_HPP
#define AUBURNTRESTLE_EVENT_LOOP_SIGNAL_MASK_HPP

#include <tl/expected.hpp>

#include <initializer_list>
#include <system_error>

namespace auburntrestle::event_loop {

/**
 * Blocks signals for the calling thread and the threads that it starts. One
 * that arrives meanwhile stays pending, so that a program can block at its
 * start the signals for which it installs handlers later.
 */
[[nodiscard]] tl::expected<void, std::error_code> BlockSignals(
  std::initializer_list<int> aSignals);

/** Unblocks signals for the calling thread, which delivers pending ones. */
[[nodiscard]] tl::expected<void, std::error_code> UnblockSignals(
  std::initializer_list<int> aSignals);

} // namespace auburntrestle::event_loop

#endif
