#include "auburntrestle/daemon/capacity.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <map>

namespace auburntrestle::daemon {

namespace internal {

// Services and models share one list. No model name begins with this prefix,
// since the announcement of such a model is invalid.
constexpr std::string_view kServicePrefix = "service:";

const membership::ModelCapacity* FindCapacity(
  const std::vector<membership::ModelCapacity>& aCapacity,
  const ModelName& aName)
{
  for (const auto& entry : aCapacity) {
    if (entry.m_model == aName) {
      return &entry;
    }
  }
  return nullptr;
}

} // namespace internal

ModelName CapacityName(const routing::Target& aTarget)
{
  return std::visit(Overloaded{ [](const ModelName& aModel) { return aModel; },
                                [](const ServiceName& aService) {
                                  return ModelName(
                                    std::string(internal::kServicePrefix) +
                                    aService.Get());
                                } },
                    aTarget);
}

std::vector<membership::ModelCapacity> OwnCapacity(
  const routing::Dispatcher& aDispatcher,
  TimePoint aNow)
{
  std::map<ModelName, std::uint32_t> free;
  for (const auto& view : aDispatcher.BackendViews(aNow)) {
    if (!view.m_owned ||
        view.m_announcement.m_state == registry::BackendState::Leaving) {
      continue;
    }
    const std::uint32_t slots =
      view.m_limit > view.m_inFlight ? view.m_limit - view.m_inFlight : 0;
    for (const auto& model : view.m_announcement.m_models) {
      free[model.m_name] += slots;
    }
    for (const auto& service : view.m_announcement.m_services) {
      free[CapacityName(service)] += slots;
    }
  }
  std::vector<membership::ModelCapacity> capacity;
  capacity.reserve(free.size());
  for (const auto& [name, slots] : free) {
    capacity.push_back(membership::ModelCapacity{ name, slots });
  }
  return capacity;
}

std::vector<InstanceOffer> OffersFor(const routing::Target& aTarget,
                                     const membership::Membership& aMembers,
                                     const InstanceId& aSelf,
                                     const DataCentreId& aDataCentre)
{
  const auto name = CapacityName(aTarget);
  std::vector<InstanceOffer> offers;
  for (const auto& member : aMembers.LiveMembers()) {
    const auto* entry =
      internal::FindCapacity(member.m_advertisement.m_capacity, name);
    if (member.m_id != aSelf && entry != nullptr &&
        !member.m_advertisement.m_draining) {
      offers.push_back(InstanceOffer{ member.m_id,
                                      member.m_advertisement.m_httpAddress,
                                      entry->m_freeSlots,
                                      true });
    }
  }
  for (const auto& [dataCentre, known] : aMembers.Summaries().All()) {
    const auto* entry =
      internal::FindCapacity(known.m_summary.m_capacity, name);
    if (dataCentre == aDataCentre || entry == nullptr) {
      continue;
    }
    // A representative forwards the request within its data centre.
    for (const auto& representative : known.m_summary.m_representatives) {
      offers.push_back(InstanceOffer{ representative.m_id,
                                      representative.m_httpAddress,
                                      entry->m_freeSlots,
                                      false });
    }
  }
  return offers;
}

void AddTargets(const std::vector<membership::ModelCapacity>& aCapacity,
                OfferedTargets& aTargets)
{
  for (const auto& entry : aCapacity) {
    const std::string& name = entry.m_model.Get();
    if (name.starts_with(internal::kServicePrefix)) {
      aTargets.m_services.insert(
        ServiceName(name.substr(internal::kServicePrefix.size())));
    } else {
      aTargets.m_models.insert(entry.m_model);
    }
  }
}

void AddOfferedTargets(const membership::Membership& aMembers,
                       const InstanceId& aSelf,
                       OfferedTargets& aTargets)
{
  for (const auto& member : aMembers.LiveMembers()) {
    if (member.m_id != aSelf) {
      AddTargets(member.m_advertisement.m_capacity, aTargets);
    }
  }
  for (const auto& [dataCentre, known] : aMembers.Summaries().All()) {
    AddTargets(known.m_summary.m_capacity, aTargets);
  }
}

} // namespace auburntrestle::daemon
