#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_CONFIGURATION_BUILDER_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_CONFIGURATION_BUILDER_HPP

#include "auburntrestle/settings/configuration.hpp"
#include "auburntrestle/settings/internal/document.hpp"

namespace auburntrestle::settings {

/** Builds configurations from files and lists their keys. */
class ConfigurationBuilder
{
public:
  [[nodiscard]] static tl::expected<Configuration, ValidationErrors> Build(
    const ConfigurationFile& aBase,
    const std::optional<ConfigurationFile>& aOverlay,
    const SiteName& aSite);
  [[nodiscard]] static tl::expected<Configuration, ValidationErrors> BuildBase(
    const ConfigurationFile& aBase);
  [[nodiscard]] static std::vector<EffectiveEntry> Entries(
    const Configuration& aConfiguration);

  /** Reads all sections of a table; skips the top-level `number` and `site`. */
  static void ReadSections(const internal::Table& aRoot,
                           FileRole aRole,
                           Configuration& aConfiguration,
                           ValidationErrors& aErrors);

  /** A file, complete only if there are no errors. */
  struct FileAndErrors
  {
    ParsedConfigurationFile m_file;
    ValidationErrors m_errors;
  };
  [[nodiscard]] static FileAndErrors ParseCollectingErrors(
    const ConfigurationFile& aFile,
    FileRole aRole);

private:
  /** Calls aFunction(name, section) for each section other than the named ones
   * ([callers.NAME], [trainers.NAME]). */
  template<typename Function>
  static void VisitSections(Configuration& aConfiguration, Function&& aFunction)
  {
    aFunction("policy", aConfiguration.m_policy);
    aFunction("admission", aConfiguration.m_admission);
    aFunction("hedging", aConfiguration.m_hedging);
    aFunction("retry", aConfiguration.m_retry);
    aFunction("backends", aConfiguration.m_backends);
    aFunction("weights", aConfiguration.m_weights);
    aFunction("claims", aConfiguration.m_claims);
  }

  static void CheckConsistency(const internal::Table& aMerged,
                               const Configuration& aConfiguration,
                               ValidationErrors& aErrors);
  static void CheckTrainers(const internal::Table& aMerged,
                            const Configuration& aConfiguration,
                            ValidationErrors& aErrors);
  static void RecordOrigins(const internal::Table& aTable,
                            const std::string& aPath,
                            Origin aOrigin,
                            std::map<std::string, Origin>& aOrigins);
};

} // namespace auburntrestle::settings

#endif
