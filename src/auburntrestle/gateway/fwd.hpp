#ifndef AUBURNTRESTLE_GATEWAY_FWD_HPP
#define AUBURNTRESTLE_GATEWAY_FWD_HPP

namespace auburntrestle::gateway {

struct HttpRequest;
struct HttpResponse;
struct ServerSettings;
class Responder;
class Server;

} // namespace auburntrestle::gateway

#endif
