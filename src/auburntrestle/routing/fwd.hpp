#ifndef AUBURNTRESTLE_ROUTING_FWD_HPP
#define AUBURNTRESTLE_ROUTING_FWD_HPP

#include <cstdint>

namespace auburntrestle::routing {

enum class AttemptFailure : std::uint8_t;
enum class PolicyName : std::uint8_t;
enum class PolicyErrorField : std::uint8_t;
struct DispatcherCounters;
struct Policy;
struct PolicyError;
struct RequestSpec;
class Dispatcher;

} // namespace auburntrestle::routing

#endif
