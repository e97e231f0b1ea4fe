#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_STATE_CODEC_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_STATE_CODEC_HPP

#include "auburntrestle/ledger/accepted_configuration.hpp"
#include "auburntrestle/ledger/codec.hpp"
#include "auburntrestle/ledger/internal/state.hpp"

namespace auburntrestle::ledger::internal {

/** @return the encoded state; equal states have equal bytes. */
[[nodiscard]] std::string EncodeState(const State& aState);
[[nodiscard]] tl::expected<State, CodecError> DecodeState(
  std::string_view aBytes);

[[nodiscard]] std::string EncodeAccepted(
  const AcceptedConfiguration& aConfiguration);
[[nodiscard]] tl::expected<AcceptedConfiguration, CodecError> DecodeAccepted(
  std::string_view aBytes);

} // namespace auburntrestle::ledger::internal

#endif
