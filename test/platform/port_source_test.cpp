#include "support/port_source.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace auburntrestle::test {
namespace {

// Guards against two tests that use one address at different moments: while an
// instance of the first is down, its callers reach an instance of the second. A
// run of the soak that read the configuration of another deployment is
// suspected to be such a case.
TEST(PortSourceTest, KeepsAddressesThatNobodyListensOn)
{
  constexpr std::size_t kSources = 3;
  constexpr std::size_t kAddresses = 100;
  std::set<std::string> addresses;
  std::vector<PortSource> sources(kSources);
  for (auto& source : sources) {
    for (std::size_t address = 0; address < kAddresses; ++address) {
      addresses.insert(source.Address());
    }
  }
  EXPECT_EQ(addresses.size(), kSources * kAddresses);
}

} // namespace
} // namespace auburntrestle::test
