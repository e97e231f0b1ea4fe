#ifndef AUBURNTRESTLE_BACKEND_FWD_HPP
#define AUBURNTRESTLE_BACKEND_FWD_HPP

#include <cstdint>

namespace auburntrestle::backend {

struct HttpCall;
struct CallHandlers;
struct CallResult;
enum class CallStatus : std::uint8_t;
class HttpClient;
class EventStreamParser;

} // namespace auburntrestle::backend

#endif
