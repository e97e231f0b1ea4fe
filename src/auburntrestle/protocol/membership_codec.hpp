#ifndef AUBURNTRESTLE_PROTOCOL_MEMBERSHIP_CODEC_HPP
#define AUBURNTRESTLE_PROTOCOL_MEMBERSHIP_CODEC_HPP

#include "auburntrestle/membership/messages.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/** @return a membership message as MessagePack. */
[[nodiscard]] std::string EncodeMembership(const membership::Message& aMessage);

/** @return the message, or Malformed or TooLarge. */
[[nodiscard]] Expected<membership::Message> DecodeMembership(
  std::string_view aBytes);

} // namespace auburntrestle::protocol

#endif
