#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/protocol/pack.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <limits>

namespace auburntrestle::protocol {

enum class Colour : std::uint8_t
{
  Red,
  Green,
};

template<>
inline constexpr Colour kLastValue<Colour> = Colour::Green;

struct Inner
{
  std::int64_t m_number = 0;
  friend bool operator==(const Inner&, const Inner&) = default;
};

struct Outer
{
  bool m_flag = false;
  std::uint16_t m_small = 0;
  double m_share = 0.0;
  std::string m_text;
  Colour m_colour{};
  Term m_term;
  Duration m_delay{};
  std::optional<Inner> m_maybe;
  std::vector<Inner> m_list;
  std::map<ModelName, std::uint32_t> m_map;
  std::variant<Inner, std::string> m_either;
  friend bool operator==(const Outer&, const Outer&) = default;
};

/** An older version of Outer. */
struct OldOuter
{
  bool m_flag = false;
  std::uint16_t m_small = 0;
};

/** A newer version of OldOuter. */
struct NewOuter
{
  bool m_flag = false;
  std::uint16_t m_small = 0;
  std::optional<std::string> m_reason;
  std::uint16_t m_count = 9;
};

void Fields(auto& aArchive, MaybeConst<Inner> auto& aInner)
{
  aArchive(aInner.m_number);
}

void Fields(auto& aArchive, MaybeConst<Outer> auto& aOuter)
{
  aArchive(aOuter.m_flag,
           aOuter.m_small,
           aOuter.m_share,
           aOuter.m_text,
           aOuter.m_colour,
           aOuter.m_term,
           aOuter.m_delay,
           aOuter.m_maybe,
           aOuter.m_list,
           aOuter.m_map,
           aOuter.m_either);
}

void Fields(auto& aArchive, MaybeConst<OldOuter> auto& aOuter)
{
  aArchive(aOuter.m_flag, aOuter.m_small);
}

void Fields(auto& aArchive, MaybeConst<NewOuter> auto& aOuter)
{
  aArchive(aOuter.m_flag,
           aOuter.m_small,
           Appended{ aOuter.m_reason },
           Appended{ aOuter.m_count });
}

namespace {

Outer Example()
{
  return { true,
           65535,
           0.25,
           std::string("a\0b", 3),
           Colour::Green,
           Term(std::numeric_limits<std::uint64_t>::max()),
           Duration(-5),
           Inner{ std::numeric_limits<std::int64_t>::min() },
           { { 1 }, { -1 }, { std::numeric_limits<std::int64_t>::max() } },
           { { ModelName("m"), 7 } },
           std::string("second") };
}

// Guards against an encoding that differs between writing and reading.
TEST(Pack, ReadsWhatItWrote)
{
  for (const Outer& outer : { Example(), Outer{} }) {
    const auto read = Unpack<Outer>(Pack(outer));
    ASSERT_TRUE(read.has_value()) << read.error().m_detail;
    EXPECT_EQ(*read, outer);
  }
}

// Guards against an update that cannot be rolled out one instance at a time
// because old instances reject messages with new fields at their end.
TEST(Pack, OldReaderSkipsNewFields)
{
  const auto read = Unpack<OldOuter>(Pack(Example()));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->m_small, 65535);
  EXPECT_FALSE(Unpack<Outer>(Pack(OldOuter{})).has_value());
}

// Guards against stored data that an updated instance cannot read because a
// type has a new field since.
TEST(Pack, AppendedFieldsMayBeAbsent)
{
  const auto old = Unpack<NewOuter>(Pack(OldOuter{ true, 7 }));
  ASSERT_TRUE(old.has_value());
  EXPECT_EQ(old->m_small, 7);
  EXPECT_FALSE(old->m_reason);
  EXPECT_EQ(old->m_count, 9);

  const auto read = Unpack<NewOuter>(Pack(NewOuter{ true, 7, "why", 1 }));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->m_reason, "why");
  EXPECT_EQ(read->m_count, 1);
  EXPECT_FALSE(Unpack<NewOuter>(Pack(Inner{})).has_value());
}

// Guards against accepting values of another type or out of range.
TEST(Pack, RefusesWhatDoesNotFit)
{
  using Bytes = std::string;
  const Bytes deep(100, '\x91');
  const std::vector<std::pair<Bytes, ProtocolErrorCode>> rows{
    { "", ProtocolErrorCode::Malformed },
    { "\xc1", ProtocolErrorCode::Malformed },
    { Pack(std::string("text")), ProtocolErrorCode::Malformed },
    { Pack(-1), ProtocolErrorCode::Malformed },
    { Pack(256), ProtocolErrorCode::Malformed },
    { Pack(1) + Pack(1), ProtocolErrorCode::Malformed },
    { Pack(1.5), ProtocolErrorCode::Malformed },
    { Pack(true), ProtocolErrorCode::Malformed },
    // An array that claims four thousand million elements.
    { "\xdd\xff\xff\xff\xff", ProtocolErrorCode::TooLarge },
    { deep, ProtocolErrorCode::TooLarge },
  };
  for (const auto& [bytes, code] : rows) {
    const auto read = Unpack<std::uint8_t>(bytes);
    ASSERT_FALSE(read.has_value()) << testing::PrintToString(bytes);
    EXPECT_EQ(read.error().m_code, code) << testing::PrintToString(bytes);
  }
  EXPECT_FALSE(Unpack<Colour>(Pack(2)).has_value());
  EXPECT_FALSE((Unpack<std::variant<Inner, bool>>("\x92\x02\xc3")).has_value());
}

// Guards against corrupted input that crashes the reader or makes it allocate
// without limit: valid bytes, truncated and randomly changed.
TEST(Pack, SurvivesCorruptedInput)
{
  const std::string good = Pack(Example());
  constexpr std::uint64_t kSeed = 7;
  std::cout << "seed=" << kSeed << '\n';
  RandomSource random(kSeed);
  std::size_t refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = good.substr(0, random.Below(good.size()) + 1);
    for (std::uint64_t change = random.Below(4); change > 0; --change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    refused += Unpack<Outer>(bytes).has_value() ? 0 : 1;
  }
  EXPECT_GT(refused, 15000U);
}

} // namespace
} // namespace auburntrestle::protocol
