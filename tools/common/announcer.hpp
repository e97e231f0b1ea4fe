#ifndef AUBURNTRESTLE_TOOLS_COMMON_ANNOUNCER_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_ANNOUNCER_HPP

#include "common/http_client.hpp"
#include "common/http_server.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::tools {

/** Splits a comma-separated list; empty parts are dropped. */
[[nodiscard]] std::vector<std::string> SplitList(const std::string& aText);

/**
 * Announces a backend server to one instance at regular intervals, and switches
 * to the next instance of the list when an announcement fails.
 */
class Announcer
{
public:
  /**
   * @param aInstances addresses such as "http://127.0.0.1:8080".
   * @param aBody makes the body of an announcement.
   */
  Announcer(HttpServer& aServer,
            std::vector<std::string> aInstances,
            Duration aInterval,
            std::function<std::string()> aBody);

  /** Announces now and at each interval. */
  void Start();
  /** Announces once, immediately. */
  void Announce();

private:
  void Send(std::size_t aTriesLeft);

  HttpServer& m_server;
  std::vector<std::string> m_instances;
  Duration m_interval;
  std::function<std::string()> m_body;
  std::size_t m_current = 0;
  AsyncHttpClient m_client;
};

/** @return an incarnation that increases with each start of a program. */
[[nodiscard]] std::uint64_t IncarnationFromClock();

} // namespace auburntrestle::tools

#endif
