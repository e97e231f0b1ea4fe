#include "auburntrestle/daemon/internal/configuration_query.hpp"

#include "auburntrestle/protocol/pack.hpp"

namespace auburntrestle::daemon::internal {

std::string EncodeQuery(const ConfigurationQuery& aQuery)
{
  protocol::Writer writer;
  writer(aQuery.m_site, aQuery.m_held);
  return writer.ExtractBytes();
}

std::optional<ConfigurationQuery> DecodeQuery(std::string_view aBytes)
{
  protocol::Reader reader(aBytes);
  ConfigurationQuery query;
  reader(query.m_site, query.m_held);
  return reader.Result() ? std::optional(query) : std::nullopt;
}

} // namespace auburntrestle::daemon::internal
