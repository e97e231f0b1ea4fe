#ifndef AUBURNTRESTLE_TEST_SUPPORT_PROCESS_HPP
#define AUBURNTRESTLE_TEST_SUPPORT_PROCESS_HPP

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace auburntrestle::test {

/** A process of a program of the build; killed by the destructor. */
class Process
{
public:
  /** Starts a program; its output goes to aName.log in the folder. */
  Process(const std::string& aProgram,
          std::vector<std::string> aArguments,
          const std::filesystem::path& aFolder,
          const std::string& aName)
    : m_output(aFolder / (aName + ".log"))
  {
    const char* folder = std::getenv("TRESTLE_BIN_DIR");
    const std::string path =
      std::string(folder == nullptr ? "." : folder) + "/" + aProgram;
    aArguments.insert(aArguments.begin(), path);
    std::vector<char*> arguments;
    arguments.reserve(aArguments.size() + 1);
    for (auto& argument : aArguments) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files,
                                     STDOUT_FILENO,
                                     m_output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // The program must not inherit the test's sockets: they would stay open
    // after the test has closed them.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const int result = posix_spawn(
      &m_pid, path.c_str(), &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (result != 0) {
      throw std::runtime_error("cannot start " + path);
    }
  }
  Process(Process&& aOther) noexcept
    : m_pid(std::exchange(aOther.m_pid, 0))
    , m_output(std::move(aOther.m_output))
  {
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process& operator=(Process&& aOther) noexcept
  {
    Kill();
    m_pid = std::exchange(aOther.m_pid, 0);
    m_output = std::move(aOther.m_output);
    return *this;
  }
  ~Process() { Kill(); }

  /** Kills the program, like a crash, and reaps it. */
  void Kill()
  {
    if (m_pid != 0) {
      ::kill(m_pid, SIGKILL);
      Wait();
    }
  }

  /** @return the number of descriptors that the program has open. */
  [[nodiscard]] std::size_t OpenDescriptors() const
  {
    const std::filesystem::path folder("/proc/" + std::to_string(m_pid) +
                                       "/fd");
    std::error_code ignored;
    std::size_t count = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, ignored)) {
      count += entry.path().empty() ? 0 : 1;
    }
    return count;
  }

  /** Requests a graceful shutdown with SIGTERM. */
  void Terminate() { ::kill(m_pid, SIGTERM); }

  /** Requests a reload of the settings with SIGHUP. */
  void Reload() { ::kill(m_pid, SIGHUP); }

  /** Suspends the program until Resume. */
  void Pause() { ::kill(m_pid, SIGSTOP); }
  void Resume() { ::kill(m_pid, SIGCONT); }

  /** @return whether the program is running; reaps it after its exit. */
  [[nodiscard]] bool IsRunning()
  {
    if (m_pid != 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = 0;
    }
    return m_pid != 0;
  }

  /** Waits for the exit. @return the exit code, or -1 after a signal. */
  int Wait()
  {
    int status = 0;
    ::waitpid(std::exchange(m_pid, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  /** @return the most memory that the running program has used, in bytes. */
  [[nodiscard]] std::size_t PeakMemory() const
  {
    const std::string key = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    while (status >> word) {
      if (word == key) {
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes * 1024;
      }
    }
    throw std::runtime_error("no memory of process " + std::to_string(m_pid));
  }

  /** @return everything that the program has printed. */
  [[nodiscard]] std::string Output() const
  {
    std::ifstream file(m_output);
    return { std::istreambuf_iterator<char>(file), {} };
  }

  /** Waits until the program has printed a text. */
  void WaitFor(const std::string& aText) const
  {
    while (Output().find(aText) == std::string::npos) {
      std::this_thread::yield();
    }
  }

  /** @return the port in the line `ready port=N`, once it is printed. */
  [[nodiscard]] std::string Port() const
  {
    const std::string prefix = "ready port=";
    WaitFor(prefix);
    while (true) {
      const auto output = Output();
      const auto start = output.find(prefix) + prefix.size();
      const auto end = output.find('\n', start);
      if (end != std::string::npos) {
        return output.substr(start, end - start);
      }
    }
  }

private:
  pid_t m_pid = 0;
  std::filesystem::path m_output;
};

} // namespace auburntrestle::test

#endif
