#include "auburntrestle/backend/event_stream.hpp"

namespace auburntrestle::backend {

namespace internal {
constexpr std::string_view kDataField = "data:";
} // namespace internal

std::vector<std::string> EventStreamParser::Feed(std::string_view aBytes)
{
  std::vector<std::string> events;
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    if (end == std::string_view::npos) {
      m_line.append(aBytes);
      break;
    }
    m_line.append(aBytes.substr(0, end));
    if (!m_line.empty() && m_line.back() == '\r') {
      m_line.pop_back();
    }
    HandleLine(m_line, events);
    m_line.clear();
    aBytes.remove_prefix(end + 1);
  }
  return events;
}

void EventStreamParser::HandleLine(std::string_view aLine,
                                   std::vector<std::string>& aEvents)
{
  if (aLine.empty()) {
    if (m_hasData) {
      aEvents.push_back(std::move(m_data));
      m_data.clear();
      m_hasData = false;
    }
    return;
  }
  if (aLine.substr(0, internal::kDataField.size()) != internal::kDataField) {
    return;
  }
  aLine.remove_prefix(internal::kDataField.size());
  if (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  if (m_hasData) {
    m_data += '\n';
  }
  m_data.append(aLine);
  m_hasData = true;
}

} // namespace auburntrestle::backend
