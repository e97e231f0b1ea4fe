#ifndef AUBURNTRESTLE_TEST_SUPPORT_RUNNING_DAEMON_HPP
#define AUBURNTRESTLE_TEST_SUPPORT_RUNNING_DAEMON_HPP

#include "auburntrestle/daemon/daemon.hpp"
#include "auburntrestle/observe/log.hpp"
#include "support/http_call.hpp"

#include <filesystem>
#include <memory>
#include <string>
#include <thread>

namespace auburntrestle::test {

/** A temporary folder that the destructor removes. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "trestle-XXXXXX").string();
    m_path = ::mkdtemp(name.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }

  [[nodiscard]] const std::filesystem::path& Path() const { return m_path; }

private:
  std::filesystem::path m_path;
};

/** Runs a complete daemon on a thread of the test process. */
class RunningDaemon
{
public:
  explicit RunningDaemon(settings::InstanceSettings aSettings =
                           settings::InstanceSettings::Standalone())
  {
    observe::ConfigureLogging(observe::LogLevel::Error);
    aSettings.m_listen.m_http = *settings::SocketAddress::Parse("127.0.0.1:0");
    aSettings.m_listen.m_peer = *settings::SocketAddress::Parse("127.0.0.1:0");
    aSettings.m_ledger.m_dataFolder = m_folder.Path();
    m_daemon = daemon::Daemon::Create(std::move(aSettings)).value();
    m_thread = std::thread([this] { m_daemon->Run(); });
    HttpCaller caller;
    while (caller.Get(Url("/readyz")).Status() != 200) {
      std::this_thread::yield();
    }
  }
  RunningDaemon(const RunningDaemon&) = delete;
  RunningDaemon& operator=(const RunningDaemon&) = delete;
  ~RunningDaemon()
  {
    m_daemon->RequestShutdown();
    m_thread.join();
  }

  [[nodiscard]] std::string Url(const std::string& aPath) const
  {
    return "http://127.0.0.1:" + std::to_string(m_daemon->HttpPort()) + aPath;
  }

  [[nodiscard]] std::uint16_t Port() const { return m_daemon->HttpPort(); }
  [[nodiscard]] daemon::Daemon& Instance() { return *m_daemon; }

  /** Announces an engine that serves one model. */
  [[nodiscard]] Response AnnounceEngine(HttpCaller& aCaller,
                                        const std::string& aName,
                                        const std::string& aAddress,
                                        const std::string& aState = "serving")
  {
    return aCaller.Post(
      Url("/v1/backends/announce"),
      R"({"backend":")" + aName +
        R"(","incarnation":1,"data_centre":"local","kind":"engine",)"
        R"("capacity":8,"models":[{"name":"m","version":1}],"address":")" +
        aAddress + R"(","state":")" + aState + R"("})");
  }

private:
  TemporaryFolder m_folder;
  std::unique_ptr<daemon::Daemon> m_daemon;
  std::thread m_thread;
};

} // namespace auburntrestle::test

#endif
