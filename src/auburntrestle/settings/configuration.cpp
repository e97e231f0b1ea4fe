#include "auburntrestle/settings/configuration.hpp"

#include "auburntrestle/settings/internal/configuration_builder.hpp"
#include "auburntrestle/settings/internal/configuration_keys.hpp"

#include <algorithm>

namespace auburntrestle::settings {

std::string_view ToString(PolicyName aName) noexcept
{
  return aName == PolicyName::Fair ? "fair" : "baseline";
}

std::string_view ToString(CallerClass aClass) noexcept
{
  return aClass == CallerClass::Application ? "application" : "training";
}

std::string_view ToString(Origin aOrigin) noexcept
{
  switch (aOrigin) {
    case Origin::Base:
      return "base";
    case Origin::Overlay:
      return "overlay";
    case Origin::Default:
      break;
  }
  return "default";
}

CallerSection Configuration::Caller(const CallerId& aCaller) const
{
  if (const auto found = m_callers.find(aCaller); found != m_callers.end()) {
    return found->second;
  }
  CallerSection caller;
  if (const TrainerSection* trainer = Trainer(TrainerId(aCaller.Get()))) {
    caller.m_class = CallerClass::Training;
    caller.m_weight = trainer->m_weight;
  }
  return caller;
}

const TrainerSection* Configuration::Trainer(
  const TrainerId& aTrainer) const noexcept
{
  const auto found = m_trainers.find(aTrainer);
  return found == m_trainers.end() ? nullptr : &found->second;
}

tl::expected<Configuration, ValidationErrors> Configuration::FromTexts(
  const ConfigurationTexts& aTexts,
  const SiteName& aSite)
{
  return ConfigurationBuilder::Build(aTexts.m_base, aTexts.m_overlay, aSite);
}

tl::expected<Configuration, ValidationErrors> Configuration::FromBase(
  const ConfigurationFile& aBase)
{
  return ConfigurationBuilder::BuildBase(aBase);
}

std::vector<EffectiveEntry> Configuration::Entries() const
{
  return ConfigurationBuilder::Entries(*this);
}

std::string RenderEffective(const Configuration& aConfiguration)
{
  std::string text;
  std::string section;
  for (const EffectiveEntry& entry : aConfiguration.Entries()) {
    if (entry.m_section != section) {
      section = entry.m_section;
      text += "\n[" + section + "]\n";
    }
    text += entry.m_key + " = " + entry.m_value + "  # " +
            std::string(ToString(entry.m_origin)) + "\n";
  }
  return text;
}

ValidationErrors ValidateSet(const ConfigurationSet& aSet)
{
  ValidationErrors errors;
  const auto append = [&errors](const ValidationErrors& aMore) {
    for (const ValidationError& error : aMore) {
      // The base is validated once per overlay, so its errors repeat.
      if (std::find(errors.begin(), errors.end(), error) == errors.end()) {
        errors.push_back(error);
      }
    }
  };
  if (aSet.m_overlays.empty()) {
    const auto configuration = Configuration::FromBase(aSet.m_base);
    if (!configuration) {
      append(configuration.error());
    }
  }
  for (const auto& [site, overlay] : aSet.m_overlays) {
    const auto configuration = Configuration::FromTexts(
      ConfigurationTexts{ aSet.m_base, overlay }, site);
    if (!configuration) {
      append(configuration.error());
    }
  }
  return errors;
}

tl::expected<ConfigurationSet, ValidationErrors> ReadConfigurationFolder(
  const std::filesystem::path& aFolder,
  const std::vector<SiteName>& aSites)
{
  constexpr std::string_view kExtension = ".toml";
  constexpr std::string_view kBaseStem = "base";
  ValidationErrors errors;
  ConfigurationSet set;
  const auto base = ReadConfigurationFile(aFolder / "base.toml");
  if (base) {
    set.m_base = *base;
  } else {
    errors = base.error();
  }
  std::vector<SiteName> sites = aSites;
  if (sites.empty()) {
    std::error_code error;
    for (std::filesystem::directory_iterator entry(aFolder, error), end;
         !error && entry != end;
         entry.increment(error)) {
      const std::filesystem::path& path = entry->path();
      if (path.extension() == kExtension && path.stem() != kBaseStem) {
        sites.emplace_back(path.stem().string());
      }
    }
  }
  for (const SiteName& site : sites) {
    const std::filesystem::path path = aFolder / (site.Get() + ".toml");
    std::error_code error;
    std::optional<ConfigurationFile>& overlay = set.m_overlays[site];
    if (!std::filesystem::exists(path, error)) {
      continue;
    }
    const auto file = ReadConfigurationFile(path);
    if (file) {
      overlay = *file;
    } else {
      errors.insert(errors.end(), file.error().begin(), file.error().end());
    }
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return set;
}

} // namespace auburntrestle::settings
