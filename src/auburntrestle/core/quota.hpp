#ifndef AUBURNTRESTLE_CORE_QUOTA_HPP
#define AUBURNTRESTLE_CORE_QUOTA_HPP

#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace auburntrestle {

/** Limits, or only counts, queued frames and bytes. Thread-safe. */
class Quota
{
public:
  Quota(std::size_t aMaxFrames, std::size_t aMaxBytes)
    : m_maxFrames(aMaxFrames)
    , m_maxBytes(aMaxBytes)
  {
  }

  /** Acquires a frame of aBytes. An empty queue accepts a frame of any size.
   * @return false when the queue is full. */
  [[nodiscard]] bool TryAcquire(std::size_t aBytes)
  {
    const std::lock_guard lock(m_mutex);
    const bool full = m_frames >= m_maxFrames ||
                      (m_frames > 0 && m_bytes + aBytes > m_maxBytes);
    if (!full) {
      ++m_frames;
      m_bytes += aBytes;
    }
    return !full;
  }

  /** Acquires a frame of aBytes, also when the queue is full. */
  void Acquire(std::size_t aBytes)
  {
    const std::lock_guard lock(m_mutex);
    ++m_frames;
    m_bytes += aBytes;
  }

  [[nodiscard]] std::size_t Bytes()
  {
    const std::lock_guard lock(m_mutex);
    return m_bytes;
  }

  void Release(std::size_t aBytes)
  {
    const std::lock_guard lock(m_mutex);
    --m_frames;
    m_bytes -= aBytes;
  }

private:
  std::mutex m_mutex;
  std::size_t m_maxFrames;
  std::size_t m_maxBytes;
  std::size_t m_frames = 0;
  std::size_t m_bytes = 0;
};

/** A frame acquired from a quota; released by the destructor. */
class Reservation
{
public:
  Reservation() = default;
  Reservation(std::shared_ptr<Quota> aQuota, std::size_t aBytes)
    : m_quota(std::move(aQuota))
    , m_bytes(aBytes)
  {
  }
  Reservation(Reservation&&) noexcept = default;
  Reservation& operator=(Reservation&& aOther) noexcept
  {
    std::swap(m_quota, aOther.m_quota);
    std::swap(m_bytes, aOther.m_bytes);
    return *this;
  }
  ~Reservation()
  {
    if (m_quota != nullptr) {
      m_quota->Release(m_bytes);
    }
  }

private:
  std::shared_ptr<Quota> m_quota;
  std::size_t m_bytes = 0;
};

} // namespace auburntrestle

#endif
