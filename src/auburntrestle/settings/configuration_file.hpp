#ifndef AUBURNTRESTLE_SETTINGS_CONFIGURATION_FILE_HPP
#define AUBURNTRESTLE_SETTINGS_CONFIGURATION_FILE_HPP

#include "auburntrestle/settings/digest.hpp"
#include "auburntrestle/settings/site_name.hpp"
#include "auburntrestle/settings/validation_error.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace auburntrestle::settings {

namespace internal {
struct Node;
}

/** The text of a file and its name for error messages. */
struct ConfigurationFile
{
  std::string m_name;
  std::string m_text;
};

/** @return the file, or a FileUnreadable error. */
[[nodiscard]] tl::expected<ConfigurationFile, ValidationErrors>
ReadConfigurationFile(const std::filesystem::path& aPath);

/** Whether a file is the base of all sites or the overlay of one site. */
enum class FileRole : std::uint8_t
{
  Base,
  Overlay,
};

/** A base or overlay that is valid on its own. */
class ParsedConfigurationFile
{
public:
  /**
   * Parses and validates one file.
   * @param aFile the file.
   * @param aRole an overlay must have the key `site`, a base must not.
   * @return the parsed file, or all its errors.
   */
  [[nodiscard]] static tl::expected<ParsedConfigurationFile, ValidationErrors>
  Parse(const ConfigurationFile& aFile, FileRole aRole);

  [[nodiscard]] FileRole Role() const noexcept { return m_role; }
  /** @return the site of an overlay; empty for a base. */
  [[nodiscard]] const SiteName& Site() const noexcept { return m_site; }
  /** @return the edit number. */
  [[nodiscard]] std::uint64_t Number() const noexcept { return m_number; }
  /**
   * @return the file with sorted keys, uniform notation and no comments. Files
   * with the same content have the same canonical text and digest.
   */
  [[nodiscard]] const std::string& CanonicalText() const noexcept
  {
    return m_canonicalText;
  }
  /** @return the digest of the canonical text. */
  [[nodiscard]] const Digest& ContentDigest() const noexcept
  {
    return m_digest;
  }

private:
  friend class ConfigurationBuilder;
  ParsedConfigurationFile() = default;

  FileRole m_role = FileRole::Base;
  SiteName m_site;
  std::uint64_t m_number = 0;
  std::string m_canonicalText;
  Digest m_digest;
  std::shared_ptr<const internal::Node> m_root;
};

} // namespace auburntrestle::settings

#endif
