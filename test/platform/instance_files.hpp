#ifndef AUBURNTRESTLE_TEST_PLATFORM_INSTANCE_FILES_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_INSTANCE_FILES_HPP

#include "platform/names.hpp"
#include "support/port_source.hpp"
#include "support/process.hpp"

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace auburntrestle::platform::test {

using auburntrestle::test::PortSource;

/** The settings file of one instance. */
struct InstanceFile
{
  std::string m_name;
  std::string m_dataCentre = "zone-a";
  std::string m_peers;
  /** Empty when it listens at m_peers. */
  std::string m_peersBind;
  /** Control address of a store; empty for an entry instance. */
  std::string m_control;
  std::filesystem::path m_dataFolder;
  bool m_bootstrap = false;
  int m_toleratedLosses = 1;
  int m_leaseMs = 200;
  /** Address for callers of an entry instance. */
  std::string m_callers;
  std::string m_readiness;
  std::string m_metrics;
  /** Further tables at the end of the file. */
  std::string m_furtherTables;

  /** @return the text of the file. @param aSeeds peer addresses of stores. */
  [[nodiscard]] std::string Text(const std::vector<std::string>& aSeeds) const
  {
    std::string seeds;
    for (const auto& seed : aSeeds) {
      seeds += (seeds.empty() ? "\"" : ", \"") + seed + "\"";
    }
    std::string text = "[instance]\nrole = \"";
    text += m_control.empty() ? "entry" : "store";
    text += "\"\nmachine = \"" + m_name + "\"\ndata_centre = \"" +
            m_dataCentre + "\"\n[peers]\nseeds = [" + seeds +
            "]\nshared_key = \"a shared key of the tests\"\n"
            "[timing]\nlease_ms = " +
            std::to_string(m_leaseMs) +
            "\nshutdown_seconds = 4\n[listen]\npeers = \"" + m_peers + "\"\n";
    if (!m_peersBind.empty()) {
      text += "peers_bind = \"" + m_peersBind + "\"\n";
    }
    if (!m_metrics.empty()) {
      text += "metrics = \"" + m_metrics + "\"\n";
    }
    if (m_control.empty()) {
      return text + "callers = \"" + m_callers + "\"\nreadiness = \"" +
             m_readiness + "\"\n" + m_furtherTables;
    }
    return text + "control = \"" + m_control + "\"\n[log]\ndata_folder = \"" +
           m_dataFolder.string() +
           "\"\nbootstrap = " + (m_bootstrap ? "true" : "false") +
           "\ntolerated_losses = " + std::to_string(m_toleratedLosses) + "\n" +
           m_furtherTables;
  }

  /** Writes the file into a folder and starts the instance. */
  [[nodiscard]] auburntrestle::test::Process Start(
    const std::filesystem::path& aFolder,
    const std::vector<std::string>& aSeeds) const
  {
    const auto path = aFolder / (m_name + ".toml");
    std::ofstream(path) << Text(aSeeds);
    ::setenv(names::kSettingsVariable, path.c_str(), 1);
    return { "trestle_node", {}, aFolder, m_name };
  }
};

} // namespace auburntrestle::platform::test

#endif
