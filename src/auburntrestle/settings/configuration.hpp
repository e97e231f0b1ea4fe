#ifndef AUBURNTRESTLE_SETTINGS_CONFIGURATION_HPP
#define AUBURNTRESTLE_SETTINGS_CONFIGURATION_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/settings/configuration_file.hpp"
#include "auburntrestle/settings/digest.hpp"
#include "auburntrestle/settings/site_name.hpp"
#include "auburntrestle/settings/socket_address.hpp"
#include "auburntrestle/settings/validation_error.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::settings {

/** The scheduling policy. */
enum class PolicyName : std::uint8_t
{
  Fair,
  /** First come first served, to the backend server with the least reported
   * load, without limits. */
  Baseline,
};

/** The scheduling class of a caller. */
enum class CallerClass : std::uint8_t
{
  Application,
  Training,
};

/** @return "fair" or "baseline". */
[[nodiscard]] std::string_view ToString(PolicyName aName) noexcept;
/** @return "application" or "training". */
[[nodiscard]] std::string_view ToString(CallerClass aClass) noexcept;

/** [policy] */
struct PolicySection
{
  PolicyName m_name = PolicyName::Fair;
};

/** [admission] */
struct AdmissionSection
{
  std::uint32_t m_maxWaiting = 10000;
  double m_trainingFloor = 0.2;
  double m_shortWorkShare = 0.2;
  TokenCount m_shortWorkTokens{ 512 };
  std::uint32_t m_initialLimit = 4;
  std::uint32_t m_maxLimit = 64;
};

/** [hedging] */
struct HedgingSection
{
  bool m_enabled = true;
  double m_budget = 0.05;
  Duration m_delay = std::chrono::milliseconds(100);
};

/** [retry] */
struct RetrySection
{
  std::uint32_t m_maxAttempts = 3;
  double m_budget = 0.1;
};

/** [backends] */
struct BackendsSection
{
  Duration m_lease = std::chrono::seconds(3);
};

/** [callers.NAME] */
struct CallerSection
{
  CallerClass m_class = CallerClass::Application;
  double m_weight = 1.0;
  std::uint32_t m_maxWaiting = 1000;
  Duration m_deadline = std::chrono::seconds(60);
};

/** [trainers.NAME] */
struct TrainerSection
{
  ModelName m_model;
  double m_weight = 1.0;
  /** Maximum number of versions that a sample may lag behind the published
   * one. */
  std::uint64_t m_stalenessBound = 2;
  std::uint32_t m_maxOutstandingSteps = 4;
  std::uint32_t m_batchGroups = 16;
  /** The service that scores samples; empty if none. */
  ServiceName m_judge;
  bool m_judgeRepeatable = true;
};

/** [weights] */
struct WeightsSection
{
  /** None if no weight store is used. */
  std::optional<SocketAddress> m_store;
  std::uint32_t m_maxParallelLoads = 8;
  std::uint32_t m_minServing = 1;
};

/** [claims] */
struct ClaimsSection
{
  Duration m_retention = std::chrono::hours(1);
};

/** Source of a value. */
enum class Origin : std::uint8_t
{
  Default,
  Base,
  Overlay,
};

/** @return "default", "base" or "overlay". */
[[nodiscard]] std::string_view ToString(Origin aOrigin) noexcept;

/** One key of the effective configuration. */
struct EffectiveEntry
{
  /** For example "admission" or "callers.web". */
  std::string m_section;
  std::string m_key;
  /** The value in TOML notation. */
  std::string m_value;
  Origin m_origin = Origin::Default;
};

/** The two files that make up the configuration of one site. */
struct ConfigurationTexts
{
  ConfigurationFile m_base;
  /** None if the site has no overlay, which is an error. */
  std::optional<ConfigurationFile> m_overlay;
};

/** The validated, immutable configuration of one site. */
class Configuration
{
public:
  /** All defaults; in force until a configuration has been accepted. */
  Configuration() = default;

  /**
   * Parses, validates and merges a base and an overlay.
   * @param aTexts both files.
   * @param aSite the expected value of the overlay's `site`.
   * @return the configuration, or all errors of both files.
   */
  [[nodiscard]] static tl::expected<Configuration, ValidationErrors> FromTexts(
    const ConfigurationTexts& aTexts,
    const SiteName& aSite);

  /** Like FromTexts, for a site without an accepted overlay. */
  [[nodiscard]] static tl::expected<Configuration, ValidationErrors> FromBase(
    const ConfigurationFile& aBase);

  [[nodiscard]] const PolicySection& Policy() const noexcept
  {
    return m_policy;
  }
  [[nodiscard]] const AdmissionSection& Admission() const noexcept
  {
    return m_admission;
  }
  [[nodiscard]] const HedgingSection& Hedging() const noexcept
  {
    return m_hedging;
  }
  [[nodiscard]] const RetrySection& Retry() const noexcept { return m_retry; }
  [[nodiscard]] const BackendsSection& Backends() const noexcept
  {
    return m_backends;
  }
  [[nodiscard]] const std::map<CallerId, CallerSection>& Callers()
    const noexcept
  {
    return m_callers;
  }
  [[nodiscard]] const std::map<TrainerId, TrainerSection>& Trainers()
    const noexcept
  {
    return m_trainers;
  }
  [[nodiscard]] const WeightsSection& Weights() const noexcept
  {
    return m_weights;
  }
  [[nodiscard]] const ClaimsSection& Claims() const noexcept
  {
    return m_claims;
  }

  /**
   * @return the settings of a caller. A trainer without a [callers] table is a
   * training caller with the trainer's weight; any other unlisted caller has
   * the defaults.
   */
  [[nodiscard]] CallerSection Caller(const CallerId& aCaller) const;

  /** @return the trainer's settings, or null for an unlisted trainer. */
  [[nodiscard]] const TrainerSection* Trainer(
    const TrainerId& aTrainer) const noexcept;

  /** @return the site of the overlay; empty without an overlay. */
  [[nodiscard]] const SiteName& Site() const noexcept { return m_site; }
  /** @return the number of the base; 0 for the defaults. */
  [[nodiscard]] std::uint64_t BaseNumber() const noexcept
  {
    return m_baseNumber;
  }
  /** @return the number of the overlay; 0 without an overlay. */
  [[nodiscard]] std::uint64_t OverlayNumber() const noexcept
  {
    return m_overlayNumber;
  }
  /** @return the digest of the base's canonical text; empty for defaults. */
  [[nodiscard]] const Digest& BaseDigest() const noexcept
  {
    return m_baseDigest;
  }
  /** @return the digest of the overlay's canonical text, or empty. */
  [[nodiscard]] const Digest& OverlayDigest() const noexcept
  {
    return m_overlayDigest;
  }

  /** @return all effective keys with their values and origins. */
  [[nodiscard]] std::vector<EffectiveEntry> Entries() const;

private:
  friend class ConfigurationBuilder;

  PolicySection m_policy;
  AdmissionSection m_admission;
  HedgingSection m_hedging;
  RetrySection m_retry;
  BackendsSection m_backends;
  std::map<CallerId, CallerSection> m_callers;
  std::map<TrainerId, TrainerSection> m_trainers;
  WeightsSection m_weights;
  ClaimsSection m_claims;
  SiteName m_site;
  std::uint64_t m_baseNumber = 0;
  std::uint64_t m_overlayNumber = 0;
  Digest m_baseDigest;
  Digest m_overlayDigest;
  /** Origins by dotted path of the keys set by a file; all others have their
   * defaults. */
  std::map<std::string, Origin> m_origins;
};

/** @return the effective configuration as TOML with the origin of each key. */
[[nodiscard]] std::string RenderEffective(const Configuration& aConfiguration);

/** A base and the overlays of all sites. */
struct ConfigurationSet
{
  ConfigurationFile m_base;
  /** By site; none if the overlay file is missing. */
  std::map<SiteName, std::optional<ConfigurationFile>> m_overlays;
};

/**
 * Validates the configuration of every site.
 * @return the errors of all files without duplicates; empty if valid.
 */
[[nodiscard]] ValidationErrors ValidateSet(const ConfigurationSet& aSet);

/**
 * Reads `base.toml` and one `SITE.toml` per site from a folder.
 * @param aFolder the folder.
 * @param aSites the sites that must have an overlay; if empty, every other
 * `.toml` file is the overlay of the site that it is named after.
 */
[[nodiscard]] tl::expected<ConfigurationSet, ValidationErrors>
ReadConfigurationFolder(const std::filesystem::path& aFolder,
                        const std::vector<SiteName>& aSites);

} // namespace auburntrestle::settings

#endif
