#ifndef AUBURNTRESTLE_PROTOCOL_FRAME_HPP
#define AUBURNTRESTLE_PROTOCOL_FRAME_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace auburntrestle::protocol {

/** Identifies the handler of a one-way message; assigned by the daemon. */
using Channel = StrongType<struct ChannelTag, std::uint16_t>;
/** Identifies the operation of a call; assigned by the daemon. */
using Method = StrongType<struct MethodTag, std::uint16_t>;
/** Matches a reply to its call; unique within a transport. */
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/** Shows that the connection is alive; the acceptor sends one back. */
struct HeartbeatFrame
{};

/** A one-way message. */
struct MessageFrame
{
  Channel m_channel;
  std::string m_payload;
};

/** A request that expects a reply. */
struct CallFrame
{
  CallId m_id;
  Method m_method;
  /** How long the calling instance waits. */
  Duration m_timeout{};
  std::string m_payload;
};

/** The successful reply to a call. */
struct ReplyFrame
{
  CallId m_id;
  std::string m_payload;
};

/** How a call failed at the instance that received it. */
enum class CallFailure : std::uint8_t
{
  /** The call did not run. */
  Refused,
  /** The call ran, or may have run, and failed. */
  Failed,
};

/** The reply to a call that failed. */
struct FailureFrame
{
  CallId m_id;
  CallFailure m_failure{};
  std::string m_detail;
};

/** A frame of an established connection. */
using Frame = std::
  variant<HeartbeatFrame, MessageFrame, CallFrame, ReplyFrame, FailureFrame>;

/** Kind of traffic for the counters; starts with the alternatives of Frame. */
enum class TrafficKind : std::uint8_t
{
  Heartbeat,
  Message,
  Call,
  Reply,
  Failure,
  Handshake,
  Datagram,
};

/** Number of values of TrafficKind. */
inline constexpr std::size_t kTrafficKinds = 7;

/** @return the kind under which a frame is counted. */
[[nodiscard]] inline TrafficKind KindOf(const Frame& aFrame) noexcept
{
  return static_cast<TrafficKind>(aFrame.index());
}

} // namespace auburntrestle::protocol

#endif
