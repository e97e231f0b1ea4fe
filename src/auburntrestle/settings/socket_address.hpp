#ifndef AUBURNTRESTLE_SETTINGS_SOCKET_ADDRESS_HPP
#define AUBURNTRESTLE_SETTINGS_SOCKET_ADDRESS_HPP

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::settings {

/** Reason for which a text is not a valid address. */
enum class AddressError : std::uint8_t
{
  MissingPort,
  InvalidHost,
  InvalidPort,
};

/** An IP address or host name, and a port. */
class SocketAddress
{
public:
  /**
   * Parses "127.0.0.1:8080" or "[::1]:8080". Port 0 lets the system choose.
   * @param aText the address; its host must be numeric.
   */
  [[nodiscard]] static tl::expected<SocketAddress, AddressError> Parse(
    std::string_view aText);

  /** Like Parse, but also allows a host name, as in "store.example:80". */
  [[nodiscard]] static tl::expected<SocketAddress, AddressError>
  ParseWithHostName(std::string_view aText);

  /** @return the host without brackets. */
  [[nodiscard]] const std::string& Host() const noexcept { return m_host; }
  [[nodiscard]] std::uint16_t Port() const noexcept { return m_port; }
  /** @return whether the host is 0.0.0.0 or ::. */
  [[nodiscard]] bool IsWildcard() const noexcept;
  /** @return host:port, with brackets around an IPv6 host. */
  [[nodiscard]] std::string ToString() const;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&) = default;

private:
  SocketAddress(std::string aHost, std::uint16_t aPort)
    : m_host(std::move(aHost))
    , m_port(aPort)
  {
  }

  std::string m_host;
  std::uint16_t m_port = 0;
};

} // namespace auburntrestle::settings

#endif
