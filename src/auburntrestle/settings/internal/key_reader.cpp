#include "auburntrestle/settings/internal/key_reader.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace auburntrestle::settings::internal {

namespace {

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t substituted =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
    }
  }
  return row.back();
}

std::string JoinWithCommas(const std::vector<std::string>& aTexts)
{
  std::string text;
  for (const std::string& item : aTexts) {
    text += text.empty() ? "" : ", ";
    text += item;
  }
  return text;
}

std::string RangeText(std::string_view aType,
                      const std::string& aMinimum,
                      const std::string& aMaximum)
{
  return std::string(aType) + " from " + aMinimum + " to " + aMaximum;
}

std::string RangeText(IntegerRange aRange)
{
  return RangeText("integer",
                   std::to_string(aRange.m_minimum),
                   std::to_string(aRange.m_maximum));
}

std::string RangeText(RealRange aRange)
{
  return RangeText(
    "number", RenderFloat(aRange.m_minimum), RenderFloat(aRange.m_maximum));
}

} // namespace

std::optional<std::string> FindClosestMatch(
  std::string_view aText,
  const std::vector<std::string>& aCandidates)
{
  std::optional<std::string> nearest;
  // A match that differs in more than a third of the letters is unlikely to be
  // a typing error.
  std::size_t limit = std::max<std::size_t>(2, aText.size() / 3) + 1;
  for (const std::string& candidate : aCandidates) {
    const std::size_t distance = EditDistance(aText, candidate);
    if (distance < limit) {
      limit = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

bool IsValidName(std::string_view aName)
{
  constexpr std::size_t kMaxNameLength = 64;
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '.' || aByte == '_' ||
                  aByte == '-';
         });
}

ValidationError MakeError(ErrorKind aKind,
                          const Node& aNode,
                          std::string aKey,
                          std::string aGiven,
                          std::string aAllowed)
{
  return ValidationError{
    aKind,           *aNode.m_file,     aNode.m_line,
    std::move(aKey), std::move(aGiven), std::move(aAllowed)
  };
}

std::string KeyReader::PathOf(std::string_view aKey) const
{
  return JoinPath(m_path, aKey);
}

void KeyReader::Report(ErrorKind aKind,
                       const Node& aNode,
                       std::string_view aKey,
                       std::string aAllowed)
{
  std::string given = RenderValue(aNode);
  if (aKind == ErrorKind::WrongType) {
    given = std::string(TypeName(aNode)) + " " + given;
  }
  m_errors.push_back(MakeError(
    aKind, aNode, PathOf(aKey), std::move(given), std::move(aAllowed)));
}

const Node* KeyReader::Find(std::string_view aKey)
{
  m_knownKeys.emplace_back(aKey);
  const auto found = m_table.find(m_knownKeys.back());
  return found == m_table.end() ? nullptr : &found->second;
}

std::optional<std::int64_t> KeyReader::ReadInteger(std::string_view aKey,
                                                   IntegerRange aRange)
{
  const Node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto* value = std::get_if<std::int64_t>(&node->m_value);
  if (value == nullptr) {
    Report(ErrorKind::WrongType, *node, aKey, RangeText(aRange));
    return std::nullopt;
  }
  if (*value < aRange.m_minimum || *value > aRange.m_maximum) {
    Report(ErrorKind::OutOfRange, *node, aKey, RangeText(aRange));
    return std::nullopt;
  }
  return *value;
}

void KeyReader::Real(const KeyMetadata& aKey, double& aField, RealRange aRange)
{
  const Node* node = Find(aKey.m_name);
  if (node == nullptr) {
    return;
  }
  double value = 0;
  if (const auto* real = std::get_if<double>(&node->m_value)) {
    value = *real;
  } else if (const auto* integer = std::get_if<std::int64_t>(&node->m_value)) {
    value = static_cast<double>(*integer);
  } else {
    Report(ErrorKind::WrongType, *node, aKey.m_name, RangeText(aRange));
    return;
  }
  // The negated condition also rejects NaN.
  if (!(value >= aRange.m_minimum && value <= aRange.m_maximum)) {
    Report(ErrorKind::OutOfRange, *node, aKey.m_name, RangeText(aRange));
    return;
  }
  aField = value;
}

void KeyReader::Boolean(const KeyMetadata& aKey, bool& aField)
{
  const Node* node = Find(aKey.m_name);
  if (node == nullptr) {
    return;
  }
  if (const auto* value = std::get_if<bool>(&node->m_value)) {
    aField = *value;
  } else {
    Report(ErrorKind::WrongType, *node, aKey.m_name, "true or false");
  }
}

const std::string* KeyReader::ReadString(std::string_view aKey)
{
  const Node* node = Find(aKey);
  if (node == nullptr) {
    return nullptr;
  }
  const auto* value = std::get_if<std::string>(&node->m_value);
  if (value == nullptr) {
    Report(ErrorKind::WrongType, *node, aKey, "string");
  }
  return value;
}

std::optional<std::size_t> KeyReader::ReadEnumeration(
  std::string_view aKey,
  const std::vector<std::string>& aAllowedValues)
{
  const std::string* value = ReadString(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto found =
    std::find(aAllowedValues.begin(), aAllowedValues.end(), *value);
  if (found == aAllowedValues.end()) {
    std::string allowed = JoinWithCommas(aAllowedValues);
    if (const auto nearest = FindClosestMatch(*value, aAllowedValues)) {
      allowed += " (nearest: " + *nearest + ")";
    }
    Report(ErrorKind::UnknownWord,
           m_table.at(std::string(aKey)),
           aKey,
           std::move(allowed));
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - aAllowedValues.begin());
}

std::optional<std::string> KeyReader::ReadName(std::string_view aKey,
                                               NameRule aRule)
{
  const std::string* value = ReadString(aKey);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->empty() && aRule == NameRule::EmptyAllowed) {
    return *value;
  }
  if (!IsValidName(*value)) {
    Report(ErrorKind::InvalidName,
           m_table.at(std::string(aKey)),
           aKey,
           std::string(kNameSyntax));
    return std::nullopt;
  }
  return *value;
}

void KeyReader::Path(const KeyMetadata& aKey, std::filesystem::path& aField)
{
  if (const std::string* value = ReadString(aKey.m_name)) {
    aField = *value;
  }
}

void KeyReader::Address(const KeyMetadata& aKey, SocketAddress& aField)
{
  const std::string* value = ReadString(aKey.m_name);
  if (value == nullptr) {
    return;
  }
  if (auto address = SocketAddress::Parse(*value)) {
    aField = std::move(*address);
  } else {
    Report(ErrorKind::InvalidAddress,
           m_table.at(std::string(aKey.m_name)),
           aKey.m_name,
           "ip:port");
  }
}

void KeyReader::AddressWithHostName(const KeyMetadata& aKey,
                                    std::optional<SocketAddress>& aField)
{
  const std::string* value = ReadString(aKey.m_name);
  if (value == nullptr) {
    return;
  }
  if (value->empty()) {
    aField.reset();
    return;
  }
  auto address = SocketAddress::ParseWithHostName(*value);
  if (address && address->Port() != 0) {
    aField = std::move(*address);
  } else {
    Report(ErrorKind::InvalidAddress,
           m_table.at(std::string(aKey.m_name)),
           aKey.m_name,
           "host:port, or empty for none");
  }
}

void KeyReader::Addresses(const KeyMetadata& aKey,
                          std::vector<SocketAddress>& aField)
{
  const Node* node = Find(aKey.m_name);
  if (node == nullptr) {
    return;
  }
  const auto* array = std::get_if<Array>(&node->m_value);
  if (array == nullptr) {
    Report(
      ErrorKind::WrongType, *node, aKey.m_name, "array of \"ip:port\" strings");
    return;
  }
  aField.clear();
  for (const Node& item : *array) {
    const auto* text = std::get_if<std::string>(&item.m_value);
    if (text == nullptr) {
      Report(ErrorKind::WrongType, item, aKey.m_name, "\"ip:port\" string");
      continue;
    }
    auto address = SocketAddress::Parse(*text);
    if (!address || address->Port() == 0) {
      Report(ErrorKind::InvalidAddress,
             item,
             aKey.m_name,
             "ip:port with a port above 0");
    } else if (std::find(aField.begin(), aField.end(), *address) !=
               aField.end()) {
      Report(ErrorKind::DuplicateAddress,
             item,
             aKey.m_name,
             "each address at most once");
    } else {
      aField.push_back(std::move(*address));
    }
  }
}

std::vector<const Node*> KeyReader::TableArray(const KeyMetadata& aKey)
{
  std::vector<const Node*> tables;
  const Node* node = Find(aKey.m_name);
  if (node == nullptr) {
    return tables;
  }
  const auto* array = std::get_if<Array>(&node->m_value);
  if (array == nullptr) {
    Report(ErrorKind::WrongType, *node, aKey.m_name, "array of tables");
    return tables;
  }
  for (const Node& item : *array) {
    if (std::holds_alternative<Table>(item.m_value)) {
      tables.push_back(&item);
    } else {
      Report(ErrorKind::WrongType, item, aKey.m_name, "table");
    }
  }
  return tables;
}

const Node* KeyReader::SubTable(std::string_view aKey)
{
  const Node* node = Find(aKey);
  if (node != nullptr && !std::holds_alternative<Table>(node->m_value)) {
    Report(ErrorKind::WrongType, *node, aKey, "table");
    return nullptr;
  }
  return node;
}

void KeyReader::ReportUnknownKeys()
{
  for (const auto& [key, node] : m_table) {
    if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) !=
        m_knownKeys.end()) {
      continue;
    }
    const auto nearest = FindClosestMatch(key, m_knownKeys);
    m_errors.push_back(MakeError(ErrorKind::UnknownKey,
                                 node,
                                 PathOf(key),
                                 RenderString(key),
                                 nearest
                                   ? *nearest + " (nearest)"
                                   : "one of " + JoinWithCommas(m_knownKeys)));
  }
}

} // namespace auburntrestle::settings::internal
