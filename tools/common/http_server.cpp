#include "common/http_server.hpp"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace auburntrestle::tools {

namespace internal {

constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMaxPipelined = 4;

/**
 * Calls functions when a connection closes. RESTinio reports the close from
 * within its connection code, so the functions are posted to the I/O context.
 */
class CloseListener
{
public:
  explicit CloseListener(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  void Watch(std::uint64_t aConnection, std::function<void()> aFunction)
  {
    m_watchers[aConnection].push_back(std::move(aFunction));
  }

  void state_changed(const restinio::connection_state::notice_t& aNotice)
  {
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
          aNotice.cause())) {
      return;
    }
    asio::post(m_context, [this, connection = aNotice.connection_id()] {
      auto found = m_watchers.extract(connection);
      if (found.empty()) {
        return;
      }
      for (auto& function : found.mapped()) {
        function();
      }
    });
  }

private:
  asio::io_context& m_context;
  std::unordered_map<std::uint64_t, std::vector<std::function<void()>>>
    m_watchers;
};

struct Traits : public restinio::default_single_thread_traits_t
{
  using connection_state_listener_t = CloseListener;
};

using Server = restinio::http_server_t<Traits>;

HttpRequest Convert(const restinio::request_handle_t& aRequest)
{
  HttpRequest result;
  const auto& header = aRequest->header();
  result.m_method = header.method().c_str();
  result.m_path = std::string(header.path());
  for (const auto& [name, value] :
       restinio::parse_query<restinio::parse_query_traits::relaxed>(
         header.query())) {
    result.m_query[std::string(name)] = std::string(value);
  }
  header.for_each_field([&](const auto& aField) {
    std::string name(aField.name());
    std::transform(name.begin(), name.end(), name.begin(), [](char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    result.m_headers[name] = aField.value();
  });
  result.m_body = aRequest->body();
  return result;
}

class Exchange : public HttpExchange
{
public:
  Exchange(restinio::request_handle_t aHandle,
           std::shared_ptr<CloseListener> aListener)
    : m_handle(std::move(aHandle))
    , m_listener(std::move(aListener))
    , m_request(Convert(m_handle))
    , m_closed(std::make_shared<bool>(false))
  {
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() override
  {
    if (m_handle && !m_stream) {
      SendError(500, "internal", "no answer was given", "outcome_unknown");
    }
  }

  const HttpRequest& Request() const noexcept override { return m_request; }

  void Send(int aStatus,
            std::string aBody,
            const HttpHeaders& aHeaders) override
  {
    if (!m_handle) {
      return;
    }
    auto response = m_handle->create_response(Status(aStatus));
    response.append_header_date_field();
    for (const auto& [name, value] : aHeaders) {
      response.append_header(name, value);
    }
    response.set_body(std::move(aBody)).done();
    m_handle.reset();
  }

  void BeginStream(int aStatus,
                   const std::string& aContentType,
                   const HttpHeaders& aHeaders) override
  {
    m_stream.emplace(
      m_handle->create_response<restinio::chunked_output_t>(Status(aStatus)));
    m_stream->append_header("Content-Type", aContentType);
    for (const auto& [name, value] : aHeaders) {
      m_stream->append_header(name, value);
    }
    m_stream->flush();
    OnClosed([] {});
  }

  void Write(std::string aChunk) override
  {
    if (!m_stream || *m_closed) {
      return;
    }
    m_stream->append_chunk(std::move(aChunk));
    m_stream->flush();
  }

  void End() override
  {
    if (m_stream && !*m_closed) {
      m_stream->done();
    }
    m_stream.reset();
    m_handle.reset();
  }

  void Abort() override
  {
    if (!m_handle || m_stream) {
      return;
    }
    // A body shorter than its Content-Length makes the peer lose the response.
    auto response =
      m_handle->create_response<restinio::user_controlled_output_t>(
        restinio::status_ok());
    response.set_content_length(1024);
    response.append_header("Connection", "close");
    response.connection_close();
    response.set_body("lost").done();
    m_handle.reset();
  }

  bool IsClosed() const noexcept override { return *m_closed; }

  void OnClosed(std::function<void()> aFunction) override
  {
    if (!m_handle) {
      return;
    }
    m_listener->Watch(m_handle->connection_id(),
                      [closed = m_closed, function = std::move(aFunction)] {
                        *closed = true;
                        function();
                      });
  }

private:
  static restinio::http_status_line_t Status(int aStatus)
  {
    return { restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus)),
             aStatus < 300 ? "OK" : "Error" };
  }

  using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

  restinio::request_handle_t m_handle;
  std::shared_ptr<CloseListener> m_listener;
  HttpRequest m_request;
  std::shared_ptr<bool> m_closed;
  std::optional<Stream> m_stream;
};

} // namespace internal

struct HttpServer::Implementation
{
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
    m_context.get_executor()
  };
  std::shared_ptr<internal::CloseListener> m_listener{
    std::make_shared<internal::CloseListener>(m_context)
  };
  asio::signal_set m_signals{ m_context };
  std::unique_ptr<internal::Server> m_server;
};

HttpServer::HttpServer()
  : m_implementation(std::make_unique<Implementation>())
{
  std::signal(SIGPIPE, SIG_IGN);
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Listen(std::uint16_t aPort, HttpHandler aHandler)
{
  std::uint16_t bound = 0;
  std::exception_ptr failure;
  auto& context = m_implementation->m_context;
  const auto longTime = std::chrono::hours(24);
  m_implementation->m_server = std::make_unique<internal::Server>(
    restinio::external_io_context(context), [&](auto& aSettings) {
      aSettings.address("127.0.0.1")
        .port(aPort)
        .read_next_http_message_timelimit(longTime)
        .write_http_response_timelimit(longTime)
        .handle_request_timeout(longTime)
        // Pipelining keeps the read active while a response is pending, so
        // that a closed connection is detected before the next write.
        .max_pipelined_requests(internal::kMaxPipelined)
        .incoming_http_msg_limits(
          restinio::incoming_http_msg_limits_t{}.max_body_size(
            internal::kMaxBodyBytes))
        .connection_state_listener(m_implementation->m_listener)
        .acceptor_options_setter([](auto& aOptions) {
          aOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](auto& aOptions) {
          aOptions.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([&bound](auto& aAcceptor) {
          bound = aAcceptor.local_endpoint().port();
        })
        .request_handler([this, handler = std::move(aHandler)](
                           const restinio::request_handle_t& aRequest) {
          handler(std::make_shared<internal::Exchange>(
            aRequest, m_implementation->m_listener));
          return restinio::request_accepted();
        });
    });
  bool opened = false;
  m_implementation->m_server->open_async(
    [&opened] { opened = true; },
    [&failure](std::exception_ptr aFailure) { failure = std::move(aFailure); });
  while (!opened && !failure) {
    context.run_one();
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
  return bound;
}

void HttpServer::OnTerminate(std::function<void()> aFunction)
{
  m_implementation->m_signals.add(SIGTERM);
  m_implementation->m_signals.add(SIGINT);
  m_implementation->m_signals.async_wait(
    [function = std::move(aFunction)](const auto& aError, int) {
      if (!aError) {
        function();
      }
    });
}

void HttpServer::Run()
{
  m_implementation->m_context.run();
}

void HttpServer::Stop()
{
  m_implementation->m_context.stop();
}

void HttpServer::Post(std::function<void()> aFunction)
{
  asio::post(m_implementation->m_context, std::move(aFunction));
}

void HttpServer::After(Duration aDelay, std::function<void()> aFunction)
{
  auto timer =
    std::make_shared<asio::steady_timer>(m_implementation->m_context, aDelay);
  timer->async_wait(
    [timer, function = std::move(aFunction)](const auto& aError) {
      if (!aError) {
        function();
      }
    });
}

void HttpServer::Every(Duration aInterval, std::function<void()> aFunction)
{
  After(aInterval, [this, aInterval, function = std::move(aFunction)] {
    function();
    Every(aInterval, function);
  });
}

std::uint64_t HttpRequest::QueryNumber(const std::string& aName,
                                       std::uint64_t aFallback) const
{
  const auto found = m_query.find(aName);
  return found == m_query.end()
           ? aFallback
           : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string HttpRequest::Header(const std::string& aLowerName) const
{
  const auto found = m_headers.find(aLowerName);
  return found == m_headers.end() ? std::string() : found->second;
}

void HttpExchange::SendJson(int aStatus,
                            std::string aText,
                            HttpHeaders aHeaders)
{
  aHeaders.emplace_back("Content-Type", "application/json");
  Send(aStatus, std::move(aText), aHeaders);
}

void HttpExchange::SendError(int aStatus,
                             std::string_view aCode,
                             std::string_view aMessage,
                             std::string_view aOutcome,
                             HttpHeaders aHeaders)
{
  if (aOutcome == "not_run") {
    aHeaders.emplace_back("X-Not-Run", "true");
  }
  const nlohmann::json body{
    { "error",
      { { "code", aCode }, { "message", aMessage }, { "outcome", aOutcome } } }
  };
  SendJson(aStatus, body.dump(), std::move(aHeaders));
}

void PrintReady(std::uint16_t aPort)
{
  std::cout << "ready port=" << aPort << std::endl;
}

} // namespace auburntrestle::tools
