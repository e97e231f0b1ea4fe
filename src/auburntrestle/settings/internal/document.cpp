#include "auburntrestle/settings/internal/document.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <sstream>

namespace auburntrestle::settings::internal {

namespace {

using FileName = std::shared_ptr<const std::string>;

Node Convert(const toml::node& aSource, const FileName& aFile)
{
  Node node;
  node.m_file = aFile;
  node.m_line = aSource.source().begin.line;
  if (const auto* table = aSource.as_table()) {
    Table converted;
    for (const auto& [key, value] : *table) {
      Node child = Convert(value, aFile);
      // Errors show the line of the key, not that of its value.
      child.m_line = key.source().begin.line;
      converted.emplace(std::string(key.str()), std::move(child));
    }
    node.m_value = std::move(converted);
  } else if (const auto* array = aSource.as_array()) {
    Array converted;
    for (const auto& value : *array) {
      converted.push_back(Convert(value, aFile));
    }
    node.m_value = std::move(converted);
  } else if (const auto* flag = aSource.as_boolean()) {
    node.m_value = flag->get();
  } else if (const auto* integer = aSource.as_integer()) {
    node.m_value = integer->get();
  } else if (const auto* real = aSource.as_floating_point()) {
    node.m_value = real->get();
  } else if (const auto* text = aSource.as_string()) {
    node.m_value = text->get();
  } else {
    std::ostringstream name;
    name << aSource.type();
    node.m_value = UnsupportedValue{ name.str() };
  }
  return node;
}

bool IsBareKey(std::string_view aKey)
{
  return !aKey.empty() &&
         std::all_of(aKey.begin(), aKey.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
         });
}

void RenderTable(const Table& aTable,
                 const std::string& aPath,
                 std::string& aText)
{
  for (const auto& [key, node] : aTable) {
    if (!std::holds_alternative<Table>(node.m_value)) {
      aText += RenderKey(key) + " = " + RenderValue(node) + "\n";
    }
  }
  for (const auto& [key, node] : aTable) {
    if (const auto* table = std::get_if<Table>(&node.m_value)) {
      const std::string path = JoinPath(aPath, key);
      aText += "\n[" + path + "]\n";
      RenderTable(*table, path, aText);
    }
  }
}

} // namespace

tl::expected<Node, ValidationError> ParseDocument(std::string_view aText,
                                                  std::string_view aFile)
{
  try {
    const toml::table table = toml::parse(aText, aFile);
    return Convert(table, std::make_shared<const std::string>(aFile));
  } catch (const toml::parse_error& error) {
    ValidationError result;
    result.m_kind = ErrorKind::SyntaxError;
    result.m_file = aFile;
    result.m_line = error.source().begin.line;
    result.m_given = error.description();
    result.m_allowed = "TOML 1.0";
    return tl::unexpected(std::move(result));
  }
}

std::string RenderString(std::string_view aText)
{
  std::string text = "\"";
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7F;
    if (character == '"' || character == '\\') {
      text += '\\';
      text += character;
    } else if (byte < kFirstPrintable || byte == kDelete) {
      constexpr std::string_view kDigits = "0123456789ABCDEF";
      text += "\\u00";
      text += kDigits[byte >> 4U];
      text += kDigits[byte & 0xFU];
    } else {
      text += character;
    }
  }
  text += '"';
  return text;
}

std::string RenderFloat(double aValue)
{
  if (std::isnan(aValue)) {
    return "nan";
  }
  if (std::isinf(aValue)) {
    return aValue < 0 ? "-inf" : "inf";
  }
  constexpr std::size_t kMaxDoubleLength = 32;
  std::array<char, kMaxDoubleLength> buffer{};
  const auto result =
    std::to_chars(buffer.data(), buffer.data() + buffer.size(), aValue);
  std::string text(buffer.data(), result.ptr);
  if (text.find_first_of(".e") == std::string::npos) {
    text += ".0";
  }
  return text;
}

std::string RenderKey(std::string_view aKey)
{
  return IsBareKey(aKey) ? std::string(aKey) : RenderString(aKey);
}

std::string JoinPath(std::string_view aPath, std::string_view aKey)
{
  std::string path(aPath);
  if (!path.empty()) {
    path += '.';
  }
  path += RenderKey(aKey);
  return path;
}

std::string RenderValue(const Node& aNode)
{
  return std::visit(
    Overloaded{
      [](const Table& aTable) {
        std::string text = "{";
        for (const auto& [key, node] : aTable) {
          text += text.size() > 1 ? ", " : " ";
          text += RenderKey(key) + " = " + RenderValue(node);
        }
        return text + (aTable.empty() ? "}" : " }");
      },
      [](const Array& aArray) {
        std::string text = "[";
        for (const Node& node : aArray) {
          text += text.size() > 1 ? ", " : "";
          text += RenderValue(node);
        }
        return text + "]";
      },
      [](bool aFlag) { return std::string(aFlag ? "true" : "false"); },
      [](std::int64_t aInteger) { return std::to_string(aInteger); },
      [](double aReal) { return RenderFloat(aReal); },
      [](const std::string& aString) { return RenderString(aString); },
      [](const UnsupportedValue& aValue) { return aValue.m_typeName; } },
    aNode.m_value);
}

std::string RenderCanonical(const Table& aRoot)
{
  std::string text;
  RenderTable(aRoot, "", text);
  return text;
}

std::string_view TypeName(const Node& aNode) noexcept
{
  constexpr std::array<std::string_view, 7> kNames{
    "table", "array", "boolean", "integer", "float", "string", "date or time"
  };
  return kNames[aNode.m_value.index()];
}

Table MergeTables(const Table& aBase, const Table& aOverlay)
{
  Table merged = aBase;
  for (const auto& [key, node] : aOverlay) {
    const auto found = merged.find(key);
    if (found == merged.end()) {
      merged.emplace(key, node);
      continue;
    }
    auto* baseTable = std::get_if<Table>(&found->second.m_value);
    const auto* overlayTable = std::get_if<Table>(&node.m_value);
    if (baseTable != nullptr && overlayTable != nullptr) {
      *baseTable = MergeTables(*baseTable, *overlayTable);
    } else {
      found->second = node;
    }
  }
  return merged;
}

} // namespace auburntrestle::settings::internal
