#include "common/announcer.hpp"
#include "common/program.hpp"
#include "fake_engine/engine.hpp"

#include <gflags/gflags.h>

#include <cmath>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 picks a free one");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_string(announce,
              "",
              "comma-separated addresses of trestled instances, such as "
              "http://127.0.0.1:8080");
DEFINE_int32(announce_interval_ms, 1000, "time between announcements");
DEFINE_string(id, "engine", "id of this backend server");
DEFINE_uint64(incarnation, 0, "incarnation; 0 takes it from the clock");
DEFINE_string(data_centre, "dc-1", "data centre");
DEFINE_string(model,
              "model",
              "comma-separated models, each NAME or NAME:VERSION");
DEFINE_uint64(weight_version,
              1,
              "version of the models given without one; --version is the same");
DEFINE_string(role, "mixed", "role until an order changes it");
DEFINE_int32(slots, 16, "sequences that run at once");
DEFINE_int32(knee, 8, "sequences that run without slowing each other");
DEFINE_int32(token_us, 5000, "time per token up to the knee");
DEFINE_double(knee_slope,
              0.1,
              "growth of the time per token for each sequence above the knee");
DEFINE_int32(first_token_us, 20000, "fixed part of the time to first token");
DEFINE_int32(prompt_token_us, 50, "time to first token per prompt token");
DEFINE_bool(checks_fencing, true, "reject orders with an old fencing number");
DEFINE_int32(load_lag_ms, 500, "age of the load reports");
DEFINE_uint64(kv_tokens, 200000, "memory of the KV cache in tokens");
DEFINE_uint64(prefix_cache_tokens, 50000, "memory for prefixes in tokens");
DEFINE_int32(cache_event_lag_ms, 500, "delay of the cache events");
DEFINE_double(cache_event_gap, 0.05, "probability that a cache event is lost");
DEFINE_int32(swap_ms, 300, "time to swap weights");
DEFINE_bool(swap_pauses, true, "a swap holds up the running sequences");
DEFINE_double(swap_failure, 0.0, "probability that a swap fails");
DEFINE_string(weight_store, "", "address of the weight store");
DEFINE_uint64(answer_seed, 1, "seed of the answer lengths");
DEFINE_int32(slow_every_ms, 0, "mean time between slow-downs; 0 for none");
DEFINE_int32(slow_duration_ms, 2000, "length of a scheduled slow-down");
DEFINE_double(slow_factor, 4.0, "factor of a scheduled slow-down");
DEFINE_int32(leave_linger_ms,
             500,
             "shortest time between SIGTERM and the end of the process");

namespace auburntrestle::tools {

namespace {

Duration Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

EngineOptions OptionsFromFlags()
{
  EngineOptions options;
  options.m_id = FLAGS_id;
  options.m_dataCentre = FLAGS_data_centre;
  for (const auto& part : SplitList(FLAGS_model)) {
    const auto colon = part.find(':');
    options.m_models.emplace_back(part.substr(0, colon),
                                  colon == std::string::npos
                                    ? FLAGS_weight_version
                                    : std::stoull(part.substr(colon + 1)));
  }
  options.m_role = FLAGS_role;
  options.m_incarnation =
    FLAGS_incarnation != 0 ? FLAGS_incarnation : IncarnationFromClock();
  options.m_seed = FLAGS_seed;
  options.m_outputShape.m_seed = FLAGS_answer_seed;
  options.m_timing.m_slots = static_cast<std::size_t>(FLAGS_slots);
  options.m_timing.m_knee = static_cast<std::size_t>(FLAGS_knee);
  options.m_timing.m_timePerToken = Duration(FLAGS_token_us);
  options.m_timing.m_slopeAboveKnee = FLAGS_knee_slope;
  options.m_timing.m_firstTokenBase = Duration(FLAGS_first_token_us);
  options.m_timing.m_perPromptToken = Duration(FLAGS_prompt_token_us);
  options.m_checksFencing = FLAGS_checks_fencing;
  options.m_loadLag = Milliseconds(FLAGS_load_lag_ms);
  options.m_kvTokens = FLAGS_kv_tokens;
  options.m_prefixCacheTokens = FLAGS_prefix_cache_tokens;
  options.m_cacheEventLag = Milliseconds(FLAGS_cache_event_lag_ms);
  options.m_cacheEventLossProbability = FLAGS_cache_event_gap;
  options.m_swapTime = Milliseconds(FLAGS_swap_ms);
  options.m_swapPauses = FLAGS_swap_pauses;
  options.m_swapFailureProbability = FLAGS_swap_failure;
  options.m_weightStore = FLAGS_weight_store;
  return options;
}

/** Slows the engine down at exponentially distributed times. */
void ScheduleSlowDown(HttpServer& aServer,
                      Engine& aEngine,
                      const std::shared_ptr<RandomSource>& aRandom)
{
  const double wait = -std::log(1.0 - aRandom->Unit()) * FLAGS_slow_every_ms;
  aServer.After(Milliseconds(static_cast<std::int64_t>(wait)),
                [&aServer, &aEngine, aRandom] {
                  aEngine.SlowDown(FLAGS_slow_factor,
                                   Milliseconds(FLAGS_slow_duration_ms));
                  ScheduleSlowDown(aServer, aEngine, aRandom);
                });
}

/** Stops the server once the engine is idle, not before aEarliest. */
void StopWhenIdle(HttpServer& aServer, Engine& aEngine, TimePoint aEarliest)
{
  if (aEngine.IsIdle() && MonotonicClock::Now() >= aEarliest) {
    aServer.Stop();
    return;
  }
  aServer.After(Milliseconds(10), [&aServer, &aEngine, aEarliest] {
    StopWhenIdle(aServer, aEngine, aEarliest);
  });
}

int RunEngine()
{
  HttpServer server;
  Engine engine(server, OptionsFromFlags());
  Announcer announcer(server,
                      SplitList(FLAGS_announce),
                      Milliseconds(FLAGS_announce_interval_ms),
                      [&engine] { return engine.Announcement(); });
  const auto port = server.Listen(
    static_cast<std::uint16_t>(FLAGS_port),
    [&engine](const HttpExchangePtr& aExchange) { engine.Handle(aExchange); });
  engine.Start(port);
  announcer.Start();
  if (FLAGS_slow_every_ms > 0) {
    ScheduleSlowDown(
      server, engine, std::make_shared<RandomSource>(FLAGS_seed));
  }
  server.OnTerminate([&] {
    engine.Leave();
    announcer.Announce();
    StopWhenIdle(server,
                 engine,
                 MonotonicClock::Now() + Milliseconds(FLAGS_leave_linger_ms));
  });
  PrintReady(port);
  server.Run();
  return 0;
}

} // namespace

} // namespace auburntrestle::tools

int main(int aCount, char** aArguments)
{
  return auburntrestle::tools::RunProgram(
    aCount, aArguments, [] { return auburntrestle::tools::RunEngine(); });
}
