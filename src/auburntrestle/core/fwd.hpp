#ifndef AUBURNTRESTLE_CORE_FWD_HPP
#define AUBURNTRESTLE_CORE_FWD_HPP

#include <cstdint>

namespace auburntrestle {

enum class ErrorCode : std::uint8_t;
class NotRunError;
class UnknownOutcomeError;
class RandomSource;

template<typename Tag, typename Value>
class StrongType;

} // namespace auburntrestle

#endif
