#include "auburntrestle/settings/validation_error.hpp"

#include <array>
#include <cstddef>

namespace auburntrestle::settings {

namespace internal {

// Indexed by ErrorKind.
constexpr std::array<std::string_view, 14> kErrorKindNames{
  "file_unreadable", "syntax_error",    "unknown_key",  "wrong_type",
  "out_of_range",    "unknown_word",    "missing_key",  "missing_overlay",
  "wrong_site",      "invalid_address", "invalid_name", "duplicate_address",
  "duplicate_id",    "inconsistent",
};
static_assert(kErrorKindNames.size() ==
              static_cast<std::size_t>(ErrorKind::Inconsistent) + 1);

} // namespace internal

std::string_view ToString(ErrorKind aKind) noexcept
{
  return internal::kErrorKindNames[static_cast<std::size_t>(aKind)];
}

std::string FormatError(const ValidationError& aError)
{
  std::string text = aError.m_file;
  if (aError.m_line > 0) {
    text += ':';
    text += std::to_string(aError.m_line);
  }
  text += ": ";
  if (!aError.m_key.empty()) {
    text += aError.m_key;
    text += ": ";
  }
  text += ToString(aError.m_kind);
  text += ": given ";
  text += aError.m_given;
  if (!aError.m_allowed.empty()) {
    text += ", allowed ";
    text += aError.m_allowed;
  }
  // Values and parser messages may contain line breaks.
  for (char& character : text) {
    if (character == '\n' || character == '\r') {
      character = ' ';
    }
  }
  return text;
}

std::string FormatErrors(const ValidationErrors& aErrors)
{
  std::string text;
  for (const ValidationError& error : aErrors) {
    text += FormatError(error);
    text += '\n';
  }
  return text;
}

} // namespace auburntrestle::settings
