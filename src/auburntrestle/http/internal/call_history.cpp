#include "auburntrestle/http/internal/call_history.hpp"

#include <algorithm>
#include <functional>

namespace auburntrestle::http::internal {

namespace {

bool HasId(const std::optional<Correlation>& aCorrelation)
{
  return aCorrelation && !aCorrelation->m_value.empty();
}

std::size_t HashOf(const Correlation& aCorrelation)
{
  return std::hash<std::string>{}(aCorrelation.m_value);
}

} // namespace

bool CallHistory::IsAmbiguous(
  const std::optional<Correlation>& aCorrelation) const
{
  if (!HasId(aCorrelation)) {
    return !m_ids.empty();
  }
  if (m_hasCallsWithoutId) {
    return true;
  }
  const std::size_t id = HashOf(*aCorrelation);
  return std::find(m_ids.begin(), m_ids.end(), id) != m_ids.end();
}

void CallHistory::Record(const std::optional<Correlation>& aCorrelation)
{
  if (HasId(aCorrelation)) {
    m_ids.push_back(HashOf(*aCorrelation));
  } else {
    m_hasCallsWithoutId = true;
  }
}

} // namespace auburntrestle::http::internal
