#ifndef AUBURNTRESTLE_REGISTRY_FWD_HPP
#define AUBURNTRESTLE_REGISTRY_FWD_HPP

#include <cstdint>

namespace auburntrestle::registry {

enum class BackendKind : std::uint8_t;
enum class BackendState : std::uint8_t;
enum class AnnounceResult : std::uint8_t;
struct Announcement;
struct BackendRecord;
struct BackendView;
struct LoadReport;
struct ServedModel;
class BackendRegistry;
class SpeedEstimate;

} // namespace auburntrestle::registry

#endif
