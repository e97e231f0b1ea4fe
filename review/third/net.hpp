#ifndef AUBURNTRESTLE_REVIEW_THIRD_NET_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_NET_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/** Blocking sockets and HTTP/1.1 for the stand-ins of the third review. */
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** @return the time since the start of the scenario. */
inline Milliseconds Elapsed()
{
  static const auto start = Clock::now();
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
}

inline void Sleep(Milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

/** An IPv4 address with a port. */
struct Address
{
  std::string m_ip = "127.0.0.1";
  std::uint16_t m_port = 0;

  [[nodiscard]] std::string Text() const
  {
    return m_ip + ":" + std::to_string(m_port);
  }
  [[nodiscard]] sockaddr_in Raw() const
  {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(m_port);
    inet_pton(AF_INET, m_ip.c_str(), &raw.sin_addr);
    return raw;
  }
};

/** Owns a socket. */
class Socket
{
public:
  explicit Socket(int aDescriptor = -1)
    : m_descriptor(aDescriptor)
  {
  }
  Socket(Socket&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    std::swap(m_descriptor, aOther.m_descriptor);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
    }
  }

  [[nodiscard]] int Get() const { return m_descriptor; }
  [[nodiscard]] bool IsOpen() const { return m_descriptor >= 0; }

  /** @return whether the socket can be read, or has ended, within a time. */
  [[nodiscard]] bool WaitReadable(Milliseconds aTime) const
  {
    pollfd entry{ m_descriptor, POLLIN, 0 };
    return ::poll(&entry, 1, static_cast<int>(aTime.count())) > 0;
  }
  [[nodiscard]] bool WriteAll(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const auto count =
        ::send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }
  /** Appends what can be read. @return false at the end of the connection. */
  [[nodiscard]] bool ReadSome(std::string& aBytes) const
  {
    char buffer[16384];
    const auto count = ::recv(m_descriptor, buffer, sizeof(buffer), 0);
    if (count > 0) {
      aBytes.append(buffer, static_cast<std::size_t>(count));
    }
    return count > 0;
  }
  /** @return whether the peer has reset the connection. */
  [[nodiscard]] bool IsReset() const
  {
    pollfd entry{ m_descriptor, POLLIN, 0 };
    ::poll(&entry, 1, 0);
    return (entry.revents & POLLERR) != 0;
  }

private:
  int m_descriptor;
};

inline Socket Connect(const Address& aAddress)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto raw = aAddress.Raw();
  if (::connect(socket.Get(),
                reinterpret_cast<const sockaddr*>(&raw),
                sizeof(raw)) != 0) {
    return Socket();
  }
  const int on = 1;
  ::setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

/** @return a listening socket, not open if the address is taken. */
inline Socket Listen(const Address& aAddress)
{
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto raw = aAddress.Raw();
  constexpr int kBacklog = 128;
  if (::bind(socket.Get(),
             reinterpret_cast<const sockaddr*>(&raw),
             sizeof(raw)) != 0 ||
      ::listen(socket.Get(), kBacklog) != 0) {
    return Socket();
  }
  return socket;
}

inline bool IsSameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

/** A request or a response. */
struct Message
{
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    for (const auto& [name, value] : m_headers) {
      if (IsSameName(name, aName)) {
        return value;
      }
    }
    return "";
  }
  [[nodiscard]] std::string Text() const
  {
    std::string text = m_status != 0
                         ? "HTTP/1.1 " + std::to_string(m_status) + " Status"
                         : m_method + " " + m_target + " HTTP/1.1";
    text += "\r\n";
    for (const auto& [name, value] : m_headers) {
      text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(m_body.size()) +
           "\r\n\r\n" + m_body;
  }
};

/** Reads messages with a content length from a connection. */
class MessageReader
{
public:
  explicit MessageReader(const Socket& aSocket)
    : m_socket(aSocket)
  {
  }

  /** @return the next message, or nothing at the end of the connection or of
   * the time. */
  [[nodiscard]] std::optional<Message> Read(Milliseconds aTime)
  {
    const auto deadline = Clock::now() + aTime;
    while (true) {
      if (auto message = TryParse()) {
        return message;
      }
      const auto left =
        std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
      if (left.count() <= 0 || !m_socket.WaitReadable(left) ||
          !m_socket.ReadSome(m_bytes)) {
        return std::nullopt;
      }
    }
  }

private:
  [[nodiscard]] std::optional<Message> TryParse()
  {
    const auto end = m_bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return std::nullopt;
    }
    Message message;
    std::string_view head(m_bytes.data(), end);
    const auto takeLine = [&head] {
      const auto at = std::min(head.find("\r\n"), head.size());
      const auto line = head.substr(0, at);
      head.remove_prefix(std::min(at + 2, head.size()));
      return line;
    };
    const auto first = takeLine();
    const auto space = std::min(first.find(' '), first.size());
    const auto rest = first.substr(std::min(space + 1, first.size()));
    if (first.starts_with("HTTP/")) {
      message.m_status = std::atoi(std::string(rest).c_str());
    } else {
      message.m_method = first.substr(0, space);
      message.m_target = rest.substr(0, rest.find(' '));
    }
    while (!head.empty()) {
      const auto line = takeLine();
      const auto colon = std::min(line.find(':'), line.size());
      auto value = line.substr(std::min(colon + 1, line.size()));
      while (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
      }
      message.m_headers.emplace_back(line.substr(0, colon), value);
    }
    constexpr std::size_t kEndBytes = 4;
    const std::size_t begin = end + kEndBytes;
    const auto size = static_cast<std::size_t>(
      std::atoll(message.Header("Content-Length").c_str()));
    if (m_bytes.size() < begin + size) {
      return std::nullopt;
    }
    message.m_body = m_bytes.substr(begin, size);
    m_bytes.erase(0, begin + size);
    return message;
  }

  const Socket& m_socket;
  std::string m_bytes;
};

/** Sends a request on a new connection. @return its response, if any. */
inline std::optional<Message> Call(const Address& aAddress,
                                   const Message& aRequest,
                                   Milliseconds aTime)
{
  const Socket socket = Connect(aAddress);
  if (!socket.IsOpen() || !socket.WriteAll(aRequest.Text())) {
    return std::nullopt;
  }
  return MessageReader(socket).Read(aTime);
}

/** Accepts connections and handles each in a thread. */
class Listener
{
public:
  Listener(Address aAddress, std::function<void(Socket)> aHandle)
    : m_address(std::move(aAddress))
    , m_handle(std::move(aHandle))
    , m_socket(Listen(m_address))
  {
    if (m_socket.IsOpen()) {
      m_thread = std::thread([this] { Run(); });
    }
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  /** Handlers have to end by themselves soon after Stop. */
  ~Listener() { Stop(); }

  void Stop()
  {
    m_stopped = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
    for (auto& handler : m_handlers) {
      handler.join();
    }
    m_handlers.clear();
  }
  [[nodiscard]] bool IsStopped() const { return m_stopped; }
  [[nodiscard]] bool IsOpen() const { return m_socket.IsOpen(); }
  [[nodiscard]] const Address& GetAddress() const { return m_address; }

private:
  void Run()
  {
    constexpr Milliseconds kPoll(20);
    while (!m_stopped) {
      if (!m_socket.WaitReadable(kPoll)) {
        continue;
      }
      const int accepted =
        ::accept4(m_socket.Get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        m_handlers.emplace_back(
          [this, accepted] { m_handle(Socket(accepted)); });
      }
    }
  }

  Address m_address;
  std::function<void(Socket)> m_handle;
  std::atomic<bool> m_stopped{ false };
  Socket m_socket;
  std::vector<std::thread> m_handlers;
  std::thread m_thread;
};

} // namespace review

#endif
