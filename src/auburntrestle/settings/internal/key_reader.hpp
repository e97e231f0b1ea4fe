#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_KEY_READER_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_KEY_READER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/settings/internal/document.hpp"
#include "auburntrestle/settings/internal/key_traits.hpp"
#include "auburntrestle/settings/socket_address.hpp"
#include "auburntrestle/settings/validation_error.hpp"

#include <array>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::settings::internal {

/** @return the candidate with the smallest edit distance, or none if all are
 * too different. */
[[nodiscard]] std::optional<std::string> FindClosestMatch(
  std::string_view aText,
  const std::vector<std::string>& aCandidates);

/** @return whether the name is valid for a caller, trainer, model, service or
 * site. */
[[nodiscard]] bool IsValidName(std::string_view aName);

/** Description of the names accepted by IsValidName, for error messages. */
inline constexpr std::string_view kNameSyntax =
  "1 to 64 letters, digits, '.', '_' or '-'";

/** @return an error with the file and line of a node. */
[[nodiscard]] ValidationError MakeError(ErrorKind aKind,
                                        const Node& aNode,
                                        std::string aKey,
                                        std::string aGiven,
                                        std::string aAllowed);

/**
 * Visitor that reads the keys of one table into fields and collects all errors.
 * The field of an absent or invalid key keeps its value.
 */
class KeyReader
{
public:
  /**
   * @param aTable the table.
   * @param aPath the dotted path of the table, empty for the root.
   * @param aErrors the list to which errors are appended.
   */
  KeyReader(const Table& aTable, std::string aPath, ValidationErrors& aErrors)
    : m_table(aTable)
    , m_path(std::move(aPath))
    , m_errors(aErrors)
  {
  }

  template<typename Field>
  void Integer(const KeyMetadata& aKey, Field& aField, IntegerRange aRange)
  {
    if (const auto value = ReadInteger(aKey.m_name, aRange)) {
      AssignInteger(aField, *value);
    }
  }

  void Milliseconds(const KeyMetadata& aKey,
                    Duration& aField,
                    IntegerRange aRange)
  {
    if (const auto value = ReadInteger(aKey.m_name, aRange)) {
      aField = std::chrono::milliseconds(*value);
    }
  }

  void Real(const KeyMetadata& aKey, double& aField, RealRange aRange);
  void Boolean(const KeyMetadata& aKey, bool& aField);

  template<typename Enum, std::size_t Count>
  void Enumeration(const KeyMetadata& aKey,
                   Enum& aField,
                   const std::array<Enum, Count>& aValues)
  {
    std::vector<std::string> names;
    names.reserve(Count);
    for (const Enum value : aValues) {
      names.emplace_back(ToString(value));
    }
    if (const auto index = ReadEnumeration(aKey.m_name, names)) {
      aField = aValues[*index];
    }
  }

  template<typename Field>
  void Name(const KeyMetadata& aKey, Field& aField, NameRule aRule)
  {
    if (auto value = ReadName(aKey.m_name, aRule)) {
      aField = Field(std::move(*value));
    }
  }

  void Path(const KeyMetadata& aKey, std::filesystem::path& aField);
  void Address(const KeyMetadata& aKey, SocketAddress& aField);
  void AddressWithHostName(const KeyMetadata& aKey,
                           std::optional<SocketAddress>& aField);
  void Addresses(const KeyMetadata& aKey, std::vector<SocketAddress>& aField);

  /** @return the array of tables of a key; records the key as known. */
  [[nodiscard]] std::vector<const Node*> TableArray(const KeyMetadata& aKey);

  /** @return the table of a key, or null; records the key as known. */
  [[nodiscard]] const Node* SubTable(std::string_view aKey);

  /** @return the node of a key, or null; records the key as known. */
  [[nodiscard]] const Node* Find(std::string_view aKey);

  /** Reports every key that was not read. Must be called last. */
  void ReportUnknownKeys();

  [[nodiscard]] std::string PathOf(std::string_view aKey) const;

private:
  [[nodiscard]] std::optional<std::int64_t> ReadInteger(std::string_view aKey,
                                                        IntegerRange aRange);
  [[nodiscard]] std::optional<std::size_t> ReadEnumeration(
    std::string_view aKey,
    const std::vector<std::string>& aAllowedValues);
  [[nodiscard]] std::optional<std::string> ReadName(std::string_view aKey,
                                                    NameRule aRule);
  [[nodiscard]] const std::string* ReadString(std::string_view aKey);
  void Report(ErrorKind aKind,
              const Node& aNode,
              std::string_view aKey,
              std::string aAllowed);

  const Table& m_table;
  std::string m_path;
  ValidationErrors& m_errors;
  std::vector<std::string> m_knownKeys;
};

} // namespace auburntrestle::settings::internal

#endif
