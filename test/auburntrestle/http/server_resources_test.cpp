#include "auburntrestle/http/server_resources.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace auburntrestle::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMemory = 400'000;
constexpr std::size_t kConnections = 4;
constexpr std::size_t kLarge = 100'000;

class ServerResourcesTest : public testing::Test
{
protected:
  ServerResourcesTest()
  {
    m_resources.OnShed(
      [this](ShedReason aReason) { m_shed.emplace_back(ToString(aReason)); });
  }

  /** Adds a connection that removes itself when it is closed. */
  bool Add(const std::string& aName, ConnectionStage aStage, int aAtMs)
  {
    auto handle = m_resources.TryAdd(
      [this, aName] {
        m_resources.Remove(m_handles.at(aName));
        m_handles.erase(aName);
      },
      At(aAtMs));
    if (!handle) {
      return false;
    }
    m_handles.emplace(aName, *handle);
    m_resources.EnterStage(*handle, aStage, At(aAtMs));
    return true;
  }

  bool TryHold(const std::string& aName, std::size_t aBytes, int aAtMs)
  {
    return m_resources.TryHold(m_handles.at(aName), aBytes, At(aAtMs));
  }

  static TimePoint At(int aMs) { return TimePoint(milliseconds(aMs)); }

  ServerResources m_resources{ { kMemory, kConnections } };
  std::map<std::string, ServerResources::Handle> m_handles;
  std::vector<std::string> m_shed;
};

/** Three connections of a full process when a fourth one needs memory. */
struct ShedCase
{
  std::string m_name;
  std::vector<ConnectionStage> m_stages;
  /** When each made progress last, ms; the fourth one needs memory at 1000. */
  std::vector<int> m_progress;
  std::string m_closed;
  std::string m_reason;
};

class ShedTest
  : public ServerResourcesTest
  , public testing::WithParamInterface<ShedCase>
{};

// Guards against giving up what is worth most to callers: a request that is
// being handled, or one that still arrives, for the sake of a stalled one.
TEST_P(ShedTest, WhatCostsLeastGivesWay)
{
  const ShedCase& given = GetParam();
  for (std::size_t index = 0; index < given.m_stages.size(); ++index) {
    const auto name = std::to_string(index);
    ASSERT_TRUE(Add(name, given.m_stages[index], given.m_progress[index]));
    ASSERT_TRUE(TryHold(name, kLarge, given.m_progress[index]));
  }
  ASSERT_TRUE(Add("new", ConnectionStage::Receiving, 1000));
  const bool held = TryHold("new", kLarge, 1000);
  EXPECT_EQ(held, !given.m_closed.empty());
  EXPECT_EQ(m_shed, std::vector<std::string>{ given.m_reason });
  EXPECT_FALSE(m_handles.contains(given.m_closed));
}

constexpr auto kIdle = ConnectionStage::Idle;
constexpr auto kReceiving = ConnectionStage::Receiving;
constexpr auto kHandling = ConnectionStage::Handling;
constexpr auto kSending = ConnectionStage::Sending;

INSTANTIATE_TEST_SUITE_P(
  Crowds,
  ShedTest,
  testing::Values(ShedCase{ "slowest_request",
                            { kReceiving, kReceiving, kReceiving },
                            { 100, 200, 900 },
                            "0",
                            "slow_request_closed" },
                  ShedCase{ "all_move",
                            { kReceiving, kReceiving, kReceiving },
                            { 600, 700, 900 },
                            "",
                            "request_refused" },
                  ShedCase{ "handled_requests_stay",
                            { kHandling, kHandling, kHandling },
                            { 0, 0, 0 },
                            "",
                            "request_refused" },
                  ShedCase{ "slow_reader",
                            { kSending, kHandling, kReceiving },
                            { 100, 0, 900 },
                            "0",
                            "slow_reader_closed" },
                  ShedCase{ "idle_last",
                            { kIdle, kHandling, kReceiving },
                            { 900, 0, 900 },
                            "0",
                            "idle_closed" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** A connection that makes progress, and whether it then gives way. */
struct RateCase
{
  std::string m_name;
  ConnectionStage m_stage{};
  std::size_t m_bytes = 0;
  int m_intervalMs = 0;
  bool m_givesWay = false;
};

class RateTest
  : public ServerResourcesTest
  , public testing::WithParamInterface<RateCase>
{};

// Guards against clients that send or read 1 KiB now and then: each was taken
// for one that makes progress, and together they kept all others out.
TEST_P(RateTest, OnlyThoseBelowTheMinimumRateGiveWay)
{
  const RateCase& given = GetParam();
  ASSERT_TRUE(Add("slow", given.m_stage, 0));
  ASSERT_TRUE(TryHold("slow", 3 * kLarge, 0));
  constexpr int kEndMs = 4000;
  for (int at = given.m_intervalMs; at <= kEndMs; at += given.m_intervalMs) {
    m_resources.RecordProgress(m_handles.at("slow"), given.m_bytes, At(at));
  }
  ASSERT_TRUE(Add("new", kReceiving, kEndMs));
  EXPECT_EQ(TryHold("new", kLarge, kEndMs), given.m_givesWay);
  EXPECT_EQ(m_handles.contains("slow"), !given.m_givesWay);
}

INSTANTIATE_TEST_SUITE_P(
  Rates,
  RateTest,
  testing::Values(
    RateCase{ "kibibyte_in_a_request", kReceiving, 1024, 400, true },
    RateCase{ "byte_in_a_request", kReceiving, 1, 10, true },
    RateCase{ "packets_of_a_request", kReceiving, 1460, 20, false },
    RateCase{ "pieces_of_a_request", kReceiving, 16'384, 400, false },
    RateCase{ "kibibyte_of_a_response", kSending, 1024, 400, true },
    RateCase{ "packets_of_a_response", kSending, 1460, 20, false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against large requests that leave no room for ordinary ones.
TEST_F(ServerResourcesTest, KeepsAReserveForSmallHoldings)
{
  constexpr std::size_t kSmall = 30'000;
  for (const char* name : { "a", "b", "c" }) {
    ASSERT_TRUE(Add(name, kHandling, 0));
    ASSERT_TRUE(TryHold(name, kLarge, 0));
  }
  ASSERT_TRUE(Add("small", kReceiving, 0));
  EXPECT_FALSE(TryHold("small", kLarge, 0));
  EXPECT_TRUE(TryHold("small", kSmall, 0));
  EXPECT_EQ(m_resources.HeldBytes(), 3 * kLarge + kSmall);
}

// Guards against a crowd of silent connections that nobody else gets past.
TEST_F(ServerResourcesTest, ANewConnectionReplacesTheLongestIdleOne)
{
  for (const char* name : { "a", "b", "c", "d" }) {
    ASSERT_TRUE(Add(name, kIdle, 0));
  }
  EXPECT_TRUE(Add("new", kReceiving, 0));
  EXPECT_FALSE(m_handles.contains("a"));
  EXPECT_EQ(m_resources.Connections(), kConnections);
}

TEST_F(ServerResourcesTest, AConnectionIsRefusedWhileAllAreInUse)
{
  for (const char* name : { "a", "b", "c", "d" }) {
    ASSERT_TRUE(Add(name, kHandling, 0));
  }
  EXPECT_FALSE(Add("new", kIdle, 10'000));
  EXPECT_EQ(m_shed, std::vector<std::string>{ "connection_refused" });
}

// Guards against clients that all ask for large responses and do not read them:
// each response was held beyond the limit until it had stalled for a while.
TEST_F(ServerResourcesTest, AResponseReplacesTheOneThatIsFurthestBehind)
{
  for (const char* name : { "a", "b", "c", "d" }) {
    ASSERT_TRUE(Add(name, kHandling, 0));
  }
  int now = 0;
  for (const char* name : { "a", "b", "c", "d" }) {
    m_resources.EnterStage(m_handles.at(name), kSending, At(++now));
    m_resources.Hold(m_handles.at(name), kLarge, At(now));
  }
  EXPECT_EQ(m_shed, std::vector<std::string>{ "slow_reader_closed" });
  EXPECT_FALSE(m_handles.contains("a"));
  EXPECT_EQ(m_resources.HeldBytes(), 3 * kLarge);
}

// Guards against a response that is dropped because others fill the memory.
TEST_F(ServerResourcesTest, AResponseIsHeldBeyondTheLimit)
{
  ASSERT_TRUE(Add("a", kHandling, 0));
  m_resources.Hold(m_handles.at("a"), 2 * kMemory, At(0));
  EXPECT_EQ(m_resources.HeldBytes(), 2 * kMemory);
  ASSERT_TRUE(Add("b", kReceiving, 0));
  EXPECT_FALSE(TryHold("b", 1, 0));
  EXPECT_TRUE(TryHold("a", 0, 0));
  EXPECT_TRUE(TryHold("b", 1, 0));
}

} // namespace
} // namespace auburntrestle::http
