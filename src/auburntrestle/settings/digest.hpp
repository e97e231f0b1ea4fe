#ifndef AUBURNTRESTLE_SETTINGS_DIGEST_HPP
#define AUBURNTRESTLE_SETTINGS_DIGEST_HPP

#include "auburntrestle/core/strong_type.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::settings {

/** A SHA-256 digest as 64 lowercase hexadecimal digits. */
using Digest = StrongType<struct DigestTag, std::string>;

/** @return the SHA-256 digest of the bytes. */
[[nodiscard]] Digest DigestOf(std::string_view aBytes);

} // namespace auburntrestle::settings

#endif
