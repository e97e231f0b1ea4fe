#include "auburntrestle/settings/socket_address.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace auburntrestle::settings {

namespace internal {

enum class HostKind : std::uint8_t
{
  NumericOnly,
  HostNameAllowed,
};

bool IsNumericHost(int aFamily, const std::string& aHost)
{
  std::array<unsigned char, sizeof(in6_addr)> raw{};
  return inet_pton(aFamily, aHost.c_str(), raw.data()) == 1;
}

bool IsHostName(const std::string& aHost)
{
  constexpr std::size_t kMaxHostNameLength = 253;
  return !aHost.empty() && aHost.size() <= kMaxHostNameLength &&
         std::isalpha(static_cast<unsigned char>(aHost.front())) != 0 &&
         std::all_of(aHost.begin(), aHost.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '.';
         });
}

struct HostAndPort
{
  std::string m_host;
  std::uint16_t m_port = 0;
};

tl::expected<HostAndPort, AddressError> SplitAddress(std::string_view aText,
                                                     HostKind aKind)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return tl::unexpected(AddressError::MissingPort);
  }
  HostAndPort result;
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, failure] =
    std::from_chars(port.data(), port.data() + port.size(), result.m_port);
  if (failure != std::errc() || end != port.data() + port.size()) {
    return tl::unexpected(AddressError::InvalidPort);
  }
  const std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    result.m_host = host.substr(1, host.size() - 2);
    if (!IsNumericHost(AF_INET6, result.m_host)) {
      return tl::unexpected(AddressError::InvalidHost);
    }
    return result;
  }
  result.m_host = host;
  const bool valid =
    IsNumericHost(AF_INET, result.m_host) ||
    (aKind == HostKind::HostNameAllowed && IsHostName(result.m_host));
  if (!valid) {
    return tl::unexpected(AddressError::InvalidHost);
  }
  return result;
}

} // namespace internal

tl::expected<SocketAddress, AddressError> SocketAddress::Parse(
  std::string_view aText)
{
  return internal::SplitAddress(aText, internal::HostKind::NumericOnly)
    .map([](internal::HostAndPort aParts) {
      return SocketAddress(std::move(aParts.m_host), aParts.m_port);
    });
}

tl::expected<SocketAddress, AddressError> SocketAddress::ParseWithHostName(
  std::string_view aText)
{
  return internal::SplitAddress(aText, internal::HostKind::HostNameAllowed)
    .map([](internal::HostAndPort aParts) {
      return SocketAddress(std::move(aParts.m_host), aParts.m_port);
    });
}

bool SocketAddress::IsWildcard() const noexcept
{
  return m_host == "0.0.0.0" || m_host == "::";
}

std::string SocketAddress::ToString() const
{
  const bool bracketed = m_host.find(':') != std::string::npos;
  return (bracketed ? "[" + m_host + "]" : m_host) + ":" +
         std::to_string(m_port);
}

} // namespace auburntrestle::settings
