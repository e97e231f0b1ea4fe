#ifndef AUBURNTRESTLE_SETTINGS_KEY_REFERENCE_HPP
#define AUBURNTRESTLE_SETTINGS_KEY_REFERENCE_HPP

#include <string>
#include <vector>

namespace auburntrestle::settings {

/** Documentation of a key. */
struct KeyDescription
{
  /** For example "http" or "callers.NAME". */
  std::string m_section;
  std::string m_key;
  std::string m_type;
  std::string m_allowed;
  /** In TOML notation; empty if there is no default. */
  std::string m_default;
  /** Empty for a key without a unit. */
  std::string m_unit;
  std::string m_description;
};

/**
 * @return the keys of the instance settings, except for [ledger] and [peers],
 * which hold lists.
 */
[[nodiscard]] std::vector<KeyDescription> DescribeInstanceKeys();

/** @return the keys of the configuration. */
[[nodiscard]] std::vector<KeyDescription> DescribeConfigurationKeys();

/** @return the row of a key in the tables of docs/configuration.md. */
[[nodiscard]] std::string RenderReferenceRow(const KeyDescription& aKey);

} // namespace auburntrestle::settings

#endif
