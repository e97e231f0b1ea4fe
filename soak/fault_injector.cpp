#include "soak/fault_injector.hpp"

#include <iostream>

namespace auburntrestle::soak {

namespace {

/** The gap between two faults is random, from a tenth of this upwards. */
constexpr std::uint64_t kMaxGapMs = 1200;
constexpr std::uint64_t kMaxFaultMs = 2500;
constexpr std::uint64_t kMaxDelayMs = 150;
/** Lets the store recover its data before the next disk is lost. */
constexpr Duration kDiskLossInterval = std::chrono::seconds(10);

} // namespace

FaultInjector::FaultInjector(event_loop::EventLoop& aLoop,
                             System& aSystem,
                             std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_system(aSystem)
  , m_random(aSeed)
{
}

void FaultInjector::Start()
{
  const auto gap = kMaxGapMs / 10 + m_random.Below(kMaxGapMs);
  m_loop.After(std::chrono::milliseconds(gap), [this] {
    if (!m_stopped) {
      InjectNext();
      Start();
    }
  });
}

void FaultInjector::BeginFault(const std::string& aWhat,
                               std::function<void()> aEnd)
{
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
    MonotonicClock::Now() - m_startedAt);
  const auto time = 100 + m_random.Below(kMaxFaultMs);
  std::cout << elapsed.count() << " ms: " << aWhat << " for " << time << " ms"
            << std::endl;
  ++m_injected;
  ++m_activeFaults;
  m_loop.After(std::chrono::milliseconds(time), [this, end = std::move(aEnd)] {
    --m_activeFaults;
    end();
  });
}

void FaultInjector::InjectNext()
{
  constexpr std::uint64_t kKinds = 10;
  const auto instance = m_random.Below(kStores + kEntries);
  switch (m_random.Below(kKinds)) {
    case 0:
      Kill(instance);
      return;
    case 1:
      Pause(instance);
      return;
    case 2:
      Terminate(instance);
      return;
    case 3:
      LoseDisk();
      return;
    case 4:
      ReplaceSampler();
      return;
    default:
      BreakLink();
      return;
  }
}

void FaultInjector::BreakLink()
{
  auto& proxies = m_system.Proxies();
  const auto number = m_random.Below(proxies.size());
  Proxy* proxy = proxies[number].get();
  const auto link = "link " + std::to_string(number);
  constexpr std::uint64_t kKinds = 5;
  LinkFault fault;
  switch (m_random.Below(kKinds)) {
    case 0:
      BeginFault("reset " + link, [] {});
      proxy->ResetAll();
      return;
    case 1:
      fault.m_delay = std::chrono::milliseconds(m_random.Below(kMaxDelayMs));
      break;
    case 2:
      fault.m_blockToTarget = true;
      break;
    case 3:
      fault.m_blockToCaller = true;
      break;
    default:
      fault.m_blockToTarget = true;
      fault.m_blockToCaller = true;
      break;
  }
  proxy->SetFault(fault);
  BeginFault("delay " + std::to_string(fault.m_delay.count()) + " us, hold " +
               (fault.m_blockToTarget ? "to" : "-") + "/" +
               (fault.m_blockToCaller ? "from" : "-") + " on " + link,
             [proxy] { proxy->SetFault({}); });
}

void FaultInjector::Kill(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second) {
    return;
  }
  m_system.Instance(aInstance).Kill();
  BeginFault("kill instance " + std::to_string(aInstance), [this, aInstance] {
    m_down.erase(aInstance);
    m_system.Start(aInstance, false);
  });
}

void FaultInjector::Pause(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second ||
      !m_system.Instance(aInstance).IsRunning()) {
    return;
  }
  m_system.Instance(aInstance).Pause();
  BeginFault("pause instance " + std::to_string(aInstance), [this, aInstance] {
    m_down.erase(aInstance);
    m_system.Instance(aInstance).Resume();
  });
}

void FaultInjector::Terminate(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second ||
      !m_system.Instance(aInstance).IsRunning()) {
    return;
  }
  m_system.Instance(aInstance).Terminate();
  BeginFault("terminate instance " + std::to_string(aInstance),
             [this, aInstance] {
               m_down.erase(aInstance);
               m_system.Instance(aInstance).Kill();
               m_system.Start(aInstance, false);
             });
}

void FaultInjector::LoseDisk()
{
  const TimePoint now = MonotonicClock::Now();
  if (!m_down.empty() || now < m_diskLossAt + kDiskLossInterval) {
    return;
  }
  m_diskLossAt = now;
  const auto store = m_random.Below(kStores);
  m_down.insert(store);
  m_system.Instance(store).Kill();
  m_system.LoseDisk(store);
  BeginFault("lose the disk of store " + std::to_string(store), [this, store] {
    m_down.erase(store);
    m_system.Start(store, false);
  });
}

void FaultInjector::ReplaceSampler()
{
  const auto sampler = m_random.Below(kSamplers);
  m_system.ReplaceSampler(sampler);
  BeginFault("replace sampler " + std::to_string(sampler), [] {});
}

} // namespace auburntrestle::soak
