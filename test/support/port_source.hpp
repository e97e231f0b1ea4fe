#ifndef AUBURNTRESTLE_TEST_SUPPORT_PORT_SOURCE_HPP
#define AUBURNTRESTLE_TEST_SUPPORT_PORT_SOURCE_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace auburntrestle::test {

/** An exclusive lock on a file, held until the object is destroyed. */
class FileLock
{
public:
  /** Opens the file, and creates it if it is missing. */
  explicit FileLock(const std::filesystem::path& aFile)
    : m_descriptor(::open(aFile.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666))
  {
    if (m_descriptor < 0) {
      throw std::system_error(errno, std::generic_category(), aFile.string());
    }
  }
  FileLock(FileLock&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  {
  }
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;
  FileLock& operator=(FileLock&&) = delete;
  ~FileLock()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
    }
  }

  /** @return whether the lock is held now. */
  [[nodiscard]] bool TryAcquire() const
  {
    return ::flock(m_descriptor, LOCK_EX | LOCK_NB) == 0;
  }

private:
  int m_descriptor;
};

/**
 * Selects free ports outside the ephemeral range. The system could give an
 * ephemeral port to an outgoing connection before the program under test
 * listens on it.
 *
 * Ports are reserved in blocks for as long as the source exists, also while
 * nothing listens on them: an instance that is down needs its ports again, and
 * those who call it must not reach a program of another test.
 */
class PortSource
{
public:
  /** @return ip:port on loopback that is free. */
  [[nodiscard]] std::string Address()
  {
    while (true) {
      if (m_next == m_end) {
        ReserveBlock();
      }
      const std::uint16_t port = m_next++;
      if (IsFree(port)) {
        return "127.0.0.1:" + std::to_string(port);
      }
    }
  }

private:
  /** The range is below the ephemeral ports of Linux. */
  static constexpr std::uint16_t kFirstPort = 20000;
  static constexpr std::uint16_t kPortsOfABlock = 64;
  static constexpr std::uint16_t kBlocks = 187;

  static bool IsFree(std::uint16_t aPort)
  {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(asio::ip::tcp::v4());
    asio::error_code error;
    acceptor.bind({ asio::ip::make_address("127.0.0.1"), aPort }, error);
    return !error;
  }

  void ReserveBlock()
  {
    const auto folder =
      std::filesystem::temp_directory_path() / "trestle-test-ports";
    std::filesystem::create_directories(folder);
    for (std::uint16_t tried = 0; tried < kBlocks; ++tried) {
      m_block = static_cast<std::uint16_t>((m_block + 1) % kBlocks);
      FileLock lock(folder / std::to_string(m_block));
      if (lock.TryAcquire()) {
        m_locks.push_back(std::move(lock));
        m_next =
          static_cast<std::uint16_t>(kFirstPort + m_block * kPortsOfABlock);
        m_end = static_cast<std::uint16_t>(m_next + kPortsOfABlock);
        return;
      }
    }
    throw std::runtime_error("all blocks of test ports are reserved");
  }

  std::vector<FileLock> m_locks;
  /** The block that was reserved last. Processes begin at different ones, as
   * the ports of a former test can still have closed connections. */
  std::uint16_t m_block = static_cast<std::uint16_t>(::getpid() % kBlocks);
  std::uint16_t m_next = 0;
  std::uint16_t m_end = 0;
};

} // namespace auburntrestle::test

#endif
