#ifndef AUBURNTRESTLE_PROTOCOL_FWD_HPP
#define AUBURNTRESTLE_PROTOCOL_FWD_HPP

#include <cstdint>

namespace auburntrestle::protocol {

enum class ProtocolErrorCode : std::uint8_t;
struct ProtocolError;
class SharedKey;
class Authenticator;
class Writer;
class Reader;
class Codec;
class DatagramCodec;
class Reply;
class PeerTransport;
class UdpTransport;

} // namespace auburntrestle::protocol

#endif
