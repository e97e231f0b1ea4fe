#include "auburntrestle/core/random.hpp"
#include "harness.hpp"

#include <iostream>
#include <iterator>
#include <string>

namespace auburntrestle::routing {
namespace {

/** Sends random events and checks the invariants after each of them. */
class RandomRun
{
public:
  RandomRun(std::uint64_t aSeed, PolicyName aName)
    : m_random(aSeed)
    , m_name(aName)
    , m_harness(MakePolicy(aName), aSeed)
  {
    for (int i = 0; i < 5; ++i) {
      m_harness.AddEngine(std::string(1, static_cast<char>('a' + i)), 1, 3);
    }
    m_harness.AddService("s1");
    m_harness.AddService("s2");
  }

  void Run(int aEvents)
  {
    for (int i = 0; i < aEvents && !testing::Test::HasFailure(); ++i) {
      RandomEvent();
      CheckInvariants();
    }
    DrainAndCheck();
  }

private:
  static Policy MakePolicy(PolicyName aName)
  {
    Policy policy;
    policy.m_name = aName;
    policy.m_admission.m_maxWaiting = 40;
    policy.m_hedging.m_delay = std::chrono::milliseconds(20);
    policy.m_hedging.m_budget = 0.5;
    policy.m_retry.m_budget = 0.5;
    return policy;
  }

  void RandomEvent()
  {
    switch (m_random.Below(12)) {
      case 0:
      case 1:
        m_harness.SubmitRequest(RandomSpec());
        break;
      case 2:
      case 3:
      case 4:
        ProgressRandomAttempt();
        break;
      case 5:
        EndRandomAttempt();
        break;
      case 6:
        SendStaleEvents();
        break;
      case 7:
        ChangeBackend();
        break;
      case 8:
        ChangeOwnership();
        break;
      case 9:
        ReportLoad();
        break;
      case 10:
        m_harness.Advance(std::chrono::milliseconds(m_random.Below(100)));
        break;
      default:
        if (m_random.Chance(0.1)) {
          CancelRandomRequest();
        } else {
          m_harness.Advance(std::chrono::milliseconds(10));
        }
    }
  }

  RequestSpec RandomSpec()
  {
    auto spec = m_random.Chance(0.3) ? ServiceRequest(true) : ModelRequest();
    spec.m_caller =
      CallerId(std::string(1, static_cast<char>('x' + m_random.Below(3))));
    spec.m_idempotent = m_random.Chance(0.7);
    spec.m_resumable = m_random.Chance(0.8);
    if (m_random.Chance(0.5)) {
      spec.m_class = admission::RequestClass::Training;
      spec.m_minVersion = WeightVersion(m_random.Below(m_version + 1));
    }
    spec.m_maxTokens = TokenCount(m_random.Below(2000));
    if (m_random.Chance(0.5)) {
      spec.m_deadline =
        m_harness.Now() + std::chrono::milliseconds(m_random.Below(3000));
    }
    if (m_random.Chance(0.5)) {
      spec.m_prefixHash = m_random.Below(4);
    }
    return spec;
  }

  std::optional<Harness::AttemptKey> RandomLiveAttempt()
  {
    if (m_harness.m_liveAttempts.empty()) {
      return std::nullopt;
    }
    return std::next(m_harness.m_liveAttempts.begin(),
                     static_cast<std::ptrdiff_t>(
                       m_random.Below(m_harness.m_liveAttempts.size())))
      ->first;
  }
  void ProgressRandomAttempt()
  {
    if (const auto key = RandomLiveAttempt()) {
      std::optional<WeightVersion> version;
      if (m_random.Chance(0.5)) {
        version = WeightVersion(m_random.Below(m_version + 1));
      }
      m_harness.Send(AttemptTokens{
        key->first, key->second, TokenCount(m_random.Below(700)), version });
    }
  }
  void EndRandomAttempt()
  {
    const auto key = RandomLiveAttempt();
    if (!key) {
      return;
    }
    if (m_random.Chance(0.5)) {
      m_harness.Send(AttemptFinished{ key->first, key->second });
      return;
    }
    const auto failure = static_cast<AttemptFailure>(m_random.Below(7));
    if (failure != AttemptFailure::ConnectFailed &&
        failure != AttemptFailure::Refused) {
      m_ran.insert(*key);
    }
    m_harness.Send(AttemptFailed{ key->first, key->second, failure });
  }
  void SendStaleEvents()
  {
    if (m_harness.m_starts.empty()) {
      return;
    }
    const auto& starts = std::next(m_harness.m_starts.begin(),
                                   static_cast<std::ptrdiff_t>(
                                     m_random.Below(m_harness.m_starts.size())))
                           ->second;
    const Harness::AttemptKey key{ starts.front().m_id,
                                   starts.front().m_attempt };
    if (m_harness.m_liveAttempts.contains(key)) {
      return;
    }
    const auto live = m_harness.m_liveAttempts;
    const auto finished = m_harness.m_finished;
    m_harness.Send(
      AttemptTokens{ key.first, key.second, TokenCount(3), std::nullopt });
    m_harness.Send(
      AttemptFailed{ key.first, key.second, AttemptFailure::LostMidStream });
    m_harness.Send(AttemptFinished{ key.first, key.second });
    EXPECT_EQ(m_harness.m_liveAttempts, live);
    EXPECT_EQ(m_harness.m_finished, finished);
  }
  void ChangeBackend()
  {
    auto announcement = std::next(m_harness.m_announced.begin(),
                                  static_cast<std::ptrdiff_t>(m_random.Below(
                                    m_harness.m_announced.size())))
                          ->second;
    const bool leaving =
      announcement.m_state == registry::BackendState::Leaving;
    if (leaving || m_random.Chance(0.2)) {
      announcement.m_incarnation = announcement.m_incarnation.Next();
      announcement.m_state = registry::BackendState::Serving;
    } else if (m_random.Chance(0.2)) {
      announcement.m_state = registry::BackendState::Leaving;
    } else if (!announcement.m_models.empty()) {
      announcement.m_models[0].m_version = WeightVersion(++m_version);
    }
    m_harness.Announce(announcement);
  }
  void ChangeOwnership()
  {
    if (!m_random.Chance(0.1)) {
      return;
    }
    std::set<BackendId> owned;
    for (const auto& entry : m_harness.m_announced) {
      if (m_random.Chance(0.8)) {
        owned.insert(entry.first);
      }
    }
    m_harness.m_owned = owned;
    m_harness.Send(OwnedBackendsChanged{ owned });
  }
  void ReportLoad()
  {
    registry::LoadReport load;
    load.m_running = static_cast<std::uint32_t>(m_random.Below(5));
    load.m_waiting = static_cast<std::uint32_t>(m_random.Below(3));
    load.m_age = std::chrono::milliseconds(m_random.Below(500));
    m_harness.Send(LoadReported{
      BackendId(std::string(1, static_cast<char>('a' + m_random.Below(5)))),
      load });
  }
  void CancelRandomRequest()
  {
    if (const auto key = RandomLiveAttempt()) {
      m_harness.m_finished.insert(key->first);
      m_harness.Send(RequestCancelled{ key->first });
    }
  }

  /** Checks the invariants that hold after each event. */
  void CheckInvariants()
  {
    std::map<BackendId, std::uint32_t> inFlight;
    for (const auto& entry : m_harness.m_liveAttempts) {
      ++inFlight[entry.second];
    }
    for (const auto& view :
         m_harness.m_dispatcher.BackendViews(m_harness.Now())) {
      const auto& id = view.m_announcement.m_backend;
      EXPECT_EQ(view.m_inFlight, inFlight[id]);
      if (m_name == PolicyName::Fair) {
        EXPECT_LE(inFlight[id],
                  m_harness.m_announced.at(id).m_capacity == 0 ? 256U : 3U);
      }
    }
    EXPECT_EQ(m_harness.m_dispatcher.InFlightCount(),
              m_harness.m_liveAttempts.size());
    CheckNewStarts();
  }
  void CheckNewStarts()
  {
    for (const auto& [id, starts] : m_harness.m_starts) {
      for (auto i = m_checked[id]; i < starts.size(); ++i) {
        CheckStart(starts[i]);
        const bool ranBefore =
          i > 0 && m_ran.contains({ id, starts[i - 1].m_attempt });
        EXPECT_FALSE(!m_harness.m_specs.at(id).m_idempotent && ranBefore);
      }
      m_checked[id] = starts.size();
    }
  }
  void CheckStart(const StartAttempt& aStart)
  {
    const auto& announced = m_harness.m_announced.at(aStart.m_backend);
    EXPECT_EQ(announced.m_state, registry::BackendState::Serving);
    EXPECT_TRUE(m_harness.m_owned.contains(aStart.m_backend));
  }

  void DrainAndCheck()
  {
    for (auto entry : std::map(m_harness.m_announced)) {
      entry.second.m_incarnation = entry.second.m_incarnation.Next();
      entry.second.m_state = registry::BackendState::Serving;
      if (!entry.second.m_models.empty()) {
        entry.second.m_models[0].m_version = WeightVersion(m_version);
      }
      m_harness.m_owned.insert(entry.first);
      m_harness.Announce(entry.second);
    }
    m_harness.Send(OwnedBackendsChanged{ m_harness.m_owned });
    m_harness.Send(DrainRequested{});
    const auto refused = m_harness.SubmitRequest(ModelRequest());
    EXPECT_EQ(m_harness.Code(refused), ErrorCode::Draining);
    for (int i = 0; i < 2000 && m_harness.m_dispatcher.RequestCount() > 0;
         ++i) {
      while (const auto key = RandomLiveAttempt()) {
        m_harness.Send(AttemptFinished{ key->first, key->second });
      }
      m_harness.Advance(std::chrono::milliseconds(50));
      CheckInvariants();
    }
    EXPECT_EQ(m_harness.m_dispatcher.RequestCount(), 0U);
    for (const auto& entry : m_harness.m_specs) {
      EXPECT_NE(m_harness.Outcome(entry.first), "open");
    }
  }

  RandomSource m_random;
  PolicyName m_name;
  Harness m_harness;
  std::uint64_t m_version = 1;
  std::set<Harness::AttemptKey> m_ran;
  std::map<RequestId, std::size_t> m_checked;
};

// Guards against requests that end twice or never, limits that are exceeded,
// repeated non-idempotent work and work for servers that leave.
TEST(RandomRunTest, InvariantsHoldAfterEachEvent)
{
  for (const auto name : { PolicyName::Fair, PolicyName::Baseline }) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      std::cout << "seed=" << seed << '\n';
      RandomRun(seed, name).Run(3000);
      ASSERT_FALSE(HasFailure());
    }
  }
}

} // namespace
} // namespace auburntrestle::routing
