#include "auburntrestle/fleet/route_configuration.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace auburntrestle::fleet {

namespace internal {

std::uint64_t TotalWeight(const Route& aRoute) noexcept
{
  std::uint64_t total = 0;
  for (const auto& target : aRoute.m_targets) {
    total += target.m_weight;
  }
  return total;
}

} // namespace internal

std::string_view ToString(ConfigurationFault aFault) noexcept
{
  switch (aFault) {
    case ConfigurationFault::Unreadable:
      return "unreadable";
    case ConfigurationFault::UnknownService:
      return "unknown_service";
    case ConfigurationFault::DuplicateRoute:
      return "duplicate_route";
    case ConfigurationFault::NoWeight:
      return "no_weight";
    case ConfigurationFault::NoTimeout:
      return "no_timeout";
    case ConfigurationFault::DuplicateKey:
      return "duplicate_key";
  }
  return "unknown";
}

RouteTable::RouteTable(RouteConfiguration aConfiguration)
  : m_configuration(std::move(aConfiguration))
{
}

tl::expected<RouteTable, ConfigurationError> RouteTable::Create(
  RouteConfiguration aConfiguration)
{
  RouteTable table(std::move(aConfiguration));
  const auto& services = table.m_configuration.m_services;
  for (std::size_t index = 0; index < services.size(); ++index) {
    table.m_services.emplace(services[index].m_name, index);
  }
  auto accounts = AccountTable::Create(table.m_configuration.m_accounts);
  if (!accounts) {
    const SharedKey& shared = accounts.error();
    return tl::make_unexpected(ConfigurationError{
      ConfigurationFault::DuplicateKey,
      shared.m_first.Get() + ", " + shared.m_second.Get() });
  }
  table.m_accounts = std::move(*accounts);
  const auto fail = [](ConfigurationFault aFault, const Route& aRoute) {
    return tl::make_unexpected(ConfigurationError{ aFault, aRoute.m_name });
  };
  std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
  const auto& routes = table.m_configuration.m_routes;
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const Route& route = routes[index];
    for (const auto& target : route.m_targets) {
      if (table.FindService(target.m_service) == nullptr) {
        return fail(ConfigurationFault::UnknownService, route);
      }
    }
    if (internal::TotalWeight(route) == 0) {
      return fail(ConfigurationFault::NoWeight, route);
    }
    if (route.m_timeout <= Duration::zero()) {
      return fail(ConfigurationFault::NoTimeout, route);
    }
    if (!hostsAndPrefixes.emplace(route.m_host, route.m_pathPrefix).second) {
      return fail(ConfigurationFault::DuplicateRoute, route);
    }
    table.m_byHost[route.m_host].push_back(index);
  }
  for (auto& [host, indices] : table.m_byHost) {
    std::sort(indices.begin(),
              indices.end(),
              [&](std::size_t aLeft, std::size_t aRight) {
                return routes[aLeft].m_pathPrefix.size() >
                       routes[aRight].m_pathPrefix.size();
              });
  }
  return table;
}

const Route* RouteTable::Match(std::string_view aHost,
                               std::string_view aPath) const
{
  const auto found = m_byHost.find(std::string(aHost));
  if (found == m_byHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Route& route = m_configuration.m_routes[index];
    if (aPath.starts_with(route.m_pathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

bool RouteTable::HasPublicJobs(std::string_view aHost) const
{
  const auto found = m_byHost.find(std::string(aHost));
  return found != m_byHost.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [this](std::size_t aIndex) {
                       const Route& route = m_configuration.m_routes[aIndex];
                       return route.m_public &&
                              route.m_kind == RouteKind::BatchJob;
                     });
}

std::uint32_t RouteTable::EffectivePriority(const Route& aRoute,
                                            const AccountName& aAccount) const
{
  return m_accounts.PriorityOf(aAccount).value_or(aRoute.m_priority);
}

bool RouteTable::RequiresSingleVersion(const ServiceName& aService) const
{
  const auto& routes = m_configuration.m_routes;
  return std::any_of(routes.begin(), routes.end(), [&](const Route& aRoute) {
    return aRoute.m_singleVersion &&
           std::any_of(aRoute.m_targets.begin(),
                       aRoute.m_targets.end(),
                       [&](const RouteTarget& aTarget) {
                         return aTarget.m_service == aService;
                       });
  });
}

const Service* RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = m_services.find(aName);
  return found == m_services.end() ? nullptr
                                   : &m_configuration.m_services[found->second];
}

const ServiceName* ChooseTarget(const Route& aRoute, double aDraw) noexcept
{
  auto left = aDraw * static_cast<double>(internal::TotalWeight(aRoute));
  for (const auto& target : aRoute.m_targets) {
    left -= static_cast<double>(target.m_weight);
    if (left < 0) {
      return &target.m_service;
    }
  }
  return nullptr;
}

} // namespace auburntrestle::fleet
