#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_FWD_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_FWD_HPP

namespace auburntrestle::operator_client {

enum class ExitCode : int;
enum class Outcome : unsigned char;
struct Edit;
struct Flags;
struct Invocation;
struct Request;
struct RequestFailure;
class RequestSender;
class Table;

} // namespace auburntrestle::operator_client

#endif
