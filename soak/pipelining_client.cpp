#include "soak/pipelining_client.hpp"

#include "auburntrestle/settings/socket_address.hpp"
#include "platform/names.hpp"

#include <asio/write.hpp>

#include <utility>

namespace auburntrestle::soak {

using http::internal::Progress;

PipeliningClient::PipeliningClient(event_loop::EventLoop& aLoop,
                                   PipeliningOptions aOptions,
                                   std::vector<PipelinedRequest> aRequests,
                                   AnswerCallback aOnAnswer,
                                   SurplusCallback aOnSurplus)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_requests(std::move(aRequests))
  , m_onAnswer(std::move(aOnAnswer))
  , m_onSurplus(std::move(aOnSurplus))
  , m_socket(aLoop.Context())
{
}

void PipeliningClient::Start(const std::string& aAddress)
{
  const auto address = settings::SocketAddress::Parse(aAddress);
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(address->Host()), address->Port());
  // A small window, so that an answer does not fit into the system's buffers.
  constexpr int kReceiveBytes = 4096;
  m_socket.open(endpoint.protocol());
  m_socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
  m_socket.async_connect(
    endpoint, [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->Send();
        self->Read();
      }
    });
}

void PipeliningClient::Send()
{
  for (const auto& request : m_requests) {
    http::Request message;
    message.m_method = "POST";
    message.m_target = request.m_target;
    message.m_headers.Add("Host", m_options.m_host);
    message.m_headers.Add(platform::names::kRequestId, request.m_id);
    message.m_body = request.m_body;
    m_output += http::Serialise(message);
  }
  asio::async_write(
    m_socket,
    asio::buffer(m_output),
    [self = shared_from_this()](const asio::error_code&, std::size_t) {});
}

void PipeliningClient::Read()
{
  m_socket.async_read_some(
    asio::buffer(m_buffer),
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aBytes) {
      if (aError) {
        // An instance that was killed or cut off; its answers are just missing.
        return;
      }
      self->HandleBytes({ self->m_buffer.data(), aBytes });
      const bool done = self->m_answered == self->m_requests.size() ||
                        self->m_received >= self->m_options.m_maxBytes;
      if (done) {
        asio::error_code ignored;
        self->m_socket.close(ignored);
        return;
      }
      self->m_loop.After(self->m_options.m_readDelay, [self] { self->Read(); });
    });
}

void PipeliningClient::HandleBytes(std::string_view aBytes)
{
  m_received += aBytes.size();
  while (!aBytes.empty()) {
    if (m_answered == m_requests.size()) {
      m_onSurplus("bytes after the last answer");
      return;
    }
    aBytes.remove_prefix(m_parser.Feed(aBytes));
    if (m_parser.GetProgress() == Progress::Malformed) {
      m_onSurplus("bytes that are no answer to " + m_requests[m_answered].m_id);
      m_received = m_options.m_maxBytes;
      return;
    }
    if (m_parser.GetProgress() == Progress::Complete) {
      const http::Response response{ m_parser.Status(),
                                     m_parser.ExtractHeaders(),
                                     m_parser.ExtractBody() };
      m_parser.Reset();
      m_onAnswer(m_requests[m_answered++], response);
    }
  }
}

} // namespace auburntrestle::soak
