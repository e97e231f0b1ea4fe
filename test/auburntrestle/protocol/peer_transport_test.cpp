#include "auburntrestle/protocol/codec.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"
#include "auburntrestle/protocol/waiting.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace auburntrestle::protocol {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Channel kTestChannel(1);
constexpr Method kEcho(1);
const InstanceId kLeft("left");
const InstanceId kRight("right");
const std::string kLoopback = "127.0.0.1:";

SharedKey TestKey()
{
  return *SharedKey::FromText("0123456789abcdef0123456789abcdef");
}

struct Message
{
  InstanceId m_from;
  Channel m_channel;
  std::string m_payload;
};

PeerTransportOptions OptionsFor(const InstanceId& aSelf)
{
  PeerTransportOptions options{ aSelf, kLoopback + "0", TestKey() };
  options.m_firstBackOff = milliseconds(1);
  options.m_maxBackOff = milliseconds(20);
  return options;
}

std::unique_ptr<PeerTransport> MustStart(PeerTransportOptions aOptions,
                                         PeerHandlers aHandlers = {})
{
  auto started =
    PeerTransport::Start(std::move(aOptions), std::move(aHandlers));
  EXPECT_TRUE(started.has_value());
  return std::move(*started);
}

std::string AddressOf(std::uint16_t aPort)
{
  return kLoopback + std::to_string(aPort);
}

ReplyCallback StoreIn(Mailbox<Expected<std::string>>& aMailbox)
{
  return [&aMailbox](Expected<std::string> aResult) {
    aMailbox.Put(std::move(aResult));
  };
}

// Guards against messages that are lost, reordered or attributed to another
// sender on a working connection.
TEST(PeerTransport, DeliversMessagesInOrder)
{
  Mailbox<Message> arrived;
  PeerHandlers handlers;
  handlers.m_onMessage =
    [&](const InstanceId& aFrom, Channel aChannel, std::string aPayload) {
      arrived.Put({ aFrom, aChannel, std::move(aPayload) });
    };
  const auto right = MustStart(OptionsFor(kRight), handlers);
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  for (int number = 0; number < 500; ++number) {
    ASSERT_TRUE(left->Send(kRight, kTestChannel, std::to_string(number)));
  }
  for (int number = 0; number < 500; ++number) {
    const Message message = arrived.Pop();
    EXPECT_EQ(message.m_from, kLeft);
    EXPECT_EQ(message.m_channel, kTestChannel);
    EXPECT_EQ(message.m_payload, std::to_string(number));
  }
}

// Guards against long replies that pile up for peers: those who make them
// decide by this figure, which has to fall again when they are written or
// dropped.
TEST(PeerTransport, CountsTheRepliesThatWaitToBeSent)
{
  constexpr std::size_t kBytes = 1'000'000;
  Mailbox<std::size_t> queued;
  std::unique_ptr<PeerTransport> right;
  PeerHandlers handlers;
  handlers.m_onCall = [&](const InstanceId& /*aFrom*/,
                          Method /*aMethod*/,
                          const std::string& /*aPayload*/,
                          const Reply& aReply) {
    aReply.Send(std::string(kBytes, 'x'));
    queued.Put(right->QueuedReplyBytes());
  };
  right = MustStart(OptionsFor(kRight), handlers);
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  Mailbox<Expected<std::string>> result;
  ASSERT_TRUE(left->Call(kRight, kEcho, "x", seconds(600), StoreIn(result)));
  EXPECT_EQ(queued.Pop(), kBytes);
  ASSERT_EQ(result.Pop()->size(), kBytes);
  while (right->QueuedReplyBytes() > 0) {
    std::this_thread::yield();
  }
}

// Guards against replies that reach another call, and against an error code
// that would allow repeating work that ran.
TEST(PeerTransport, EachCallGetsItsOwnOutcome)
{
  PeerHandlers handlers;
  std::vector<std::pair<std::string, Reply>> held;
  handlers.m_onCall = [&](const InstanceId& /*aFrom*/,
                          Method /*aMethod*/,
                          const std::string& aPayload,
                          Reply aReply) {
    if (aPayload == "refuse") {
      aReply.Refuse("not here");
    } else if (aPayload == "fail") {
      aReply.Fail("broken");
    } else if (aPayload != "drop") {
      // Replies in reverse order, so that matching by order would fail.
      held.emplace_back(aPayload, std::move(aReply));
      if (held.size() == 2) {
        held[1].second.Send("reply to " + held[1].first);
        held[0].second.Send("reply to " + held[0].first);
      }
    }
  };
  const auto right = MustStart(OptionsFor(kRight), handlers);
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  struct Row
  {
    std::string m_payload;
    std::optional<ProtocolErrorCode> m_code;
  };
  const std::vector<Row> rows{ { "first", {} },
                               { "refuse", ProtocolErrorCode::CallRefused },
                               { "fail", ProtocolErrorCode::CallFailed },
                               { "drop", ProtocolErrorCode::CallFailed },
                               { "second", {} } };
  std::vector<Mailbox<Expected<std::string>>> results(rows.size());
  for (std::size_t index = 0; index < rows.size(); ++index) {
    ASSERT_TRUE(left->Call(kRight,
                           kEcho,
                           rows[index].m_payload,
                           seconds(600),
                           StoreIn(results[index])));
  }
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const auto result = results[index].Pop();
    if (rows[index].m_code.has_value()) {
      ASSERT_FALSE(result.has_value()) << rows[index].m_payload;
      EXPECT_EQ(result.error().m_code, *rows[index].m_code);
    } else {
      ASSERT_TRUE(result.has_value()) << rows[index].m_payload;
      EXPECT_EQ(*result, "reply to " + rows[index].m_payload);
    }
  }
}

/** A connection of a peer whose bytes are controlled by the test. */
class RawPeer
{
public:
  RawPeer(asio::ip::tcp::socket aSocket, Codec aCodec)
    : m_socket(std::move(aSocket))
    , m_codec(std::move(aCodec))
  {
  }

  /** Connects to a transport as "left" and sends the hello. */
  static RawPeer Connect(asio::io_context& aIo,
                         std::uint16_t aPort,
                         const SharedKey& aKey = TestKey())
  {
    asio::ip::tcp::socket socket(aIo);
    socket.connect({ asio::ip::address_v4::loopback(), aPort });
    RawPeer peer(std::move(socket),
                 Codec::Initiate(aKey, kLeft, kRight, RandomNonce(), 1 << 20));
    peer.Write(peer.m_codec.EncodeHello());
    return peer;
  }

  /** Accepts the next connection of a transport that connects to "right". */
  static RawPeer Accept(asio::ip::tcp::acceptor& aAcceptor)
  {
    return { aAcceptor.accept(),
             Codec::Accept(TestKey(), kRight, RandomNonce(), 1 << 20) };
  }

  void Write(const std::string& aBytes)
  {
    std::error_code ignored;
    asio::write(m_socket, asio::buffer(aBytes), ignored);
  }

  void Send(const Frame& aFrame) { Write(*m_codec.Encode(aFrame)); }

  /** Reads until the handshake is done. */
  void Establish()
  {
    while (!m_codec.IsEstablished()) {
      ASSERT_TRUE(ReadSome());
    }
  }

  /** @return the next frame, or nothing when the connection was closed. */
  std::optional<Frame> Read()
  {
    while (m_next == m_received.m_frames.size()) {
      if (!ReadSome()) {
        return std::nullopt;
      }
    }
    return m_received.m_frames[m_next++].m_frame;
  }

  /** Reads to the end of the connection. @return the number of frames read. */
  std::size_t ReadToEnd()
  {
    std::size_t frames = 0;
    while (Read().has_value()) {
      ++frames;
    }
    return frames;
  }

  Codec& GetCodec() { return m_codec; }

private:
  bool ReadSome()
  {
    std::array<char, 4096> buffer{};
    std::error_code error;
    const std::size_t count = m_socket.read_some(asio::buffer(buffer), error);
    if (error) {
      return false;
    }
    EXPECT_TRUE(m_codec.Receive({ buffer.data(), count }, m_received));
    Write(std::exchange(m_received.m_handshakeReply, {}));
    return true;
  }

  asio::ip::tcp::socket m_socket;
  Codec m_codec;
  ReceiveResult m_received;
  std::size_t m_next = 0;
};

asio::ip::tcp::endpoint AnyLoopbackPort()
{
  return { asio::ip::address_v4::loopback(), 0 };
}

/** Replies to every call with its payload. */
PeerHandlers EchoHandlers()
{
  PeerHandlers handlers;
  handlers.m_onCall = [](const InstanceId& /*aFrom*/,
                         Method /*aMethod*/,
                         std::string aPayload,
                         const Reply& aReply) {
    aReply.Send(std::move(aPayload));
  };
  return handlers;
}

Expected<std::string> CallAndWait(PeerTransport& aTransport,
                                  std::string aPayload)
{
  Mailbox<Expected<std::string>> result;
  EXPECT_TRUE(aTransport.Call(
    kRight, kEcho, std::move(aPayload), seconds(600), StoreIn(result)));
  return result.Pop();
}

// Guards against reporting an unsent call as possibly run, and against giving
// up a peer after one failure.
TEST(PeerTransport, UnsentCallsFailAndTheNextOneConnects)
{
  asio::io_context io;
  // Bound and not listening: the system refuses connections to it.
  asio::ip::tcp::socket bound(io, AnyLoopbackPort());
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(bound.local_endpoint().port())));
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto result = CallAndWait(*left, "x");
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().m_code, ProtocolErrorCode::NotSent);
    EXPECT_FALSE(MayHaveRun(result.error().m_code));
  }
  EXPECT_EQ(left->Counters().m_connectFailures, 3U);
  const auto right = MustStart(OptionsFor(kRight), EchoHandlers());
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  EXPECT_EQ(CallAndWait(*left, "x"), "x");
}

// Guards against a connection that is not opened again after its peer
// restarted on the same address.
TEST(PeerTransport, ReconnectsToARestartedPeer)
{
  auto right = MustStart(OptionsFor(kRight), EchoHandlers());
  const std::string address = AddressOf(right->Port());
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, address));
  EXPECT_EQ(CallAndWait(*left, "before"), "before");
  right.reset();
  auto options = OptionsFor(kRight);
  options.m_listenAddress = address;
  right = MustStart(options, EchoHandlers());
  Expected<std::string> result;
  do {
    result = CallAndWait(*left, "after");
  } while (!result.has_value());
  EXPECT_EQ(*result, "after");
  EXPECT_EQ(left->Counters().m_connections, 2U);
}

// Guards against unbounded memory for the messages to an unreachable peer.
TEST(PeerTransport, KeepsOnlyTheNewestMessagesForAPeerThatIsDown)
{
  auto right = MustStart(OptionsFor(kRight));
  const auto port = right->Port();
  right.reset();
  auto options = OptionsFor(kLeft);
  options.m_maxWaitingMessages = 3;
  // A failed attempt discards the queue, so the peer has to be back before the
  // next attempt, which comes after half of this time at the earliest.
  options.m_firstBackOff = seconds(6);
  options.m_maxBackOff = seconds(6);
  const auto left = MustStart(options);
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(port)));
  ASSERT_TRUE(left->Send(kRight, kTestChannel, "lost with the first attempt"));
  while (left->Counters().m_connectFailures == 0) {
    std::this_thread::yield();
  }
  for (int number = 0; number < 10; ++number) {
    ASSERT_TRUE(left->Send(kRight, kTestChannel, std::to_string(number)));
  }
  Mailbox<std::string> received;
  auto again = OptionsFor(kRight);
  again.m_listenAddress = AddressOf(port);
  PeerHandlers handlers;
  handlers.m_onMessage = [&](const InstanceId&, Channel, std::string aPayload) {
    received.Put(std::move(aPayload));
  };
  right = MustStart(again, handlers);
  EXPECT_EQ(received.Pop(), "7");
  EXPECT_EQ(received.Pop(), "8");
  EXPECT_EQ(received.Pop(), "9");
}

// Guards against reporting a call as not run after its connection was lost, and
// against calls that never end.
TEST(PeerTransport, CallsOfALostConnectionMayHaveRun)
{
  Mailbox<Reply> held;
  PeerHandlers handlers;
  handlers.m_onCall = [&](const InstanceId& /*aFrom*/,
                          Method /*aMethod*/,
                          const std::string& /*aPayload*/,
                          Reply aReply) { held.Put(std::move(aReply)); };
  auto right = MustStart(OptionsFor(kRight), handlers);
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  Mailbox<Expected<std::string>> result;
  ASSERT_TRUE(left->Call(kRight, kEcho, "x", seconds(600), StoreIn(result)));
  const Reply reply = held.Pop();
  EXPECT_EQ(reply.Timeout(), seconds(600));
  right.reset();
  const auto outcome = result.Pop();
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().m_code, ProtocolErrorCode::ConnectionLost);
  EXPECT_TRUE(MayHaveRun(outcome.error().m_code));
  // A reply after the transport was destroyed is ignored.
  reply.Send("late");
}

// Guards against a late reply that is matched to another call.
TEST(PeerTransport, LateRepliesAreDropped)
{
  Mailbox<Reply> held;
  PeerHandlers handlers;
  handlers.m_onCall = [&](const InstanceId& /*aFrom*/,
                          Method /*aMethod*/,
                          std::string aPayload,
                          Reply aReply) {
    if (aPayload == "slow") {
      held.Put(std::move(aReply));
    } else {
      aReply.Send(std::move(aPayload));
    }
  };
  const auto right = MustStart(OptionsFor(kRight), handlers);
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  EXPECT_EQ(CallAndWait(*left, "open"), "open");
  Mailbox<Expected<std::string>> result;
  ASSERT_TRUE(
    left->Call(kRight, kEcho, "slow", milliseconds(1), StoreIn(result)));
  const auto outcome = result.Pop();
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().m_code, ProtocolErrorCode::TimedOut);
  held.Pop().Send("late");
  // Its reply follows the late one on the connection.
  EXPECT_EQ(CallAndWait(*left, "next"), "next");
  EXPECT_EQ(left->Counters().m_lateReplies, 1U);
}

// Guards against queues that grow without limit while a peer does not respond,
// and against errors without the right code.
TEST(PeerTransport, RefusesWhatItCannotQueue)
{
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io, AnyLoopbackPort());
  auto options = OptionsFor(kLeft);
  options.m_connectTimeout = seconds(600);
  options.m_maxQueuedFrames = 6;
  options.m_maxQueuedBytes = 1000;
  options.m_maxPendingCalls = 2;
  options.m_maxFrameBytes = 2000;
  const auto left = MustStart(options);
  const std::string address = AddressOf(silent.local_endpoint().port());
  ASSERT_TRUE(left->SetPeer(kRight, address));
  const auto ignore = [](const Expected<std::string>& /*aResult*/) {};
  const auto call = [&] {
    return left->Call(kRight, kEcho, "x", seconds(600), ignore);
  };
  const auto send = [&](std::size_t aBytes) {
    return left->Send(kRight, kTestChannel, std::string(aBytes, 'x'));
  };
  const std::vector<std::pair<Expected<void>, std::optional<ProtocolErrorCode>>>
    rows{
      { call(), {} },
      { call(), {} },
      { call(), ProtocolErrorCode::QueueFull },
      { send(500), {} },
      { send(500), ProtocolErrorCode::QueueFull },
      { send(1), {} },
      { send(1), {} },
      { send(1), {} },
      { send(1), ProtocolErrorCode::QueueFull },
      { send(2000), ProtocolErrorCode::TooLarge },
      { left->Send(InstanceId("third"), kTestChannel, "x"),
        ProtocolErrorCode::UnknownPeer },
      { left->SetPeer(kRight, "localhost"), ProtocolErrorCode::BadAddress },
      { left->SetPeer(kRight, "1.2.3.4:65536"), ProtocolErrorCode::BadAddress },
      { left->SetPeer(kRight, "::1:80"), ProtocolErrorCode::BadAddress },
    };
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const auto& [result, code] = rows[index];
    EXPECT_EQ(result.has_value(), !code.has_value()) << index;
    if (!result.has_value() && code.has_value()) {
      EXPECT_EQ(result.error().m_code, *code) << index;
    }
  }
  EXPECT_EQ(left->Counters().m_queueRefusals, 3U);
}

// Guards against queuing calls for ever to a peer that vanished without closing
// its connection.
TEST(PeerTransport, ConnectingSideClosesASilentConnection)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, AnyLoopbackPort());
  auto options = OptionsFor(kLeft);
  options.m_connectTimeout = seconds(600);
  options.m_heartbeatInterval = milliseconds(5);
  options.m_silenceLimit = milliseconds(50);
  const auto left = MustStart(options);
  ASSERT_TRUE(
    left->SetPeer(kRight, AddressOf(acceptor.local_endpoint().port())));
  Mailbox<Expected<std::string>> result;
  ASSERT_TRUE(left->Call(kRight, kEcho, "x", seconds(600), StoreIn(result)));
  RawPeer peer = RawPeer::Accept(acceptor);
  peer.Establish();
  const auto outcome = result.Pop();
  ASSERT_FALSE(outcome.has_value());
  EXPECT_EQ(outcome.error().m_code, ProtocolErrorCode::ConnectionLost);
  EXPECT_EQ(left->Counters().m_silentConnections, 1U);
  EXPECT_GE(peer.ReadToEnd(), 2U);
}

// Guards against heartbeats on unused connections.
TEST(PeerTransport, ClosesAnUnusedConnection)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, AnyLoopbackPort());
  auto options = OptionsFor(kLeft);
  options.m_idleLimit = milliseconds(10);
  const auto left = MustStart(options);
  ASSERT_TRUE(
    left->SetPeer(kRight, AddressOf(acceptor.local_endpoint().port())));
  for (int round = 0; round < 2; ++round) {
    ASSERT_TRUE(left->Send(kRight, kTestChannel, "x"));
    RawPeer peer = RawPeer::Accept(acceptor);
    peer.Establish();
    EXPECT_GE(peer.ReadToEnd(), 1U);
  }
  EXPECT_EQ(left->Counters().m_connectFailures, 0U);
}

struct IntruderRow
{
  const char* m_name;
  std::function<void(asio::io_context&, PeerTransport&)> m_intrude;
  std::uint64_t m_unauthenticated;
  std::uint64_t m_malformed;
};

// Guards against unauthenticated bytes that reach a handler, keep a connection
// open or disturb an authenticated one.
TEST(PeerTransport, ClosesConnectionsWithoutValidAuthentication)
{
  const std::vector<IntruderRow> rows{
    { "other key",
      [](asio::io_context& aIo, PeerTransport& aRight) {
        auto peer = RawPeer::Connect(
          aIo, aRight.Port(), *SharedKey::FromText("another key, long enough"));
        peer.ReadToEnd();
      },
      1,
      0 },
    { "no protocol",
      [](asio::io_context& aIo, PeerTransport& aRight) {
        asio::ip::tcp::socket socket(aIo);
        socket.connect({ asio::ip::address_v4::loopback(), aRight.Port() });
        asio::write(socket, asio::buffer("GET / HTTP/1.1", 14));
        std::error_code error;
        std::array<char, 64> buffer{};
        while (!error) {
          socket.read_some(asio::buffer(buffer), error);
        }
      },
      0,
      1 },
    { "changed frame",
      [](asio::io_context& aIo, PeerTransport& aRight) {
        auto peer = RawPeer::Connect(aIo, aRight.Port());
        peer.Establish();
        peer.Send(HeartbeatFrame{});
        std::string frame =
          *peer.GetCodec().Encode(MessageFrame{ kTestChannel, "forged" });
        frame[8] = static_cast<char>(frame[8] ^ 1);
        peer.Write(frame);
        peer.ReadToEnd();
      },
      1,
      0 },
    { "replayed frame",
      [](asio::io_context& aIo, PeerTransport& aRight) {
        auto peer = RawPeer::Connect(aIo, aRight.Port());
        peer.Establish();
        const std::string frame = *peer.GetCodec().Encode(HeartbeatFrame{});
        peer.Write(frame + frame);
        peer.ReadToEnd();
      },
      1,
      0 },
    { "reply without a call",
      [](asio::io_context& aIo, PeerTransport& aRight) {
        auto peer = RawPeer::Connect(aIo, aRight.Port());
        peer.Establish();
        peer.Send(ReplyFrame{ CallId(1), "x" });
        peer.ReadToEnd();
      },
      0,
      1 },
  };
  for (const IntruderRow& row : rows) {
    std::atomic<int> messages = 0;
    PeerHandlers handlers = EchoHandlers();
    handlers.m_onMessage = [&](const InstanceId& /*aFrom*/,
                               Channel /*aChannel*/,
                               const std::string& /*aPayload*/) { ++messages; };
    const auto right = MustStart(OptionsFor(kRight), handlers);
    const auto left = MustStart(OptionsFor(kLeft));
    ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
    EXPECT_EQ(CallAndWait(*left, "before"), "before") << row.m_name;
    asio::io_context io;
    row.m_intrude(io, *right);
    EXPECT_EQ(CallAndWait(*left, "after"), "after") << row.m_name;
    EXPECT_EQ(messages, 0) << row.m_name;
    EXPECT_EQ(right->Counters().m_unauthenticated, row.m_unauthenticated)
      << row.m_name;
    EXPECT_EQ(right->Counters().m_malformed, row.m_malformed) << row.m_name;
    EXPECT_EQ(left->Counters().m_connections, 1U) << row.m_name;
  }
}

// Guards against unauthenticated connections that use up all descriptors.
TEST(PeerTransport, RefusesConnectionsAboveTheLimit)
{
  asio::io_context io;
  auto options = OptionsFor(kRight);
  options.m_maxAccepted = 1;
  options.m_connectTimeout = seconds(600);
  const auto right = MustStart(options);
  asio::ip::tcp::socket mute(io);
  mute.connect({ asio::ip::address_v4::loopback(), right->Port() });
  auto second = RawPeer::Connect(io, right->Port());
  EXPECT_EQ(second.ReadToEnd(), 0U);
  EXPECT_EQ(right->Counters().m_refusedConnections, 1U);
}

// Guards against connections of unauthenticated or vanished peers that stay
// open.
TEST(PeerTransport, AcceptingSideClosesSilentConnections)
{
  asio::io_context io;
  auto options = OptionsFor(kRight);
  options.m_connectTimeout = milliseconds(20);
  const auto strict = MustStart(options);
  auto mute = RawPeer::Connect(io, strict->Port());
  mute.Establish();
  EXPECT_EQ(mute.ReadToEnd(), 0U);
  EXPECT_EQ(strict->Counters().m_connections, 0U);

  options.m_connectTimeout = seconds(600);
  options.m_heartbeatInterval = milliseconds(5);
  options.m_silenceLimit = milliseconds(50);
  const auto right = MustStart(options);
  auto silent = RawPeer::Connect(io, right->Port());
  silent.Establish();
  silent.Send(HeartbeatFrame{});
  EXPECT_EQ(silent.ReadToEnd(), 1U);
  EXPECT_EQ(right->Counters().m_silentConnections, 1U);
}

// Guards against control traffic that is not counted, or counted under another
// kind or direction.
TEST(PeerTransport, BothSidesCountTheSameBytes)
{
  const auto right = MustStart(OptionsFor(kRight), EchoHandlers());
  const auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  ASSERT_TRUE(left->Send(kRight, kTestChannel, "news"));
  EXPECT_EQ(CallAndWait(*left, std::string(1000, 'x')).value().size(), 1000U);
  const TransportCounters atLeft = left->Counters();
  const TransportCounters atRight = right->Counters();
  const std::vector<std::pair<TrafficKind, std::uint64_t>> atLeast{
    { TrafficKind::Message, 4 }, { TrafficKind::Call, 1000 }
  };
  for (const auto& [kind, bytes] : atLeast) {
    EXPECT_EQ(atLeft.SentTraffic(kind).m_count, 1U);
    EXPECT_GT(atLeft.SentTraffic(kind).m_bytes, bytes + kFrameOverhead);
    EXPECT_LT(atLeft.SentTraffic(kind).m_bytes, bytes + kFrameOverhead + 64);
    EXPECT_EQ(atRight.ReceivedTraffic(kind).m_bytes,
              atLeft.SentTraffic(kind).m_bytes);
  }
  EXPECT_EQ(atLeft.ReceivedTraffic(TrafficKind::Reply).m_bytes,
            atRight.SentTraffic(TrafficKind::Reply).m_bytes);
  EXPECT_EQ(atLeft.SentTraffic(TrafficKind::Handshake).m_bytes,
            atRight.ReceivedTraffic(TrafficKind::Handshake).m_bytes);
  EXPECT_EQ(atLeft.ReceivedTraffic(TrafficKind::Handshake).m_bytes,
            atRight.SentTraffic(TrafficKind::Handshake).m_bytes);
}

// Guards against mixing up calls of several threads, and against calls that do
// not end, or end twice, when the transport stops.
TEST(PeerTransport, EveryCallEndsOnceAlsoWhenStopping)
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kCalls = 200;
  const auto right = MustStart(OptionsFor(kRight), EchoHandlers());
  auto left = MustStart(OptionsFor(kLeft));
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(right->Port())));
  std::vector<std::atomic<int>> ends(kThreads * kCalls);
  std::atomic<int> wrong = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::size_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (std::size_t call = 0; call < kCalls; ++call) {
        const std::size_t number = thread * kCalls + call;
        const std::string payload = std::to_string(number);
        const auto queued =
          left->Call(kRight,
                     kEcho,
                     payload,
                     seconds(600),
                     [&ends, &wrong, number, payload](
                       const Expected<std::string>& aResult) {
                       ++ends[number];
                       wrong +=
                         aResult.has_value() && *aResult != payload ? 1 : 0;
                     });
        EXPECT_TRUE(queued.has_value());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  left.reset();
  for (const auto& end : ends) {
    EXPECT_EQ(end, 1);
  }
  EXPECT_EQ(wrong, 0);
}

// Guards against a removed peer that still receives, or whose calls hang.
TEST(PeerTransport, RemovedPeersAreUnknown)
{
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io, AnyLoopbackPort());
  auto options = OptionsFor(kLeft);
  options.m_connectTimeout = seconds(600);
  const auto left = MustStart(options);
  ASSERT_TRUE(left->SetPeer(kRight, AddressOf(silent.local_endpoint().port())));
  Mailbox<Expected<std::string>> result;
  ASSERT_TRUE(left->Call(kRight, kEcho, "x", seconds(600), StoreIn(result)));
  left->RemovePeer(kRight);
  EXPECT_EQ(result.Pop().error().m_code, ProtocolErrorCode::NotSent);
  EXPECT_EQ(left->Send(kRight, kTestChannel, "x").error().m_code,
            ProtocolErrorCode::UnknownPeer);
}

// Guards against an instance that runs without its listening socket.
TEST(PeerTransport, ReportsAnAddressThatCannotBeUsed)
{
  const auto first = MustStart(OptionsFor(kLeft));
  auto options = OptionsFor(kRight);
  for (const auto& [address, code] :
       std::vector<std::pair<std::string, ProtocolErrorCode>>{
         { AddressOf(first->Port()), ProtocolErrorCode::ListenFailed },
         { "nowhere", ProtocolErrorCode::BadAddress } }) {
    options.m_listenAddress = address;
    const auto second = PeerTransport::Start(options, {});
    ASSERT_FALSE(second.has_value());
    EXPECT_EQ(second.error().m_code, code);
  }
}

} // namespace
} // namespace auburntrestle::protocol
