#include "auburntrestle/http/client.hpp"

#include "auburntrestle/http/internal/client_connection.hpp"

#include <utility>

namespace auburntrestle::http {

std::string_view ToString(CallFailure aFailure) noexcept
{
  switch (aFailure) {
    case CallFailure::ConnectFailed:
      return "connect_failed";
    case CallFailure::ClosedBeforeResponse:
      return "closed_before_response";
    case CallFailure::IncompleteResponse:
      return "broken_off";
    case CallFailure::Malformed:
      return "malformed";
    case CallFailure::TimedOut:
      return "timed_out";
    case CallFailure::TooLarge:
      return "too_large";
  }
  return "unknown";
}

Call::Call(std::weak_ptr<internal::ClientConnection> aConnection)
  : m_connection(std::move(aConnection))
{
}

void Call::Cancel()
{
  if (const auto connection = std::exchange(m_connection, {}).lock()) {
    connection->Cancel();
  }
}

Client::Client(event_loop::EventLoop& aLoop, ClientOptions aOptions)
  : m_pool(std::make_shared<internal::ClientPool>(aLoop, aOptions))
{
}

Client::~Client()
{
  m_pool->CloseAll();
}

std::shared_ptr<Call> Client::Start(const std::string& aAddress,
                                    const Request& aRequest,
                                    const CallOptions& aOptions,
                                    CallHandlers aHandlers)
{
  auto connection = m_pool->PopIdle(aAddress, aOptions.m_correlation);
  if (!connection) {
    connection = std::make_shared<internal::ClientConnection>(m_pool, aAddress);
  }
  // Cancelling a finished call must not cancel a later one on the same
  // connection.
  auto call = std::make_shared<Call>(connection);
  auto onDone = std::move(aHandlers.m_onDone);
  aHandlers.m_onDone = [weak = std::weak_ptr<Call>(call),
                        onDone = std::move(onDone)](auto aResult) {
    if (const auto self = weak.lock()) {
      *self = Call({});
    }
    onDone(aResult);
  };
  connection->StartCall(aRequest, aOptions, std::move(aHandlers));
  return call;
}

void Client::CloseIdle(const std::string& aAddress)
{
  m_pool->Close(aAddress);
}

std::size_t Client::ReceivedBytes() const noexcept
{
  return m_pool->m_receivedBytes;
}

CallHandlers CollectResponse(std::function<void(FetchResult)> aCallback)
{
  auto response = std::make_shared<Response>();
  return CallHandlers{ [response](const ResponseHead& aHead) {
                        response->m_status = aHead.m_status;
                        response->m_headers = aHead.m_headers;
                      },
                       [response](std::string_view aBody) {
                         response->m_body.append(aBody);
                       },
                       [response, callback = std::move(aCallback)](
                         tl::expected<void, CallFailure> aResult) {
                         if (aResult) {
                           callback(std::move(*response));
                         } else {
                           callback(tl::make_unexpected(aResult.error()));
                         }
                       } };
}

std::shared_ptr<Call> Fetch(Client& aClient,
                            const std::string& aAddress,
                            const Request& aRequest,
                            const CallOptions& aOptions,
                            std::function<void(FetchResult)> aCallback)
{
  return aClient.Start(
    aAddress, aRequest, aOptions, CollectResponse(std::move(aCallback)));
}

} // namespace auburntrestle::http
