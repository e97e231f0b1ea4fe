#include "auburntrestle/core/release_memory.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle {
namespace {

constexpr std::size_t kBytes = 1'000'000;

// Guards against buffers that stay in memory after they were given up.
TEST(ReleaseMemoryTest, FreesTheMemoryOfAString)
{
  std::string text(kBytes, 'x');
  ReleaseMemory(text);
  EXPECT_TRUE(text.empty());
  EXPECT_LT(text.capacity(), sizeof(std::string));
}

TEST(ReleaseMemoryTest, FreesTheMemoryOfAVector)
{
  std::vector<char> bytes(kBytes);
  ReleaseMemory(bytes);
  EXPECT_EQ(bytes.capacity(), 0U);
}

} // namespace
} // namespace auburntrestle
