#ifndef AUBURNTRESTLE_SETTINGS_FWD_HPP
#define AUBURNTRESTLE_SETTINGS_FWD_HPP

#include "auburntrestle/core/fwd.hpp"

#include <cstdint>

namespace auburntrestle::settings {

enum class ErrorKind : std::uint8_t;
enum class Origin : std::uint8_t;
class Configuration;
class ParsedConfigurationFile;
class SocketAddress;
struct ConfigurationFile;
struct InstanceSettings;
struct ValidationError;

} // namespace auburntrestle::settings

#endif
