#ifndef AUBURNTRESTLE_SETTINGS_SITE_NAME_HPP
#define AUBURNTRESTLE_SETTINGS_SITE_NAME_HPP

#include "auburntrestle/core/strong_type.hpp"

#include <string>

namespace auburntrestle::settings {

/** Name of a site: the instances that share one overlay file. */
using SiteName = StrongType<struct SiteNameTag, std::string>;

} // namespace auburntrestle::settings

#endif
