#ifndef AUBURNTRESTLE_ADMISSION_FWD_HPP
#define AUBURNTRESTLE_ADMISSION_FWD_HPP

#include <cstdint>

namespace auburntrestle::admission {

enum class RequestClass : std::uint8_t;
enum class WorkSize : std::uint8_t;
struct AdmissionPolicy;
struct CallerPolicy;
struct WaitingRequest;
class ConcurrencyLimit;
class DrainRate;
class OutputEstimator;
class WaitingQueue;

} // namespace auburntrestle::admission

#endif
