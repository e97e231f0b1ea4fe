#include "soak/proxy.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <list>
#include <stdexcept>

namespace auburntrestle::soak {

namespace {

using asio::ip::tcp;

constexpr Duration kBlockCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t kChunkBytes = std::size_t{ 16 } * 1024;

tcp::endpoint ParseEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("no ip:port: " + aAddress);
  }
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

} // namespace

struct Proxy::State : std::enable_shared_from_this<Proxy::State>
{
  State(event_loop::EventLoop& aLoop, tcp::endpoint aTarget)
    : m_loop(aLoop)
    , m_target(std::move(aTarget))
    , m_acceptor(aLoop.Context())
  {
  }

  void Accept();

  event_loop::EventLoop& m_loop;
  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  LinkFault m_fault;
  std::list<std::weak_ptr<Session>> m_sessions;
};

/** A caller's connection and the matching connection to the target. */
struct Proxy::Session : std::enable_shared_from_this<Proxy::Session>
{
  enum class Direction : std::uint8_t
  {
    ToTarget,
    ToCaller,
  };

  /** The source and destination of one direction, and its buffer. */
  struct Flow
  {
    tcp::socket* m_from = nullptr;
    tcp::socket* m_to = nullptr;
    std::array<char, kChunkBytes> m_chunk{};
  };

  Session(std::shared_ptr<State> aState, tcp::socket aCaller)
    : m_state(std::move(aState))
    , m_caller(std::move(aCaller))
    , m_target(m_state->m_loop.Context())
  {
    m_flows[0] = { &m_caller, &m_target, {} };
    m_flows[1] = { &m_target, &m_caller, {} };
  }

  void Start()
  {
    m_target.async_connect(
      m_state->m_target,
      [self = shared_from_this()](const asio::error_code& aError) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Read(Direction::ToTarget);
        self->Read(Direction::ToCaller);
      });
  }

  void Read(Direction aDirection)
  {
    Flow& flow = m_flows[static_cast<std::size_t>(aDirection)];
    flow.m_from->async_read_some(
      asio::buffer(flow.m_chunk),
      [self = shared_from_this(), aDirection](const asio::error_code& aError,
                                              std::size_t aBytes) {
        if (aError) {
          self->End(aDirection, aError);
          return;
        }
        const Duration delay = self->m_state->m_fault.m_delay;
        if (delay > Duration::zero()) {
          self->m_state->m_loop.After(delay, [self, aDirection, aBytes] {
            self->Write(aDirection, aBytes);
          });
        } else {
          self->Write(aDirection, aBytes);
        }
      });
  }

  void Write(Direction aDirection, std::size_t aBytes)
  {
    const LinkFault& fault = m_state->m_fault;
    const bool blocked = aDirection == Direction::ToTarget
                           ? fault.m_blockToTarget
                           : fault.m_blockToCaller;
    if (blocked) {
      m_state->m_loop.After(kBlockCheckInterval,
                            [self = shared_from_this(), aDirection, aBytes] {
                              self->Write(aDirection, aBytes);
                            });
      return;
    }
    Flow& flow = m_flows[static_cast<std::size_t>(aDirection)];
    asio::async_write(*flow.m_to,
                      asio::buffer(flow.m_chunk.data(), aBytes),
                      [self = shared_from_this(), aDirection](
                        const asio::error_code& aError, std::size_t) {
                        if (aError) {
                          self->Reset();
                        } else {
                          self->Read(aDirection);
                        }
                      });
  }

  /** Forwards an end of stream; any other error resets both connections. */
  void End(Direction aDirection, const asio::error_code& aError)
  {
    if (aError != asio::error::eof || ++m_ended == m_flows.size()) {
      Reset();
      return;
    }
    asio::error_code ignored;
    m_flows[static_cast<std::size_t>(aDirection)].m_to->shutdown(
      tcp::socket::shutdown_send, ignored);
  }

  void Reset()
  {
    asio::error_code ignored;
    for (tcp::socket* socket : { &m_caller, &m_target }) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  std::shared_ptr<State> m_state;
  tcp::socket m_caller;
  tcp::socket m_target;
  std::array<Flow, 2> m_flows;
  std::size_t m_ended = 0;
};

void Proxy::State::Accept()
{
  m_acceptor.async_accept(
    [self = shared_from_this()](const asio::error_code& aError,
                                tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto session = std::make_shared<Session>(self, std::move(aSocket));
      std::erase_if(self->m_sessions,
                    [](const auto& aOther) { return aOther.expired(); });
      self->m_sessions.push_back(session);
      session->Start();
      self->Accept();
    });
}

Proxy::Proxy(event_loop::EventLoop& aLoop,
             const std::string& aListen,
             const std::string& aTarget)
  : m_state(std::make_shared<State>(aLoop, ParseEndpoint(aTarget)))
{
  const auto endpoint = ParseEndpoint(aListen);
  m_state->m_acceptor.open(endpoint.protocol());
  m_state->m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_state->m_acceptor.bind(endpoint);
  m_state->m_acceptor.listen();
  m_state->Accept();
}

Proxy::~Proxy()
{
  asio::error_code ignored;
  m_state->m_acceptor.close(ignored);
  ResetAll();
}

void Proxy::SetFault(const LinkFault& aFault)
{
  m_state->m_fault = aFault;
}

void Proxy::ResetAll()
{
  for (const auto& weak : m_state->m_sessions) {
    if (const auto session = weak.lock()) {
      session->Reset();
    }
  }
}

} // namespace auburntrestle::soak
