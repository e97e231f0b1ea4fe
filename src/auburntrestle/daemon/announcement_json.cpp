#include "auburntrestle/daemon/announcement_json.hpp"

#include <limits>

namespace auburntrestle::daemon {

namespace internal {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kLargestCount =
  std::numeric_limits<std::uint32_t>::max();

registry::BackendKind ReadKind(JsonReader& aReader)
{
  const auto kind = aReader.RequiredText("kind");
  if (kind == "service") {
    return registry::BackendKind::Service;
  }
  if (!kind.empty() && kind != "engine") {
    aReader.RecordFault("kind", "\"engine\" or \"service\"");
  }
  return registry::BackendKind::Engine;
}

registry::BackendState ReadState(JsonReader& aReader)
{
  const auto state = aReader.Text("state", "serving");
  if (state == "leaving") {
    return registry::BackendState::Leaving;
  }
  if (state != "serving") {
    aReader.RecordFault("state", "\"serving\" or \"leaving\"");
  }
  return registry::BackendState::Serving;
}

std::vector<registry::ServedModel> ReadModels(JsonReader& aReader,
                                              FieldErrors& aErrors)
{
  std::vector<registry::ServedModel> models;
  for (const auto& entry : aReader.Array("models", false)) {
    JsonReader reader(entry, aErrors, "models");
    models.push_back(registry::ServedModel{
      ModelName(reader.RequiredText("name")),
      WeightVersion(reader.Number("version", 0, kMaxNumber, 0)) });
  }
  return models;
}

std::vector<ServiceName> ReadServices(JsonReader& aReader)
{
  std::vector<ServiceName> services;
  for (const auto& entry : aReader.Array("services", false)) {
    if (entry.is_string()) {
      services.emplace_back(entry.get<std::string>());
    } else {
      aReader.RecordFault("services", "an array of texts");
    }
  }
  return services;
}

std::optional<registry::LoadReport> ReadLoad(JsonReader& aReader,
                                             FieldErrors& aErrors)
{
  const auto* object = aReader.Object("load");
  if (object == nullptr) {
    return std::nullopt;
  }
  JsonReader reader(*object, aErrors, "load");
  registry::LoadReport load;
  load.m_running =
    static_cast<std::uint32_t>(reader.Number("running", 0, kLargestCount, 0));
  load.m_waiting =
    static_cast<std::uint32_t>(reader.Number("waiting", 0, kLargestCount, 0));
  load.m_tokensPerSecond = reader.Real("tokens_per_second", 0.0);
  load.m_kvUsed = reader.Real("kv_used", 0.0);
  load.m_age =
    std::chrono::milliseconds(reader.Number("age_ms", 0, kLargestCount, 0));
  return load;
}

} // namespace internal

tl::expected<registry::Announcement, FieldErrors> ParseAnnouncement(
  std::string_view aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  FieldErrors errors;
  JsonReader reader(*body, errors);
  registry::Announcement announcement;
  announcement.m_backend = BackendId(reader.RequiredText("backend"));
  announcement.m_incarnation =
    Incarnation(reader.RequiredNumber("incarnation", 0, internal::kMaxNumber));
  announcement.m_dataCentre = DataCentreId(reader.Text("data_centre"));
  announcement.m_address = reader.RequiredText("address");
  announcement.m_kind = internal::ReadKind(reader);
  announcement.m_models = internal::ReadModels(reader, errors);
  announcement.m_services = internal::ReadServices(reader);
  announcement.m_role = reader.Text("role");
  announcement.m_capacity = static_cast<std::uint32_t>(
    reader.Number("capacity", 0, internal::kLargestCount, 0));
  announcement.m_checksFencing = reader.Flag("checks_fencing", false);
  announcement.m_state = internal::ReadState(reader);
  announcement.m_load = internal::ReadLoad(reader, errors);
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return announcement;
}

} // namespace auburntrestle::daemon
