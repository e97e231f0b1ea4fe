#ifndef AUBURNTRESTLE_FLEET_CODEC_HPP
#define AUBURNTRESTLE_FLEET_CODEC_HPP

#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::fleet {

/** @return a command as MessagePack. */
[[nodiscard]] std::string Encode(const Command& aCommand);
/** @return the command, or the error Malformed. */
[[nodiscard]] protocol::Expected<Command> DecodeCommand(
  std::string_view aBytes);

[[nodiscard]] std::string Encode(const Query& aQuery);
[[nodiscard]] protocol::Expected<Query> DecodeQuery(std::string_view aBytes);

[[nodiscard]] std::string Encode(const ReplyBody& aReply);
[[nodiscard]] protocol::Expected<ReplyBody> DecodeReplyBody(
  std::string_view aBytes);

[[nodiscard]] std::string Encode(const OutputChunk& aChunk);
[[nodiscard]] protocol::Expected<OutputChunk> DecodeOutputChunk(
  std::string_view aBytes);

[[nodiscard]] std::string Encode(const LeaderNotice& aNotice);
[[nodiscard]] protocol::Expected<LeaderNotice> DecodeLeaderNotice(
  std::string_view aBytes);

/** @return a number of bytes as MessagePack. */
[[nodiscard]] std::string EncodeSize(std::uint64_t aSize);
[[nodiscard]] protocol::Expected<std::uint64_t> DecodeSize(
  std::string_view aBytes);

} // namespace auburntrestle::fleet

#endif
