#include "soak/faults.hpp"

#include <iostream>

namespace auburntrestle::soak {

namespace {

/** Between the beginnings of two faults: a tenth to the whole of this. */
constexpr std::uint64_t kMaxGapMs = 1200;
constexpr std::uint64_t kMaxFaultMs = 2500;
constexpr std::uint64_t kMaxDelayMs = 150;
/** Between two losses of a disk, so that the first has been made good. */
constexpr Duration kDiskLossInterval = std::chrono::seconds(10);

} // namespace

Faults::Faults(event_loop::EventLoop& aLoop,
               System& aSystem,
               std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_system(aSystem)
  , m_random(aSeed)
{
}

void Faults::Start()
{
  const auto gap = kMaxGapMs / 10 + m_random.Below(kMaxGapMs);
  m_loop.After(std::chrono::milliseconds(gap), [this] {
    if (!m_stopped) {
      InjectNext();
      Start();
    }
  });
}

void Faults::Begin(const std::string& aWhat, std::function<void()> aEnd)
{
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
    MonotonicClock::Now() - m_startedAt);
  const auto time = 100 + m_random.Below(kMaxFaultMs);
  std::cout << elapsed.count() << " ms: " << aWhat << " for " << time << " ms"
            << std::endl;
  ++m_injected;
  ++m_inForce;
  m_loop.After(std::chrono::milliseconds(time), [this, end = std::move(aEnd)] {
    --m_inForce;
    end();
  });
}

void Faults::InjectNext()
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

void Faults::BreakLink()
{
  auto& proxies = m_system.Proxies();
  const auto number = m_random.Below(proxies.size());
  Proxy* proxy = proxies[number].get();
  const auto link = "link " + std::to_string(number);
  constexpr std::uint64_t kKinds = 5;
  LinkFault fault;
  switch (m_random.Below(kKinds)) {
    case 0:
      Begin("reset " + link, [] {});
      proxy->ResetAll();
      return;
    case 1:
      fault.m_delay = std::chrono::milliseconds(m_random.Below(kMaxDelayMs));
      break;
    case 2:
      fault.m_holdToTarget = true;
      break;
    case 3:
      fault.m_holdToCaller = true;
      break;
    default:
      fault.m_holdToTarget = true;
      fault.m_holdToCaller = true;
      break;
  }
  proxy->SetFault(fault);
  Begin("delay " + std::to_string(fault.m_delay.count()) + " us, hold " +
          (fault.m_holdToTarget ? "to" : "-") + "/" +
          (fault.m_holdToCaller ? "from" : "-") + " on " + link,
        [proxy] { proxy->SetFault({}); });
}

void Faults::Kill(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second) {
    return;
  }
  m_system.Instance(aInstance).Kill();
  Begin("kill instance " + std::to_string(aInstance), [this, aInstance] {
    m_down.erase(aInstance);
    m_system.Start(aInstance, false);
  });
}

void Faults::Pause(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second ||
      !m_system.Instance(aInstance).IsRunning()) {
    return;
  }
  m_system.Instance(aInstance).Pause();
  Begin("pause instance " + std::to_string(aInstance), [this, aInstance] {
    m_down.erase(aInstance);
    m_system.Instance(aInstance).Resume();
  });
}

void Faults::Terminate(std::size_t aInstance)
{
  if (!m_down.insert(aInstance).second ||
      !m_system.Instance(aInstance).IsRunning()) {
    return;
  }
  m_system.Instance(aInstance).Terminate();
  Begin("terminate instance " + std::to_string(aInstance), [this, aInstance] {
    m_down.erase(aInstance);
    m_system.Instance(aInstance).Kill();
    m_system.Start(aInstance, false);
  });
}

void Faults::LoseDisk()
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
  Begin("lose the disk of store " + std::to_string(store), [this, store] {
    m_down.erase(store);
    m_system.Start(store, false);
  });
}

void Faults::ReplaceSampler()
{
  const auto sampler = m_random.Below(kSamplers);
  m_system.ReplaceSampler(sampler);
  Begin("replace sampler " + std::to_string(sampler), [] {});
}

} // namespace auburntrestle::soak
