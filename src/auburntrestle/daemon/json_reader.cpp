#include "auburntrestle/daemon/json_reader.hpp"

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

std::string RangeText(std::uint64_t aMinimum, std::uint64_t aMaximum)
{
  return "a whole number from " + std::to_string(aMinimum) + " to " +
         std::to_string(aMaximum);
}

} // namespace internal

std::string Describe(const FieldErrors& aErrors)
{
  std::string text;
  for (const auto& error : aErrors) {
    text += text.empty() ? "" : "; ";
    text += error.m_field.empty() ? "the body" : error.m_field;
    text += " must be " + error.m_allowed;
  }
  return text;
}

JsonReader::JsonReader(const nlohmann::json& aObject,
                       FieldErrors& aErrors,
                       std::string aPath)
  : m_object(aObject)
  , m_errors(aErrors)
  , m_path(std::move(aPath))
{
}

std::string JsonReader::PathOf(std::string_view aName) const
{
  return m_path.empty() ? std::string(aName)
                        : m_path + "." + std::string(aName);
}

void JsonReader::RecordFault(std::string_view aName, std::string aAllowed)
{
  m_errors.push_back(FieldError{ PathOf(aName), std::move(aAllowed) });
}

const nlohmann::json* JsonReader::Find(const char* aName) const
{
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto found = m_object.find(aName);
  return found == m_object.end() || found->is_null() ? nullptr : &*found;
}

std::string JsonReader::RequiredText(const char* aName)
{
  const auto* value = Find(aName);
  if (value == nullptr || !value->is_string() ||
      value->get_ref<const std::string&>().empty()) {
    RecordFault(aName, "a non-empty text");
    return {};
  }
  return value->get<std::string>();
}

std::string JsonReader::Text(const char* aName, std::string aDefault)
{
  const auto* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_string()) {
    RecordFault(aName, "a text");
    return {};
  }
  return value->get<std::string>();
}

std::uint64_t JsonReader::RequiredNumber(const char* aName,
                                         std::uint64_t aMinimum,
                                         std::uint64_t aMaximum)
{
  const auto* value = Find(aName);
  if (value == nullptr || !value->is_number_unsigned() ||
      value->get<std::uint64_t>() < aMinimum ||
      value->get<std::uint64_t>() > aMaximum) {
    RecordFault(aName, internal::RangeText(aMinimum, aMaximum));
    return aMinimum;
  }
  return value->get<std::uint64_t>();
}

std::uint64_t JsonReader::Number(const char* aName,
                                 std::uint64_t aMinimum,
                                 std::uint64_t aMaximum,
                                 std::uint64_t aDefault)
{
  return Find(aName) == nullptr ? aDefault
                                : RequiredNumber(aName, aMinimum, aMaximum);
}

double JsonReader::Real(const char* aName, double aDefault)
{
  const auto* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number()) {
    RecordFault(aName, "a number");
    return aDefault;
  }
  return value->get<double>();
}

bool JsonReader::Flag(const char* aName, bool aDefault)
{
  const auto* value = Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    RecordFault(aName, "true or false");
    return aDefault;
  }
  return value->get<bool>();
}

const nlohmann::json& JsonReader::Array(const char* aName, bool aRequired)
{
  static const nlohmann::json kEmpty = nlohmann::json::array();
  const auto* value = Find(aName);
  if (value == nullptr && !aRequired) {
    return kEmpty;
  }
  if (value == nullptr || !value->is_array() || (aRequired && value->empty())) {
    RecordFault(aName, aRequired ? "a non-empty array" : "an array");
    return kEmpty;
  }
  return *value;
}

const nlohmann::json* JsonReader::Object(const char* aName)
{
  const auto* value = Find(aName);
  if (value != nullptr && !value->is_object()) {
    RecordFault(aName, "an object");
    return nullptr;
  }
  return value;
}

tl::expected<nlohmann::json, FieldErrors> ParseObject(std::string_view aBody)
{
  auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return tl::make_unexpected(
      FieldErrors{ FieldError{ {}, "a JSON object" } });
  }
  return body;
}

} // namespace auburntrestle::daemon
