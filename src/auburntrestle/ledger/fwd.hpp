#ifndef AUBURNTRESTLE_LEDGER_FWD_HPP
#define AUBURNTRESTLE_LEDGER_FWD_HPP

#include "auburntrestle/core/fwd.hpp"

#include <cstdint>

namespace auburntrestle::ledger {

enum class CodecError : std::uint8_t;
enum class RefusalKind : std::uint8_t;
enum class StoreErrorKind : std::uint8_t;
class AcceptedConfigurationStore;
class LeaseHolder;
class ProposalClock;
class RestartGate;
class StateMachine;
struct Limits;
struct Proposal;
struct Refusal;

} // namespace auburntrestle::ledger

#endif
