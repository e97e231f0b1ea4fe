#include "auburntrestle/http/client.hpp"
#include "platform/instance_files.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace auburntrestle::platform::test {
namespace {

using auburntrestle::test::Process;

/** Three founders, which are voters, and further stores, of which some are not
 * members of the log. */
class ManyStoresTest : public testing::Test
{
protected:
  ManyStoresTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("trestle-stores-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_folder);
  }

  ~ManyStoresTest() override
  {
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
  }

  static constexpr std::size_t kFounders = 3;

  void StartAll(std::size_t aStores, int aToleratedLosses)
  {
    for (std::size_t store = 0; store < aStores; ++store) {
      InstanceFile file;
      file.m_name = "store" + std::to_string(store);
      file.m_peers = m_ports.Address();
      file.m_control = m_ports.Address();
      file.m_dataFolder = m_folder / (file.m_name + "-data");
      file.m_toleratedLosses = aToleratedLosses;
      m_stores.push_back(file);
    }
    for (std::size_t store = 0; store < kFounders; ++store) {
      m_founders.push_back(m_stores[store].m_peers);
    }
    for (std::size_t store = 0; store < aStores; ++store) {
      m_stores[store].m_bootstrap = true;
      Start(m_stores[store], m_founders);
    }
  }

  void Start(const InstanceFile& aFile, const std::vector<std::string>& aSeeds)
  {
    m_processes.insert_or_assign(aFile.m_name, aFile.Start(m_folder, aSeeds));
  }

  /** Waits until aText occurs aTimes times in the log of a store. */
  void AwaitLines(const std::string& aStore,
                  const std::string& aText,
                  std::size_t aTimes)
  {
    std::size_t found = 0;
    while (found < aTimes) {
      found = 0;
      const auto log = m_processes.at(aStore).Output();
      for (auto at = log.find(aText); at != std::string::npos;
           at = log.find(aText, at + 1)) {
        ++found;
      }
    }
  }

  PortSource m_ports;
  std::filesystem::path m_folder;
  std::vector<InstanceFile> m_stores;
  std::vector<std::string> m_founders;
  std::map<std::string, Process> m_processes;
};

// Guards against entry instances that never find the leader, because all their
// seeds are stores outside the log.
TEST_F(ManyStoresTest, EntryFindsTheLeaderThroughAnyStore)
{
  constexpr std::size_t kStores = 6;
  StartAll(kStores, 0);
  for (std::size_t store = kFounders; store < kStores; ++store) {
    InstanceFile entry;
    entry.m_name = "entry" + std::to_string(store);
    entry.m_peers = m_ports.Address();
    entry.m_callers = m_ports.Address();
    entry.m_readiness = m_ports.Address();
    Start(entry, { m_stores[store].m_peers });
    m_processes.at(entry.m_name).WaitFor("event=leader_found");
  }
}

// Guards against a new store that is never added, because none of its seeds is
// the leader.
TEST_F(ManyStoresTest, ANewStoreJoinsThroughAnyStore)
{
  StartAll(kFounders + 1, 1);
  AwaitLines("store3", "members=4 voters=3", 1);
  InstanceFile late = m_stores.back();
  late.m_name = "late";
  late.m_peers = m_ports.Address();
  late.m_control = m_ports.Address();
  late.m_dataFolder = m_folder / "late-data";
  late.m_bootstrap = false;
  Start(late, { m_stores.back().m_peers });
  AwaitLines("late", "members=5 voters=3", 1);
}

// Guards against a store that was replaced while it was down and never joins
// again, because its own log still lists it as a voter.
TEST_F(ManyStoresTest, ARemovedStoreJoinsAgain)
{
  StartAll(kFounders + 1, 1);
  AwaitLines("store1", "members=4 voters=3", 1);
  m_processes.at("store0").Kill();
  AwaitLines("store1", "members=3 voters=3", 2);
  m_stores.front().m_bootstrap = false;
  Start(m_stores.front(), m_founders);
  AwaitLines("store1", "members=4 voters=3", 2);
}

} // namespace
} // namespace auburntrestle::platform::test
