#ifndef AUBURNTRESTLE_TEST_END_TO_END_DEPLOYMENT_HPP
#define AUBURNTRESTLE_TEST_END_TO_END_DEPLOYMENT_HPP

#include "support/http_call.hpp"
#include "support/process.hpp"
#include "support/running_daemon.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace auburntrestle::test {

/** Three instances in three data centres, as real processes on loopback. */
class Deployment
{
public:
  static constexpr int kInstances = 3;

  Deployment()
  {
    std::ofstream(m_folder.Path() / "key") << "a shared key of the tests 0123";
    for (int number = 1; number <= kInstances; ++number) {
      WriteSettings(number);
      Start(number, true);
    }
    for (int number = 1; number <= kInstances; ++number) {
      AwaitReady(number);
    }
  }

  void Start(int aNumber, bool aBootstrap)
  {
    std::vector<std::string> arguments{
      "--settings", (m_folder.Path() / (Name(aNumber) + ".toml")).string()
    };
    if (aBootstrap) {
      arguments.emplace_back("--bootstrap_ledger");
    }
    m_instances.insert_or_assign(
      aNumber, Process("trestled", arguments, m_folder.Path(), Name(aNumber)));
  }

  void AwaitReady(int aNumber)
  {
    while (m_caller.Get(Url(aNumber) + "/readyz").Status() != 200) {
      std::this_thread::yield();
    }
  }

  /** Starts an instance without a disk and with a single seed. */
  void StartEntryInstance(int aNumber)
  {
    const auto number = std::to_string(aNumber);
    std::ofstream file(m_folder.Path() / (Name(aNumber) + ".toml"));
    file << "[instance]\nid = \"i" << number
         << "\"\ndata_centre = \"dc1\"\nsite = \"lisboa\"\n"
         << "[listen]\nhttp = \"127.0.0.1:" << kHttpPort + aNumber
         << "\"\npeer = \"127.0.0.1:" << kPeerPort + aNumber
         << "\"\n[ledger]\ndata_folder = \"\"\n[peers]\nseeds = [\"127.0.0.1:"
         << kPeerPort + 1 << "\"]\nshared_key_file = \""
         << (m_folder.Path() / "key").string() << "\"\n";
    file.close();
    Start(aNumber, false);
    AwaitReady(aNumber);
  }

  /** Starts an instance with a disk that is not an initial member. */
  void StartJoiningMember(int aNumber)
  {
    WriteSettings(aNumber);
    Start(aNumber, false);
  }

  /** @return the address on which an instance listens for peers. */
  [[nodiscard]] static std::string PeerAddress(int aNumber)
  {
    return "127.0.0.1:" + std::to_string(kPeerPort + aNumber);
  }

  void Kill(int aNumber) { m_instances.at(aNumber).Kill(); }

  /** Starts a program of the build in the folder of the deployment. */
  Process StartTool(const std::string& aProgram,
                    const std::string& aName,
                    std::vector<std::string> aArguments)
  {
    return Process(aProgram, std::move(aArguments), m_folder.Path(), aName);
  }

  Process StartEngine(int aNumber, const std::string& aName)
  {
    return StartTool("fake_engine",
                     aName,
                     { "--announce",
                       Url(aNumber),
                       "--id",
                       aName,
                       "--data_centre",
                       "dc" + std::to_string(aNumber),
                       "--model",
                       "model",
                       "--checks_fencing" });
  }

  /** Waits until an instance accepts requests for a model or service. */
  void AwaitServed(int aNumber, const std::string& aPath, const char* aBody)
  {
    while (m_caller.Post(Url(aNumber) + aPath, aBody).Status() == 404) {
      std::this_thread::yield();
    }
  }

  /** @return the number of the ledger leader according to one instance. */
  [[nodiscard]] int Leader(int aNumber)
  {
    while (true) {
      const auto members = nlohmann::json::parse(
        m_caller.Get(Url(aNumber) + "/v1/members").m_body, nullptr, false);
      if (members.is_object()) {
        const auto leader = members.value("leader", "");
        if (!leader.empty()) {
          return leader.back() - '0';
        }
      }
      std::this_thread::yield();
    }
  }

  [[nodiscard]] std::string Url(int aNumber) const
  {
    return "http://127.0.0.1:" + std::to_string(kHttpPort + aNumber);
  }

  [[nodiscard]] std::string AllUrls() const
  {
    return Url(1) + "," + Url(2) + "," + Url(3);
  }

  [[nodiscard]] HttpCaller& Caller() { return m_caller; }

private:
  static constexpr int kHttpPort = 18640;
  static constexpr int kPeerPort = 18650;

  static std::string Name(int aNumber) { return "i" + std::to_string(aNumber); }

  void WriteSettings(int aNumber) const
  {
    const auto number = std::to_string(aNumber);
    const auto folder = m_folder.Path().string();
    std::ofstream file(m_folder.Path() / (Name(aNumber) + ".toml"));
    file << "[instance]\nid = \"i" << number << "\"\ndata_centre = \"dc"
         << number << "\"\nsite = \"lisboa\"\n[listen]\nhttp = \"127.0.0.1:"
         << kHttpPort + aNumber
         << "\"\npeer = \"127.0.0.1:" << kPeerPort + aNumber
         << "\"\n[ledger]\ndata_folder = \"" << folder << "/data" << number
         << "\"\nmembers = [";
    for (int member = 1; member <= std::max(kInstances, aNumber); ++member) {
      file << (member == 1 ? "" : ", ") << "{id = \"i" << member
           << "\", address = \"127.0.0.1:" << kPeerPort + member
           << "\", data_centre = \"dc" << member << "\"}";
    }
    file << "]\n[peers]\nshared_key_file = \"" << folder << "/key\"\n";
  }

  TemporaryFolder m_folder;
  HttpCaller m_caller;
  std::map<int, Process> m_instances;
};

} // namespace auburntrestle::test

#endif
