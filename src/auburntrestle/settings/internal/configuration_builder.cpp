#include "auburntrestle/settings/internal/configuration_builder.hpp"

#include "auburntrestle/settings/internal/configuration_keys.hpp"
#include "auburntrestle/settings/internal/key_reader.hpp"

namespace auburntrestle::settings {

namespace internal {

namespace {

/** Visitor that lists the keys of a section with their values in TOML
 * notation. */
class KeyLister
{
public:
  KeyLister(std::string aSection,
            const std::map<std::string, Origin>& aOrigins,
            std::vector<EffectiveEntry>& aEntries)
    : m_section(std::move(aSection))
    , m_origins(aOrigins)
    , m_entries(aEntries)
  {
  }

  template<typename Field>
  void Integer(const KeyMetadata& aKey, const Field& aField, IntegerRange)
  {
    Add(aKey, std::to_string(IntegerOf(aField)));
  }
  void Milliseconds(const KeyMetadata& aKey, Duration aField, IntegerRange)
  {
    Add(
      aKey,
      std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(aField).count()));
  }
  void Real(const KeyMetadata& aKey, double aField, RealRange)
  {
    Add(aKey, RenderFloat(aField));
  }
  void Boolean(const KeyMetadata& aKey, bool aField)
  {
    Add(aKey, aField ? "true" : "false");
  }
  template<typename Enum, std::size_t Count>
  void Enumeration(const KeyMetadata& aKey,
                   Enum aField,
                   const std::array<Enum, Count>&)
  {
    Add(aKey, RenderString(ToString(aField)));
  }
  template<typename Field>
  void Name(const KeyMetadata& aKey, const Field& aField, NameRule)
  {
    Add(aKey, RenderString(aField.Get()));
  }
  void AddressWithHostName(const KeyMetadata& aKey,
                           const std::optional<SocketAddress>& aField)
  {
    Add(aKey, RenderString(aField ? aField->ToString() : ""));
  }

private:
  void Add(const KeyMetadata& aKey, std::string aValue)
  {
    const auto found =
      m_origins.find(m_section + "." + std::string(aKey.m_name));
    m_entries.push_back(EffectiveEntry{
      m_section,
      std::string(aKey.m_name),
      std::move(aValue),
      found == m_origins.end() ? Origin::Default : found->second });
  }

  std::string m_section;
  const std::map<std::string, Origin>& m_origins;
  std::vector<EffectiveEntry>& m_entries;
};

/** Reads tables such as [callers.NAME]. */
template<typename Id, typename Section>
void ReadNamedSections(KeyReader& aRoot,
                       std::string_view aName,
                       std::map<Id, Section>& aSections,
                       ValidationErrors& aErrors)
{
  const Node* node = aRoot.SubTable(aName);
  if (node == nullptr) {
    return;
  }
  for (const auto& [name, child] : std::get<Table>(node->m_value)) {
    const std::string path = std::string(aName) + "." + RenderKey(name);
    if (!IsValidName(name)) {
      aErrors.push_back(MakeError(ErrorKind::InvalidName,
                                  child,
                                  path,
                                  RenderString(name),
                                  std::string(kNameSyntax)));
      continue;
    }
    const auto* table = std::get_if<Table>(&child.m_value);
    if (table == nullptr) {
      aErrors.push_back(
        MakeError(ErrorKind::WrongType,
                  child,
                  path,
                  std::string(TypeName(child)) + " " + RenderValue(child),
                  "table"));
      continue;
    }
    KeyReader reader(*table, path, aErrors);
    VisitKeys(reader, aSections[Id(name)]);
    reader.ReportUnknownKeys();
  }
}

const Node* FindNode(const Table& aRoot,
                     std::initializer_list<std::string_view> aPath)
{
  const Table* table = &aRoot;
  const Node* node = nullptr;
  for (const std::string_view key : aPath) {
    if (table == nullptr) {
      return nullptr;
    }
    const auto found = table->find(std::string(key));
    if (found == table->end()) {
      return nullptr;
    }
    node = &found->second;
    table = std::get_if<Table>(&node->m_value);
  }
  return node;
}

void RequireKey(const Table& aRoot,
                std::string_view aKey,
                const std::string& aFile,
                std::string aAllowed,
                ValidationErrors& aErrors)
{
  if (!aRoot.contains(std::string(aKey))) {
    aErrors.push_back(ValidationError{ ErrorKind::MissingKey,
                                       aFile,
                                       0,
                                       std::string(aKey),
                                       "nothing",
                                       std::move(aAllowed) });
  }
}

} // namespace

} // namespace internal

using internal::FindNode;
using internal::MakeError;
using internal::Node;
using internal::RenderString;
using internal::Table;

void ConfigurationBuilder::ReadSections(const Table& aRoot,
                                        FileRole aRole,
                                        Configuration& aConfiguration,
                                        ValidationErrors& aErrors)
{
  internal::KeyReader root(aRoot, "", aErrors);
  static_cast<void>(root.Find("number"));
  if (aRole == FileRole::Overlay) {
    static_cast<void>(root.Find("site"));
  }
  VisitSections(aConfiguration, [&](std::string_view aName, auto& aSection) {
    if (const Node* node = root.SubTable(aName)) {
      internal::KeyReader reader(
        std::get<Table>(node->m_value), std::string(aName), aErrors);
      internal::VisitKeys(reader, aSection);
      reader.ReportUnknownKeys();
    }
  });
  internal::ReadNamedSections(
    root, "callers", aConfiguration.m_callers, aErrors);
  internal::ReadNamedSections(
    root, "trainers", aConfiguration.m_trainers, aErrors);
  root.ReportUnknownKeys();
}

ConfigurationBuilder::FileAndErrors ConfigurationBuilder::ParseCollectingErrors(
  const ConfigurationFile& aFile,
  FileRole aRole)
{
  FileAndErrors result{ ParsedConfigurationFile(), {} };
  ParsedConfigurationFile& file = result.m_file;
  file.m_role = aRole;
  auto document = internal::ParseDocument(aFile.m_text, aFile.m_name);
  if (!document) {
    result.m_errors.push_back(std::move(document.error()));
    return result;
  }
  const Table& root = std::get<Table>(document->m_value);
  internal::KeyReader reader(root, "", result.m_errors);
  internal::RequireKey(root,
                       "number",
                       aFile.m_name,
                       "the number of this edit, one above the last",
                       result.m_errors);
  reader.Integer(internal::KeyMetadata{ "number", "", "" },
                 file.m_number,
                 internal::kNumberRange);
  if (aRole == FileRole::Overlay) {
    internal::RequireKey(
      root, "site", aFile.m_name, "the name of the site", result.m_errors);
    reader.Name(internal::KeyMetadata{ "site", "", "" },
                file.m_site,
                internal::NameRule::Required);
  }
  Configuration ignored;
  ReadSections(root, aRole, ignored, result.m_errors);
  file.m_canonicalText = internal::RenderCanonical(root);
  file.m_digest = DigestOf(file.m_canonicalText);
  file.m_root = std::make_shared<const Node>(std::move(*document));
  return result;
}

void ConfigurationBuilder::CheckTrainers(const Table& aMerged,
                                         const Configuration& aConfiguration,
                                         ValidationErrors& aErrors)
{
  struct JudgeUse
  {
    TrainerId m_trainer;
    bool m_repeatable = true;
  };
  std::map<ServiceName, JudgeUse> judges;
  for (const auto& [id, trainer] : aConfiguration.m_trainers) {
    const std::string& name = id.Get();
    const std::string path = "trainers." + internal::RenderKey(name);
    const Node& table = *FindNode(aMerged, { "trainers", name });
    const auto findNode = [&](std::string_view aKey) -> const Node& {
      const Node* node = FindNode(aMerged, { "trainers", name, aKey });
      return node == nullptr ? table : *node;
    };
    const auto report = [&](ErrorKind aKind,
                            std::string_view aKey,
                            std::string aGiven,
                            std::string aAllowed) {
      aErrors.push_back(MakeError(aKind,
                                  findNode(aKey),
                                  path + "." + std::string(aKey),
                                  std::move(aGiven),
                                  std::move(aAllowed)));
    };
    if (FindNode(aMerged, { "trainers", name, "model" }) == nullptr) {
      report(ErrorKind::MissingKey, "model", "nothing", "a model's name");
    }
    const bool hasJudge = !trainer.m_judge.Get().empty();
    if (hasJudge && trainer.m_judge.Get() == trainer.m_model.Get()) {
      report(ErrorKind::Inconsistent,
             "judge",
             RenderString(trainer.m_judge.Get()),
             "a service other than the trainer's model");
    }
    if (!hasJudge && !trainer.m_judgeRepeatable) {
      report(ErrorKind::Inconsistent,
             "judge_repeatable",
             "false without a judge",
             "only together with judge");
    }
    if (hasJudge) {
      const auto [use, added] = judges.try_emplace(
        trainer.m_judge, JudgeUse{ id, trainer.m_judgeRepeatable });
      if (!added && use->second.m_repeatable != trainer.m_judgeRepeatable) {
        report(ErrorKind::Inconsistent,
               "judge_repeatable",
               trainer.m_judgeRepeatable ? "true" : "false",
               "the value given by trainers." + use->second.m_trainer.Get() +
                 " for the same judge");
      }
    }
    const auto caller = aConfiguration.m_callers.find(CallerId(name));
    if (caller != aConfiguration.m_callers.end() &&
        caller->second.m_class != CallerClass::Training) {
      const Node* node = FindNode(aMerged, { "callers", name, "class" });
      aErrors.push_back(MakeError(
        ErrorKind::Inconsistent,
        node == nullptr ? *FindNode(aMerged, { "callers", name }) : *node,
        "callers." + internal::RenderKey(name) + ".class",
        "\"application\" for a trainer",
        "\"training\""));
    }
  }
}

void ConfigurationBuilder::CheckConsistency(const Table& aMerged,
                                            const Configuration& aConfiguration,
                                            ValidationErrors& aErrors)
{
  const AdmissionSection& admission = aConfiguration.m_admission;
  if (admission.m_initialLimit > admission.m_maxLimit) {
    const Node* node = FindNode(aMerged, { "admission", "initial_limit" });
    if (node == nullptr) {
      node = FindNode(aMerged, { "admission", "max_limit" });
    }
    aErrors.push_back(
      MakeError(ErrorKind::Inconsistent,
                *node,
                "admission.initial_limit",
                std::to_string(admission.m_initialLimit),
                "at most max_limit " + std::to_string(admission.m_maxLimit)));
  }
  CheckTrainers(aMerged, aConfiguration, aErrors);
}

void ConfigurationBuilder::RecordOrigins(
  const Table& aTable,
  const std::string& aPath,
  Origin aOrigin,
  std::map<std::string, Origin>& aOrigins)
{
  for (const auto& [key, node] : aTable) {
    const std::string path = internal::JoinPath(aPath, key);
    if (const auto* table = std::get_if<Table>(&node.m_value)) {
      RecordOrigins(*table, path, aOrigin, aOrigins);
    } else {
      aOrigins[path] = aOrigin;
    }
  }
}

tl::expected<Configuration, ValidationErrors> ConfigurationBuilder::Build(
  const ConfigurationFile& aBase,
  const std::optional<ConfigurationFile>& aOverlay,
  const SiteName& aSite)
{
  FileAndErrors base = ParseCollectingErrors(aBase, FileRole::Base);
  ValidationErrors errors = std::move(base.m_errors);
  if (!aOverlay) {
    errors.push_back(
      ValidationError{ ErrorKind::MissingOverlay,
                       aBase.m_name,
                       0,
                       "site",
                       "no overlay for " + RenderString(aSite.Get()),
                       "one overlay per site" });
    return tl::unexpected(std::move(errors));
  }
  FileAndErrors overlay = ParseCollectingErrors(*aOverlay, FileRole::Overlay);
  errors.insert(errors.end(), overlay.m_errors.begin(), overlay.m_errors.end());
  const SiteName& site = overlay.m_file.m_site;
  if (!site.Get().empty() && site != aSite) {
    const Table& root = std::get<Table>(overlay.m_file.m_root->m_value);
    errors.push_back(MakeError(ErrorKind::WrongSite,
                               root.at("site"),
                               "site",
                               RenderString(site.Get()),
                               RenderString(aSite.Get())));
  }
  if (base.m_file.m_root == nullptr || overlay.m_file.m_root == nullptr) {
    return tl::unexpected(std::move(errors));
  }
  const Table& baseTable = std::get<Table>(base.m_file.m_root->m_value);
  const Table& overlayTable = std::get<Table>(overlay.m_file.m_root->m_value);
  const Table merged = internal::MergeTables(baseTable, overlayTable);
  Configuration result;
  // Errors of single keys have already been reported for each file.
  ValidationErrors ignoredErrors;
  ReadSections(merged, FileRole::Overlay, result, ignoredErrors);
  CheckConsistency(merged, result, errors);
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  RecordOrigins(baseTable, "", Origin::Base, result.m_origins);
  RecordOrigins(overlayTable, "", Origin::Overlay, result.m_origins);
  result.m_site = site;
  result.m_baseNumber = base.m_file.m_number;
  result.m_overlayNumber = overlay.m_file.m_number;
  result.m_baseDigest = base.m_file.m_digest;
  result.m_overlayDigest = overlay.m_file.m_digest;
  return result;
}

tl::expected<Configuration, ValidationErrors> ConfigurationBuilder::BuildBase(
  const ConfigurationFile& aBase)
{
  FileAndErrors base = ParseCollectingErrors(aBase, FileRole::Base);
  if (base.m_file.m_root == nullptr) {
    return tl::unexpected(std::move(base.m_errors));
  }
  const Table& root = std::get<Table>(base.m_file.m_root->m_value);
  Configuration result;
  ValidationErrors ignoredErrors;
  ReadSections(root, FileRole::Base, result, ignoredErrors);
  CheckConsistency(root, result, base.m_errors);
  if (!base.m_errors.empty()) {
    return tl::unexpected(std::move(base.m_errors));
  }
  RecordOrigins(root, "", Origin::Base, result.m_origins);
  result.m_baseNumber = base.m_file.m_number;
  result.m_baseDigest = base.m_file.m_digest;
  return result;
}

std::vector<EffectiveEntry> ConfigurationBuilder::Entries(
  const Configuration& aConfiguration)
{
  // VisitKeys takes sections by mutable reference for KeyReader; KeyLister
  // itself does not modify them.
  Configuration copy = aConfiguration;
  std::vector<EffectiveEntry> entries;
  const auto list = [&](std::string aName, auto& aSection) {
    internal::KeyLister lister(std::move(aName), copy.m_origins, entries);
    internal::VisitKeys(lister, aSection);
  };
  VisitSections(copy, list);
  for (auto& [id, caller] : copy.m_callers) {
    list("callers." + internal::RenderKey(id.Get()), caller);
  }
  for (auto& [id, trainer] : copy.m_trainers) {
    list("trainers." + internal::RenderKey(id.Get()), trainer);
  }
  return entries;
}

} // namespace auburntrestle::settings
