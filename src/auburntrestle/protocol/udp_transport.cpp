#include "auburntrestle/protocol/udp_transport.hpp"

#include "auburntrestle/protocol/internal/address.hpp"
#include "auburntrestle/protocol/internal/counter_store.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>

namespace auburntrestle::protocol {

struct UdpTransport::State
{
  State(UdpTransportOptions aOptions, DatagramHandler aHandler)
    : m_options(std::move(aOptions))
    , m_handler(std::move(aHandler))
    , m_encoder(m_options.m_key, m_options.m_self, m_options.m_incarnation)
    , m_decoder(m_options.m_key, m_options.m_self, m_options.m_incarnation)
    , m_socket(m_io)
    , m_input{}
  {
  }

  Expected<void> Open();
  void Receive();
  void OnReceived(std::size_t aCount);

  asio::io_context m_io;
  UdpTransportOptions m_options;
  DatagramHandler m_handler;
  internal::CounterStore m_counters;
  /** Guards the encoder and sending on the socket. */
  std::mutex m_mutex;
  DatagramCodec m_encoder;
  /** Used on the transport's thread only. */
  DatagramCodec m_decoder;
  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_source;
  std::array<char, 65536> m_input;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

Expected<void> UdpTransport::State::Open()
{
  const auto address = internal::ParseAddress(m_options.m_listenAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const asio::ip::udp::endpoint endpoint(address->m_host, address->m_port);
  try {
    m_socket.open(endpoint.protocol());
    m_socket.bind(endpoint);
    // Sending must never block the calling thread: when the buffer is full the
    // datagram is lost, as it may be in the network.
    m_socket.non_blocking(true);
    m_port = m_socket.local_endpoint().port();
  } catch (const std::system_error& error) {
    return Fail(ProtocolErrorCode::ListenFailed,
                m_options.m_listenAddress + ": " + error.what());
  }
  return {};
}

void UdpTransport::State::Receive()
{
  m_socket.async_receive_from(
    asio::buffer(m_input),
    m_source,
    [this](const std::error_code& aError, std::size_t aCount) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        OnReceived(aCount);
      }
      Receive();
    });
}

void UdpTransport::State::OnReceived(std::size_t aCount)
{
  auto datagram = m_decoder.Decode({ m_input.data(), aCount });
  if (!datagram) {
    m_counters.AddDropped(datagram.error().m_code);
    return;
  }
  m_counters.AddReceived(TrafficKind::Datagram, aCount);
  std::ostringstream text;
  text << m_source;
  m_handler(std::move(*datagram), text.str());
}

Expected<std::unique_ptr<UdpTransport>> UdpTransport::Start(
  UdpTransportOptions aOptions,
  DatagramHandler aHandler)
{
  auto state =
    std::make_unique<State>(std::move(aOptions), std::move(aHandler));
  if (auto opened = state->Open(); !opened) {
    return tl::unexpected(std::move(opened).error());
  }
  state->Receive();
  state->m_thread = std::thread([raw = state.get()] { raw->m_io.run(); });
  return std::unique_ptr<UdpTransport>(new UdpTransport(std::move(state)));
}

UdpTransport::UdpTransport(std::unique_ptr<State> aState)
  : m_state(std::move(aState))
{
}

UdpTransport::~UdpTransport()
{
  m_state->m_io.stop();
  m_state->m_thread.join();
}

Expected<void> UdpTransport::Send(const std::string& aAddress,
                                  const std::optional<InstanceId>& aTo,
                                  std::string_view aPayload)
{
  const auto address = internal::ParseAddress(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  const std::lock_guard lock(m_state->m_mutex);
  const std::string bytes = m_state->m_encoder.Encode(aTo, aPayload);
  if (bytes.size() > m_state->m_options.m_maxDatagramBytes) {
    return Fail(ProtocolErrorCode::TooLarge,
                "datagram of " + std::to_string(bytes.size()) + " bytes");
  }
  std::error_code error;
  m_state->m_socket.send_to(
    asio::buffer(bytes), { address->m_host, address->m_port }, 0, error);
  if (!error) {
    m_state->m_counters.AddSent(TrafficKind::Datagram, bytes.size());
  }
  return {};
}

TransportCounters UdpTransport::Counters() const
{
  return m_state->m_counters.Copy();
}

std::uint16_t UdpTransport::Port() const noexcept
{
  return m_state->m_port;
}

} // namespace auburntrestle::protocol
