#include "auburntrestle/gateway/server.hpp"

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/gateway/error_response.hpp"

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace auburntrestle::gateway {

namespace internal {

constexpr std::size_t kHardBodyFactor = 4;
// The library's own limits are higher than the configured ones, since it closes
// a connection above them without a response.
constexpr std::size_t kHardHeaderFactor = 4;
constexpr std::size_t kMaxHeaderFields = 200;
constexpr std::size_t kReservedConnections = 64;
// A streamed response may take hours; requests that wait for an engine have
// their own deadlines.
constexpr std::chrono::hours kHandleTimeout{ 24 };
constexpr std::chrono::seconds kWriteTimeout{ 60 };

class RestinioResponder;

/** Tracks open connections and the unfinished responders of each. */
class ConnectionTable
{
public:
  void OnOpened(restinio::connection_id_t aConnection, std::size_t aLimit)
  {
    const std::lock_guard lock(m_mutex);
    ++m_openCount;
    if (m_openCount > aLimit) {
      m_overLimit.insert(aConnection);
    }
  }

  void Add(restinio::connection_id_t aConnection,
           std::weak_ptr<RestinioResponder> aResponder)
  {
    const std::lock_guard lock(m_mutex);
    m_responders[aConnection].push_back(std::move(aResponder));
  }

  [[nodiscard]] bool IsOverLimit(restinio::connection_id_t aConnection)
  {
    const std::lock_guard lock(m_mutex);
    return m_overLimit.contains(aConnection);
  }

  void OnClosed(restinio::connection_id_t aConnection);

private:
  std::mutex m_mutex;
  std::size_t m_openCount = 0;
  std::unordered_set<restinio::connection_id_t> m_overLimit;
  std::unordered_map<restinio::connection_id_t,
                     std::vector<std::weak_ptr<RestinioResponder>>>
    m_responders;
};

class StateListener
{
public:
  StateListener(std::shared_ptr<ConnectionTable> aTable, std::size_t aLimit)
    : m_table(std::move(aTable))
    , m_limit(aLimit)
  {
  }

  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept
  {
    using namespace restinio::connection_state;
    if (restinio::holds_alternative<accepted_t>(aNotice.cause())) {
      m_table->OnOpened(aNotice.connection_id(), m_limit);
    } else if (restinio::holds_alternative<closed_t>(aNotice.cause())) {
      m_table->OnClosed(aNotice.connection_id());
    }
  }

private:
  std::shared_ptr<ConnectionTable> m_table;
  std::size_t m_limit;
};

using RequestHandler = std::function<restinio::request_handling_status_t(
  restinio::request_handle_t)>;

struct Traits
  : restinio::traits_t<restinio::asio_timer_manager_t,
                       restinio::null_logger_t,
                       RequestHandler>
{
  // The library requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
  using connection_state_listener_t = StateListener;
};

restinio::http_status_line_t StatusLine(int aStatus)
{
  const auto code =
    restinio::http_status_code_t(static_cast<std::uint16_t>(aStatus));
  return { code, aStatus < 400 ? "OK" : "Error" };
}

class RestinioResponder final : public Responder
{
public:
  explicit RestinioResponder(restinio::request_handle_t aRequest)
    : m_request(std::move(aRequest))
  {
  }

  void Send(HttpResponse aResponse) override
  {
    const auto request = ExtractRequest();
    if (!request) {
      return;
    }
    auto response = request->create_response(StatusLine(aResponse.m_status));
    response.append_header(restinio::http_field::content_type,
                           aResponse.m_contentType);
    for (auto& [name, value] : aResponse.m_headers) {
      response.append_header(std::move(name), std::move(value));
    }
    if (!request->header().should_keep_alive()) {
      response.connection_close();
    }
    response.set_body(std::move(aResponse.m_body));
    response.done();
  }

  void Begin(int aStatus, const std::string& aContentType) override
  {
    const auto request = ExtractRequest();
    if (!request) {
      return;
    }
    m_stream.emplace(request->create_response<restinio::chunked_output_t>(
      StatusLine(aStatus)));
    m_stream->append_header(restinio::http_field::content_type, aContentType);
    m_stream->append_header(restinio::http_field::cache_control, "no-store");
    m_stream->flush();
  }

  void Write(std::string aData) override
  {
    if (m_stream && !m_closed.load() && !aData.empty()) {
      m_stream->append_chunk(std::move(aData));
      m_stream->flush();
    }
  }

  void End() override
  {
    if (m_stream && !m_closed.load()) {
      m_finished.store(true);
      m_stream->done();
    }
    m_stream.reset();
  }

  void OnClosed(std::function<void()> aCallback) override
  {
    std::unique_lock lock(m_mutex);
    m_onClosed = std::move(aCallback);
    if (m_closed.load()) {
      lock.unlock();
      NotifyClosed();
    }
  }

  void OnConnectionClosed()
  {
    m_closed.store(true);
    NotifyClosed();
  }

private:
  void NotifyClosed()
  {
    std::unique_lock lock(m_mutex);
    const auto callback = std::exchange(m_onClosed, nullptr);
    lock.unlock();
    if (callback && !m_finished.load()) {
      callback();
    }
  }

  restinio::request_handle_t ExtractRequest()
  {
    if (m_closed.load()) {
      return nullptr;
    }
    auto request = std::exchange(m_request, nullptr);
    if (request && !m_stream) {
      m_started = true;
    }
    return request;
  }

  restinio::request_handle_t m_request;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
    m_stream;
  bool m_started = false;
  std::mutex m_mutex;
  std::function<void()> m_onClosed;
  std::atomic<bool> m_closed{ false };
  std::atomic<bool> m_finished{ false };
};

void ConnectionTable::OnClosed(restinio::connection_id_t aConnection)
{
  std::vector<std::weak_ptr<RestinioResponder>> responders;
  {
    const std::lock_guard lock(m_mutex);
    --m_openCount;
    m_overLimit.erase(aConnection);
    const auto found = m_responders.find(aConnection);
    if (found != m_responders.end()) {
      responders = std::move(found->second);
      m_responders.erase(found);
    }
  }
  for (const auto& weak : responders) {
    if (const auto responder = weak.lock()) {
      responder->OnConnectionClosed();
    }
  }
}

std::string LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

std::map<std::string, std::string> ParseQuery(std::string_view aQuery)
{
  std::map<std::string, std::string> parameters;
  auto parsed =
    restinio::try_parse_query<restinio::parse_query_traits::relaxed>(aQuery);
  if (parsed) {
    for (const auto& [name, value] : *parsed) {
      parameters.emplace(std::string(name), std::string(value));
    }
  }
  return parameters;
}

HttpRequest Convert(const restinio::request_t& aRequest)
{
  HttpRequest request;
  const auto& header = aRequest.header();
  request.m_method = header.method().c_str();
  request.m_path = std::string(header.path());
  request.m_query = ParseQuery(header.query());
  header.for_each_field([&](const auto& aField) {
    request.m_headers[LowerCase(aField.name())] = aField.value();
  });
  request.m_body = aRequest.body();
  return request;
}

std::size_t HeaderBytes(const restinio::request_t& aRequest)
{
  std::size_t bytes = aRequest.header().request_target().size();
  aRequest.header().for_each_field([&](const auto& aField) {
    bytes += aField.name().size() + aField.value().size() + 4;
  });
  return bytes;
}

/** Checks the limits for which the library cannot send a typed error. */
std::optional<ErrorCode> CheckLimits(const restinio::request_t& aRequest,
                                     const ServerSettings& aSettings)
{
  if (HeaderBytes(aRequest) > aSettings.m_maxHeaderBytes) {
    return ErrorCode::HeadersTooLarge;
  }
  if (aRequest.body().size() > aSettings.m_maxBodyBytes) {
    return ErrorCode::BodyTooLarge;
  }
  return std::nullopt;
}

} // namespace internal

struct Server::Implementation
{
  std::uint16_t m_port = 0;
  std::shared_ptr<internal::ConnectionTable> m_connections =
    std::make_shared<internal::ConnectionTable>();
  restinio::running_server_handle_t<internal::Traits> m_server;
};

namespace internal {

RequestHandler MakeRequestHandler(const ServerSettings& aSettings,
                                  std::shared_ptr<ConnectionTable> aTable,
                                  Handler aHandler)
{
  return [aSettings, table = std::move(aTable), handler = std::move(aHandler)](
           const restinio::request_handle_t& aRequest) {
    auto responder = std::make_shared<RestinioResponder>(aRequest);
    if (table->IsOverLimit(aRequest->connection_id())) {
      responder->Send(MakeErrorResponse(
        NotRunError(ErrorCode::TooManyConnections, NotRunEvidence::NeverSent),
        "this instance has reached its limit of open connections"));
      return restinio::request_accepted();
    }
    if (const auto code = CheckLimits(*aRequest, aSettings)) {
      responder->Send(
        MakeErrorResponse(NotRunError(*code, NotRunEvidence::NeverSent),
                          "the request exceeds a size limit"));
      return restinio::request_accepted();
    }
    table->Add(aRequest->connection_id(), responder);
    handler(Convert(*aRequest), std::move(responder));
    return restinio::request_accepted();
  };
}

} // namespace internal

tl::expected<std::unique_ptr<Server>, ListenError> Server::Start(
  const ServerSettings& aSettings,
  Handler aHandler)
{
  auto implementation = std::make_unique<Implementation>();
  auto* raw = implementation.get();
  restinio::server_settings_t<internal::Traits> settings;
  settings.address(aSettings.m_address)
    .port(aSettings.m_port)
    .request_handler(internal::MakeRequestHandler(
      aSettings, raw->m_connections, std::move(aHandler)))
    .connection_state_listener(std::make_shared<internal::StateListener>(
      raw->m_connections, aSettings.m_maxConnections))
    // With two, the library keeps reading while a response is streamed and
    // detects at once that the caller has closed its connection.
    .max_pipelined_requests(2)
    .read_next_http_message_timelimit(aSettings.m_requestTimeout)
    .write_http_response_timelimit(internal::kWriteTimeout)
    .handle_request_timeout(internal::kHandleTimeout)
    .incoming_http_msg_limits(
      restinio::incoming_http_msg_limits_t{}
        .max_url_size(aSettings.m_maxHeaderBytes * internal::kHardHeaderFactor)
        .max_field_name_size(aSettings.m_maxHeaderBytes)
        .max_field_value_size(aSettings.m_maxHeaderBytes *
                              internal::kHardHeaderFactor)
        .max_field_count(internal::kMaxHeaderFields)
        .max_body_size(aSettings.m_maxBodyBytes * internal::kHardBodyFactor))
    .max_parallel_connections(aSettings.m_maxConnections +
                              internal::kReservedConnections)
    .concurrent_accepts_count(4)
    .acceptor_options_setter([](restinio::acceptor_options_t& aOptions) {
      aOptions.set_option(
        restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
    })
    .socket_options_setter([](restinio::socket_options_t& aOptions) {
      aOptions.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
    })
    .acceptor_post_bind_hook(
      [raw](restinio::asio_ns::ip::tcp::acceptor& aAcceptor) {
        raw->m_port = aAcceptor.local_endpoint().port();
      });
  try {
    raw->m_server = restinio::run_async<internal::Traits>(
      restinio::own_io_context(), std::move(settings), aSettings.m_threads);
  } catch (const std::exception& error) {
    return tl::make_unexpected(
      ListenError{ aSettings.m_address, aSettings.m_port, error.what() });
  }
  return std::unique_ptr<Server>(new Server(std::move(implementation)));
}

Server::Server(std::unique_ptr<Implementation> aImplementation)
  : m_implementation(std::move(aImplementation))
{
}

Server::~Server()
{
  m_implementation->m_server->stop();
  m_implementation->m_server->wait();
}

std::uint16_t Server::Port() const noexcept
{
  return m_implementation->m_port;
}

} // namespace auburntrestle::gateway
