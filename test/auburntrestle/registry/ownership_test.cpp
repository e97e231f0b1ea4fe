#include "auburntrestle/registry/ownership.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace auburntrestle::registry {
namespace {

template<typename Id>
std::vector<Id> Ids(const char* aPrefix, int aCount)
{
  std::vector<Id> ids;
  for (int i = 0; i < aCount; ++i) {
    std::string id(aPrefix);
    id += std::to_string(i);
    ids.emplace_back(std::move(id));
  }
  return ids;
}

// Guards against two instances that both own a server because they list the
// instances in different orders.
TEST(OwnershipTest, DoesNotDependOnTheOrderOfInstances)
{
  auto instances = Ids<InstanceId>("i", 7);
  for (const auto& backend : Ids<BackendId>("b", 50)) {
    const auto owner = OwnerOf(instances, backend);
    std::reverse(instances.begin(), instances.end());
    EXPECT_EQ(OwnerOf(instances, backend), owner);
  }
  EXPECT_EQ(OwnerOf({}, BackendId("b")), std::nullopt);
}

// Guards against a reassignment of most servers when one instance joins or
// leaves.
TEST(OwnershipTest, OnlyServersOfALostInstanceMove)
{
  const auto instances = Ids<InstanceId>("i", 8);
  const std::vector<InstanceId> rest(instances.begin(), instances.end() - 1);
  const auto backends = Ids<BackendId>("b", 400);
  for (const auto& backend : backends) {
    const auto before = OwnerOf(instances, backend);
    if (before != instances.back()) {
      EXPECT_EQ(OwnerOf(rest, backend), before);
    }
  }
  std::size_t total = 0;
  for (const auto& instance : instances) {
    const auto owned = OwnedBy(instances, backends, instance).size();
    EXPECT_GT(owned, 20U);
    EXPECT_LT(owned, 100U);
    total += owned;
  }
  EXPECT_EQ(total, backends.size());
}

} // namespace
} // namespace auburntrestle::registry
