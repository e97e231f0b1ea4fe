#ifndef AUBURNTRESTLE_SOAK_PROXY_HPP
#define AUBURNTRESTLE_SOAK_PROXY_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** A fault that a proxy applies to the bytes that it forwards. */
struct LinkFault
{
  /** Delay of each chunk. */
  Duration m_delay{};
  /** Bytes from callers to the target wait until the fault is over. */
  bool m_blockToTarget = false;
  /** Bytes from the target to callers wait until the fault is over. */
  bool m_blockToCaller = false;
};

/** Forwards TCP connections on loopback to one target, with faults. */
class Proxy
{
public:
  /** @param aListen, aTarget ip:port on loopback. */
  Proxy(event_loop::EventLoop& aLoop,
        const std::string& aListen,
        const std::string& aTarget);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /** Replaces the fault in force. */
  void SetFault(const LinkFault& aFault);
  /** Resets all open connections. */
  void ResetAll();

private:
  struct State;
  struct Session;

  std::shared_ptr<State> m_state;
};

} // namespace auburntrestle::soak

#endif
