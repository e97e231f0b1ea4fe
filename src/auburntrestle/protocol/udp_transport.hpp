#ifndef AUBURNTRESTLE_PROTOCOL_UDP_TRANSPORT_HPP
#define AUBURNTRESTLE_PROTOCOL_UDP_TRANSPORT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/protocol/authentication.hpp"
#include "auburntrestle/protocol/counters.hpp"
#include "auburntrestle/protocol/datagram.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::protocol {

/** Settings of a UdpTransport. */
struct UdpTransportOptions
{
  InstanceId m_self;
  /** Must increase with every start of this instance. */
  Incarnation m_incarnation;
  /** Address to listen on, ip:port; port 0 selects any free port. */
  std::string m_listenAddress;
  SharedKey m_key;
  /**
   * Maximum datagram in bytes, including its envelope. 1400 avoids
   * fragmentation at the usual MTU of 1500 bytes.
   */
  std::size_t m_maxDatagramBytes = 1400;
};

/**
 * Handles authenticated datagrams on the transport's thread.
 *
 * @param aSource ip:port of the sender.
 */
using DatagramHandler =
  std::function<void(Datagram aDatagram, const std::string& aSource)>;

/**
 * Sends and receives authenticated datagrams, on a thread of its own. All
 * members may be called from any thread except the destructor, which must not
 * run on the transport's thread.
 */
class UdpTransport
{
public:
  /** Opens the socket. @return BadAddress or ListenFailed. */
  [[nodiscard]] static Expected<std::unique_ptr<UdpTransport>> Start(
    UdpTransportOptions aOptions,
    DatagramHandler aHandler);

  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;
  ~UdpTransport();

  /**
   * Sends a datagram; it may be lost without notice.
   *
   * @param aAddress ip:port.
   * @param aTo the receiver, or nothing when only its address is known.
   * @return BadAddress or TooLarge.
   */
  Expected<void> Send(const std::string& aAddress,
                      const std::optional<InstanceId>& aTo,
                      std::string_view aPayload);

  /** @return a copy of the counters. */
  [[nodiscard]] TransportCounters Counters() const;

  /** @return the port listened on. */
  [[nodiscard]] std::uint16_t Port() const noexcept;

private:
  struct State;
  explicit UdpTransport(std::unique_ptr<State> aState);

  std::unique_ptr<State> m_state;
};

} // namespace auburntrestle::protocol

#endif
