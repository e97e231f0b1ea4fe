#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/daemon/daemon.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/settings/instance_settings.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

DEFINE_string(settings, "", "settings file of this instance (TOML)");
DEFINE_string(http, "", "overrides listen.http, ip:port");
DEFINE_bool(bootstrap_ledger,
            false,
            "found a new ledger of several members; first start only");

namespace auburntrestle {
namespace {

constexpr int kExitStartFailed = 1;
constexpr int kExitBadSettings = 2;

observe::LogLevel LevelOf(settings::LogLevel aLevel)
{
  return static_cast<observe::LogLevel>(aLevel);
}

void LogStartError(const daemon::StartError& aError)
{
  std::visit(
    Overloaded{ [](const daemon::AddressUnusable& aProblem) {
                 observe::LogLine(observe::LogLevel::Error, "listen_failed")
                   .Add("address", aProblem.m_address)
                   .Add("reason", aProblem.m_reason);
               },
                [](const daemon::ClientUnusable& aProblem) {
                  observe::LogLine(observe::LogLevel::Error, "client_failed")
                    .Add("reason", aProblem.m_reason);
                },
                [](const daemon::PeersUnusable& aProblem) {
                  observe::LogLine(observe::LogLevel::Error, "peers_failed")
                    .Add("reason", aProblem.m_reason);
                },
                [](const daemon::DataUnusable& aProblem) {
                  observe::LogLine(observe::LogLevel::Error, "data_unusable")
                    .Add("reason", aProblem.m_reason);
                } },
    aError);
}

int Main()
{
  auto settings = FLAGS_settings.empty()
                    ? settings::InstanceSettings::Standalone()
                    : settings::InstanceSettings::FromFile(FLAGS_settings);
  if (!settings) {
    std::cerr << settings::FormatErrors(settings.error());
    return kExitBadSettings;
  }
  if (!FLAGS_http.empty()) {
    const auto address = settings::SocketAddress::Parse(FLAGS_http);
    if (!address) {
      std::cerr << "--http: given " << FLAGS_http << ", allowed ip:port\n";
      return kExitBadSettings;
    }
    settings->m_listen.m_http = *address;
  }
  observe::ConfigureLogging(LevelOf(settings->m_log.m_level),
                            observe::LogTarget::StandardOutput);
  auto daemon = daemon::Daemon::Create(
    *settings, daemon::StartOptions{ FLAGS_bootstrap_ledger });
  if (!daemon) {
    LogStartError(daemon.error());
    return kExitStartFailed;
  }
  std::cout << "ready port=" << (*daemon)->HttpPort() << std::endl;
  (*daemon)->Run();
  return 0;
}

} // namespace
} // namespace auburntrestle

int main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("the auburntrestle daemon");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return auburntrestle::Main();
}
