#include "auburntrestle/http/server.hpp"

#include "auburntrestle/http/internal/server_connection.hpp"
#include "auburntrestle/settings/socket_address.hpp"

#include <utility>

namespace auburntrestle::http {

ServerLimits LimitsWithoutBodies() noexcept
{
  // A client may still send a body that nobody reads.
  constexpr std::size_t kMaxBodyBytes = 1024;
  ServerLimits limits;
  limits.m_bodyBytes = kMaxBodyBytes;
  limits.m_totalBodyBytes = 0;
  return limits;
}

Exchange::Exchange(Request aRequest,
                   std::weak_ptr<internal::ServerConnection> aConnection)
  : m_request(std::move(aRequest))
  , m_connection(std::move(aConnection))
  , m_receivedAt(MonotonicClock::Now())
{
}

void Exchange::Respond(const Response& aResponse)
{
  if (std::exchange(m_responded, true)) {
    return;
  }
  m_onClosed = nullptr;
  if (const auto connection = m_connection.lock()) {
    connection->Respond(aResponse);
  }
}

void Exchange::Abort()
{
  if (std::exchange(m_responded, true)) {
    return;
  }
  m_onClosed = nullptr;
  if (const auto connection = m_connection.lock()) {
    connection->Close();
  }
}

tl::expected<std::unique_ptr<Server>, ListenError> Server::Listen(
  event_loop::EventLoop& aLoop,
  const std::string& aAddress,
  RequestHandler aHandler,
  std::shared_ptr<ServerResources> aResources)
{
  const auto address = settings::SocketAddress::Parse(aAddress);
  if (!address) {
    return tl::make_unexpected(ListenError{ aAddress, "not ip:port" });
  }
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(address->Host()), address->Port());
  auto state = std::make_shared<internal::ServerState>(
    aLoop,
    std::move(aHandler),
    aResources ? std::move(aResources)
               : std::make_shared<ServerResources>(ResourceLimits{}));
  asio::error_code error;
  auto& acceptor = state->m_acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(ListenError{ aAddress, error.message() });
  }
  state->Accept();
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<internal::ServerState> aState)
  : m_state(std::move(aState))
{
}

Server::~Server()
{
  m_state->Close();
}

void Server::SetLimits(const ServerLimits& aLimits)
{
  m_state->m_limits = aLimits;
}

void Server::Drain(Duration aIdle)
{
  m_state->m_draining = true;
  const auto connections = m_state->m_connections;
  for (const auto& connection : connections) {
    connection->CloseIdleAfter(aIdle);
  }
}

void Server::RespondToAll(const Response& aResponse)
{
  const auto connections = m_state->m_connections;
  for (const auto& connection : connections) {
    connection->RespondIfActive(aResponse);
  }
}

std::uint16_t Server::Port() const noexcept
{
  asio::error_code ignored;
  return m_state->m_acceptor.local_endpoint(ignored).port();
}

std::size_t Server::ActiveExchanges() const noexcept
{
  return m_state->m_activeExchanges;
}

std::size_t Server::Connections() const noexcept
{
  return m_state->m_connections.size();
}

} // namespace auburntrestle::http
