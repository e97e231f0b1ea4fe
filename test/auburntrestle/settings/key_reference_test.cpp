#include "auburntrestle/settings/key_reference.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace auburntrestle::settings {
namespace {

// Guards against a reference page that is out of date: a missing key, or an old
// range or default.
TEST(KeyReference, PageListsEveryKey)
{
  // The test program is in build/PRESET/.
  const std::filesystem::path page =
    std::filesystem::read_symlink("/proc/self/exe").parent_path() /
    "../../docs/configuration.md";
  std::ifstream stream(page);
  ASSERT_TRUE(stream) << page;
  const std::string text{ std::istreambuf_iterator<char>(stream), {} };
  for (const auto& keys :
       { DescribeInstanceKeys(), DescribeConfigurationKeys() }) {
    for (const KeyDescription& key : keys) {
      const std::size_t section = text.find("### [" + key.m_section + "]\n");
      ASSERT_NE(section, std::string::npos) << key.m_section;
      const std::size_t end = text.find("\n#", section + 1);
      const std::string part = text.substr(section, end - section);
      EXPECT_NE(part.find(RenderReferenceRow(key) + "\n"), std::string::npos)
        << "missing in " << key.m_section << ":\n"
        << RenderReferenceRow(key);
    }
  }
}

} // namespace
} // namespace auburntrestle::settings
