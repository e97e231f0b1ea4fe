#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kBacklog = 128;
constexpr int kPollMs = 100;

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

std::optional<sockaddr_in> ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos || inet_pton(AF_INET,
                                              aAddress.substr(0, colon).c_str(),
                                              &address.sin_addr) != 1) {
    return std::nullopt;
  }
  address.sin_port = htons(static_cast<std::uint16_t>(
    std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10)));
  return address;
}

bool WaitFor(int aDescriptor, short aEvents, Clock::time_point aUntil)
{
  while (true) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(aUntil - Clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd item{ aDescriptor, aEvents, 0 };
    const int ready =
      poll(&item,
           1,
           static_cast<int>(std::min<std::int64_t>(left.count(), kPollMs)));
    if (ready > 0) {
      return true;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

void SetNoDelay(int aDescriptor)
{
  const int on = 1;
  setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/** Reads the start line and the header fields of a message. */
void ParseHead(std::string_view aHead, bool aIsRequest, Message& aMessage)
{
  std::size_t start = 0;
  bool isFirst = true;
  while (start < aHead.size()) {
    const auto end = std::min(aHead.find("\r\n", start), aHead.size());
    const std::string line(aHead.substr(start, end - start));
    start = end + 2;
    if (isFirst) {
      isFirst = false;
      const auto first = line.find(' ');
      const auto second = line.find(' ', first + 1);
      if (aIsRequest) {
        aMessage.m_method = line.substr(0, first);
        aMessage.m_target = line.substr(first + 1, second - first - 1);
      } else {
        aMessage.m_status = std::atoi(line.c_str() + first + 1);
      }
      continue;
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const auto value = line.find_first_not_of(' ', colon + 1);
    aMessage.m_headers.emplace_back(
      line.substr(0, colon),
      value == std::string::npos ? "" : line.substr(value));
  }
}

} // namespace

std::string Message::Find(std::string_view aName) const
{
  for (const auto& [name, value] : m_headers) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool Message::Has(std::string_view aName) const
{
  return std::any_of(
    m_headers.begin(), m_headers.end(), [&](const auto& aField) {
      return EqualsIgnoreCase(aField.first, aName);
    });
}

std::string Message::Path() const
{
  return m_target.substr(0, m_target.find('?'));
}

Connection::Connection(int aDescriptor)
  : m_descriptor(aDescriptor)
{
}

Connection::~Connection()
{
  close(m_descriptor);
}

bool Connection::Fill(Clock::time_point aUntil)
{
  constexpr std::size_t kBytes = 65536;
  if (!WaitFor(m_descriptor, POLLIN, aUntil)) {
    return false;
  }
  std::array<char, kBytes> buffer{};
  const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  m_input.append(buffer.data(), static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadChunks(std::string& aBody, Clock::time_point aUntil)
{
  while (true) {
    auto end = m_input.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(aUntil)) {
        return false;
      }
      end = m_input.find("\r\n");
    }
    const auto size = std::strtoull(m_input.c_str(), nullptr, 16);
    while (m_input.size() < end + 2 + size + 2) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    aBody += m_input.substr(end + 2, size);
    m_input.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<Message> Connection::Read(bool aIsRequest, Milliseconds aTimeout)
{
  const auto until = Clock::now() + aTimeout;
  auto end = m_input.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = m_input.find("\r\n\r\n");
  }
  Message message;
  ParseHead(std::string_view(m_input).substr(0, end), aIsRequest, message);
  m_input.erase(0, end + 4);
  const bool isChunked =
    EqualsIgnoreCase(message.Find("Transfer-Encoding"), "chunked");
  message.m_hasTwoLengths = isChunked && message.Has("Content-Length");
  if (isChunked) {
    return ReadChunks(message.m_body, until) ? std::optional(message)
                                             : std::nullopt;
  }
  const auto size =
    std::strtoull(message.Find("Content-Length").c_str(), nullptr, 10);
  while (m_input.size() < size) {
    if (!Fill(until)) {
      return std::nullopt;
    }
  }
  message.m_body = m_input.substr(0, size);
  m_input.erase(0, size);
  return message;
}

bool Connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto count =
      send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool Connection::IsClosed() const
{
  char byte = 0;
  const auto count = recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Shutdown() const
{
  shutdown(m_descriptor, SHUT_RDWR);
}

int Dial(const std::string& aAddress, Milliseconds aTimeout)
{
  const auto address = ParseAddress(aAddress);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!address || descriptor < 0) {
    return -1;
  }
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  const int started = connect(
    descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
  int error = 0;
  socklen_t size = sizeof(error);
  const bool connected =
    started == 0 ||
    (errno == EINPROGRESS &&
     WaitFor(descriptor, POLLOUT, Clock::now() + aTimeout) &&
     getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
     error == 0);
  if (!connected) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, 0);
  SetNoDelay(descriptor);
  return descriptor;
}

std::optional<Message> Call(const std::string& aAddress,
                            const std::string& aMethod,
                            const std::string& aTarget,
                            const Headers& aHeaders,
                            const std::string& aBody,
                            Milliseconds aTimeout)
{
  const int descriptor = Dial(aAddress, aTimeout);
  if (descriptor < 0) {
    return std::nullopt;
  }
  Connection connection(descriptor);
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  text += aBody;
  return connection.Write(text) ? connection.Read(false, aTimeout)
                                : std::nullopt;
}

std::string Response(int aStatus,
                     const Headers& aHeaders,
                     const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

Server::Server(const std::string& aAddress, Handler aHandler)
  : m_handler(std::move(aHandler))
{
  const auto address = ParseAddress(aAddress);
  m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!address ||
      bind(m_descriptor,
           reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0 ||
      listen(m_descriptor, kBacklog) != 0) {
    close(m_descriptor);
    m_descriptor = -1;
    return;
  }
  m_thread = std::thread([this] { Accept(); });
}

Server::~Server()
{
  m_stopped = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
  for (auto& peer : m_peers) {
    peer.m_connection.Shutdown();
    peer.m_thread.join();
  }
  if (m_descriptor >= 0) {
    close(m_descriptor);
  }
}

void Server::Accept()
{
  while (!m_stopped) {
    if (!WaitFor(m_descriptor, POLLIN, Clock::now() + Milliseconds(kPollMs))) {
      continue;
    }
    const int descriptor =
      accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    SetNoDelay(descriptor);
    auto& peer = m_peers.emplace_back(descriptor);
    peer.m_thread = std::thread([this, &peer] { Serve(peer.m_connection); });
  }
}

void Server::Serve(Connection& aConnection)
{
  constexpr Milliseconds kIdleTimeout{ 60000 };
  while (!m_stopped) {
    const auto request = aConnection.Read(true, kIdleTimeout);
    if (!request || !m_handler(*request, aConnection) ||
        request->m_hasTwoLengths) {
      break;
    }
  }
  aConnection.Shutdown();
}

} // namespace review
