#ifndef AUBURNTRESTLE_DAEMON_ANNOUNCEMENT_JSON_HPP
#define AUBURNTRESTLE_DAEMON_ANNOUNCEMENT_JSON_HPP

#include "auburntrestle/daemon/json_reader.hpp"
#include "auburntrestle/registry/announcement.hpp"

#include <tl/expected.hpp>

#include <string_view>

namespace auburntrestle::daemon {

/** Parses the body of POST /v1/backends/announce. */
[[nodiscard]] tl::expected<registry::Announcement, FieldErrors>
ParseAnnouncement(std::string_view aBody);

} // namespace auburntrestle::daemon

#endif
