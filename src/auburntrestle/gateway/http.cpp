#include "auburntrestle/gateway/http.hpp"

namespace auburntrestle::gateway {

std::string_view HttpRequest::Header(const std::string& aName) const
{
  const auto found = m_headers.find(aName);
  return found == m_headers.end() ? std::string_view() : found->second;
}

std::vector<std::string> HttpRequest::PathSegments() const
{
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start < m_path.size()) {
    const std::size_t end = std::min(m_path.find('/', start), m_path.size());
    if (end > start) {
      segments.push_back(m_path.substr(start, end - start));
    }
    start = end + 1;
  }
  return segments;
}

} // namespace auburntrestle::gateway
