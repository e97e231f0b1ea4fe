#ifndef AUBURNTRESTLE_PROTOCOL_CONSENSUS_CODEC_HPP
#define AUBURNTRESTLE_PROTOCOL_CONSENSUS_CODEC_HPP

#include "auburntrestle/consensus/message.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/** @return a message of the replicated log as MessagePack. */
[[nodiscard]] std::string EncodeConsensus(const consensus::Message& aMessage);

/** @return the message, or Malformed. */
[[nodiscard]] Expected<consensus::Message> DecodeConsensus(
  std::string_view aBytes);

} // namespace auburntrestle::protocol

#endif
