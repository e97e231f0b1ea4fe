#include "platform/instance_files.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <string>

namespace auburntrestle::platform::test {
namespace {

struct EarlySignalCase
{
  std::string m_name;
  bool m_isStore = false;
};

class EarlySignalTest : public testing::TestWithParam<EarlySignalCase>
{
protected:
  EarlySignalTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("trestle-signals-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_folder);
  }

  ~EarlySignalTest() override { std::filesystem::remove_all(m_folder); }

  [[nodiscard]] InstanceFile MakeFile()
  {
    InstanceFile file;
    file.m_name = GetParam().m_name;
    file.m_peers = m_ports.Address();
    if (GetParam().m_isStore) {
      file.m_control = m_ports.Address();
      file.m_dataFolder = m_folder / "data";
      file.m_bootstrap = true;
      file.m_toleratedLosses = 0;
    } else {
      file.m_callers = m_ports.Address();
      file.m_readiness = m_ports.Address();
    }
    return file;
  }

  PortSource m_ports;
  std::filesystem::path m_folder;
};

// Guards against an instance that ends because it is told to reload its
// settings while it starts.
TEST_P(EarlySignalTest, ReloadsOnceItHasStarted)
{
  constexpr int kStarts = 20;
  const InstanceFile file = MakeFile();
  for (int start = 0; start < kStarts; ++start) {
    std::filesystem::remove_all(m_folder / "data");
    std::filesystem::remove(m_folder / (file.m_name + ".log"));
    auto process = file.Start(m_folder, { file.m_peers });
    process.WaitFor("event=started");
    process.Reload();
    while (process.IsRunning() &&
           process.Output().find("event=settings_reloaded") ==
             std::string::npos) {
      std::this_thread::yield();
    }
    ASSERT_TRUE(process.IsRunning()) << "start " << start;
  }
}

INSTANTIATE_TEST_SUITE_P(Instances,
                         EarlySignalTest,
                         testing::Values(EarlySignalCase{ "store", true },
                                         EarlySignalCase{ "entry", false }),
                         [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
