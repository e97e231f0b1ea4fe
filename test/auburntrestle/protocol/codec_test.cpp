#include "auburntrestle/protocol/codec.hpp"
#include "auburntrestle/protocol/datagram.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace auburntrestle::protocol {
namespace {

constexpr std::size_t kLimit = 4096;
const InstanceId kLeft("left");
const InstanceId kRight("right");

SharedKey KeyOf(char aByte)
{
  return *SharedKey::FromText(std::string(32, aByte));
}

Nonce NonceOf(char aByte)
{
  Nonce nonce{};
  nonce.fill(aByte);
  return nonce;
}

/** The two sides of a connection whose handshake is done. */
struct ConnectedPair
{
  explicit ConnectedPair(char aLeftNonce = 'l', char aRightNonce = 'r')
    : m_left(
        Codec::Initiate(KeyOf('k'), kLeft, kRight, NonceOf(aLeftNonce), kLimit))
    , m_right(Codec::Accept(KeyOf('k'), kRight, NonceOf(aRightNonce), kLimit))
  {
    ReceiveResult received;
    EXPECT_TRUE(m_right.Receive(m_left.EncodeHello(), received));
    EXPECT_FALSE(m_right.IsEstablished());
    m_welcome = received.m_handshakeReply;
    EXPECT_TRUE(m_left.Receive(m_welcome, received));
    m_first = *m_left.Encode(HeartbeatFrame{});
    EXPECT_TRUE(m_right.Receive(m_first, received));
    EXPECT_TRUE(m_left.IsEstablished() && m_right.IsEstablished());
  }

  Codec m_left;
  Codec m_right;
  std::string m_welcome;
  std::string m_first;
};

std::string Message(Codec& aCodec, const std::string& aPayload)
{
  return *aCodec.Encode(MessageFrame{ Channel(3), aPayload });
}

// Guards against frames that depend on how the network splits the stream.
TEST(Codec, DecodesEveryKindOfFrameFromPiecesOfAnySize)
{
  for (const std::size_t piece : { 1, 2, 7, 1000 }) {
    ConnectedPair pair;
    std::string stream;
    const std::vector<Frame> sent{
      HeartbeatFrame{},
      MessageFrame{ Channel(3), std::string("a\0b", 3) },
      CallFrame{ CallId(1U << 31), Method(9), Duration(5), "ask" },
      ReplyFrame{ CallId(7), std::string(4000, 'x') },
      FailureFrame{ CallId(8), CallFailure::Failed, "why" },
    };
    for (const Frame& frame : sent) {
      stream += *pair.m_left.Encode(frame);
    }
    ReceiveResult received;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      ASSERT_TRUE(pair.m_right.Receive(stream.substr(at, piece), received));
    }
    ASSERT_EQ(received.m_frames.size(), sent.size());
    std::size_t wireBytes = 0;
    for (std::size_t index = 0; index < sent.size(); ++index) {
      EXPECT_EQ(received.m_frames[index].m_frame.index(), sent[index].index());
      wireBytes += received.m_frames[index].m_wireBytes;
    }
    EXPECT_EQ(wireBytes, stream.size());
    const auto& call = std::get<CallFrame>(received.m_frames[2].m_frame);
    EXPECT_EQ(call.m_id, CallId(1U << 31));
    EXPECT_EQ(call.m_payload, "ask");
    const auto& failure = std::get<FailureFrame>(received.m_frames[4].m_frame);
    EXPECT_EQ(failure.m_failure, CallFailure::Failed);
  }
}

struct AttackRow
{
  const char* m_name;
  /** Makes the bytes that the right side of a second pair receives. */
  std::function<std::string(ConnectedPair& aRecorded, ConnectedPair& aAttacked)>
    m_bytes;
  ProtocolErrorCode m_code;
};

// Guards against bytes that are accepted although the peer did not send them
// on this connection, in this direction and at this position.
TEST(Codec, RefusesForgedAndReplayedFrames)
{
  const std::vector<AttackRow> rows{
    { "frame of another connection",
      [](ConnectedPair& aRecorded, ConnectedPair&) {
        return Message(aRecorded.m_left, "x");
      },
      ProtocolErrorCode::BadAuthentication },
    { "first frame again",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        return aAttacked.m_first;
      },
      ProtocolErrorCode::BadAuthentication },
    { "frame twice",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        const std::string frame = Message(aAttacked.m_left, "x");
        return frame + frame;
      },
      ProtocolErrorCode::BadAuthentication },
    { "frame left out",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        (void)Message(aAttacked.m_left, "x");
        return Message(aAttacked.m_left, "y");
      },
      ProtocolErrorCode::BadAuthentication },
    { "own frame sent back",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        return Message(aAttacked.m_right, "x");
      },
      ProtocolErrorCode::BadAuthentication },
    { "changed body",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        std::string frame = Message(aAttacked.m_left, "x");
        frame[6] = static_cast<char>(frame[6] ^ 1);
        return frame;
      },
      ProtocolErrorCode::BadAuthentication },
    { "changed tag",
      [](ConnectedPair&, ConnectedPair& aAttacked) {
        std::string frame = Message(aAttacked.m_left, "x");
        frame.back() = static_cast<char>(frame.back() ^ 1);
        return frame;
      },
      ProtocolErrorCode::BadAuthentication },
    { "length above the limit",
      [](ConnectedPair&, ConnectedPair&) {
        return std::string("\x00\x00\x10\x01", 4);
      },
      ProtocolErrorCode::TooLarge },
  };
  for (const AttackRow& row : rows) {
    ConnectedPair recorded('a', 'b');
    ConnectedPair attacked;
    ReceiveResult received;
    const auto result =
      attacked.m_right.Receive(row.m_bytes(recorded, attacked), received);
    ASSERT_FALSE(result.has_value()) << row.m_name;
    EXPECT_EQ(result.error().m_code, row.m_code) << row.m_name;
    // Nothing is accepted after a failure, not even an authentic frame.
    EXPECT_FALSE(attacked.m_right.Receive(attacked.m_first, received))
      << row.m_name;
  }
}

// Guards against the replay of a complete recorded connection.
TEST(Codec, RecordedConnectionGetsNoFurtherThanTheHandshake)
{
  ConnectedPair recorded;
  Codec fresh = Codec::Accept(KeyOf('k'), kRight, NonceOf('n'), kLimit);
  ReceiveResult received;
  ASSERT_TRUE(fresh.Receive(
    Codec::Initiate(KeyOf('k'), kLeft, kRight, NonceOf('l'), kLimit)
      .EncodeHello(),
    received));
  EXPECT_FALSE(fresh.Receive(recorded.m_first, received));
  EXPECT_FALSE(fresh.IsEstablished());
  EXPECT_TRUE(received.m_frames.empty());
  // The other direction: a recorded reply does not match a new hello.
  Codec initiator =
    Codec::Initiate(KeyOf('k'), kLeft, kRight, NonceOf('m'), kLimit);
  EXPECT_FALSE(initiator.Receive(recorded.m_welcome, received));
}

// Guards against unauthenticated peers and connections to the wrong instance.
TEST(Codec, RefusesWrongHandshakes)
{
  struct Row
  {
    const char* m_name;
    std::string m_bytes;
    ProtocolErrorCode m_code;
  };
  const std::vector<Row> rows{
    { "other key",
      Codec::Initiate(KeyOf('z'), kLeft, kRight, NonceOf('l'), kLimit)
        .EncodeHello(),
      ProtocolErrorCode::BadAuthentication },
    { "other instance",
      Codec::Initiate(
        KeyOf('k'), kLeft, InstanceId("third"), NonceOf('l'), kLimit)
        .EncodeHello(),
      ProtocolErrorCode::WrongPeer },
    { "another protocol",
      "GET / HTTP/1.1\r\n\r\n",
      ProtocolErrorCode::TooLarge },
    { "long body before the proof",
      std::string("\x00\x00\x02\x01", 4),
      ProtocolErrorCode::TooLarge },
  };
  for (const Row& row : rows) {
    Codec right = Codec::Accept(KeyOf('k'), kRight, NonceOf('r'), kLimit);
    ReceiveResult received;
    const auto result = right.Receive(row.m_bytes, received);
    ASSERT_FALSE(result.has_value()) << row.m_name;
    EXPECT_EQ(result.error().m_code, row.m_code) << row.m_name;
    EXPECT_TRUE(received.m_handshakeReply.empty()) << row.m_name;
  }
}

// Guards against a frame above the limit that desynchronises the connection.
TEST(Codec, RefusingALargeFrameKeepsTheConnection)
{
  ConnectedPair pair;
  const auto large =
    pair.m_left.Encode(MessageFrame{ Channel(1), std::string(kLimit, 'x') });
  ASSERT_FALSE(large.has_value());
  EXPECT_EQ(large.error().m_code, ProtocolErrorCode::TooLarge);
  ReceiveResult received;
  EXPECT_TRUE(pair.m_right.Receive(Message(pair.m_left, "x"), received));
  EXPECT_EQ(received.m_frames.size(), 1U);
}

// Guards against weak keys and keys that differ only by a trailing newline.
TEST(SharedKey, NeedsEnoughBytes)
{
  EXPECT_FALSE(SharedKey::FromText("").has_value());
  EXPECT_FALSE(SharedKey::FromText("fifteen bytes..\n\n").has_value());
  EXPECT_EQ(SharedKey::FromText("sixteen bytes ..\r\n")->Secret(),
            "sixteen bytes ..");
  EXPECT_EQ(SharedKey::FromFile("/nonexistent").error().m_code,
            ProtocolErrorCode::BadKey);
}

struct DatagramRow
{
  const char* m_name;
  std::function<std::string(DatagramCodec& aSender)> m_bytes;
  std::optional<ProtocolErrorCode> m_code;
};

// Guards against accepting datagrams that are forged, meant for another
// instance or replayed, and against rejecting one that was only reordered.
TEST(DatagramCodec, AcceptsEachAuthenticDatagramOnce)
{
  DatagramCodec receiver(KeyOf('k'), kRight, Incarnation(1));
  DatagramCodec sender(KeyOf('k'), kLeft, Incarnation(5));
  DatagramCodec older(KeyOf('k'), kLeft, Incarnation(4));
  DatagramCodec stranger(KeyOf('z'), kLeft, Incarnation(5));
  std::string first;
  std::string delayed;
  std::string late;
  const std::vector<DatagramRow> rows{
    { "directed",
      [&](DatagramCodec& aSender) {
        first = aSender.Encode(kRight, "one");
        return first;
      },
      {} },
    { "again",
      [&](DatagramCodec&) { return first; },
      ProtocolErrorCode::Replayed },
    { "undirected",
      [&](DatagramCodec& aSender) { return aSender.Encode({}, "two"); },
      {} },
    { "to another instance",
      [&](DatagramCodec& aSender) {
        return aSender.Encode(InstanceId("third"), "x");
      },
      ProtocolErrorCode::BadAuthentication },
    { "after two that are delayed",
      [&](DatagramCodec& aSender) {
        late = aSender.Encode(kRight, "late");
        delayed = aSender.Encode(kRight, "delayed");
        return aSender.Encode(kRight, "three");
      },
      {} },
    { "delayed", [&](DatagramCodec&) { return delayed; }, {} },
    { "delayed again",
      [&](DatagramCodec&) { return delayed; },
      ProtocolErrorCode::Replayed },
    { "after many",
      [&](DatagramCodec& aSender) {
        for (std::uint64_t count = 1; count < DatagramCodec::kWindow; ++count) {
          (void)aSender.Encode(kRight, "lost");
        }
        return aSender.Encode(kRight, "four");
      },
      {} },
    { "outside the window",
      [&](DatagramCodec&) { return late; },
      ProtocolErrorCode::Replayed },
    { "earlier incarnation",
      [&](DatagramCodec&) { return older.Encode(kRight, "old"); },
      ProtocolErrorCode::Replayed },
    { "other key",
      [&](DatagramCodec&) { return stranger.Encode(kRight, "x"); },
      ProtocolErrorCode::BadAuthentication },
    { "short",
      [&](DatagramCodec&) { return std::string(kTagBytes, 'x'); },
      ProtocolErrorCode::Malformed },
  };
  for (const DatagramRow& row : rows) {
    const auto result = receiver.Decode(row.m_bytes(sender));
    if (row.m_code.has_value()) {
      ASSERT_FALSE(result.has_value()) << row.m_name;
      EXPECT_EQ(result.error().m_code, *row.m_code) << row.m_name;
    } else {
      ASSERT_TRUE(result.has_value()) << row.m_name;
      EXPECT_EQ(result->m_from, kLeft) << row.m_name;
      EXPECT_EQ(result->m_incarnation, Incarnation(5)) << row.m_name;
      EXPECT_EQ(result->m_directed, std::string("undirected") != row.m_name);
    }
  }
}

// Guards against rejecting the datagrams of a restarted instance because its
// counter starts again.
TEST(DatagramCodec, HigherIncarnationResetsTheCounter)
{
  DatagramCodec receiver(KeyOf('k'), kRight, Incarnation(1));
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    DatagramCodec sender(KeyOf('k'), kLeft, Incarnation(incarnation));
    for (int count = 0; count < 5; ++count) {
      EXPECT_TRUE(receiver.Decode(sender.Encode(kRight, "x")).has_value());
    }
  }
}

} // namespace
} // namespace auburntrestle::protocol
