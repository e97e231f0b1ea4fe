#ifndef AUBURNTRESTLE_TOOLS_FAKE_ENGINE_ENGINE_HPP
#define AUBURNTRESTLE_TOOLS_FAKE_ENGINE_ENGINE_HPP

#include "auburntrestle/core/random.hpp"
#include "common/batching_model.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "common/output.hpp"
#include "common/prefix_cache.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::tools {

/** Behaviour of a fake engine; times are in microseconds. */
struct EngineOptions
{
  std::string m_id = "engine";
  std::string m_dataCentre = "dc-1";
  /** Name and version of each model that is served from the start. */
  std::vector<std::pair<std::string, std::uint64_t>> m_models;
  std::string m_role = "mixed";
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_seed = 1;
  OutputShape m_outputShape;
  BatchingTiming m_timing;
  bool m_checksFencing = true;
  Duration m_loadLag{ 500'000 };
  /** Memory for the KV cache in tokens. */
  std::uint64_t m_kvTokens = 200'000;
  /** Part of the memory that holds prefixes, in tokens. */
  std::uint64_t m_prefixCacheTokens = 50'000;
  Duration m_cacheEventLag{ 500'000 };
  /** Probability that a cache event is lost. */
  double m_cacheEventLossProbability = 0.05;
  Duration m_swapTime{ 300'000 };
  /** Whether a swap pauses the running sequences. */
  bool m_swapPauses = true;
  /** Probability that a swap fails. */
  double m_swapFailureProbability = 0.0;
  /** Address of the weight store; empty for none. */
  std::string m_weightStore;
  /** Maximum length of each list of runs, orders and cache events. */
  std::size_t m_logLimit = 200'000;
};

/** An engine with continuous batching and deterministic outputs. */
class Engine
{
public:
  Engine(HttpServer& aServer, EngineOptions aOptions);

  /** Starts the periodic work; call after the server listens. */
  void Start(std::uint16_t aPort);
  /** Handles one request. */
  void Handle(const HttpExchangePtr& aExchange);
  /** @return the body of an announcement. */
  [[nodiscard]] std::string Announcement() const;
  /** Marks the engine as leaving. */
  void Leave();
  /** @return true when no sequence runs or waits. */
  [[nodiscard]] bool IsIdle() const noexcept { return m_streams.empty(); }
  /** Multiplies all times by a factor for a while. */
  void SlowDown(double aFactor, Duration aDuration);

private:
  /** The entry of a request in the run log. */
  struct Run
  {
    std::string m_requestId;
    std::string m_model;
    std::string m_prompt;
    std::uint64_t m_maxTokens = 0;
    std::uint64_t m_firstIndex = 0;
    std::uint64_t m_cachedTokens = 0;
    bool m_resumeTextMatches = true;
    bool m_kvHit = false;
    bool m_whileLeaving = false;
    /** Pairs of weight version and number of tokens. */
    std::vector<std::pair<std::uint64_t, std::uint64_t>> m_trail;
    std::string m_outcome = "running";
    std::int64_t m_receivedMs = 0;
  };

  /** A request in progress. */
  struct Stream
  {
    HttpExchangePtr m_exchange;
    std::shared_ptr<Run> m_run;
    bool m_isStreaming = false;
    std::string m_text;
    std::uint64_t m_produced = 0;
    bool m_reachedMaxTokens = false;
  };

  struct LoadSnapshot
  {
    TimePoint m_time;
    std::size_t m_running = 0;
    std::size_t m_waiting = 0;
    double m_tokensPerSecond = 0.0;
    double m_kvUsed = 0.0;
  };

  struct KvEntry
  {
    std::string m_prompt;
    std::uint64_t m_tokens = 0;
  };

  struct LoggedCacheEvent
  {
    std::uint64_t m_sequence = 0;
    TimePoint m_time;
    CacheEvent m_event;
  };

  void HandleCompletion(const HttpExchangePtr& aExchange);
  void StartRun(const HttpExchangePtr& aExchange, const nlohmann::json& aBody);
  void Admit(Stream aStream, std::uint64_t aLength);
  std::uint64_t PrefillTokens(Run& aRun, const nlohmann::json& aBody);
  void HandleCancel(const HttpExchangePtr& aExchange);
  void AbortRun(SequenceNumber aNumber, const std::string& aOutcome);
  void ReleaseRequestId(SequenceNumber aNumber, const std::string& aRequestId);

  void DeliverDueTokens();
  void ScheduleWake();
  void Deliver(const ProducedToken& aToken);
  void WriteEvent(Stream& aStream,
                  const std::string& aText,
                  const ProducedToken& aToken,
                  std::uint64_t aVersion);
  void SendCompletion(Stream& aStream, std::uint64_t aVersion);

  void HandleKvExport(const HttpExchangePtr& aExchange);
  void HandleKvImport(const HttpExchangePtr& aExchange);
  void HandleCacheEvents(const HttpExchangePtr& aExchange);
  void RecordCacheEvents(const std::vector<CacheEvent>& aEvents);

  void HandleOrder(const HttpExchangePtr& aExchange);
  void StartNextOrder();
  void RunOrder(const HttpExchangePtr& aExchange, const nlohmann::json& aOrder);
  void Download(const HttpExchangePtr& aExchange, const nlohmann::json& aOrder);
  void Swap(const HttpExchangePtr& aExchange, const nlohmann::json& aOrder);
  void ApplyOrder(const nlohmann::json& aOrder);
  void FinishOrder(const HttpExchangePtr& aExchange,
                   const nlohmann::json& aOrder,
                   const std::string& aResult,
                   std::uint64_t aRetryAfterMs = 0);

  void RecordLoadSnapshot();
  [[nodiscard]] nlohmann::json LaggedLoad() const;
  [[nodiscard]] nlohmann::json Models() const;
  [[nodiscard]] nlohmann::json State() const;
  [[nodiscard]] nlohmann::json Runs() const;
  void HandleSlowDown(const HttpExchangePtr& aExchange);

  HttpServer& m_server;
  EngineOptions m_options;
  RandomSource m_random;
  BatchingModel m_model;
  PrefixCache m_cache;
  std::uint16_t m_port = 0;
  bool m_leaving = false;
  TimePoint m_leavingSince;

  SequenceNumber m_nextNumber = 1;
  std::unordered_map<SequenceNumber, Stream> m_streams;
  std::unordered_map<std::string, SequenceNumber> m_numberByRequestId;
  std::deque<std::shared_ptr<Run>> m_runs;
  std::uint64_t m_runningTokens = 0;
  bool m_wakeScheduled = false;
  TimePoint m_wakeAt;

  std::map<std::string, std::uint64_t> m_versions;
  std::map<std::string, std::string> m_adapters;
  std::string m_role;
  std::uint64_t m_highestFencing = 0;
  bool m_orderRunning = false;
  std::deque<std::pair<HttpExchangePtr, nlohmann::json>> m_orderQueue;
  std::deque<nlohmann::json> m_orders;

  std::deque<LoadSnapshot> m_snapshots;
  std::uint64_t m_tokensProduced = 0;
  std::deque<std::pair<TimePoint, std::uint64_t>> m_tokenCounts;

  std::unordered_map<std::string, KvEntry> m_kv;
  std::deque<LoggedCacheEvent> m_cacheEvents;
  std::uint64_t m_nextCacheEvent = 1;
  std::uint64_t m_slowGeneration = 0;

  AsyncHttpClient m_client;
};

} // namespace auburntrestle::tools

#endif
