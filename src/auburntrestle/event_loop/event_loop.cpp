#include "auburntrestle/event_loop/event_loop.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace auburntrestle::event_loop {

EventLoop::EventLoop()
  : m_guard(m_context.get_executor())
  , m_systemTimer(m_context)
  , m_signals(m_context)
{
}

void EventLoop::Post(Callback aCallback)
{
  m_posted.fetch_add(1, std::memory_order_relaxed);
  asio::post(m_context, std::move(aCallback));
}

timer::TimerId EventLoop::After(Duration aDelay, Callback aCallback)
{
  const auto id = m_timers.ScheduleAt(MonotonicClock::Now() + aDelay);
  m_callbacks.emplace(id, std::move(aCallback));
  ArmSystemTimer();
  return id;
}

bool EventLoop::Cancel(timer::TimerId aId)
{
  m_callbacks.erase(aId);
  // The system timer keeps its deadline: one spurious wakeup costs less than
  // rearming it for each cancelled request timeout.
  return m_timers.Cancel(aId);
}

void EventLoop::ArmSystemTimer()
{
  const auto next = m_timers.NextDeadline();
  if (!next || *next >= m_armedFor) {
    return;
  }
  m_armedFor = *next;
  const auto wait = std::max(*next - MonotonicClock::Now(), Duration::zero());
  m_systemTimer.expires_after(wait);
  m_systemTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      RunExpired();
    }
  });
}

void EventLoop::RunExpired()
{
  m_armedFor = TimePoint::max();
  for (const auto& expiry : m_timers.Advance(MonotonicClock::Now())) {
    const auto found = m_callbacks.find(expiry.m_id);
    if (found != m_callbacks.end()) {
      const Callback callback = std::move(found->second);
      m_callbacks.erase(found);
      ++m_expired;
      callback();
    }
  }
  ArmSystemTimer();
}

void EventLoop::OnSignals(std::initializer_list<int> aSignals,
                          std::function<void(int)> aCallback)
{
  for (const int number : aSignals) {
    m_signals.add(number);
  }
  m_onSignal = std::move(aCallback);
  WaitForSignal();
}

void EventLoop::WaitForSignal()
{
  m_signals.async_wait([this](const asio::error_code& aError, int aNumber) {
    if (!aError) {
      m_onSignal(aNumber);
      WaitForSignal();
    }
  });
}

void EventLoop::Run()
{
  m_context.run();
}

void EventLoop::Stop()
{
  m_context.stop();
}

} // namespace auburntrestle::event_loop
