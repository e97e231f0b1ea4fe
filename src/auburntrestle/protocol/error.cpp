#include "auburntrestle/protocol/error.hpp"

#include <array>
#include <cstddef>

namespace auburntrestle::protocol {

namespace internal {

constexpr std::array<std::string_view, 17> kErrorNames{
  "malformed",    "too_large",       "bad_authentication",
  "replayed",     "wrong_peer",      "version_mismatch",
  "bad_key",      "bad_address",     "listen_failed",
  "unknown_peer", "queue_full",      "stopped",
  "not_sent",     "connection_lost", "timed_out",
  "call_refused", "call_failed",
};

} // namespace internal

std::string_view ToString(ProtocolErrorCode aCode) noexcept
{
  return internal::kErrorNames[static_cast<std::size_t>(aCode)];
}

bool MayHaveRun(ProtocolErrorCode aCode) noexcept
{
  return aCode == ProtocolErrorCode::ConnectionLost ||
         aCode == ProtocolErrorCode::TimedOut ||
         aCode == ProtocolErrorCode::CallFailed;
}

} // namespace auburntrestle::protocol
