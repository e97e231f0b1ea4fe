#include "common/program.hpp"

#include "auburntrestle/observe/log.hpp"

#include <gflags/gflags.h>

#include <exception>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::tools {

namespace internal {

std::vector<std::string> RenameVersionFlag(int aCount, char** aArguments)
{
  std::vector<std::string> result(aArguments, aArguments + aCount);
  for (std::string& argument : result) {
    for (const std::string_view spelling : { "--version", "-version" }) {
      if (argument == spelling ||
          argument.starts_with(std::string(spelling) + "=")) {
        argument = "--weight_version" + argument.substr(spelling.size());
        break;
      }
    }
  }
  return result;
}

} // namespace internal

int RunProgram(int aCount, char** aArguments, const std::function<int()>& aMain)
{
  // The strings outlive the call because gflags keeps pointers to them.
  static std::vector<std::string> arguments;
  static std::vector<char*> pointers;
  arguments = internal::RenameVersionFlag(aCount, aArguments);
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  char** parsed = pointers.data();
  gflags::ParseCommandLineFlags(&aCount, &parsed, true);
  observe::ConfigureLogging(observe::LogLevel::Info);
  try {
    return aMain();
  } catch (const std::exception& failure) {
    observe::LogLine(observe::LogLevel::Error, "program_failed")
      .Add("reason", failure.what());
    return 1;
  }
}

} // namespace auburntrestle::tools
