#ifndef AUBURNTRESTLE_PROTOCOL_ERROR_HPP
#define AUBURNTRESTLE_PROTOCOL_ERROR_HPP

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/** Kinds of errors in the communication between instances. */
enum class ProtocolErrorCode : std::uint8_t
{
  /** The bytes are not the expected MessagePack. */
  Malformed,
  /** A frame, datagram or collection is above its limit. */
  TooLarge,
  /** The authentication code does not match. */
  BadAuthentication,
  /** The datagram is a replay, or comes from a previous incarnation. */
  Replayed,
  /** The connection leads to another instance than the intended one. */
  WrongPeer,
  /** The peer uses another version of the protocol. */
  VersionMismatch,
  /** The shared key is missing, unreadable or too short. */
  BadKey,
  /** An address is not of the form ip:port. */
  BadAddress,
  /** The listening socket could not be opened. */
  ListenFailed,
  /** The instance has no known address. */
  UnknownPeer,
  /** The queue of the peer is full. */
  QueueFull,
  /** The transport has been stopped. */
  Stopped,
  /** No byte of the call was sent. */
  NotSent,
  /** The connection was lost after the call may have been sent. */
  ConnectionLost,
  /** No reply was received in time; the call may have been sent. */
  TimedOut,
  /** The peer declined the call and did not run it. */
  CallRefused,
  /** The peer ran the call, or part of it, and reported a failure. */
  CallFailed,
};

/** An error code with a detail for the log. */
struct ProtocolError
{
  ProtocolErrorCode m_code{};
  std::string m_detail;

  friend bool operator==(const ProtocolError&, const ProtocolError&) = default;
};

/** A value or a ProtocolError. */
template<typename Value>
using Expected = tl::expected<Value, ProtocolError>;

/** @return the stable name of an error code, such as "queue_full". */
[[nodiscard]] std::string_view ToString(ProtocolErrorCode aCode) noexcept;

/**
 * @return true when a call that ended with this code may have run at the peer,
 * false when it did not run.
 */
[[nodiscard]] bool MayHaveRun(ProtocolErrorCode aCode) noexcept;

/** Makes a failed Expected. */
[[nodiscard]] inline tl::unexpected<ProtocolError> Fail(
  ProtocolErrorCode aCode,
  std::string aDetail = {})
{
  return tl::unexpected<ProtocolError>(
    ProtocolError{ aCode, std::move(aDetail) });
}

} // namespace auburntrestle::protocol

#endif
