#ifndef AUBURNTRESTLE_REVIEW_THIRD_LINK_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_LINK_HPP

#include "net.hpp"

/** A link to a server that can be cut, as a partition cuts it. */
namespace review {

/**
 * Forwards connections. While the link is cut, nothing passes: bytes and the
 * ends of connections are held up. After the cut, each direction goes on when
 * its sender repeats what was not acknowledged. As TCP does by default
 * (RFC 6298, with Linux's least time-out of 200 ms), the sender repeats it
 * after 0.2, 0.6, 1.4, 3.0, 6.2, 12.6 s and so on. What was held up is lost if
 * its sender has reset the connection, and a connection that was begun during
 * the cut and given up before its end was never there.
 */
class Link
{
public:
  Link(Address aListen, Address aTarget)
    : m_target(std::move(aTarget))
    , m_listener(std::move(aListen),
                 [this](Socket aSocket) { Forward(std::move(aSocket)); })
  {
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link() { m_listener.Stop(); }

  [[nodiscard]] bool IsListening() const { return m_listener.IsOpen(); }
  void Cut() { m_isCut = true; }
  void Heal()
  {
    m_healedAt = Clock::now();
    m_isCut = false;
  }

private:
  /** One direction of a connection. */
  class Direction
  {
  public:
    Direction(const Link& aLink, const Socket& aFrom, const Socket& aTo)
      : m_link(aLink)
      , m_from(aFrom)
      , m_to(aTo)
    {
    }

    /** @return false when the connection is to be closed. */
    [[nodiscard]] bool Advance()
    {
      if (m_ended || !m_from.WaitReadable(Milliseconds(0))) {
        return true;
      }
      const auto now = Clock::now();
      if (m_link.m_isCut) {
        m_heldSince = m_heldSince.value_or(now);
        return true;
      }
      if (m_heldSince) {
        if (now < RepeatedAt(*m_heldSince, m_link.m_healedAt)) {
          return true;
        }
        m_heldSince.reset();
      }
      if (m_from.IsReset()) {
        return false;
      }
      std::string bytes;
      if (!m_from.ReadSome(bytes)) {
        m_ended = true;
        ::shutdown(m_to.Get(), SHUT_WR);
        return true;
      }
      return m_to.WriteAll(bytes);
    }
    [[nodiscard]] bool HasEnded() const { return m_ended; }

  private:
    /** @return when a sender first repeats, at or after a time, what it sent
     * before. */
    static Clock::time_point RepeatedAt(Clock::time_point aSentAt,
                                        Clock::time_point aNotBefore)
    {
      Milliseconds timeout(200);
      auto at = aSentAt + timeout;
      while (at < aNotBefore) {
        timeout *= 2;
        at += timeout;
      }
      return at;
    }

    const Link& m_link;
    const Socket& m_from;
    const Socket& m_to;
    std::optional<Clock::time_point> m_heldSince;
    bool m_ended = false;
  };

  void Forward(Socket aClient)
  {
    constexpr Milliseconds kStep(5);
    const bool beganInCut = m_isCut;
    while (m_isCut && !m_listener.IsStopped()) {
      Sleep(kStep);
    }
    if (beganInCut && HasEnded(aClient)) {
      return;
    }
    const Socket server = Connect(m_target);
    if (!server.IsOpen()) {
      return;
    }
    Direction toServer(*this, aClient, server);
    Direction toClient(*this, server, aClient);
    while (!m_listener.IsStopped() && toServer.Advance() &&
           toClient.Advance() &&
           !(toServer.HasEnded() && toClient.HasEnded())) {
      pollfd entries[] = { { aClient.Get(), POLLIN, 0 },
                           { server.Get(), POLLIN, 0 } };
      if (toServer.HasEnded() || toClient.HasEnded() || m_isCut) {
        Sleep(kStep);
      } else {
        ::poll(entries, 2, static_cast<int>(kStep.count()));
      }
    }
  }

  /** @return whether the end of a connection has arrived. */
  [[nodiscard]] static bool HasEnded(const Socket& aSocket)
  {
    pollfd entry{ aSocket.Get(), POLLRDHUP, 0 };
    ::poll(&entry, 1, 0);
    return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  Address m_target;
  std::atomic<bool> m_isCut{ false };
  std::atomic<Clock::time_point> m_healedAt{};
  Listener m_listener;
};

} // namespace review

#endif
