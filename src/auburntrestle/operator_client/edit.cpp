#include "auburntrestle/operator_client/edit.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

using settings::ConfigurationFile;
using settings::ConfigurationSet;
using settings::FileRole;
using settings::SiteName;
using settings::ValidationError;
using settings::ValidationErrors;
using Path = std::filesystem::path;

constexpr const char* kBaseFileName = "base.toml";

bool IsBase(const Path& aPath)
{
  return aPath.filename() == kBaseFileName;
}

bool Exists(const Path& aPath)
{
  std::error_code error;
  return std::filesystem::exists(aPath, error);
}

bool IsFolder(const Path& aPath)
{
  std::error_code error;
  return std::filesystem::is_directory(aPath, error);
}

Path ParentFolder(const Path& aFile)
{
  return aFile.has_parent_path() ? aFile.parent_path() : Path(".");
}

void Append(ValidationErrors& aErrors, const ValidationErrors& aMore)
{
  aErrors.insert(aErrors.end(), aMore.begin(), aMore.end());
}

ValidationErrors ValidateFolder(const Path& aFolder,
                                const std::vector<SiteName>& aSites)
{
  const auto set = settings::ReadConfigurationFolder(aFolder, aSites);
  return set ? settings::ValidateSet(*set) : set.error();
}

/** Validates overlays for which no base is given. */
ValidationErrors ValidateOverlaysWithoutBase(const ConfigurationSet& aSet)
{
  ValidationErrors errors;
  for (const auto& [site, overlay] : aSet.m_overlays) {
    if (!overlay) {
      errors.push_back(ValidationError{ settings::ErrorKind::MissingOverlay,
                                        site.Get() + ".toml",
                                        0,
                                        "site",
                                        "no overlay for \"" + site.Get() + "\"",
                                        "one overlay per site" });
      continue;
    }
    const auto file =
      settings::ParsedConfigurationFile::Parse(*overlay, FileRole::Overlay);
    if (!file) {
      Append(errors, file.error());
    } else if (file->Site() != site) {
      errors.push_back(ValidationError{ settings::ErrorKind::WrongSite,
                                        overlay->m_name,
                                        0,
                                        "site",
                                        "\"" + file->Site().Get() + "\"",
                                        "\"" + site.Get() + "\"" });
    }
  }
  return errors;
}

/** Rejects files of the same name, since the second would replace the first. */
ValidationErrors CheckDuplicates(const std::vector<Path>& aFiles)
{
  ValidationErrors errors;
  std::map<Path, Path> pathsByName;
  for (const Path& path : aFiles) {
    const auto [first, inserted] = pathsByName.emplace(path.filename(), path);
    if (!inserted) {
      errors.push_back(ValidationError{
        settings::ErrorKind::DuplicateId,
        path.string(),
        0,
        "",
        path.filename().string() + " twice, first " + first->second.string(),
        "one file per name" });
    }
  }
  return errors;
}

ValidationErrors ValidateFiles(const std::vector<Path>& aFiles,
                               const std::vector<SiteName>& aSites)
{
  ConfigurationSet set;
  bool hasBase = false;
  ValidationErrors errors = CheckDuplicates(aFiles);
  for (const SiteName& site : aSites) {
    set.m_overlays[site];
  }
  for (const Path& path : aFiles) {
    const auto file = settings::ReadConfigurationFile(path);
    if (!file) {
      Append(errors, file.error());
    } else if (IsBase(path)) {
      set.m_base = *file;
      hasBase = true;
    } else {
      set.m_overlays[SiteName(path.stem().string())] = *file;
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  return hasBase ? settings::ValidateSet(set)
                 : ValidateOverlaysWithoutBase(set);
}

ValidationErrors ValidateForApply(const Path& aFile)
{
  const Path folder = ParentFolder(aFile);
  if (IsBase(aFile)) {
    return ValidateFolder(folder, {});
  }
  std::vector<Path> files;
  if (Exists(folder / kBaseFileName)) {
    files.push_back(folder / kBaseFileName);
  }
  files.push_back(aFile);
  return ValidateFiles(files, {});
}

} // namespace internal

EditId MakeEditId(const settings::SiteName& aSite,
                  std::uint64_t aNumber,
                  const settings::Digest& aDigest)
{
  // Site names contain no line breaks, so the hashed text is unambiguous.
  return EditId(settings::DigestOf(aSite.Get() + "\n" +
                                   std::to_string(aNumber) + "\n" +
                                   aDigest.Get())
                  .Get());
}

std::string Edit::ToJson() const
{
  return nlohmann::json{
    { "site", m_site.Get() },
    { "number", m_number },
    { "digest", m_digest.Get() },
    { "text", m_text },
    { "edit", m_id.Get() }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

tl::expected<Edit, settings::ValidationErrors> ReadEdit(
  const std::filesystem::path& aFile)
{
  auto errors = internal::ValidateForApply(aFile);
  if (!errors.empty()) {
    return tl::make_unexpected(std::move(errors));
  }
  const auto role = internal::IsBase(aFile) ? settings::FileRole::Base
                                            : settings::FileRole::Overlay;
  const auto file =
    settings::ReadConfigurationFile(aFile).and_then([role](const auto& aText) {
      return settings::ParsedConfigurationFile::Parse(aText, role);
    });
  if (!file) {
    return tl::make_unexpected(file.error());
  }
  return Edit{ file->Site(),
               file->Number(),
               file->ContentDigest(),
               file->CanonicalText(),
               MakeEditId(
                 file->Site(), file->Number(), file->ContentDigest()) };
}

settings::ValidationErrors ValidatePaths(
  const std::vector<std::filesystem::path>& aPaths,
  const std::vector<settings::SiteName>& aSites)
{
  if (aPaths.size() == 1 && internal::IsFolder(aPaths.front())) {
    return internal::ValidateFolder(aPaths.front(), aSites);
  }
  return internal::ValidateFiles(aPaths, aSites);
}

} // namespace auburntrestle::operator_client
