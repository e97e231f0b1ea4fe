#ifndef AUBURNTRESTLE_SETTINGS_VALIDATION_ERROR_HPP
#define AUBURNTRESTLE_SETTINGS_VALIDATION_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::settings {

/** Kind of an error in a file or one of its keys. */
enum class ErrorKind : std::uint8_t
{
  FileUnreadable,
  SyntaxError,
  UnknownKey,
  WrongType,
  OutOfRange,
  UnknownWord,
  MissingKey,
  MissingOverlay,
  WrongSite,
  InvalidAddress,
  InvalidName,
  DuplicateAddress,
  DuplicateId,
  /** The value is allowed on its own, but conflicts with another one. */
  Inconsistent,
};

/** @return the stable name, such as "unknown_key". */
[[nodiscard]] std::string_view ToString(ErrorKind aKind) noexcept;

/** One error in a settings or configuration file. */
struct ValidationError
{
  ErrorKind m_kind = ErrorKind::SyntaxError;
  std::string m_file;
  /** One-based; 0 if the error concerns the file as a whole. */
  std::uint32_t m_line = 0;
  /** Dotted path of the key, such as "callers.web.weight"; may be empty. */
  std::string m_key;
  std::string m_given;
  std::string m_allowed;

  friend bool operator==(const ValidationError&,
                         const ValidationError&) = default;
};

/** All errors found, in the order of files and keys. */
using ValidationErrors = std::vector<ValidationError>;

/** @return "file:line: key: kind: given ..., allowed ..." on one line. */
[[nodiscard]] std::string FormatError(const ValidationError& aError);

/** @return one line per error, each terminated by a newline. */
[[nodiscard]] std::string FormatErrors(const ValidationErrors& aErrors);

} // namespace auburntrestle::settings

#endif
