#include "auburntrestle/rollout/sample_id.hpp"

#include <charconv>

namespace auburntrestle::rollout {
namespace {

/** Removes the part after the last slash from a text and parses it. */
template<typename Id>
tl::expected<Id, SampleIdError> ExtractLastNumber(std::string_view& aText)
{
  const std::size_t slash = aText.rfind('/');
  if (slash == std::string_view::npos) {
    return tl::unexpected(SampleIdError::MissingPart);
  }
  const std::string_view part = aText.substr(slash + 1);
  typename Id::value_type value{};
  const char* const end = part.data() + part.size();
  const auto [stop, error] = std::from_chars(part.data(), end, value);
  const bool hasLeadingZero = part.size() > 1 && part.front() == '0';
  if (error != std::errc{} || stop != end || hasLeadingZero) {
    return tl::unexpected(SampleIdError::BadNumber);
  }
  aText = aText.substr(0, slash);
  return Id(value);
}

} // namespace

std::string ToText(const SampleId& aSample)
{
  return aSample.m_trainer.Get() + '/' + std::to_string(aSample.m_step.Get()) +
         '/' + std::to_string(aSample.m_group.Get()) + '/' +
         std::to_string(aSample.m_index.Get());
}

tl::expected<SampleId, SampleIdError> ParseSampleId(std::string_view aText)
{
  const auto index = ExtractLastNumber<SampleIndex>(aText);
  if (!index) {
    return tl::unexpected(index.error());
  }
  const auto group = ExtractLastNumber<GroupIndex>(aText);
  if (!group) {
    return tl::unexpected(group.error());
  }
  const auto step = ExtractLastNumber<StepNumber>(aText);
  if (!step) {
    return tl::unexpected(step.error());
  }
  if (aText.empty()) {
    return tl::unexpected(SampleIdError::EmptyTrainer);
  }
  return SampleId{ TrainerId(std::string(aText)), *step, *group, *index };
}

} // namespace auburntrestle::rollout
