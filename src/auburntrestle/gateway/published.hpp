#ifndef AUBURNTRESTLE_GATEWAY_PUBLISHED_HPP
#define AUBURNTRESTLE_GATEWAY_PUBLISHED_HPP

#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <utility>

namespace auburntrestle::gateway {

/**
 * An immutable value that many threads read while one thread replaces it.
 * Readers take no lock: replaced values are freed after all readers that could
 * have seen them have finished (read-copy-update).
 */
template<typename Value>
class Published
{
public:
  explicit Published(std::unique_ptr<const Value> aValue)
    : m_value(aValue.release())
  {
  }
  Published(const Published&) = delete;
  Published& operator=(const Published&) = delete;
  ~Published() { delete m_value.load(std::memory_order_acquire); }

  /**
   * Calls a reader with the current value.
   *
   * @param aReader must not block and must not keep a reference to the value.
   * @return what the reader returns.
   */
  template<typename Reader>
  auto Read(Reader&& aReader) const
  {
    const ReadLock lock;
    return std::forward<Reader>(aReader)(
      *m_value.load(std::memory_order_acquire));
  }

  /** Replaces the value and blocks until no reader uses the old one. */
  void Publish(std::unique_ptr<const Value> aValue)
  {
    const Value* old =
      m_value.exchange(aValue.release(), std::memory_order_acq_rel);
    urcu_bp_synchronize_rcu();
    delete old;
  }

private:
  struct ReadLock
  {
    ReadLock() { urcu_bp_read_lock(); }
    ReadLock(const ReadLock&) = delete;
    ReadLock& operator=(const ReadLock&) = delete;
    ~ReadLock() { urcu_bp_read_unlock(); }
  };

  std::atomic<const Value*> m_value;
};

} // namespace auburntrestle::gateway

#endif
