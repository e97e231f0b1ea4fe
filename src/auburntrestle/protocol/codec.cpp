#include "auburntrestle/protocol/codec.hpp"

#include "auburntrestle/protocol/pack.hpp"

#include <utility>

namespace auburntrestle::protocol {

template<>
inline constexpr CallFailure kLastValue<CallFailure> = CallFailure::Failed;

namespace internal {

constexpr std::string_view kVersion = "auburntrestle/1";
// Domain separation: a tag made for one purpose of the shared key is never
// valid for another.
constexpr std::string_view kHelloLabel = "hello";
constexpr std::string_view kWelcomeLabel = "welcome";
constexpr std::string_view kSessionLabel = "session";
constexpr std::size_t kLengthBytes = 4;
/** Space for the fields of a frame besides its payload, with the tag. */
constexpr std::size_t kFieldBytes = 128;
/** A larger buffer of received bytes is released after its frame. */
constexpr std::size_t kMaxRetainedBuffer = std::size_t{ 256 } * 1024;
/** Space for the start of the next frame, which may arrive with the end of a
 * large one. */
constexpr std::size_t kReceiveSlack = std::size_t{ 64 } * 1024;

struct Hello
{
  std::string m_version;
  InstanceId m_from;
  InstanceId m_to;
  std::string m_nonce;
};

struct Welcome
{
  InstanceId m_from;
  std::string m_nonce;
};

std::string EncodeBigEndian(std::uint64_t aValue, std::size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  for (std::size_t index = aBytes; index-- > 0; aValue >>= 8) {
    bytes[index] = static_cast<char>(aValue & 0xff);
  }
  return bytes;
}

std::size_t DecodeLength(std::string_view aBytes)
{
  std::size_t value = 0;
  for (const char byte : aBytes.substr(0, kLengthBytes)) {
    value = (value << 8) | static_cast<unsigned char>(byte);
  }
  return value;
}

std::string DirectionAndSequence(bool aFromInitiator, std::uint64_t aSequence)
{
  return (aFromInitiator ? 'i' : 'a') + EncodeBigEndian(aSequence, 8);
}

/** @return the size of the payload of a frame. */
std::size_t PayloadBytes(const Frame& aFrame)
{
  return std::visit(
    [](const auto& aBody) -> std::size_t {
      if constexpr (requires { aBody.m_payload; }) {
        return aBody.m_payload.size();
      }
      return 0;
    },
    aFrame);
}

std::string BuildFrame(std::string_view aBody, std::string_view aTag)
{
  std::string bytes = EncodeBigEndian(aBody.size(), kLengthBytes);
  bytes.reserve(bytes.size() + aBody.size() + aTag.size());
  return bytes.append(aBody).append(aTag);
}

} // namespace internal

void Fields(auto& aArchive, MaybeConst<internal::Hello> auto& aHello)
{
  aArchive(aHello.m_version, aHello.m_from, aHello.m_to, aHello.m_nonce);
}

void Fields(auto& aArchive, MaybeConst<internal::Welcome> auto& aWelcome)
{
  aArchive(aWelcome.m_from, aWelcome.m_nonce);
}

void Fields(auto& aArchive, MaybeConst<HeartbeatFrame> auto& /*aFrame*/)
{
  aArchive();
}

void Fields(auto& aArchive, MaybeConst<MessageFrame> auto& aFrame)
{
  aArchive(aFrame.m_channel, aFrame.m_payload);
}

void Fields(auto& aArchive, MaybeConst<CallFrame> auto& aFrame)
{
  aArchive(aFrame.m_id, aFrame.m_method, aFrame.m_timeout, aFrame.m_payload);
}

void Fields(auto& aArchive, MaybeConst<ReplyFrame> auto& aFrame)
{
  aArchive(aFrame.m_id, aFrame.m_payload);
}

void Fields(auto& aArchive, MaybeConst<FailureFrame> auto& aFrame)
{
  aArchive(aFrame.m_id, aFrame.m_failure, aFrame.m_detail);
}

Codec Codec::Initiate(const SharedKey& aKey,
                      InstanceId aSelf,
                      InstanceId aPeer,
                      const Nonce& aNonce,
                      std::size_t aMaxFrameBytes)
{
  return { aKey,   std::move(aSelf), std::move(aPeer),
           aNonce, aMaxFrameBytes,   true };
}

Codec Codec::Accept(const SharedKey& aKey,
                    InstanceId aSelf,
                    const Nonce& aNonce,
                    std::size_t aMaxFrameBytes)
{
  return {
    aKey, std::move(aSelf), InstanceId(), aNonce, aMaxFrameBytes, false
  };
}

Codec::Codec(const SharedKey& aKey,
             InstanceId aSelf,
             InstanceId aPeer,
             const Nonce& aNonce,
             std::size_t aMaxFrameBytes,
             bool aInitiator)
  : m_self(std::move(aSelf))
  , m_peer(std::move(aPeer))
  , m_nonce(aNonce.begin(), aNonce.end())
  , m_maxFrameBytes(aMaxFrameBytes)
  , m_initiator(aInitiator)
  , m_stage(aInitiator ? Stage::AwaitWelcome : Stage::AwaitHello)
  , m_shared(aKey.Secret())
{
}

std::string Codec::EncodeHello()
{
  const std::string body = Pack(internal::Hello{
    std::string(internal::kVersion), m_self, m_peer, m_nonce });
  return internal::BuildFrame(body,
                              m_shared.Tag({ internal::kHelloLabel, body }));
}

Expected<void> Codec::Receive(std::string_view aBytes, ReceiveResult& aReceived)
{
  if (m_stage == Stage::Broken) {
    return Fail(ProtocolErrorCode::Malformed, "the connection has failed");
  }
  m_buffer.append(aBytes);
  std::size_t position = 0;
  Expected<void> result;
  while (result && m_buffer.size() - position >= internal::kLengthBytes) {
    const std::string_view rest = std::string_view(m_buffer).substr(position);
    const std::size_t length = internal::DecodeLength(rest);
    if (length > BodyLimit()) {
      result = Fail(ProtocolErrorCode::TooLarge,
                    "frame of " + std::to_string(length) + " bytes");
      break;
    }
    if (rest.size() < length + kFrameOverhead) {
      m_buffer.reserve(position + length + kFrameOverhead +
                       internal::kReceiveSlack);
      break;
    }
    result =
      ReceiveBody(rest.substr(internal::kLengthBytes, length),
                  rest.substr(internal::kLengthBytes + length, kTagBytes),
                  aReceived);
    position += length + kFrameOverhead;
  }
  m_buffer.erase(0, position);
  if (position > 0 && m_buffer.capacity() > internal::kMaxRetainedBuffer &&
      m_buffer.size() < internal::kMaxRetainedBuffer) {
    m_buffer.shrink_to_fit();
  }
  if (!result) {
    m_stage = Stage::Broken;
    m_buffer.clear();
  }
  return result;
}

Expected<void> Codec::ReceiveBody(std::string_view aBody,
                                  std::string_view aTag,
                                  ReceiveResult& aReceived)
{
  switch (m_stage) {
    case Stage::AwaitHello:
      aReceived.m_handshakeBytes += aBody.size() + kFrameOverhead;
      return ReceiveHello(aBody, aTag, aReceived);
    case Stage::AwaitWelcome:
      aReceived.m_handshakeBytes += aBody.size() + kFrameOverhead;
      return ReceiveWelcome(aBody, aTag);
    case Stage::AwaitFirstFrame:
    case Stage::Open:
      return ReceiveFrame(aBody, aTag, aReceived);
    case Stage::Broken:
      break;
  }
  return Fail(ProtocolErrorCode::Malformed, "the connection has failed");
}

Expected<void> Codec::ReceiveHello(std::string_view aBody,
                                   std::string_view aTag,
                                   ReceiveResult& aReceived)
{
  if (!m_shared.Verify(aTag, { internal::kHelloLabel, aBody })) {
    return Fail(ProtocolErrorCode::BadAuthentication, "opening");
  }
  auto hello = Unpack<internal::Hello>(aBody);
  if (!hello) {
    return tl::unexpected(std::move(hello).error());
  }
  if (hello->m_version != internal::kVersion) {
    return Fail(ProtocolErrorCode::VersionMismatch, hello->m_version);
  }
  if (hello->m_to != m_self) {
    return Fail(ProtocolErrorCode::WrongPeer, "meant for " + hello->m_to.Get());
  }
  m_peer = hello->m_from;
  const std::string body = Pack(internal::Welcome{ m_self, m_nonce });
  aReceived.m_handshakeReply += internal::BuildFrame(
    body, m_shared.Tag({ internal::kWelcomeLabel, hello->m_nonce, body }));
  DeriveKey(hello->m_nonce);
  m_stage = Stage::AwaitFirstFrame;
  return {};
}

Expected<void> Codec::ReceiveWelcome(std::string_view aBody,
                                     std::string_view aTag)
{
  if (!m_shared.Verify(aTag, { internal::kWelcomeLabel, m_nonce, aBody })) {
    return Fail(ProtocolErrorCode::BadAuthentication, "reply to the opening");
  }
  auto welcome = Unpack<internal::Welcome>(aBody);
  if (!welcome) {
    return tl::unexpected(std::move(welcome).error());
  }
  if (welcome->m_from != m_peer) {
    return Fail(ProtocolErrorCode::WrongPeer,
                "reached " + welcome->m_from.Get());
  }
  DeriveKey(welcome->m_nonce);
  m_stage = Stage::Open;
  return {};
}

Expected<void> Codec::ReceiveFrame(std::string_view aBody,
                                   std::string_view aTag,
                                   ReceiveResult& aReceived)
{
  const std::string prefix =
    internal::DirectionAndSequence(!m_initiator, m_received);
  if (!m_session->Verify(aTag, { prefix, aBody })) {
    return Fail(ProtocolErrorCode::BadAuthentication,
                "frame " + std::to_string(m_received));
  }
  auto frame = Unpack<Frame>(aBody);
  if (!frame) {
    return tl::unexpected(std::move(frame).error());
  }
  ++m_received;
  m_stage = Stage::Open;
  aReceived.m_frames.push_back(
    { std::move(*frame), aBody.size() + kFrameOverhead });
  return {};
}

Expected<std::string> Codec::Encode(const Frame& aFrame)
{
  // Built in place, because a frame can be large.
  Writer writer(std::string(internal::kLengthBytes, '\0'));
  writer.Reserve(internal::PayloadBytes(aFrame) + internal::kFieldBytes);
  writer.Write(aFrame);
  std::string bytes = writer.ExtractBytes();
  const auto body = std::string_view(bytes).substr(internal::kLengthBytes);
  if (body.size() > m_maxFrameBytes) {
    return Fail(ProtocolErrorCode::TooLarge,
                "frame of " + std::to_string(body.size()) + " bytes");
  }
  const std::string prefix =
    internal::DirectionAndSequence(m_initiator, m_sent);
  ++m_sent;
  const auto tag = m_session->Tag({ prefix, body });
  const auto length =
    internal::EncodeBigEndian(body.size(), internal::kLengthBytes);
  return std::move(bytes.replace(0, length.size(), length).append(tag));
}

bool Codec::IsEstablished() const noexcept
{
  return m_stage == Stage::Open;
}

void Codec::DeriveKey(std::string_view aPeerNonce)
{
  const std::string& self = m_self.Get();
  const std::string& peer = m_peer.Get();
  const std::string nonces = m_initiator ? m_nonce + std::string(aPeerNonce)
                                         : std::string(aPeerNonce) + m_nonce;
  const std::string& initiator = m_initiator ? self : peer;
  const std::string& acceptor = m_initiator ? peer : self;
  // The lengths distinguish ("ab", "c") from ("a", "bc").
  const std::string lengths = internal::EncodeBigEndian(nonces.size(), 4) +
                              internal::EncodeBigEndian(initiator.size(), 4) +
                              internal::EncodeBigEndian(acceptor.size(), 4);
  m_session.emplace(m_shared.Digest(
    { internal::kSessionLabel, lengths, nonces, initiator, acceptor }));
}

std::size_t Codec::BodyLimit() const noexcept
{
  return m_stage == Stage::AwaitHello || m_stage == Stage::AwaitWelcome ||
             m_stage == Stage::AwaitFirstFrame
           ? kMaxHandshakeBody
           : m_maxFrameBytes;
}

} // namespace auburntrestle::protocol
