#ifndef AUBURNTRESTLE_FLEET_REWARD_CALLER_HPP
#define AUBURNTRESTLE_FLEET_REWARD_CALLER_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/backend_client.hpp"
#include "auburntrestle/fleet/engine_protocol.hpp"
#include "auburntrestle/fleet/job.hpp"
#include "auburntrestle/fleet/reward_queue.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/observe/instruments.hpp"
#include "auburntrestle/routing/attempt_budget.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::fleet {

/** The reward call of an item whose output is complete. */
struct RewardTask
{
  std::shared_ptr<const JobSpec> m_job;
  /** Index of the item, which has a reward call. */
  std::size_t m_item = 0;
  std::shared_ptr<const RewardGroup> m_group;
  /** When the item expires; no attempt outlasts it. */
  WallTime m_expiresAt{};
};

/** Why an item gets no score. */
enum class RewardFailure : std::uint8_t
{
  /** The reward model failed it as often as its route permits. */
  AttemptsExhausted,
};

/** The score of an item, or why there is none. */
using RewardResult = tl::expected<Score, RewardFailure>;

/** Settings of a RewardCaller. */
struct RewardCallerOptions
{
  /** The data centre of this instance. */
  DataCentreId m_home;
  /** Share of the slots of a backend server that reward calls may occupy; the
   * rest is for callers. */
  double m_slotShare = 0.67;
  RewardPolicy m_policy;
  ItemLoader m_loadItem;
};

/**
 * Sends the reward calls of items and repeats them until the reward model
 * answers with a score or has failed a call as often as its route permits.
 */
class RewardCaller
{
public:
  using DoneCallback = std::function<void(const RewardResult&)>;

  RewardCaller(event_loop::EventLoop& aLoop,
               BackendClient& aClient,
               const EngineProtocol& aProtocol,
               RewardCallerOptions aOptions,
               observe::Instruments& aInstruments,
               std::uint64_t aSeed);
  RewardCaller(const RewardCaller&) = delete;
  RewardCaller& operator=(const RewardCaller&) = delete;
  ~RewardCaller();

  /** Replaces the routes. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  /** Replaces the backend servers. */
  void SetBackends(const std::map<BackendId, BackendRecord>& aBackends);

  /** Starts a reward call. The callback is called once unless the call is
   * cancelled, never before this function returns. */
  [[nodiscard]] RewardTicket Start(RewardTask aTask, DoneCallback aCallback);
  /** Cancels a call; its callback is not called. */
  void Cancel(RewardTicket aTicket);
  /** Cancels all calls. */
  void Stop();

private:
  struct Attempt;
  struct PendingCall;
  using CallPtr = std::shared_ptr<PendingCall>;

  /** Starts waiting calls on backend servers with free slots. */
  void Dispatch();
  void SchedulePoll();
  /** @return false if no backend server of the call's service is free. */
  [[nodiscard]] bool TryStart(const CallPtr& aCall);
  [[nodiscard]] const BackendRecord* ChooseBackend(const PendingCall& aCall,
                                                   TimePoint aNow) const;
  /** @return the reward call with its body, or nothing if it can't be read. */
  [[nodiscard]] std::optional<RewardCall> Load(const PendingCall& aCall) const;
  /** @param aReward the call with its body. */
  void StartAttempt(const CallPtr& aCall,
                    const RewardCall& aReward,
                    const Route& aRoute,
                    const BackendRecord& aBackend);
  void ScheduleHedge(const CallPtr& aCall);
  void StartHedge(const CallPtr& aCall);
  void HandleResult(const CallPtr& aCall,
                    const std::shared_ptr<Attempt>& aAttempt,
                    const http::FetchResult& aResult);
  void HandleFailedAttempt(const CallPtr& aCall, int aStatus);
  /** Queues a call again unless another attempt of it is running. */
  void Retry(const CallPtr& aCall, Duration aDelay);
  void Finish(const CallPtr& aCall, const RewardResult& aResult);
  /** Cancels the attempts of a call and removes it. */
  void Close(PendingCall& aCall);
  [[nodiscard]] const Route* RouteOf(const RewardCall& aCall) const;
  [[nodiscard]] std::uint32_t MaxFailures(const PendingCall& aCall) const;

  event_loop::EventLoop& m_loop;
  BackendClient& m_client;
  const EngineProtocol& m_protocol;
  RewardCallerOptions m_options;
  observe::Instruments& m_instruments;
  RandomSource m_random;
  BackendChooser m_chooser;
  std::shared_ptr<const RouteTable> m_routes;
  RewardQueue m_queue;
  std::map<RewardTicket, CallPtr> m_calls;
  RewardTicket m_lastTicket;
  routing::internal::AttemptBudget m_hedgeBudget{ 10.0 };
  bool m_dispatching = false;
  std::optional<timer::TimerId> m_pollTimer;
};

} // namespace auburntrestle::fleet

#endif
