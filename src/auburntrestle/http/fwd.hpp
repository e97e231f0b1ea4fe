#ifndef AUBURNTRESTLE_HTTP_FWD_HPP
#define AUBURNTRESTLE_HTTP_FWD_HPP

namespace auburntrestle::http {

class Headers;
struct Request;
struct Response;
class Exchange;
class Server;
class Call;
class Client;

} // namespace auburntrestle::http

#endif
