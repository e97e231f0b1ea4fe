#ifndef AUBURNTRESTLE_TEST_PROTOCOL_WAITING_HPP
#define AUBURNTRESTLE_TEST_PROTOCOL_WAITING_HPP

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace auburntrestle::protocol {

/** Queue that passes values from a transport's thread to the test. */
template<typename Value>
class Mailbox
{
public:
  void Put(Value aValue)
  {
    const std::lock_guard lock(m_mutex);
    m_values.push_back(std::move(aValue));
    m_changed.notify_all();
  }

  /** Waits for the next value without a limit; ctest ends a test that hangs. */
  [[nodiscard]] Value Pop()
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_values.empty(); });
    Value value = std::move(m_values.front());
    m_values.pop_front();
    return value;
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<Value> m_values;
};

} // namespace auburntrestle::protocol

#endif
