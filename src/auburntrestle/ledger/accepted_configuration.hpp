#ifndef AUBURNTRESTLE_LEDGER_ACCEPTED_CONFIGURATION_HPP
#define AUBURNTRESTLE_LEDGER_ACCEPTED_CONFIGURATION_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/settings/digest.hpp"
#include "auburntrestle/settings/site_name.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace auburntrestle::ledger {

/** One accepted file of the operators' configuration. */
struct AcceptedFile
{
  std::uint64_t m_number = 0;
  settings::Digest m_digest;
  std::string m_text;

  friend bool operator==(const AcceptedFile&, const AcceptedFile&) = default;
};

/** The accepted configuration of one site at one revision. */
struct AcceptedConfiguration
{
  /** The newest revision over all files and sites. */
  Revision m_revision;
  settings::SiteName m_site;
  std::optional<AcceptedFile> m_base;
  std::optional<AcceptedFile> m_overlay;

  friend bool operator==(const AcceptedConfiguration&,
                         const AcceptedConfiguration&) = default;
};

} // namespace auburntrestle::ledger

#endif
