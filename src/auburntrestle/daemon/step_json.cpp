#include "auburntrestle/daemon/step_json.hpp"

#include "auburntrestle/daemon/completion_request.hpp"

#include <limits>

namespace auburntrestle::daemon {

namespace internal {

constexpr std::uint64_t kLargestNumber =
  std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kLargestGroup = 4096;

std::vector<rollout::GroupSpec> ReadGroups(JsonReader& aReader,
                                           FieldErrors& aErrors)
{
  std::vector<rollout::GroupSpec> groups;
  const auto& array = aReader.Array("groups", true);
  for (std::size_t index = 0; index < array.size(); ++index) {
    JsonReader reader(
      array[index], aErrors, "groups[" + std::to_string(index) + "]");
    rollout::GroupSpec group;
    group.m_prompt = reader.RequiredText("prompt");
    group.m_samples =
      static_cast<std::uint32_t>(reader.Number("samples", 1, kLargestGroup, 1));
    groups.push_back(std::move(group));
  }
  return groups;
}

} // namespace internal

tl::expected<rollout::StepSpec, FieldErrors> ParseStep(std::string_view aBody,
                                                       TrainerId aTrainer)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  FieldErrors errors;
  JsonReader reader(*body, errors);
  rollout::StepSpec spec;
  spec.m_trainer = std::move(aTrainer);
  spec.m_step =
    StepNumber(reader.RequiredNumber("step", 1, internal::kLargestNumber));
  spec.m_model = ModelName(reader.RequiredText("model"));
  spec.m_maxTokens = TokenCount(reader.Number(
    "max_tokens", 1, kMaxOutputTokens.Get(), kDefaultOutputTokens.Get()));
  spec.m_groups = internal::ReadGroups(reader, errors);
  const auto judge = reader.Text("judge");
  if (!judge.empty()) {
    spec.m_judge = ServiceName(judge);
  }
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return spec;
}

tl::expected<VersionNotice, FieldErrors> ParseVersion(std::string_view aBody)
{
  const auto body = ParseObject(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  FieldErrors errors;
  JsonReader reader(*body, errors);
  VersionNotice notice;
  notice.m_model = ModelName(reader.RequiredText("model"));
  notice.m_version = WeightVersion(
    reader.RequiredNumber("version", 1, internal::kLargestNumber));
  if (!errors.empty()) {
    return tl::make_unexpected(errors);
  }
  return notice;
}

} // namespace auburntrestle::daemon
