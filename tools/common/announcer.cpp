#include "common/announcer.hpp"

#include "auburntrestle/observe/log.hpp"

#include <chrono>
#include <sstream>

namespace auburntrestle::tools {

using observe::LogLevel;
using observe::LogLine;

std::vector<std::string> SplitList(const std::string& aText)
{
  std::vector<std::string> result;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      result.push_back(part);
    }
  }
  return result;
}

Announcer::Announcer(HttpServer& aServer,
                     std::vector<std::string> aInstances,
                     Duration aInterval,
                     std::function<std::string()> aBody)
  : m_server(aServer)
  , m_instances(std::move(aInstances))
  , m_interval(aInterval)
  , m_body(std::move(aBody))
{
}

void Announcer::Start()
{
  if (m_instances.empty()) {
    return;
  }
  Announce();
  m_server.Every(m_interval, [this] { Announce(); });
}

void Announcer::Announce()
{
  if (!m_instances.empty()) {
    Send(m_instances.size());
  }
}

void Announcer::Send(std::size_t aTriesLeft)
{
  const std::size_t used = m_current;
  HttpCall call;
  call.m_method = "POST";
  call.m_url = m_instances[used] + "/v1/backends/announce";
  call.m_body = m_body();
  call.m_timeout = std::chrono::seconds(2);
  m_client.Start(call, [this, used, aTriesLeft](const HttpResponse& aResponse) {
    if (aResponse.IsOk()) {
      return;
    }
    m_server.Post([this, used, aTriesLeft, aResponse] {
      LogLine(LogLevel::Warning, "announce_failed")
        .Add("instance", m_instances[used])
        .Add("status", aResponse.m_status)
        .Add("failure", aResponse.m_failure);
      if (m_current == used) {
        m_current = (used + 1) % m_instances.size();
      }
      if (aTriesLeft > 1) {
        Send(aTriesLeft - 1);
      }
    });
  });
}

std::uint64_t IncarnationFromClock()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace auburntrestle::tools
