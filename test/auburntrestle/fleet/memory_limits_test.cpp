#include "auburntrestle/fleet/memory_limits.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::fleet {
namespace {

constexpr std::uint64_t kMebibyte = std::uint64_t{ 1024 } * 1024;

struct MemoryCase
{
  std::uint64_t m_memory;
  ResponseLimits m_expected;
};

class ResponseLimitsTest : public testing::TestWithParam<MemoryCase>
{};

// Guards against limits that fill a small machine, and against ones that refuse
// large responses on a large machine.
TEST_P(ResponseLimitsTest, FollowTheMemory)
{
  EXPECT_EQ(ResponseLimitsFor(GetParam().m_memory), GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Machines,
  ResponseLimitsTest,
  testing::Values(
    MemoryCase{ 0, { 4 * kMebibyte, 16 * kMebibyte } },
    MemoryCase{ 160 * kMebibyte, { 10 * kMebibyte, 32 * kMebibyte } },
    MemoryCase{ 65536 * kMebibyte, { 32 * kMebibyte, 256 * kMebibyte } }));

TEST(MachineMemoryTest, IsKnown)
{
  EXPECT_GT(MachineMemory(), kMebibyte);
}

} // namespace
} // namespace auburntrestle::fleet
