#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_EXIT_CODE_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_EXIT_CODE_HPP

namespace auburntrestle::operator_client {

/** Exit codes of trestlectl; scripts depend on the values. */
enum class ExitCode : int
{
  Success = 0,
  /** An instance refused the request, or the response was lost. */
  RequestFailed = 1,
  /** Invalid configuration files, flags or operands. */
  InvalidInput = 2,
  /** No target accepted a connection. */
  Unreachable = 3,
  /** The request conflicts with an earlier one, for example by its number. */
  Conflict = 4,
  /** The edit was accepted, but is not yet in force on all live instances. */
  WaitTimedOut = 5,
};

} // namespace auburntrestle::operator_client

#endif
