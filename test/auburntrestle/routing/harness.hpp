#ifndef AUBURNTRESTLE_TEST_ROUTING_HARNESS_HPP
#define AUBURNTRESTLE_TEST_ROUTING_HARNESS_HPP

#include "auburntrestle/routing/dispatcher.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::routing {

/** Drives a dispatcher in virtual time and checks invariants of its actions. */
class Harness
{
public:
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  explicit Harness(const Policy& aPolicy = {}, std::uint64_t aSeed = 1)
    : m_dispatcher(Dispatcher::Create(aPolicy, aSeed).value())
  {
  }

  [[nodiscard]] TimePoint Now() const { return m_now; }

  void Send(const Event& aEvent)
  {
    // These attempts have ended outside of the dispatcher, so that it must not
    // cancel them.
    if (const auto* failed = std::get_if<AttemptFailed>(&aEvent)) {
      m_liveAttempts.erase({ failed->m_id, failed->m_attempt });
    } else if (const auto* done = std::get_if<AttemptFinished>(&aEvent)) {
      m_liveAttempts.erase({ done->m_id, done->m_attempt });
    }
    std::vector<Action> actions;
    m_dispatcher.Handle(aEvent, m_now, actions);
    for (const auto& action : actions) {
      std::visit([this](const auto& aValue) { Apply(aValue); }, action);
    }
  }

  /**
   * Advances the time with ticks every 10 ms.
   * @param aRenew whether the announcements are renewed.
   */
  void Advance(Duration aDuration, bool aRenew = true)
  {
    const TimePoint end = m_now + aDuration;
    while (m_now < end) {
      m_now += std::min<Duration>(std::chrono::milliseconds(10), end - m_now);
      if (aRenew && m_now - m_lastRenewal >= std::chrono::milliseconds(500)) {
        m_lastRenewal = m_now;
        for (const auto& entry : std::map(m_announced)) {
          Send(BackendAnnounced{ entry.second });
        }
      }
      Send(Tick{});
    }
  }

  /** Announces an engine of model "m" that this instance owns. */
  void AddEngine(const std::string& aId,
                 std::uint64_t aVersion = 1,
                 std::uint32_t aCapacity = 0)
  {
    registry::Announcement announcement;
    announcement.m_backend = BackendId(aId);
    announcement.m_address = aId + ":80";
    announcement.m_incarnation = Incarnation(1);
    announcement.m_capacity = aCapacity;
    announcement.m_models = { { ModelName("m"), WeightVersion(aVersion) } };
    AnnounceOwned(announcement);
  }

  /** Announces a server of service "s" that this instance owns. */
  void AddService(const std::string& aId)
  {
    registry::Announcement announcement;
    announcement.m_backend = BackendId(aId);
    announcement.m_incarnation = Incarnation(1);
    announcement.m_kind = registry::BackendKind::Service;
    announcement.m_services = { ServiceName("s") };
    AnnounceOwned(announcement);
  }

  void Announce(const registry::Announcement& aAnnouncement)
  {
    m_announced[aAnnouncement.m_backend] = aAnnouncement;
    Send(BackendAnnounced{ aAnnouncement });
  }

  /** Reports no load, which ends the reduced limit after a takeover. */
  void ReportIdle(const std::string& aId)
  {
    m_now += std::chrono::microseconds(1);
    Send(LoadReported{ BackendId(aId), {} });
  }

  RequestId SubmitRequest(RequestSpec aSpec)
  {
    const RequestId id(++m_lastId);
    m_specs[id] = aSpec;
    Send(RequestArrived{ id, std::move(aSpec) });
    return id;
  }

  void SendTokens(RequestId aId,
                  std::uint64_t aCount = 1,
                  std::optional<WeightVersion> aVersion = std::nullopt)
  {
    Send(AttemptTokens{ aId, LastAttempt(aId), TokenCount(aCount), aVersion });
  }
  void Finish(RequestId aId) { Send(AttemptFinished{ aId, LastAttempt(aId) }); }
  void Fail(RequestId aId, AttemptFailure aFailure)
  {
    Send(AttemptFailed{ aId, LastAttempt(aId), aFailure });
  }

  /** @return "finished", "not_run", "outcome_unknown" or "open". */
  [[nodiscard]] std::string Outcome(RequestId aId) const
  {
    if (m_finished.contains(aId)) {
      return "finished";
    }
    const auto found = m_errors.find(aId);
    return found == m_errors.end()
             ? "open"
             : std::string(OutcomeOf(found->second.m_error));
  }
  [[nodiscard]] ErrorCode Code(RequestId aId) const
  {
    return CodeOf(m_errors.at(aId).m_error);
  }
  [[nodiscard]] std::optional<Duration> RetryAfter(RequestId aId) const
  {
    return m_errors.at(aId).m_retryAfter;
  }
  [[nodiscard]] AttemptNumber LastAttempt(RequestId aId) const
  {
    const auto found = m_starts.find(aId);
    return found == m_starts.end() ? AttemptNumber(0)
                                   : found->second.back().m_attempt;
  }
  [[nodiscard]] std::size_t StartCount(RequestId aId) const
  {
    const auto found = m_starts.find(aId);
    return found == m_starts.end() ? 0 : found->second.size();
  }
  [[nodiscard]] const StartAttempt& LastStart(RequestId aId) const
  {
    return m_starts.at(aId).back();
  }
  [[nodiscard]] std::string BackendOf(RequestId aId) const
  {
    return LastStart(aId).m_backend.Get();
  }

  Dispatcher m_dispatcher;
  TimePoint m_now{ std::chrono::seconds(100) };
  std::map<AttemptKey, BackendId> m_liveAttempts;
  std::map<RequestId, std::vector<StartAttempt>> m_starts;
  std::map<RequestId, RequestSpec> m_specs;
  std::map<RequestId, AttemptNumber> m_selected;
  std::map<RequestId, FailRequest> m_errors;
  std::set<RequestId> m_finished;
  std::map<BackendId, registry::Announcement> m_announced;
  std::set<BackendId> m_owned;

private:
  void AnnounceOwned(const registry::Announcement& aAnnouncement)
  {
    m_owned.insert(aAnnouncement.m_backend);
    Send(OwnedBackendsChanged{ m_owned });
    Announce(aAnnouncement);
    ReportIdle(aAnnouncement.m_backend.Get());
  }

  void Apply(const StartAttempt& aAction)
  {
    EXPECT_EQ(Outcome(aAction.m_id), "open");
    EXPECT_TRUE(m_liveAttempts
                  .emplace(AttemptKey{ aAction.m_id, aAction.m_attempt },
                           aAction.m_backend)
                  .second);
    m_starts[aAction.m_id].push_back(aAction);
  }
  void Apply(const CancelAttempt& aAction)
  {
    EXPECT_EQ(m_liveAttempts.erase({ aAction.m_id, aAction.m_attempt }), 1U);
  }
  void Apply(const SelectAttempt& aAction)
  {
    m_selected[aAction.m_id] = aAction.m_attempt;
  }
  void Apply(const FinishRequest& aAction)
  {
    EXPECT_EQ(Outcome(aAction.m_id), "open");
    m_finished.insert(aAction.m_id);
    ExpectNoLiveAttempt(aAction.m_id);
  }
  void Apply(const FailRequest& aAction)
  {
    EXPECT_EQ(Outcome(aAction.m_id), "open");
    m_errors.emplace(aAction.m_id, aAction);
    ExpectNoLiveAttempt(aAction.m_id);
  }
  void ExpectNoLiveAttempt(RequestId aId) const
  {
    const auto next = m_liveAttempts.lower_bound({ aId, AttemptNumber(0) });
    EXPECT_TRUE(next == m_liveAttempts.end() || next->first.first != aId);
  }

  std::uint64_t m_lastId = 0;
  TimePoint m_lastRenewal{};
};

/** @return an idempotent application request for model "m". */
inline RequestSpec ModelRequest(std::uint64_t aMaxTokens = 100,
                                const std::string& aCaller = "app")
{
  RequestSpec spec;
  spec.m_caller = CallerId(aCaller);
  spec.m_target = ModelName("m");
  spec.m_maxTokens = TokenCount(aMaxTokens);
  return spec;
}

/** @return a training request for model "m". */
inline RequestSpec TrainingRequest(std::uint64_t aMaxTokens = 100,
                                   const std::string& aCaller = "trainer")
{
  auto spec = ModelRequest(aMaxTokens, aCaller);
  spec.m_class = admission::RequestClass::Training;
  return spec;
}

/** @return a request for service "s". */
inline RequestSpec ServiceRequest(bool aIdempotent)
{
  RequestSpec spec;
  spec.m_caller = CallerId("app");
  spec.m_target = ServiceName("s");
  spec.m_idempotent = aIdempotent;
  return spec;
}

} // namespace auburntrestle::routing

#endif
