#include "auburntrestle/membership/cluster.hpp"
#include "auburntrestle/protocol/datagram.hpp"
#include "auburntrestle/protocol/membership_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace auburntrestle::protocol {
namespace {

using membership::Message;
using std::chrono::seconds;

membership::Advertisement FullAdvertisement()
{
  membership::Advertisement advertisement{
    "192.168.100.200:60001",
    "192.168.100.200:60002",
    std::numeric_limits<std::uint64_t>::max(),
    Revision(~std::uint64_t{ 0 }),
    true,
    {}
  };
  for (std::size_t index = 0; index < membership::kMaxModels; ++index) {
    advertisement.m_capacity.push_back(
      { ModelName("conselheiro-" + std::to_string(index)),
        ~std::uint32_t{ 0 } });
  }
  return advertisement;
}

membership::MemberUpdate FullUpdate()
{
  return { InstanceId("lisboa-a-entry-17"),
           Incarnation(~std::uint64_t{ 0 }),
           membership::MemberState::Alive,
           FullAdvertisement() };
}

membership::Summary FullSummary()
{
  membership::Summary summary;
  summary.m_dataCentre = DataCentreId("lisboa-a");
  summary.m_version = ~std::uint64_t{ 0 };
  summary.m_tieBreak = ~std::uint32_t{ 0 };
  summary.m_liveInstances = ~std::uint32_t{ 0 };
  summary.m_drainingInstances = ~std::uint32_t{ 0 };
  summary.m_newestRevision = Revision(~std::uint64_t{ 0 });
  summary.m_oldestRevision = Revision(~std::uint64_t{ 0 });
  summary.m_capacity = FullAdvertisement().m_capacity;
  for (int index = 0; index < 3; ++index) {
    summary.m_representatives.push_back({ InstanceId("lisboa-a-entry-17"),
                                          "192.168.100.200:60001",
                                          "192.168.100.200:60002" });
  }
  return summary;
}

// Guards against a field that is omitted or reordered in writing or reading:
// the bytes are equal after a round trip, with every field set.
TEST(MembershipCodec, EveryMessageSurvivesARoundTrip)
{
  const membership::MemberUpdate full = FullUpdate();
  const membership::MemberUpdate dead{
    InstanceId("b"), Incarnation(2), membership::MemberState::Dead, {}
  };
  const std::vector<Message> messages{
    membership::Ping{ 1, { full, dead } },
    membership::PingRequest{ 2, InstanceId("t"), "10.0.0.1:70", { dead } },
    membership::Ack{ 3, { full } },
    membership::Join{ 4, DataCentreId("lisboa-a"), full },
    membership::SyncRequest{ 5,
                             InstanceId("a"),
                             InstanceId("z"),
                             { { InstanceId("m"),
                                 Incarnation(3),
                                 membership::MemberState::Left,
                                 9 } } },
    membership::Members{ 6, { full } },
    membership::SummaryRequest{
      7, { FullSummary() }, { { DataCentreId("dc"), 8, 9 } } },
    membership::Summaries{ 8, { FullSummary() } },
  };
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (const Message& message : messages) {
    const std::string bytes = EncodeMembership(message);
    const auto decoded = DecodeMembership(bytes);
    ASSERT_TRUE(decoded.has_value()) << message.index();
    EXPECT_EQ(decoded->index(), message.index());
    EXPECT_EQ(EncodeMembership(*decoded), bytes);
  }
  const auto ping = DecodeMembership(EncodeMembership(messages[0]));
  EXPECT_EQ(std::get<membership::Ping>(*ping).m_updates[0], full);
  const auto summaries = DecodeMembership(EncodeMembership(messages[7]));
  EXPECT_EQ(std::get<membership::Summaries>(*summaries).m_summaries[0],
            FullSummary());
}

// Guards against datagrams above the limit because a bound is too small.
TEST(MembershipCodec, EncodedSizesStayWithinTheirBounds)
{
  using membership::MaxEncodedBytes;
  const membership::SummaryVersion version{ DataCentreId("lisboa-a"),
                                            ~std::uint64_t{ 0 },
                                            ~std::uint32_t{ 0 } };
  const membership::MemberVersion member{ InstanceId("lisboa-a-entry-17"),
                                          Incarnation(~std::uint64_t{ 0 }),
                                          membership::MemberState::Left,
                                          ~std::uint64_t{ 0 } };
  const InstanceId none;
  // Bytes that an element adds to a message without elements.
  const auto added = [](const Message& aWith, const Message& aWithout) {
    return EncodeMembership(aWith).size() - EncodeMembership(aWithout).size();
  };
  EXPECT_LE(added(membership::Members{ 1, { FullUpdate() } },
                  membership::Members{ 1, {} }),
            MaxEncodedBytes(FullUpdate()));
  EXPECT_LE(added(membership::Summaries{ 1, { FullSummary() } },
                  membership::Summaries{ 1, {} }),
            MaxEncodedBytes(FullSummary()));
  EXPECT_LE(added(membership::SummaryRequest{ 1, {}, { version } },
                  membership::SummaryRequest{ 1, {}, {} }),
            MaxEncodedBytes(version));
  EXPECT_LE(added(membership::SyncRequest{ 1, none, none, { member } },
                  membership::SyncRequest{ 1, none, none, {} }),
            MaxEncodedBytes(member));
}

/** Traffic of one instance. */
struct Load
{
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

// UDP and IPv4 headers of a datagram.
constexpr std::size_t kPacketHeaders = 28;

// Guards against control traffic above the budget at full size: 330 instances
// in 12 data centres, every instance with changing capacity, one configuration
// change in 10 s. Counts the bytes of real datagrams with their headers.
TEST(MembershipCodec, TrafficAtFullSizeStaysWithinTheBudget)
{
  constexpr int kCentres = 12;
  constexpr int kInstances = 330;
  constexpr int kSeconds = 60;
  membership::Cluster cluster(400);
  const auto name = [](int aNumber) {
    return "entry-" + std::to_string(1000 + aNumber);
  };
  std::map<std::string, Load> loads;
  std::map<std::size_t, Load> kinds;
  std::map<std::string, DatagramCodec> codecs;
  std::size_t largest = 0;
  bool counting = false;
  const SharedKey key = *SharedKey::FromText("0123456789abcdef");
  cluster.m_observe = [&](const std::string& aFrom,
                          const std::string& aTo,
                          const membership::SendMessage& aSend) {
    if (!counting) {
      return;
    }
    const std::string bytes =
      codecs.at(aFrom).Encode(aSend.m_to, EncodeMembership(aSend.m_message));
    largest = std::max(largest, bytes.size());
    loads[aFrom].m_sent += bytes.size() + kPacketHeaders;
    loads[aTo].m_received += bytes.size() + kPacketHeaders;
    kinds[aSend.m_message.index()].m_sent += bytes.size() + kPacketHeaders;
    ++kinds[aSend.m_message.index()].m_received;
  };
  std::vector<std::string> seeds;
  seeds.reserve(kCentres);
  for (int centre = 0; centre < kCentres; ++centre) {
    seeds.push_back(membership::Cluster::AddressOf(name(centre)));
  }
  for (int number = 0; number < kInstances; ++number) {
    cluster.Start(name(number),
                  "region-dc-" + std::to_string(number % kCentres),
                  seeds,
                  1764800000000);
    codecs.try_emplace(
      name(number), key, InstanceId(name(number)), Incarnation(1764800000000));
  }
  cluster.Run(seconds(60));
  counting = true;
  RandomSource random(401);
  for (int second = 0; second < kSeconds; ++second) {
    for (int number = 0; number < kInstances; ++number) {
      membership::LocalStateChanged change{
        Revision(static_cast<std::uint64_t>(8400 + second / 10)), false, {}
      };
      for (const char* model : { "conselheiro", "tasadores", "mostrador" }) {
        change.m_capacity.push_back(
          { ModelName(model), static_cast<std::uint32_t>(random.Below(500)) });
      }
      cluster.Handle(name(number), change);
    }
    cluster.Run(seconds(1));
  }
  std::uint64_t worst = 0;
  std::uint64_t total = 0;
  for (const auto& [id, load] : loads) {
    worst = std::max(worst, load.m_sent + load.m_received);
    total += load.m_sent + load.m_received;
  }
  std::cout << "bytes_per_second_mean=" << total / kInstances / kSeconds
            << " bytes_per_second_worst=" << worst / kSeconds
            << " largest_datagram=" << largest << '\n';
  for (const auto& [index, load] : kinds) {
    std::cout << "message=" << index << " count=" << load.m_received
              << " mean_bytes=" << load.m_sent / load.m_received << '\n';
  }
  EXPECT_LT(worst / kSeconds, 13000U);
  EXPECT_LE(largest, 1400U);
  for (int number = 0; number < kInstances; ++number) {
    const auto& summaries = cluster.At(name(number)).Summaries();
    EXPECT_EQ(summaries.All().size(), static_cast<std::size_t>(kCentres));
  }
}

} // namespace
} // namespace auburntrestle::protocol
