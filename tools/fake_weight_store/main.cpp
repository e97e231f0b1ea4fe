#include "auburntrestle/observe/log.hpp"
#include "common/http_server.hpp"
#include "common/program.hpp"
#include "common/token_bucket.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 picks a free one");
DEFINE_uint64(seed, 1, "seed of the bytes of the weights");
DEFINE_uint64(bytes, 4000000, "size of the weights of each version");
DEFINE_double(rate, 16e6, "bytes per second granted to downloads that start");
DEFINE_double(burst, 8e6, "bytes granted at once after a quiet time");
DEFINE_double(stream_rate, 40e6, "bytes per second of one download");

namespace auburntrestle::tools {

namespace {

constexpr Duration kChunkInterval = std::chrono::milliseconds(10);

/** Serves weights and counts the granted and refused downloads. */
class WeightStore
{
public:
  explicit WeightStore(HttpServer& aServer)
    : m_server(aServer)
    , m_bucket(FLAGS_rate, FLAGS_burst, MonotonicClock::Now())
  {
  }

  void Handle(const HttpExchangePtr& aExchange)
  {
    const auto& path = aExchange->Request().m_path;
    if (path == "/fake/downloads") {
      aExchange->SendJson(200,
                          nlohmann::json{ { "granted", m_granted },
                                          { "refused", m_refused },
                                          { "downloads", m_downloads } }
                            .dump());
    } else if (path.starts_with("/v1/weights/")) {
      HandleDownload(aExchange);
    } else {
      aExchange->SendError(404, "not_found", "no such path", "not_run");
    }
  }

private:
  void HandleDownload(const HttpExchangePtr& aExchange)
  {
    const auto wait = m_bucket.TryConsume(static_cast<double>(FLAGS_bytes),
                                          MonotonicClock::Now());
    if (wait.count() > 0) {
      ++m_refused;
      const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
      aExchange->SendError(
        429,
        "rate_limited",
        "too many downloads at once",
        "not_run",
        { { "Retry-After", std::to_string(seconds.count()) } });
      return;
    }
    ++m_granted;
    ++m_downloads[aExchange->Request().m_path];
    aExchange->BeginStream(200, "application/octet-stream", {});
    SendChunks(aExchange, FLAGS_bytes);
  }

  void SendChunks(const HttpExchangePtr& aExchange, std::uint64_t aLeft)
  {
    if (aExchange->IsClosed()) {
      return;
    }
    if (aLeft == 0) {
      aExchange->End();
      return;
    }
    const double share = static_cast<double>(kChunkInterval.count()) / 1e6;
    const auto chunk = std::clamp<std::uint64_t>(
      static_cast<std::uint64_t>(FLAGS_stream_rate * share), 1, aLeft);
    aExchange->Write(
      std::string(chunk, static_cast<char>('a' + FLAGS_seed % 26)));
    m_server.After(kChunkInterval, [this, aExchange, left = aLeft - chunk] {
      SendChunks(aExchange, left);
    });
  }

  HttpServer& m_server;
  TokenBucket m_bucket;
  std::uint64_t m_granted = 0;
  std::uint64_t m_refused = 0;
  std::map<std::string, std::uint64_t> m_downloads;
};

int RunStore()
{
  HttpServer server;
  WeightStore store(server);
  const auto port = server.Listen(
    static_cast<std::uint16_t>(FLAGS_port),
    [&store](const HttpExchangePtr& aExchange) { store.Handle(aExchange); });
  server.OnTerminate([&server] { server.Stop(); });
  PrintReady(port);
  server.Run();
  return 0;
}

} // namespace

} // namespace auburntrestle::tools

int main(int aCount, char** aArguments)
{
  return auburntrestle::tools::RunProgram(
    aCount, aArguments, [] { return auburntrestle::tools::RunStore(); });
}
