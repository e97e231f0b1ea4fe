#ifndef AUBURNTRESTLE_PROTOCOL_LEDGER_CODEC_HPP
#define AUBURNTRESTLE_PROTOCOL_LEDGER_CODEC_HPP

#include "auburntrestle/ledger/accepted_configuration.hpp"
#include "auburntrestle/ledger/results.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::protocol {

/** @return the result of a ledger command as MessagePack. */
[[nodiscard]] std::string EncodeResult(const ledger::Result& aResult);

/** @return the result, or Malformed. */
[[nodiscard]] Expected<ledger::Result> DecodeResult(std::string_view aBytes);

/** @return an accepted configuration as MessagePack. */
[[nodiscard]] std::string EncodeConfiguration(
  const ledger::AcceptedConfiguration& aConfiguration);

/** @return the configuration, or Malformed. */
[[nodiscard]] Expected<ledger::AcceptedConfiguration> DecodeConfiguration(
  std::string_view aBytes);

} // namespace auburntrestle::protocol

#endif
