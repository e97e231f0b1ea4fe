#include "auburntrestle/fleet/item_transcript.hpp"

#include <charconv>
#include <utility>

namespace auburntrestle::fleet {

namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  return result.ec == std::errc() && result.ptr == end && !aText.empty()
           ? std::optional(value)
           : std::nullopt;
}

} // namespace

std::string_view ToString(TranscriptFault aFault) noexcept
{
  switch (aFault) {
    case TranscriptFault::OutOfOrder:
      return "events_out_of_order";
    case TranscriptFault::TooLarge:
      return "output_too_large";
  }
  return "unknown";
}

ItemTranscript::ItemTranscript(std::string aVersionField,
                               TranscriptLimits aLimits)
  : m_versionField(std::move(aVersionField))
  , m_limits(aLimits)
{
}

void ItemTranscript::BeginRun(std::optional<WeightVersion> aVersion,
                              SoftwareVersion aSoftware)
{
  m_version = aVersion;
  m_software = std::move(aSoftware);
  DiscardEvent();
}

std::optional<SoftwareVersion> ItemTranscript::Software() const
{
  return m_lastEvent ? std::optional(m_software) : std::nullopt;
}

void ItemTranscript::DiscardEvent()
{
  m_line.clear();
  m_eventId.reset();
  m_data.clear();
  m_hasData = false;
}

bool ItemTranscript::IsWithinLimits() const noexcept
{
  return m_line.size() + m_data.size() <= m_limits.m_eventBytes &&
         m_output.size() <= m_limits.m_outputBytes;
}

tl::expected<std::size_t, TranscriptFault> ItemTranscript::Feed(
  std::string_view aBytes)
{
  const std::size_t before = m_events;
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    if (end == std::string_view::npos) {
      m_line.append(aBytes);
      aBytes = {};
    }
    if (!IsWithinLimits()) {
      return tl::make_unexpected(TranscriptFault::TooLarge);
    }
    if (aBytes.empty()) {
      break;
    }
    m_line.append(aBytes.substr(0, end));
    aBytes.remove_prefix(end + 1);
    if (!m_line.empty() && m_line.back() == '\r') {
      m_line.pop_back();
    }
    const std::string line = std::exchange(m_line, {});
    if (!ParseLine(line)) {
      return tl::make_unexpected(TranscriptFault::OutOfOrder);
    }
  }
  return m_events - before;
}

bool ItemTranscript::ParseLine(std::string_view aLine)
{
  if (aLine.empty()) {
    return FinishEvent();
  }
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto name = aLine.substr(0, colon);
  auto value = aLine.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (name == "id") {
    m_eventId = ParseNumber(value);
    return m_eventId.has_value();
  }
  if (name == "data") {
    if (m_hasData) {
      m_data += '\n';
    }
    m_data.append(value);
    m_hasData = true;
    return true;
  }
  if (name == m_versionField) {
    const auto version = ParseNumber(value);
    if (version) {
      m_version = WeightVersion(*version);
    }
    return version.has_value();
  }
  // Comments and these fields do not contribute to the output.
  return name.empty() || name == "event" || name == "retry";
}

bool ItemTranscript::FinishEvent()
{
  if (!m_hasData && !m_eventId) {
    return true;
  }
  constexpr std::uint64_t kHighestFirstEvent = 1;
  const bool inOrder =
    m_eventId && (m_lastEvent ? *m_eventId == *m_lastEvent + 1
                              : *m_eventId <= kHighestFirstEvent);
  if (!inOrder || !m_hasData) {
    return false;
  }
  if (m_events > 0) {
    m_output += '\n';
  }
  m_output += m_data;
  ++m_events;
  m_lastEvent = m_eventId;
  if (m_version) {
    m_versions.insert(*m_version);
  }
  m_eventId.reset();
  m_data.clear();
  m_hasData = false;
  return true;
}

bool ItemTranscript::IsInsideEvent() const noexcept
{
  return !m_line.empty() || m_hasData || m_eventId.has_value();
}

void ItemTranscript::Clear()
{
  m_lastEvent.reset();
  m_output.clear();
  m_events = 0;
  m_versions.clear();
  m_version.reset();
  m_software = SoftwareVersion();
  DiscardEvent();
}

void ItemTranscript::Restore(const PartialOutput& aOutput)
{
  Clear();
  m_lastEvent = aOutput.m_lastEvent;
  m_output = aOutput.m_output;
  m_events = 1;
  m_versions.insert(aOutput.m_versions.begin(), aOutput.m_versions.end());
  m_software = aOutput.m_software;
}

std::optional<PartialOutput> ItemTranscript::ToPartialOutput() const
{
  if (!m_lastEvent) {
    return std::nullopt;
  }
  return PartialOutput{ *m_lastEvent, m_output, Versions(), false, m_software };
}

std::vector<WeightVersion> ItemTranscript::Versions() const
{
  return { m_versions.begin(), m_versions.end() };
}

} // namespace auburntrestle::fleet
