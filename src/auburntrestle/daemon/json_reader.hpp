#ifndef AUBURNTRESTLE_DAEMON_JSON_READER_HPP
#define AUBURNTRESTLE_DAEMON_JSON_READER_HPP

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::daemon {

/** An invalid field of a JSON body. */
struct FieldError
{
  /** Dotted path of the field; empty for the body itself. */
  std::string m_field;
  /** What is allowed. */
  std::string m_allowed;
};

/** All errors of a body. */
using FieldErrors = std::vector<FieldError>;

/** @return all errors as one sentence for the caller. */
[[nodiscard]] std::string Describe(const FieldErrors& aErrors);

/**
 * Reads the fields of a JSON object and collects all errors, so that a response
 * can report them together. For an invalid field the reading functions return
 * an empty value.
 */
class JsonReader
{
public:
  /** @param aPath path of the object, which prefixes the names of its fields.
   */
  JsonReader(const nlohmann::json& aObject,
             FieldErrors& aErrors,
             std::string aPath = {});

  [[nodiscard]] std::string RequiredText(const char* aName);
  [[nodiscard]] std::string Text(const char* aName, std::string aDefault = {});
  [[nodiscard]] std::uint64_t RequiredNumber(const char* aName,
                                             std::uint64_t aMinimum,
                                             std::uint64_t aMaximum);
  [[nodiscard]] std::uint64_t Number(const char* aName,
                                     std::uint64_t aMinimum,
                                     std::uint64_t aMaximum,
                                     std::uint64_t aDefault);
  [[nodiscard]] double Real(const char* aName, double aDefault);
  [[nodiscard]] bool Flag(const char* aName, bool aDefault);
  /** @return the array, or an empty one when it is absent. */
  [[nodiscard]] const nlohmann::json& Array(const char* aName, bool aRequired);
  /** @return the object, or null when it is absent. */
  [[nodiscard]] const nlohmann::json* Object(const char* aName);
  /** @return the path of a field. */
  [[nodiscard]] std::string PathOf(std::string_view aName) const;
  /** Records an error of a field. */
  void RecordFault(std::string_view aName, std::string aAllowed);

private:
  [[nodiscard]] const nlohmann::json* Find(const char* aName) const;

  const nlohmann::json& m_object;
  FieldErrors& m_errors;
  std::string m_path;
};

/** Parses a body that must be a JSON object. */
[[nodiscard]] tl::expected<nlohmann::json, FieldErrors> ParseObject(
  std::string_view aBody);

} // namespace auburntrestle::daemon

#endif
