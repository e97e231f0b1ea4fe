#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_EDIT_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_EDIT_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/settings/configuration.hpp"

#include <tl/expected.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace auburntrestle::operator_client {

/** Identifies an edit, so that the ledger detects one that is resent. */
using EditId = StrongType<struct EditIdTag, std::string>;

/**
 * Derives the id from the content. After a lost response, running the command
 * again thus sends the same id without any stored state.
 * @param aSite empty for the base.
 * @return 64 hexadecimal digits.
 */
[[nodiscard]] EditId MakeEditId(const settings::SiteName& aSite,
                                std::uint64_t aNumber,
                                const settings::Digest& aDigest);

/** One valid configuration file to be sent. */
struct Edit
{
  /** Empty for the base. */
  settings::SiteName m_site;
  std::uint64_t m_number = 0;
  settings::Digest m_digest;
  /** The canonical text, which makes equal edits identical byte for byte. */
  std::string m_text;
  EditId m_id;

  /** @return the body of `POST /v1/config`. */
  [[nodiscard]] std::string ToJson() const;
};

/**
 * Reads and validates one file. `base.toml` is the base; any other `SITE.toml`
 * is the overlay of that site. The role depends on the file name so that an
 * overlay without the key `site` is not applied as the base of all sites. Other
 * files in the same folder are included in the validation: all overlays for a
 * base, the base for an overlay.
 * @return the edit, or all errors.
 */
[[nodiscard]] tl::expected<Edit, settings::ValidationErrors> ReadEdit(
  const std::filesystem::path& aFile);

/**
 * Validates one folder or a list of files.
 * @param aPaths either one folder, or files.
 * @param aSites the sites that must have an overlay; may be empty.
 * @return all errors; empty if valid.
 */
[[nodiscard]] settings::ValidationErrors ValidatePaths(
  const std::vector<std::filesystem::path>& aPaths,
  const std::vector<settings::SiteName>& aSites);

} // namespace auburntrestle::operator_client

#endif
