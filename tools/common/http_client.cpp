#include "common/http_client.hpp"

#include <curl/curl.h>

#include <atomic>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace auburntrestle::tools {

namespace internal {

/** Initialises libcurl before the first thread uses it. */
struct CurlLibrary
{
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

const CurlLibrary gCurlLibrary;

/** One request and its libcurl handle. */
class Transfer
{
public:
  explicit Transfer(HttpCall aCall)
    : m_call(std::move(aCall))
    , m_handle(curl_easy_init())
  {
    for (const auto& line : m_call.m_headers) {
      m_headers = curl_slist_append(m_headers, line.c_str());
    }
    // Without this, libcurl waits for "100 Continue" before large bodies.
    m_headers = curl_slist_append(m_headers, "Expect:");
    if (!m_call.m_body.empty()) {
      m_headers =
        curl_slist_append(m_headers, "Content-Type: application/json");
    }
    curl_easy_setopt(m_handle, CURLOPT_URL, m_call.m_url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle,
                     CURLOPT_TIMEOUT_MS,
                     static_cast<long>(m_call.m_timeout.count() / 1000));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &Transfer::WriteBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    if (m_call.m_method == "POST") {
      curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
      curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.m_body.data());
      curl_easy_setopt(m_handle,
                       CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(m_call.m_body.size()));
    } else if (m_call.m_method != "GET") {
      curl_easy_setopt(
        m_handle, CURLOPT_CUSTOMREQUEST, m_call.m_method.c_str());
    }
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer()
  {
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
  }

  CURL* Handle() const { return m_handle; }

  HttpResponse Finish(CURLcode aCode)
  {
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    m_response.m_status = static_cast<int>(status);
    curl_off_t retryAfter = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RETRY_AFTER, &retryAfter);
    m_response.m_retryAfterSeconds = static_cast<std::uint64_t>(retryAfter);
    if (aCode != CURLE_OK) {
      m_response.m_failure = curl_easy_strerror(aCode);
    }
    return std::move(m_response);
  }

  AsyncHttpClient::OnDone m_onDone;
  AsyncHttpClient::OnData m_onData;

private:
  static std::size_t WriteBody(char* aData,
                               std::size_t aSize,
                               std::size_t aCount,
                               void* aSelf)
  {
    auto& self = *static_cast<Transfer*>(aSelf);
    const std::string_view chunk(aData, aSize * aCount);
    long status = 0;
    curl_easy_getinfo(self.m_handle, CURLINFO_RESPONSE_CODE, &status);
    if (self.m_onData && status >= 200 && status < 300) {
      self.m_onData(chunk);
    } else {
      self.m_response.m_body.append(chunk);
    }
    return chunk.size();
  }

  HttpCall m_call;
  CURL* m_handle;
  curl_slist* m_headers = nullptr;
  HttpResponse m_response;
};

} // namespace internal

HttpResponse Fetch(const HttpCall& aCall)
{
  internal::Transfer transfer(aCall);
  return transfer.Finish(curl_easy_perform(transfer.Handle()));
}

struct AsyncHttpClient::Implementation
{
  CURLM* m_multi = curl_multi_init();
  std::mutex m_mutex;
  std::deque<std::function<void()>> m_postedFunctions;
  std::atomic<bool> m_stopping{ false };
  std::unordered_map<CURL*, std::unique_ptr<internal::Transfer>> m_running;
  std::thread m_thread;

  void RunPosted()
  {
    std::deque<std::function<void()>> functions;
    {
      const std::lock_guard lock(m_mutex);
      functions.swap(m_postedFunctions);
    }
    for (auto& function : functions) {
      function();
    }
  }

  void HandleFinishedTransfers()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      auto transfer = m_running.extract(message->easy_handle);
      curl_multi_remove_handle(m_multi, transfer.key());
      const HttpResponse response = transfer.mapped()->Finish(code);
      transfer.mapped()->m_onDone(response);
    }
  }

  void Loop()
  {
    while (!m_stopping) {
      RunPosted();
      int active = 0;
      curl_multi_perform(m_multi, &active);
      HandleFinishedTransfers();
      curl_multi_poll(m_multi, nullptr, 0, 1000, nullptr);
    }
  }
};

AsyncHttpClient::AsyncHttpClient()
  : m_implementation(std::make_unique<Implementation>())
{
  curl_multi_setopt(m_implementation->m_multi, CURLMOPT_MAXCONNECTS, 1024L);
  m_implementation->m_thread = std::thread(
    [implementation = m_implementation.get()] { implementation->Loop(); });
}

AsyncHttpClient::~AsyncHttpClient()
{
  m_implementation->m_stopping = true;
  curl_multi_wakeup(m_implementation->m_multi);
  m_implementation->m_thread.join();
  for (auto& [handle, transfer] : m_implementation->m_running) {
    curl_multi_remove_handle(m_implementation->m_multi, handle);
  }
  m_implementation->m_running.clear();
  curl_multi_cleanup(m_implementation->m_multi);
}

void AsyncHttpClient::Start(HttpCall aCall, OnDone aOnDone, OnData aOnData)
{
  auto transfer = std::make_shared<std::unique_ptr<internal::Transfer>>(
    std::make_unique<internal::Transfer>(std::move(aCall)));
  (*transfer)->m_onDone = std::move(aOnDone);
  (*transfer)->m_onData = std::move(aOnData);
  Post([implementation = m_implementation.get(), transfer] {
    CURL* handle = (*transfer)->Handle();
    implementation->m_running.emplace(handle, std::move(*transfer));
    curl_multi_add_handle(implementation->m_multi, handle);
  });
}

void AsyncHttpClient::Post(std::function<void()> aFunction)
{
  {
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_postedFunctions.push_back(std::move(aFunction));
  }
  curl_multi_wakeup(m_implementation->m_multi);
}

} // namespace auburntrestle::tools
