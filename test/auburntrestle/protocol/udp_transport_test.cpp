#include "auburntrestle/protocol/udp_transport.hpp"
#include "auburntrestle/protocol/waiting.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::protocol {
namespace {

struct ReceivedDatagram
{
  Datagram m_datagram;
  std::string m_source;
};

UdpTransportOptions OptionsFor(const std::string& aSelf, char aKey = 'k')
{
  return { InstanceId(aSelf),
           Incarnation(3),
           "127.0.0.1:0",
           *SharedKey::FromText(std::string(32, aKey)) };
}

std::unique_ptr<UdpTransport> MustStart(const UdpTransportOptions& aOptions,
                                        Mailbox<ReceivedDatagram>& aArrived)
{
  auto started = UdpTransport::Start(
    aOptions, [&aArrived](Datagram aDatagram, const std::string& aSource) {
      aArrived.Put({ std::move(aDatagram), aSource });
    });
  EXPECT_TRUE(started.has_value());
  return std::move(*started);
}

std::string AddressOf(const UdpTransport& aTransport)
{
  return "127.0.0.1:" + std::to_string(aTransport.Port());
}

// Guards against unauthenticated datagrams that reach the handler or are not
// counted, and against a wrong sender or source of authentic ones.
TEST(UdpTransport, DeliversAuthenticDatagramsOnly)
{
  Mailbox<ReceivedDatagram> atLeft;
  Mailbox<ReceivedDatagram> atRight;
  Mailbox<ReceivedDatagram> atStranger;
  const auto left = MustStart(OptionsFor("left"), atLeft);
  const auto right = MustStart(OptionsFor("right"), atRight);
  const auto stranger = MustStart(OptionsFor("left", 'z'), atStranger);
  const InstanceId to("right");
  ASSERT_TRUE(stranger->Send(AddressOf(*right), to, "forged"));
  ASSERT_TRUE(left->Send(AddressOf(*right), InstanceId("third"), "astray"));
  ASSERT_TRUE(left->Send(AddressOf(*right), to, "directed"));
  ASSERT_TRUE(left->Send(AddressOf(*right), {}, "undirected"));
  for (const std::string payload : { "directed", "undirected" }) {
    const ReceivedDatagram arrived = atRight.Pop();
    EXPECT_EQ(arrived.m_datagram.m_payload, payload);
    EXPECT_EQ(arrived.m_datagram.m_directed, payload == "directed");
    EXPECT_EQ(arrived.m_datagram.m_from, InstanceId("left"));
    EXPECT_EQ(arrived.m_datagram.m_incarnation, Incarnation(3));
    EXPECT_EQ(arrived.m_source, AddressOf(*left));
  }
  const TransportCounters counters = right->Counters();
  EXPECT_EQ(counters.m_unauthenticated, 2U);
  EXPECT_EQ(counters.ReceivedTraffic(TrafficKind::Datagram).m_count, 2U);
  EXPECT_EQ(left->Counters().SentTraffic(TrafficKind::Datagram).m_count, 3U);
}

// Guards against datagrams that the network would fragment, and against
// addresses that are not of the form ip:port or in use.
TEST(UdpTransport, RefusesWhatItCannotSend)
{
  Mailbox<ReceivedDatagram> arrived;
  const auto left = MustStart(OptionsFor("left"), arrived);
  const auto large = left->Send(AddressOf(*left), {}, std::string(1400, 'x'));
  ASSERT_FALSE(large.has_value());
  EXPECT_EQ(large.error().m_code, ProtocolErrorCode::TooLarge);
  const auto nowhere = left->Send("nowhere", {}, "x");
  ASSERT_FALSE(nowhere.has_value());
  EXPECT_EQ(nowhere.error().m_code, ProtocolErrorCode::BadAddress);
  auto options = OptionsFor("right");
  options.m_listenAddress = AddressOf(*left);
  const auto second = UdpTransport::Start(options, {});
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().m_code, ProtocolErrorCode::ListenFailed);
}

} // namespace
} // namespace auburntrestle::protocol
