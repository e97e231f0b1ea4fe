#include "auburntrestle/event_loop/signal_mask.hpp"

#include <csignal>

namespace auburntrestle::event_loop {

namespace {

tl::expected<void, std::error_code> ChangeMask(
  int aChange,
  std::initializer_list<int> aSignals)
{
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int number : aSignals) {
    ::sigaddset(&signals, number);
  }
  const int error = ::pthread_sigmask(aChange, &signals, nullptr);
  if (error != 0) {
    return tl::make_unexpected(std::error_code(error, std::system_category()));
  }
  return {};
}

} // namespace

tl::expected<void, std::error_code> BlockSignals(
  std::initializer_list<int> aSignals)
{
  return ChangeMask(SIG_BLOCK, aSignals);
}

tl::expected<void, std::error_code> UnblockSignals(
  std::initializer_list<int> aSignals)
{
  return ChangeMask(SIG_UNBLOCK, aSignals);
}

} // namespace auburntrestle::event_loop
