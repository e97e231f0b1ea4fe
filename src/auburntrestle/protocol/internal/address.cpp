#include "auburntrestle/protocol/internal/address.hpp"

#include <charconv>

namespace auburntrestle::protocol::internal {

Expected<HostAndPort> ParseAddress(const std::string& aText)
{
  const auto bad = [&aText] {
    return Fail(ProtocolErrorCode::BadAddress,
                "\"" + aText + "\" is not of the form ip:port");
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return bad();
  }
  std::string host = aText.substr(0, colon);
  const bool bracketed =
    host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  HostAndPort result;
  std::error_code error;
  result.m_host = asio::ip::make_address(host, error);
  if (error || result.m_host.is_v6() != bracketed) {
    return bad();
  }
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data() + colon + 1, end, result.m_port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return bad();
  }
  return result;
}

} // namespace auburntrestle::protocol::internal
