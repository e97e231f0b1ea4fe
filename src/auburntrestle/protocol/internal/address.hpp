#ifndef AUBURNTRESTLE_PROTOCOL_INTERNAL_ADDRESS_HPP
#define AUBURNTRESTLE_PROTOCOL_INTERNAL_ADDRESS_HPP

#include "auburntrestle/protocol/error.hpp"

#include <asio/ip/address.hpp>

#include <cstdint>
#include <string>

namespace auburntrestle::protocol::internal {

/** An IP address and a port, for TCP or UDP. */
struct HostAndPort
{
  asio::ip::address m_host;
  std::uint16_t m_port = 0;
};

/** Parses "1.2.3.4:80" or "[::1]:80". @return BadAddress on other forms. */
[[nodiscard]] Expected<HostAndPort> ParseAddress(const std::string& aText);

} // namespace auburntrestle::protocol::internal

#endif
