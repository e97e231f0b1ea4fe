#ifndef AUBURNTRESTLE_TOOLS_COMMON_PROGRAM_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_PROGRAM_HPP

#include <functional>

namespace auburntrestle::tools {

/**
 * Parses the flags, sets up logging and runs a program. An exception becomes
 * a log line and exit code 1.
 *
 * gflags reserves --version for itself, so --version=N and --version N are
 * read as --weight_version.
 *
 * @param aMain the program; its result is the exit code.
 */
[[nodiscard]] int RunProgram(int aCount,
                             char** aArguments,
                             const std::function<int()>& aMain);

} // namespace auburntrestle::tools

#endif
