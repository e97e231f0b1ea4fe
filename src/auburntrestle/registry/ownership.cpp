#include "auburntrestle/registry/ownership.hpp"

#include <xxhash.h>

#include <cstdint>

namespace auburntrestle::registry {

namespace internal {

std::uint64_t RendezvousWeight(const InstanceId& aInstance,
                               const BackendId& aBackend)
{
  const auto seed = XXH3_64bits(aInstance.Get().data(), aInstance.Get().size());
  return XXH3_64bits_withSeed(
    aBackend.Get().data(), aBackend.Get().size(), seed);
}

} // namespace internal

std::optional<InstanceId> OwnerOf(std::span<const InstanceId> aInstances,
                                  const BackendId& aBackend)
{
  const InstanceId* owner = nullptr;
  std::uint64_t maxWeight = 0;
  for (const auto& instance : aInstances) {
    const auto weight = internal::RendezvousWeight(instance, aBackend);
    // Equal weights are resolved by the id, so that the order of the list does
    // not affect the result.
    if (owner == nullptr || weight > maxWeight ||
        (weight == maxWeight && instance < *owner)) {
      owner = &instance;
      maxWeight = weight;
    }
  }
  if (owner == nullptr) {
    return std::nullopt;
  }
  return *owner;
}

std::set<BackendId> OwnedBy(std::span<const InstanceId> aInstances,
                            std::span<const BackendId> aBackends,
                            const InstanceId& aSelf)
{
  std::set<BackendId> owned;
  for (const auto& backend : aBackends) {
    if (OwnerOf(aInstances, backend) == aSelf) {
      owned.insert(backend);
    }
  }
  return owned;
}

} // namespace auburntrestle::registry
