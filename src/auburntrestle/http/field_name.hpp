#ifndef AUBURNTRESTLE_HTTP_FIELD_NAME_HPP
#define AUBURNTRESTLE_HTTP_FIELD_NAME_HPP

#include <string_view>

namespace auburntrestle::http {

/** @return whether a byte may be part of the name of a header field, which is a
 * token of RFC 9110. */
[[nodiscard]] bool IsFieldNameByte(char aByte) noexcept;

/** @return whether a text may be the name of a header field. */
[[nodiscard]] bool IsFieldName(std::string_view aText) noexcept;

} // namespace auburntrestle::http

#endif
