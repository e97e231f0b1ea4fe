#include "platform/client_crowd.hpp"
#include "platform/small_deployment.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <sstream>
#include <string>

namespace auburntrestle::platform::test {
namespace {

/** Clients of a crowd. */
constexpr int kCrowd = 800;

/** What each client of a crowd sends before it stops and stays connected. */
struct CrowdCase
{
  std::string m_name;
  Target m_target{};
  std::function<std::string()> m_bytes;
};

std::string Head(const std::string& aFields)
{
  return "POST /plain/x HTTP/1.1\r\nHost: app.example\r\n" + aFields;
}

/** @return a head within the limit of 16,384 bytes that lacks its end. */
std::string UnfinishedHead(const std::string& aLine)
{
  constexpr std::size_t kFieldBytes = 16'200;
  return Head(Repeat(aLine, kFieldBytes));
}

/** @return a request whose body lacks its last byte. */
std::string UnfinishedBody(std::size_t aBytes)
{
  return Head("Content-Length: " + std::to_string(aBytes) + "\r\n\r\n") +
         std::string(aBytes - 1, 'x');
}

/** @return a request in chunks that lacks its last chunk. */
std::string UnfinishedChunks(const std::string& aChunk, std::size_t aBytes)
{
  return Head("Transfer-Encoding: chunked\r\n\r\n") + Repeat(aChunk, aBytes);
}

/** @return a chunk that lacks its last byte. */
std::string UnfinishedChunk(std::size_t aBytes)
{
  std::ostringstream size;
  size << std::hex << aBytes;
  return Head("Transfer-Encoding: chunked\r\n\r\n") + size.str() + "\r\n" +
         std::string(aBytes - 1, 'x');
}

std::string ShortLines()
{
  return UnfinishedHead("a:\r\n");
}

std::string FoldedLines()
{
  return UnfinishedHead("a: b\r\n c\r\n");
}

std::string SmallBody()
{
  constexpr std::size_t kBytes = 65'000;
  return UnfinishedBody(kBytes);
}

std::string LargeBody()
{
  constexpr std::size_t kBytes = 900'000;
  return UnfinishedBody(kBytes);
}

std::string SmallChunks()
{
  constexpr std::size_t kBytes = 240'000;
  return UnfinishedChunks("1\r\nx\r\n", kBytes);
}

std::string ExtendedChunks()
{
  constexpr std::size_t kBytes = 240'000;
  return UnfinishedChunks("4;extension=value\r\nxxxx\r\n", kBytes);
}

std::string LargeChunk()
{
  constexpr std::size_t kBytes = 900'000;
  return UnfinishedChunk(kBytes);
}

std::string Trailers()
{
  constexpr std::size_t kBytes = 60'000;
  return Head("Transfer-Encoding: chunked\r\n\r\n0\r\n") +
         Repeat("a:\r\n", kBytes);
}

/** Requests that are sent ahead, by a client that never reads. */
std::string Pipelined()
{
  constexpr std::size_t kBytes = 120'000;
  return Repeat("GET /unknown/x HTTP/1.1\r\nHost: app.example\r\n\r\n", kBytes);
}

std::string Nothing()
{
  return {};
}

/** A small deployment, and a crowd of clients at one of its addresses. */
class UntrustedClientsTest
  : public SmallDeployment
  , public testing::TestWithParam<CrowdCase>
{
protected:
  /** Sends ordinary requests to all addresses, which also gives the processes
   * the time to read what the crowd has sent. */
  void SendOrdinaryRequests()
  {
    for (const auto& request : OrdinaryRequests()) {
      SendUntilServed(
        request.m_target, request.m_method, request.m_path, request.m_body);
    }
  }

  ClientCrowd m_crowd{ m_loop };
};

// Guards against clients that fill the memory or use up the descriptors of a
// process, each within the limits for one request: the process ended, or served
// nobody else.
TEST_P(UntrustedClientsTest, LeaveRoomForOthers)
{
  SetUpService();
  m_crowd.Connect(
    kCrowd, m_addresses.at(GetParam().m_target), GetParam().m_bytes());
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    SendOrdinaryRequests();
  }
  CheckProcesses();
}

INSTANTIATE_TEST_SUITE_P(
  Callers,
  UntrustedClientsTest,
  testing::Values(
    CrowdCase{ "short_lines", Target::Callers, ShortLines },
    CrowdCase{ "folded_lines", Target::Callers, FoldedLines },
    CrowdCase{ "small_bodies", Target::Callers, SmallBody },
    CrowdCase{ "large_bodies", Target::Callers, LargeBody },
    CrowdCase{ "small_chunks", Target::Callers, SmallChunks },
    CrowdCase{ "extended_chunks", Target::Callers, ExtendedChunks },
    CrowdCase{ "large_chunks", Target::Callers, LargeChunk },
    CrowdCase{ "trailers", Target::Callers, Trailers },
    CrowdCase{ "pipelined", Target::Callers, Pipelined },
    CrowdCase{ "silent", Target::Callers, Nothing }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Control,
  UntrustedClientsTest,
  testing::Values(CrowdCase{ "short_lines", Target::Control, ShortLines },
                  CrowdCase{ "small_bodies", Target::Control, SmallBody },
                  CrowdCase{ "large_bodies", Target::Control, LargeBody },
                  CrowdCase{ "small_chunks", Target::Control, SmallChunks },
                  CrowdCase{ "large_chunks", Target::Control, LargeChunk },
                  CrowdCase{ "silent", Target::Control, Nothing }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

INSTANTIATE_TEST_SUITE_P(
  Others,
  UntrustedClientsTest,
  testing::Values(
    CrowdCase{ "readiness_bodies", Target::Readiness, LargeBody },
    CrowdCase{ "readiness_silent", Target::Readiness, Nothing },
    CrowdCase{ "entry_metrics_lines", Target::EntryMetrics, ShortLines },
    CrowdCase{ "store_metrics_chunks", Target::StoreMetrics, LargeChunk },
    CrowdCase{ "store_metrics_silent", Target::StoreMetrics, Nothing }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform::test
