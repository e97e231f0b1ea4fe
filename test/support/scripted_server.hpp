#ifndef AUBURNTRESTLE_TEST_SUPPORT_SCRIPTED_SERVER_HPP
#define AUBURNTRESTLE_TEST_SUPPORT_SCRIPTED_SERVER_HPP

#include "auburntrestle/gateway/server.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburntrestle::test {

/** A backend server with scripted responses; it records its requests. */
class ScriptedServer
{
public:
  using Script = std::function<void(const gateway::HttpRequest&,
                                    std::shared_ptr<gateway::Responder>)>;

  explicit ScriptedServer(Script aScript)
    : m_script(std::move(aScript))
    , m_server(
        gateway::Server::Start({}, [this](auto aRequest, auto aResponder) {
          Record(aRequest);
          m_script(aRequest, std::move(aResponder));
        }).value())
  {
  }

  [[nodiscard]] std::string Address() const
  {
    return "http://127.0.0.1:" + std::to_string(m_server->Port());
  }

  /** @return the requests received so far. */
  [[nodiscard]] std::vector<gateway::HttpRequest> Received() const
  {
    const std::lock_guard lock(m_mutex);
    return m_received;
  }

  /** Closes all connections and stops listening. */
  void Kill() { m_server.reset(); }

private:
  void Record(const gateway::HttpRequest& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    m_received.push_back(aRequest);
  }

  Script m_script;
  mutable std::mutex m_mutex;
  std::vector<gateway::HttpRequest> m_received;
  std::unique_ptr<gateway::Server> m_server;
};

/** @return the event of one token in an engine's stream. */
[[nodiscard]] inline std::string TokenEvent(const std::string& aText,
                                            std::size_t aIndex,
                                            unsigned aVersion)
{
  return R"(data: {"id":"x","choices":[{"index":0,"text":")" + aText +
         R"(","finish_reason":null}],"weight_version":)" +
         std::to_string(aVersion) + R"(,"token_index":)" +
         std::to_string(aIndex) + "}\n\n";
}

/** @return the events that end an engine's stream. */
[[nodiscard]] inline std::string EndEvents()
{
  return R"(data: {"id":"x","choices":[{"index":0,"text":"",)"
         R"("finish_reason":"stop"}]})"
         "\n\ndata: [DONE]\n\n";
}

} // namespace auburntrestle::test

#endif
