#ifndef AUBURNTRESTLE_REVIEW_THIRD_DEPLOYMENT_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_DEPLOYMENT_HPP

#include "net.hpp"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>

/** A small deployment of real processes on loopback addresses. */
namespace review {

using Json = nlohmann::json;

/** How a scenario ends. */
enum class Verdict : int
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/** Writes what was sent, answered and run. */
class Record
{
public:
  explicit Record(const std::filesystem::path& aPath)
    : m_file(aPath)
  {
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(m_mutex);
    m_file << Elapsed().count() << " ms " << aLine << std::endl;
  }

private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

/** What differs from one machine to another. */
struct Machine
{
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  bool m_isStore = false;
};

/** The bounds that the settings of a process hold. */
struct Bounds
{
  int m_leaseMs = 3000;
  int m_graceSeconds = 8;
  int m_retentionSeconds = 120;
};

/** Stores and entry instances, each on a loopback address of its own, with
 * settings as the templates of platform/ make them. */
class Deployment
{
public:
  Deployment(std::filesystem::path aFolder, Record& aRecord)
    : m_folder(std::move(aFolder))
    , m_record(aRecord)
  {
    const auto unique = static_cast<unsigned>(::getpid());
    constexpr unsigned kNets = 200;
    m_net = "127." + std::to_string(20 + unique % kNets) + "." +
            std::to_string(unique / kNets % kNets) + ".";
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment()
  {
    for (const auto& [name, process] : m_processes) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
  }

  /** @return an address that no machine has. */
  [[nodiscard]] Address FreeAddress()
  {
    return { m_net + std::to_string(++m_lastHost), kServerPort };
  }

  /** Adds a machine with a process. */
  void Add(const std::string& aName, const std::string& aZone, bool aIsStore)
  {
    m_machines[aName] = {
      aName, m_net + std::to_string(++m_lastHost), aZone, aIsStore
    };
    if (aIsStore && m_seeds.size() < kSeeds) {
      m_seeds.push_back(ControlOf(aName).Text());
    }
  }

  [[nodiscard]] Address ControlOf(const std::string& aName) const
  {
    return { m_machines.at(aName).m_ip, kControlPort };
  }
  [[nodiscard]] Address FrontOf(const std::string& aName) const
  {
    return { m_machines.at(aName).m_ip, kFrontPort };
  }
  /** @return the machine that has the IP address of an ip:port, or "". */
  [[nodiscard]] std::string NameAt(std::string_view aAddress) const
  {
    for (const auto& [name, machine] : m_machines) {
      if (aAddress.starts_with(machine.m_ip + ":")) {
        return name;
      }
    }
    return "";
  }
  [[nodiscard]] std::vector<std::string> Stores() const
  {
    std::vector<std::string> names;
    for (const auto& [name, machine] : m_machines) {
      if (machine.m_isStore) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Starts the process of a machine. @param aBootstrap true only when the
   * whole system starts for the first time. */
  void Start(const std::string& aName, bool aBootstrap)
  {
    const Machine& machine = m_machines.at(aName);
    const auto settings = m_folder / (aName + ".toml");
    std::ofstream(settings) << SettingsOf(machine, aBootstrap);
    const auto output = (m_folder / (aName + ".log")).string();
    const auto variable = "AUBURNTRESTLE_BOOT=" + settings.string();
    const pid_t process = ::fork();
    if (process == 0) {
      // Also if the scenario itself is ended.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      const std::string path = "PATH=/usr/bin:/bin";
      std::vector<char*> environment{ const_cast<char*>(variable.c_str()),
                                      const_cast<char*>(path.c_str()),
                                      nullptr };
      std::string program = "target/trestle_node";
      std::vector<char*> arguments{ program.data(), nullptr };
      ::execve(program.c_str(), arguments.data(), environment.data());
      ::_exit(127);
    }
    m_processes[aName] = process;
    m_record.Write("started " + aName);
  }

  void StartAll()
  {
    for (const auto& [name, machine] : m_machines) {
      Start(name, true);
    }
  }

  void Signal(const std::string& aName, int aSignal)
  {
    m_record.Write("signal " + std::to_string(aSignal) + " to " + aName);
    ::kill(m_processes.at(aName), aSignal);
  }

  /** @return whether the process of a machine has ended within a time. */
  [[nodiscard]] bool WaitForEnd(const std::string& aName, Milliseconds aTime)
  {
    const auto deadline = Clock::now() + aTime;
    while (Clock::now() < deadline) {
      if (::waitpid(m_processes.at(aName), nullptr, WNOHANG) != 0) {
        m_processes.erase(aName);
        m_record.Write("ended " + aName);
        return true;
      }
      Sleep(Milliseconds(5));
    }
    return false;
  }

  /** @return the log of a machine. */
  [[nodiscard]] std::string LogOf(const std::string& aName) const
  {
    std::ifstream file(m_folder / (aName + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

  /** Calls the stores in turn, as an operator or a trainer does. @return the
   * first answer below 500, or nothing. */
  std::optional<Message> CallControl(const std::string& aMethod,
                                     const std::string& aTarget,
                                     const std::string& aBody,
                                     Milliseconds aTime)
  {
    const auto deadline = Clock::now() + aTime;
    const auto stores = Stores();
    std::size_t next = m_nextStore++;
    while (Clock::now() < deadline) {
      Message request;
      request.m_method = aMethod;
      request.m_target = aTarget;
      request.m_headers = { { "Host", "control" },
                            { "Content-Type", "application/json" } };
      request.m_body = aBody;
      auto answer = Call(ControlOf(stores[next++ % stores.size()]),
                         request,
                         std::chrono::seconds(1));
      constexpr int kServerError = 500;
      if (answer && answer->m_status < kServerError) {
        return answer;
      }
      Sleep(Milliseconds(100));
    }
    return std::nullopt;
  }

private:
  static constexpr std::uint16_t kControlPort = 8262;
  static constexpr std::uint16_t kFrontPort = 8263;
  static constexpr std::uint16_t kReadyPort = 8268;
  static constexpr std::uint16_t kPeerPort = 7300;
  static constexpr std::uint16_t kServerPort = 8080;
  static constexpr std::size_t kSeeds = 3;

  [[nodiscard]] std::string SettingsOf(const Machine& aMachine,
                                       bool aBootstrap) const
  {
    const Bounds bounds;
    const auto at = [&aMachine](std::uint16_t aPort) {
      return "\"" + aMachine.m_ip + ":" + std::to_string(aPort) + "\"\n";
    };
    std::ostringstream text;
    text << "[instance]\nrole = "
         << (aMachine.m_isStore ? "\"store\"" : "\"entry\"") << "\nmachine = \""
         << aMachine.m_name << "\"\ndata_centre = \"" << aMachine.m_zone
         << "\"\n\n[listen]\n";
    if (aMachine.m_isStore) {
      text << "control = " << at(kControlPort);
    } else {
      text << "callers = " << at(kFrontPort)
           << "readiness = " << at(kReadyPort);
    }
    text << "peers = " << at(kPeerPort)
         << "\n[peers]\nshared_key = \"auburntrestle-platform-deployment\"\n"
         << "seeds = " << Json(m_seeds).dump() << "\nport = " << kPeerPort
         << "\n\n";
    if (aMachine.m_isStore) {
      text << "[log]\ndata_folder = \""
           << (m_folder / (aMachine.m_name + ".data")).string()
           << "\"\nbootstrap = " << (aBootstrap ? "true" : "false")
           << "\ntolerated_losses = 1\n\n";
    }
    text << "[timing]\nlease_ms = " << bounds.m_leaseMs
         << "\nshutdown_seconds = " << bounds.m_graceSeconds << "\n";
    if (aMachine.m_isStore) {
      text << "job_retention_seconds = " << bounds.m_retentionSeconds << "\n";
    }
    return text.str();
  }

  std::filesystem::path m_folder;
  Record& m_record;
  std::string m_net;
  int m_lastHost = 0;
  std::map<std::string, Machine> m_machines;
  std::vector<std::string> m_seeds;
  std::map<std::string, pid_t> m_processes;
  std::atomic<std::size_t> m_nextStore{ 0 };
};

/** @return whether the scenario is to include its disruption. */
inline bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

/** Runs a scenario with a folder for its temporary files, and its record.
 * @param aArguments the program and the folder of the case. */
inline int RunScenario(int aCount,
                       char** aArguments,
                       Verdict (*aScenario)(Deployment&, Record&))
{
  constexpr int kArguments = 2;
  if (aCount != kArguments) {
    std::cerr << "usage: scenario FOLDER\n";
    return static_cast<int>(Verdict::NotRun);
  }
  ::signal(SIGPIPE, SIG_IGN);
  Elapsed();
  Record record(std::filesystem::path(aArguments[1]) / "record.txt");
  const auto folder = std::filesystem::temp_directory_path() /
                      ("trestle-third-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  Verdict verdict = Verdict::NotRun;
  {
    Deployment deployment(folder, record);
    verdict = aScenario(deployment, record);
  }
  const char* kept = std::getenv("KEEP_LOGS");
  if (kept == nullptr) {
    std::filesystem::remove_all(folder);
  }
  record.Write(verdict == Verdict::Held     ? "verdict: held"
               : verdict == Verdict::Broken ? "verdict: broken"
                                            : "verdict: could not run");
  return static_cast<int>(verdict);
}

} // namespace review

#endif
