#include "auburntrestle/backend/http_client.hpp"

#include "auburntrestle/http/field_name.hpp"
#include "auburntrestle/http/message.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

namespace auburntrestle::backend {

namespace internal {

constexpr int kPollTimeoutMs = 1000;
constexpr long kMaxCachedConnections = 512;
/** Returned by a data callback: a number of bytes other than the one received
 * ends the transfer. */
constexpr std::size_t kAbortTransfer = 0;

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

struct Transfer
{
  CallId m_id;
  HttpCall m_call;
  CallHandlers m_handlers;
  CallResult m_result;
  bool m_headersReported = false;
  bool m_responseStarted = false;
  /** The next line is the status line of an interim or the final response. */
  bool m_expectsStatusLine = true;
  std::size_t m_receivedBytes = 0;
  std::unique_ptr<curl_slist, HeaderListDeleter> m_headerList;
  std::unique_ptr<CURL, EasyDeleter> m_easy;

  /** Adds received bytes. @return whether the response is within its limit. */
  [[nodiscard]] bool CountReceived(std::size_t aBytes)
  {
    m_receivedBytes += aBytes;
    return IsWithinLimit();
  }

  [[nodiscard]] bool IsWithinLimit() const noexcept
  {
    return m_receivedBytes <= m_call.m_maxResponseBytes;
  }

  [[nodiscard]] int Status() const
  {
    long status = 0;
    curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  void ReportHeaders()
  {
    if (m_headersReported) {
      return;
    }
    m_headersReported = true;
    m_result.m_httpStatus = Status();
    if (m_handlers.m_onHeaders) {
      m_handlers.m_onHeaders(m_result.m_httpStatus);
    }
  }
};

std::size_t OnBody(char* aData, std::size_t, std::size_t aSize, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  if (!transfer->CountReceived(aSize)) {
    return kAbortTransfer;
  }
  transfer->ReportHeaders();
  if (transfer->m_handlers.m_onData) {
    transfer->m_handlers.m_onData(std::string(aData, aSize));
  }
  return aSize;
}

/** Stores a header field. @return whether the line is one. */
bool StoreHeader(Transfer& aTransfer, std::string_view aLine)
{
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos ||
      !http::IsFieldName(aLine.substr(0, colon))) {
    return false;
  }
  std::string name(aLine.substr(0, colon));
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  std::string_view value = aLine.substr(colon + 1);
  const auto first = value.find_first_not_of(" \t");
  const auto last = value.find_last_not_of(" \t\r\n");
  if (first != std::string_view::npos) {
    aTransfer.m_result.m_headers[std::move(name)] =
      std::string(value.substr(first, last - first + 1));
  }
  return true;
}

/** Handles the end of a head. @return whether it is one of a response. */
bool HandleHeadEnd(Transfer& aTransfer)
{
  switch (http::KindOf(aTransfer.Status())) {
    case http::StatusKind::Invalid:
      return false;
    case http::StatusKind::Final:
      aTransfer.ReportHeaders();
      break;
    case http::StatusKind::Interim:
      aTransfer.m_expectsStatusLine = true;
      break;
  }
  return true;
}

/** Handles a line of a head. @return whether it belongs to a response. */
bool HandleLine(Transfer& aTransfer, std::string_view aLine)
{
  if (aLine == "\r\n" || aLine == "\n") {
    return HandleHeadEnd(aTransfer);
  }
  if (std::exchange(aTransfer.m_expectsStatusLine, false)) {
    return true;
  }
  return StoreHeader(aTransfer, aLine);
}

std::size_t OnHeader(char* aData,
                     std::size_t,
                     std::size_t aSize,
                     void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  transfer->m_responseStarted = true;
  const bool accepted = transfer->CountReceived(aSize) &&
                        HandleLine(*transfer, std::string_view(aData, aSize));
  return accepted ? aSize : kAbortTransfer;
}

CallStatus StatusOf(CURLcode aCode, const Transfer& aTransfer)
{
  // The library takes a connection that closes within the head of a response
  // for the end of a complete one.
  if (aCode == CURLE_OK && aTransfer.m_headersReported) {
    return CallStatus::Complete;
  }
  if (!aTransfer.IsWithinLimit()) {
    return CallStatus::TooLarge;
  }
  // A request certainly did not run only if none of its bytes were written; the
  // error code alone does not prove it.
  long sent = 0;
  curl_easy_getinfo(aTransfer.m_easy.get(), CURLINFO_REQUEST_SIZE, &sent);
  if (sent == 0 && !aTransfer.m_responseStarted) {
    return CallStatus::ConnectFailed;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return CallStatus::TimedOut;
  }
  return aTransfer.m_responseStarted ? CallStatus::LostMidResponse
                                     : CallStatus::LostBeforeResponse;
}

void Configure(Transfer& aTransfer)
{
  CURL* easy = aTransfer.m_easy.get();
  const HttpCall& call = aTransfer.m_call;
  curl_easy_setopt(easy, CURLOPT_URL, call.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.m_connectTimeout.count()));
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.m_timeout.count()));
  if (call.m_method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.m_body.data());
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.m_body.size()));
  }
  if (call.m_newConnection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  // Without this the library waits one second for "100 Continue" before it
  // sends a larger body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : call.m_headers) {
    std::string line = name;
    line.append(": ").append(value);
    list = curl_slist_append(list, line.c_str());
  }
  aTransfer.m_headerList.reset(list);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
}

struct StartCommand
{
  std::unique_ptr<Transfer> m_transfer;
};

struct CancelCommand
{
  CallId m_id;
};

using Command = std::variant<StartCommand, CancelCommand>;

} // namespace internal

class HttpClient::Implementation
{
public:
  explicit Implementation(CURLM* aMulti)
    : m_multi(aMulti)
    , m_thread([this] { Run(); })
  {
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation()
  {
    m_stopping.store(true);
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (const auto& [id, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, transfer->m_easy.get());
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }

  CallId Start(HttpCall aCall, CallHandlers aHandlers)
  {
    const CallId id(m_nextCall.fetch_add(1));
    auto transfer = std::make_unique<internal::Transfer>();
    transfer->m_id = id;
    transfer->m_call = std::move(aCall);
    transfer->m_handlers = std::move(aHandlers);
    Enqueue(internal::StartCommand{ std::move(transfer) });
    return id;
  }

  void Enqueue(internal::Command aCommand)
  {
    {
      const std::lock_guard lock(m_mutex);
      m_commands.push_back(std::move(aCommand));
    }
    curl_multi_wakeup(m_multi);
  }

private:
  void Run()
  {
    while (!m_stopping.load()) {
      ExecuteCommands();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      FinishTransfers();
      curl_multi_poll(m_multi, nullptr, 0, internal::kPollTimeoutMs, nullptr);
    }
  }

  void ExecuteCommands()
  {
    std::vector<internal::Command> commands;
    {
      const std::lock_guard lock(m_mutex);
      commands.swap(m_commands);
    }
    for (auto& command : commands) {
      std::visit([this](auto& aCommand) { Execute(aCommand); }, command);
    }
  }

  void Execute(internal::StartCommand& aCommand)
  {
    auto& transfer = aCommand.m_transfer;
    transfer->m_easy.reset(curl_easy_init());
    internal::Configure(*transfer);
    curl_easy_setopt(transfer->m_easy.get(), CURLOPT_PRIVATE, transfer.get());
    curl_multi_add_handle(m_multi, transfer->m_easy.get());
    m_transfers.emplace(transfer->m_id, std::move(transfer));
  }

  void Execute(const internal::CancelCommand& aCommand)
  {
    const auto found = m_transfers.find(aCommand.m_id);
    if (found != m_transfers.end()) {
      curl_multi_remove_handle(m_multi, found->second->m_easy.get());
      m_transfers.erase(found);
    }
  }

  void FinishTransfers()
  {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        const CURLcode code = message->data.result;
        internal::Transfer* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        Finish(*transfer, code);
      }
    }
  }

  void Finish(internal::Transfer& aTransfer, CURLcode aCode)
  {
    aTransfer.m_result.m_status = internal::StatusOf(aCode, aTransfer);
    curl_multi_remove_handle(m_multi, aTransfer.m_easy.get());
    const auto handlers = std::move(aTransfer.m_handlers);
    const auto result = std::move(aTransfer.m_result);
    m_transfers.erase(aTransfer.m_id);
    if (handlers.m_onDone) {
      handlers.m_onDone(result);
    }
  }

  CURLM* m_multi;
  std::atomic<std::uint64_t> m_nextCall{ 1 };
  std::atomic<bool> m_stopping{ false };
  std::mutex m_mutex;
  std::vector<internal::Command> m_commands;
  std::unordered_map<CallId, std::unique_ptr<internal::Transfer>> m_transfers;
  std::thread m_thread;
};

tl::expected<std::unique_ptr<HttpClient>, ClientError> HttpClient::Create()
{
  static const CURLcode kGlobal = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kGlobal != CURLE_OK) {
    return tl::make_unexpected(ClientError{ curl_easy_strerror(kGlobal) });
  }
  CURLM* multi = curl_multi_init();
  if (multi == nullptr) {
    return tl::make_unexpected(ClientError{ "curl_multi_init failed" });
  }
  curl_multi_setopt(
    multi, CURLMOPT_MAXCONNECTS, internal::kMaxCachedConnections);
  return std::unique_ptr<HttpClient>(
    new HttpClient(std::make_unique<Implementation>(multi)));
}

HttpClient::HttpClient(std::unique_ptr<Implementation> aImplementation)
  : m_implementation(std::move(aImplementation))
{
}

HttpClient::~HttpClient() = default;

CallId HttpClient::Start(HttpCall aCall, CallHandlers aHandlers)
{
  return m_implementation->Start(std::move(aCall), std::move(aHandlers));
}

void HttpClient::Cancel(CallId aCall)
{
  m_implementation->Enqueue(internal::CancelCommand{ aCall });
}

} // namespace auburntrestle::backend
