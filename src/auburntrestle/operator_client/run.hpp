#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_RUN_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_RUN_HPP

#include "auburntrestle/operator_client/arguments.hpp"
#include "auburntrestle/operator_client/exit_code.hpp"

#include <chrono>
#include <ostream>

namespace auburntrestle::operator_client {

/** Output streams and polling interval of a command. */
struct RunContext
{
  /** Results: tables, or JSON with --json. */
  std::ostream& m_output;
  /** Human-readable failures and progress. */
  std::ostream& m_errors;
  /** Interval between the polls of `apply --wait`. */
  std::chrono::milliseconds m_pollInterval{ 500 };
};

/** Runs one command; blocks until it has ended. */
[[nodiscard]] ExitCode Run(const Invocation& aInvocation,
                           const RunContext& aContext);

} // namespace auburntrestle::operator_client

#endif
