#ifndef AUBURNTRESTLE_LEDGER_CODEC_HPP
#define AUBURNTRESTLE_LEDGER_CODEC_HPP

#include "auburntrestle/ledger/commands.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::ledger {

/** The reason why bytes cannot be decoded. */
enum class CodecError : std::uint8_t
{
  Malformed,
  UnknownVersion,
};

/** @return a proposal encoded for the replicated log. */
[[nodiscard]] std::string Encode(const Proposal& aProposal);

/** Decodes a proposal; malformed bytes are an error, never a crash. */
[[nodiscard]] tl::expected<Proposal, CodecError> Decode(
  std::string_view aBytes);

} // namespace auburntrestle::ledger

#endif
