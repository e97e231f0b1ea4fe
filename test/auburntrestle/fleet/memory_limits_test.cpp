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

// Guards against jobs that are held several times on a small machine, and
// against a small machine that refuses all of them.
TEST(RequestLimitsTest, FollowTheMemory)
{
  EXPECT_EQ(RequestLimitsFor(0),
            (RequestLimits{
              8 * kMebibyte, 8 * kMebibyte, 8 * kMebibyte, 4 * kMebibyte }));
  EXPECT_EQ(RequestLimitsFor(100 * kMebibyte).m_bodyBytes, 30 * kMebibyte);
  EXPECT_EQ(RequestLimitsFor(200 * kMebibyte).m_replicatedJobBytes,
            33 * kMebibyte);
  EXPECT_EQ(
    RequestLimitsFor(65536 * kMebibyte),
    (RequestLimits{
      64 * kMebibyte, 64 * kMebibyte, 256 * kMebibyte, 32 * kMebibyte }));
}

TEST(MachineMemoryTest, IsKnown)
{
  EXPECT_GT(MachineMemory(), kMebibyte);
}

} // namespace
} // namespace auburntrestle::fleet
