#include "auburntrestle/operator_client/arguments.hpp"
#include "auburntrestle/operator_client/run.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(target,
              "http://127.0.0.1:8080",
              "instances as http://ip:port, comma-separated, tried in order");
DEFINE_bool(json, false, "print raw JSON on standard output");
DEFINE_bool(wait, false, "apply: wait until the edit is in force everywhere");
DEFINE_int64(timeout_ms, 30000, "apply --wait: limit of the wait");
DEFINE_int64(request_timeout_ms, 10000, "limit of one request");
DEFINE_string(sites,
              "",
              "validate: sites that must have an overlay, comma-separated");

DECLARE_bool(help);

// gflags exits with status 1 on an unknown flag or an invalid value. This hook,
// which the library exports but does not declare in its header, is the only way
// to change the status.
namespace GFLAGS_NAMESPACE {
// NOLINTNEXTLINE(readability-identifier-naming): name given by the library
extern void (*gflags_exitfunc)(int);
}

namespace auburntrestle::operator_client {
namespace {

[[noreturn]] void ExitWithUsageError(int)
{
  std::exit(static_cast<int>(ExitCode::InvalidInput));
}

Flags ReadFlags()
{
  Flags flags;
  flags.m_target = FLAGS_target;
  flags.m_json = FLAGS_json;
  flags.m_wait = FLAGS_wait;
  flags.m_timeoutMs = FLAGS_timeout_ms;
  flags.m_requestTimeoutMs = FLAGS_request_timeout_ms;
  flags.m_sites = FLAGS_sites;
  return flags;
}

ExitCode Main(const std::vector<std::string>& aArguments)
{
  const auto invocation = ParseArguments(aArguments, ReadFlags());
  if (!invocation) {
    std::cerr << invocation.error().m_message << "\n\n" << UsageText();
    return ExitCode::InvalidInput;
  }
  return Run(*invocation, RunContext{ std::cout, std::cerr });
}

} // namespace
} // namespace auburntrestle::operator_client

int main(int aCount, char** aArguments)
{
  using namespace auburntrestle;
  gflags::SetUsageMessage(operator_client::UsageText());
  GFLAGS_NAMESPACE::gflags_exitfunc = &operator_client::ExitWithUsageError;
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aArguments, true);
  if (FLAGS_help) {
    std::cout << operator_client::UsageText();
    return 0;
  }
  GFLAGS_NAMESPACE::gflags_exitfunc = &std::exit;
  gflags::HandleCommandLineHelpFlags();
  return static_cast<int>(operator_client::Main(
    std::vector<std::string>(aArguments + 1, aArguments + aCount)));
}
