#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_DOCUMENT_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_DOCUMENT_HPP

#include "auburntrestle/settings/validation_error.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburntrestle::settings::internal {

struct Node;
using Array = std::vector<Node>;
using Table = std::map<std::string, Node>;

/** A TOML value of a type that no key uses, such as a date. */
struct UnsupportedValue
{
  std::string m_typeName;
};

/** A TOML value and its source location. */
struct Node
{
  std::variant<Table,
               Array,
               bool,
               std::int64_t,
               double,
               std::string,
               UnsupportedValue>
    m_value;
  std::shared_ptr<const std::string> m_file;
  std::uint32_t m_line = 0;
};

/** Parses TOML; the parser stops at the first syntax error. */
[[nodiscard]] tl::expected<Node, ValidationError> ParseDocument(
  std::string_view aText,
  std::string_view aFile);

/** @return a value in TOML notation; tables are written inline. */
[[nodiscard]] std::string RenderValue(const Node& aNode);

/** @return a quoted and escaped TOML string. */
[[nodiscard]] std::string RenderString(std::string_view aText);

/** @return a TOML float that parses to exactly the same value. */
[[nodiscard]] std::string RenderFloat(double aValue);

/** @return a key, quoted unless it is a bare key. */
[[nodiscard]] std::string RenderKey(std::string_view aKey);

/** @return the dotted path of a key; aPath is empty for the root table. */
[[nodiscard]] std::string JoinPath(std::string_view aPath,
                                   std::string_view aKey);

/** @return the document with sorted keys and uniform notation. */
[[nodiscard]] std::string RenderCanonical(const Table& aRoot);

/** @return the TOML type of a value, such as "integer". */
[[nodiscard]] std::string_view TypeName(const Node& aNode) noexcept;

/** @return the base with the overlay's keys added or replaced, recursively. */
[[nodiscard]] Table MergeTables(const Table& aBase, const Table& aOverlay);

} // namespace auburntrestle::settings::internal

#endif
