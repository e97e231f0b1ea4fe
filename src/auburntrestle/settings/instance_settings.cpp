#include "auburntrestle/settings/instance_settings.hpp"

#include "auburntrestle/settings/configuration_file.hpp"
#include "auburntrestle/settings/internal/instance_keys.hpp"
#include "auburntrestle/settings/internal/key_reader.hpp"

#include <algorithm>
#include <set>

namespace auburntrestle::settings {

namespace internal {

namespace {

template<typename Section>
void ReadSection(KeyReader& aRoot,
                 std::string_view aName,
                 Section& aSection,
                 ValidationErrors& aErrors)
{
  if (const Node* node = aRoot.SubTable(aName)) {
    KeyReader reader(
      std::get<Table>(node->m_value), std::string(aName), aErrors);
    VisitKeys(reader, aSection);
    reader.ReportUnknownKeys();
  }
}

/** Reports an error if a key is missing. */
bool IsMissing(const Node& aTable,
               std::string_view aKey,
               const std::string& aPath,
               ValidationErrors& aErrors)
{
  if (std::get<Table>(aTable.m_value).contains(std::string(aKey))) {
    return false;
  }
  aErrors.push_back(MakeError(ErrorKind::MissingKey,
                              aTable,
                              aPath + "." + std::string(aKey),
                              "nothing",
                              "a value is required"));
  return true;
}

void ReadMember(const Node& aNode,
                std::vector<LedgerMember>& aMembers,
                ValidationErrors& aErrors)
{
  const std::string path = "ledger.members";
  LedgerMember member{ InstanceId(),
                       *SocketAddress::Parse("0.0.0.0:0"),
                       DataCentreId() };
  KeyReader reader(std::get<Table>(aNode.m_value), path, aErrors);
  const std::size_t errorsBefore = aErrors.size();
  reader.Name(KeyMetadata{ "id", "", "" }, member.m_id, NameRule::Required);
  reader.Address(KeyMetadata{ "address", "", "" }, member.m_address);
  reader.Name(KeyMetadata{ "data_centre", "", "" },
              member.m_dataCentre,
              NameRule::Required);
  reader.ReportUnknownKeys();
  for (const std::string_view key : { "id", "address", "data_centre" }) {
    static_cast<void>(IsMissing(aNode, key, path, aErrors));
  }
  if (aErrors.size() > errorsBefore) {
    return;
  }
  for (const LedgerMember& other : aMembers) {
    if (other.m_id == member.m_id) {
      aErrors.push_back(MakeError(ErrorKind::DuplicateId,
                                  aNode,
                                  path + ".id",
                                  RenderString(member.m_id.Get()),
                                  "each id at most once"));
    }
    if (other.m_address == member.m_address) {
      aErrors.push_back(MakeError(ErrorKind::DuplicateAddress,
                                  aNode,
                                  path + ".address",
                                  RenderString(member.m_address.ToString()),
                                  "each address at most once"));
    }
  }
  if (member.m_address.Port() == 0 || member.m_address.IsWildcard()) {
    aErrors.push_back(MakeError(ErrorKind::InvalidAddress,
                                aNode,
                                path + ".address",
                                RenderString(member.m_address.ToString()),
                                "an address that other instances can reach"));
  }
  aMembers.push_back(std::move(member));
}

void ReadLedger(KeyReader& aRoot,
                LedgerSection& aSection,
                ValidationErrors& aErrors)
{
  const Node* node = aRoot.SubTable("ledger");
  if (node == nullptr) {
    return;
  }
  KeyReader reader(std::get<Table>(node->m_value), "ledger", aErrors);
  reader.Path(KeyMetadata{ "data_folder", "", "" }, aSection.m_dataFolder);
  for (const Node* member :
       reader.TableArray(KeyMetadata{ "members", "", "" })) {
    ReadMember(*member, aSection.m_members, aErrors);
  }
  reader.ReportUnknownKeys();
}

void ReadPeers(KeyReader& aRoot,
               PeersSection& aSection,
               ValidationErrors& aErrors)
{
  const Node* node = aRoot.SubTable("peers");
  if (node == nullptr) {
    return;
  }
  KeyReader reader(std::get<Table>(node->m_value), "peers", aErrors);
  reader.Addresses(KeyMetadata{ "seeds", "", "" }, aSection.m_seeds);
  reader.Path(KeyMetadata{ "shared_key_file", "", "" },
              aSection.m_sharedKeyFile);
  reader.ReportUnknownKeys();
}

/** @return the node at a path, or its closest existing ancestor. */
const Node& FindNearestNode(const Node& aRoot,
                            std::initializer_list<std::string_view> aPath)
{
  const Node* node = &aRoot;
  for (const std::string_view key : aPath) {
    const auto* table = std::get_if<Table>(&node->m_value);
    if (table == nullptr) {
      break;
    }
    const auto found = table->find(std::string(key));
    if (found == table->end()) {
      break;
    }
    node = &found->second;
  }
  return *node;
}

bool AddressesOverlap(const SocketAddress& aLeft, const SocketAddress& aRight)
{
  return aLeft.Port() != 0 && aLeft.Port() == aRight.Port() &&
         (aLeft.Host() == aRight.Host() || aLeft.IsWildcard() ||
          aRight.IsWildcard());
}

void CheckConsistency(const Node& aRoot,
                      const InstanceSettings& aSettings,
                      ValidationErrors& aErrors)
{
  const ListenSection& listen = aSettings.m_listen;
  if (AddressesOverlap(listen.m_http, listen.m_peer)) {
    aErrors.push_back(MakeError(ErrorKind::DuplicateAddress,
                                FindNearestNode(aRoot, { "listen", "peer" }),
                                "listen.peer",
                                RenderString(listen.m_peer.ToString()),
                                "an address other than listen.http " +
                                  listen.m_http.ToString()));
  }
  const std::vector<LedgerMember>& members = aSettings.m_ledger.m_members;
  const auto self =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.m_id == aSettings.m_instance.m_id;
    });
  if (self != members.end()) {
    const Node& membersNode = FindNearestNode(aRoot, { "ledger", "members" });
    if (self->m_dataCentre != aSettings.m_instance.m_dataCentre) {
      aErrors.push_back(
        MakeError(ErrorKind::Inconsistent,
                  membersNode,
                  "ledger.members.data_centre",
                  RenderString(self->m_dataCentre.Get()),
                  "instance.data_centre " +
                    RenderString(aSettings.m_instance.m_dataCentre.Get())));
    }
    if (aSettings.m_ledger.m_dataFolder.empty()) {
      aErrors.push_back(
        MakeError(ErrorKind::Inconsistent,
                  FindNearestNode(aRoot, { "ledger", "data_folder" }),
                  "ledger.data_folder",
                  "\"\" for a ledger member",
                  "a folder"));
    }
  }
  const bool hasPeers =
    !aSettings.m_peers.m_seeds.empty() ||
    std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.m_id != aSettings.m_instance.m_id;
    });
  if (hasPeers && aSettings.m_peers.m_sharedKeyFile.empty()) {
    aErrors.push_back(MakeError(ErrorKind::MissingKey,
                                FindNearestNode(aRoot, { "peers" }),
                                "peers.shared_key_file",
                                "nothing",
                                "a file, since there are other instances"));
  }
}

void AddSelfAsLedgerMember(InstanceSettings& aSettings)
{
  aSettings.m_ledger.m_members.push_back(
    LedgerMember{ aSettings.m_instance.m_id,
                  aSettings.m_listen.m_peer,
                  aSettings.m_instance.m_dataCentre });
}

} // namespace

} // namespace internal

std::string_view ToString(LogLevel aLevel) noexcept
{
  constexpr std::array<std::string_view, 4> kNames{
    "debug", "info", "warning", "error"
  };
  return kNames[static_cast<std::size_t>(aLevel)];
}

bool InstanceSettings::IsLedgerMember() const
{
  return !m_ledger.m_dataFolder.empty() &&
         std::any_of(m_ledger.m_members.begin(),
                     m_ledger.m_members.end(),
                     [this](const LedgerMember& aMember) {
                       return aMember.m_id == m_instance.m_id;
                     });
}

InstanceSettings InstanceSettings::Standalone()
{
  InstanceSettings settings;
  internal::AddSelfAsLedgerMember(settings);
  return settings;
}

tl::expected<InstanceSettings, ValidationErrors> InstanceSettings::FromText(
  std::string_view aText,
  std::string_view aFile)
{
  const auto document = internal::ParseDocument(aText, aFile);
  if (!document) {
    return tl::unexpected(ValidationErrors{ document.error() });
  }
  ValidationErrors errors;
  InstanceSettings settings;
  internal::KeyReader root(
    std::get<internal::Table>(document->m_value), "", errors);
  internal::ReadSection(root, "instance", settings.m_instance, errors);
  internal::ReadSection(root, "listen", settings.m_listen, errors);
  internal::ReadSection(root, "http", settings.m_http, errors);
  internal::ReadLedger(root, settings.m_ledger, errors);
  internal::ReadPeers(root, settings.m_peers, errors);
  internal::ReadSection(root, "log", settings.m_log, errors);
  internal::ReadSection(root, "drain", settings.m_drain, errors);
  root.ReportUnknownKeys();
  internal::CheckConsistency(*document, settings, errors);
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  if (settings.m_ledger.m_members.empty() && settings.m_peers.m_seeds.empty() &&
      !settings.m_ledger.m_dataFolder.empty()) {
    internal::AddSelfAsLedgerMember(settings);
  }
  return settings;
}

tl::expected<InstanceSettings, ValidationErrors> InstanceSettings::FromFile(
  const std::filesystem::path& aPath)
{
  return ReadConfigurationFile(aPath).and_then(
    [](const ConfigurationFile& aFile) {
      return FromText(aFile.m_text, aFile.m_name);
    });
}

} // namespace auburntrestle::settings
