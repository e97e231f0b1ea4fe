#ifndef AUBURNTRESTLE_PROTOCOL_CODEC_HPP
#define AUBURNTRESTLE_PROTOCOL_CODEC_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/protocol/authentication.hpp"
#include "auburntrestle/protocol/error.hpp"
#include "auburntrestle/protocol/frame.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::protocol {

/** Bytes of a frame besides its body: the length and the tag. */
inline constexpr std::size_t kFrameOverhead = 4 + kTagBytes;

/**
 * Maximum body of a frame before the peer has proved that it holds the key, so
 * that an unauthenticated peer cannot make an instance allocate memory.
 */
inline constexpr std::size_t kMaxHandshakeBody = 512;

/** A frame and its size on the wire. */
struct ReceivedFrame
{
  Frame m_frame;
  std::size_t m_wireBytes = 0;
};

/** Output of Codec::Receive. */
struct ReceiveResult
{
  std::vector<ReceivedFrame> m_frames;
  /** Reply of the handshake, to be sent immediately; may be empty. */
  std::string m_handshakeReply;
  /** Bytes of handshake frames that were received. */
  std::size_t m_handshakeBytes = 0;
};

/**
 * Encodes and decodes the frames of one side of an authenticated connection.
 *
 * A frame is a length (4 bytes, big endian), a MessagePack body and a tag. Both
 * sides contribute a nonce in the handshake, and the session key is derived
 * from the shared key, both nonces and both instance ids. Each tag covers the
 * direction and the frame's sequence number, which is counted but not sent. A
 * replayed frame is therefore rejected on any other connection, in the other
 * direction and at another position. After an error the connection must be
 * closed; the codec rejects all further bytes.
 */
class Codec
{
public:
  /**
   * Creates the codec of the initiator, which sends EncodeHello() first.
   *
   * @param aPeer the instance that must be at the other end.
   * @param aMaxFrameBytes maximum body of a frame in both directions.
   */
  [[nodiscard]] static Codec Initiate(const SharedKey& aKey,
                                      InstanceId aSelf,
                                      InstanceId aPeer,
                                      const Nonce& aNonce,
                                      std::size_t aMaxFrameBytes);

  /** Creates the codec of the acceptor. */
  [[nodiscard]] static Codec Accept(const SharedKey& aKey,
                                    InstanceId aSelf,
                                    const Nonce& aNonce,
                                    std::size_t aMaxFrameBytes);

  /** @return the first bytes of the handshake; for the initiator only. */
  [[nodiscard]] std::string EncodeHello();

  /**
   * Decodes received bytes, in pieces of any size.
   *
   * @param aReceived frames and handshake replies are appended to it, including
   *   those that were complete and authentic before an error.
   * @return success, or Malformed, TooLarge, BadAuthentication, WrongPeer or
   *   VersionMismatch.
   */
  [[nodiscard]] Expected<void> Receive(std::string_view aBytes,
                                       ReceiveResult& aReceived);

  /**
   * Encodes a frame with the next outgoing sequence number; the bytes must be
   * sent in the order of the calls. IsEstablished() must be true.
   *
   * @return the bytes, or TooLarge, which uses no sequence number.
   */
  [[nodiscard]] Expected<std::string> Encode(const Frame& aFrame);

  /**
   * @return true when frames may be sent: by the initiator after the reply to
   * its hello, by the acceptor after the first authentic frame.
   */
  [[nodiscard]] bool IsEstablished() const noexcept;

  /** @return the peer instance; authenticated once established. */
  [[nodiscard]] const InstanceId& Peer() const noexcept { return m_peer; }

private:
  enum class Stage : std::uint8_t
  {
    AwaitHello,
    AwaitWelcome,
    AwaitFirstFrame,
    Open,
    Broken,
  };

  Codec(const SharedKey& aKey,
        InstanceId aSelf,
        InstanceId aPeer,
        const Nonce& aNonce,
        std::size_t aMaxFrameBytes,
        bool aInitiator);

  Expected<void> ReceiveBody(std::string_view aBody,
                             std::string_view aTag,
                             ReceiveResult& aReceived);
  Expected<void> ReceiveHello(std::string_view aBody,
                              std::string_view aTag,
                              ReceiveResult& aReceived);
  Expected<void> ReceiveWelcome(std::string_view aBody, std::string_view aTag);
  Expected<void> ReceiveFrame(std::string_view aBody,
                              std::string_view aTag,
                              ReceiveResult& aReceived);
  void DeriveKey(std::string_view aPeerNonce);
  [[nodiscard]] std::size_t BodyLimit() const noexcept;

  InstanceId m_self;
  InstanceId m_peer;
  std::string m_nonce;
  std::size_t m_maxFrameBytes;
  bool m_initiator;
  Stage m_stage;
  Authenticator m_shared;
  std::optional<Authenticator> m_session;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::string m_buffer;
};

} // namespace auburntrestle::protocol

#endif
