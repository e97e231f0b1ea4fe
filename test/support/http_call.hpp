#ifndef AUBURNTRESTLE_TEST_SUPPORT_HTTP_CALL_HPP
#define AUBURNTRESTLE_TEST_SUPPORT_HTTP_CALL_HPP

#include "auburntrestle/backend/http_client.hpp"

#include <chrono>
#include <future>
#include <memory>
#include <string>

namespace auburntrestle::test {

/** The result of a call and the body of its response. */
struct Response
{
  backend::CallResult m_result;
  std::string m_body;

  [[nodiscard]] int Status() const { return m_result.m_httpStatus; }
};

/** Sends HTTP requests and waits for the complete responses. */
class HttpCaller
{
public:
  HttpCaller()
    : m_client(backend::HttpClient::Create().value())
  {
  }

  /** Sends a request and waits for the end of its response. */
  [[nodiscard]] Response Call(backend::HttpCall aCall)
  {
    struct State
    {
      std::promise<Response> m_done;
      std::string m_body;
    };
    auto state = std::make_shared<State>();
    auto future = state->m_done.get_future();
    backend::CallHandlers handlers;
    handlers.m_onData = [state](const std::string& aData) {
      state->m_body += aData;
    };
    handlers.m_onDone = [state](backend::CallResult aResult) {
      state->m_done.set_value(
        Response{ std::move(aResult), std::move(state->m_body) });
    };
    m_client->Start(std::move(aCall), std::move(handlers));
    return future.get();
  }

  [[nodiscard]] Response Get(const std::string& aUrl)
  {
    backend::HttpCall call;
    call.m_method = "GET";
    call.m_url = aUrl;
    return Call(std::move(call));
  }

  [[nodiscard]] Response Post(
    const std::string& aUrl,
    const std::string& aBody,
    std::vector<std::pair<std::string, std::string>> aHeaders = {})
  {
    backend::HttpCall call;
    call.m_url = aUrl;
    call.m_body = aBody;
    call.m_headers = std::move(aHeaders);
    return Call(std::move(call));
  }

  [[nodiscard]] backend::HttpClient& Client() { return *m_client; }

private:
  std::unique_ptr<backend::HttpClient> m_client;
};

} // namespace auburntrestle::test

#endif
