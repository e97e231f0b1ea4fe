#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_KEY_TRAITS_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_KEY_TRAITS_HPP

#include <cstdint>
#include <string_view>
#include <type_traits>

namespace auburntrestle::settings::internal {

/** Name and documentation of a key. */
struct KeyMetadata
{
  std::string_view m_name;
  /** Empty for a key without a unit. */
  std::string_view m_unit;
  std::string_view m_description;
};

/** Range of an integer key, both ends included. */
struct IntegerRange
{
  std::int64_t m_minimum = 0;
  std::int64_t m_maximum = 0;
};

/** Range of a floating-point key, both ends included. */
struct RealRange
{
  double m_minimum = 0;
  double m_maximum = 0;
};

/** Whether a name may be empty. */
enum class NameRule : std::uint8_t
{
  Required,
  EmptyAllowed,
};

/** Assigns an integer to a field of a built-in or strong integer type. */
template<typename Field>
void AssignInteger(Field& aField, std::int64_t aValue)
{
  if constexpr (std::is_integral_v<Field>) {
    aField = static_cast<Field>(aValue);
  } else {
    aField = Field(static_cast<typename Field::value_type>(aValue));
  }
}

/** @return the value of a field of a built-in or strong integer type. */
template<typename Field>
std::int64_t IntegerOf(const Field& aField)
{
  if constexpr (std::is_integral_v<Field>) {
    return static_cast<std::int64_t>(aField);
  } else {
    return static_cast<std::int64_t>(aField.Get());
  }
}

} // namespace auburntrestle::settings::internal

#endif
