#include "auburntrestle/http/internal/client_connection.hpp"

#include "auburntrestle/core/release_memory.hpp"
#include "auburntrestle/settings/socket_address.hpp"

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace auburntrestle::http::internal {

ClientPool::ClientPool(event_loop::EventLoop& aLoop, ClientOptions aOptions)
  : m_loop(aLoop)
  , m_options(aOptions)
{
}

std::shared_ptr<ClientConnection> ClientPool::PopIdle(
  const std::string& aAddress,
  const std::optional<Correlation>& aCorrelation)
{
  const auto found = m_idle.find(aAddress);
  if (found == m_idle.end()) {
    return nullptr;
  }
  // The most recently used connection is the least likely to be closed by the
  // server.
  auto& idle = found->second;
  const auto usable =
    std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aConnection) {
      return !aConnection->History().IsAmbiguous(aCorrelation);
    });
  if (usable == idle.rend()) {
    return nullptr;
  }
  auto connection = std::move(*usable);
  idle.erase(std::prev(usable.base()));
  return connection;
}

bool ClientPool::AddIdle(const std::shared_ptr<ClientConnection>& aConnection)
{
  auto& idle = m_idle[aConnection->Address()];
  if (idle.size() >= m_options.m_maxIdlePerAddress) {
    return false;
  }
  idle.push_back(aConnection);
  return true;
}

void ClientPool::RemoveIdle(const ClientConnection& aConnection)
{
  const auto found = m_idle.find(aConnection.Address());
  if (found == m_idle.end()) {
    return;
  }
  std::erase_if(found->second, [&](const auto& aOther) {
    return aOther.get() == &aConnection;
  });
  if (found->second.empty()) {
    m_idle.erase(found);
  }
}

void ClientPool::Close(const std::string& aAddress)
{
  const auto found = m_idle.find(aAddress);
  if (found == m_idle.end()) {
    return;
  }
  const auto connections = std::move(found->second);
  m_idle.erase(found);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

void ClientPool::CloseAll()
{
  while (!m_idle.empty()) {
    Close(std::string(m_idle.begin()->first));
  }
}

void ClientPool::AddReceiving(ClientConnection& aConnection)
{
  m_receiving.insert(&aConnection);
}

void ClientPool::RemoveReceiving(ClientConnection& aConnection)
{
  m_receiving.erase(&aConnection);
}

void ClientPool::EnforceLimit()
{
  while (m_receivedBytes > m_options.m_maxReceivedBytes) {
    const auto longest = std::max_element(
      m_receiving.begin(), m_receiving.end(), [](auto* aFirst, auto* aSecond) {
        return aFirst->ReceivedBytes() < aSecond->ReceivedBytes();
      });
    (*longest)->Shed();
  }
}

ClientConnection::ClientConnection(std::shared_ptr<ClientPool> aPool,
                                   std::string aAddress)
  : m_pool(std::move(aPool))
  , m_address(std::move(aAddress))
  , m_socket(m_pool->m_loop.Context())
{
}

ClientConnection::~ClientConnection()
{
  ReleaseReceived();
}

void ClientConnection::StartCall(const Request& aRequest,
                                 const CallOptions& aOptions,
                                 CallHandlers aHandlers)
{
  CancelTimer(m_stageTimer);
  m_handlers = std::move(aHandlers);
  m_pool->AddReceiving(*this);
  m_output = SerialiseHead(aRequest);
  m_outputBody = aRequest.m_sharedBody.size() > 0
                   ? aRequest.m_sharedBody
                   : SharedBytes(aRequest.m_body);
  m_correlation = aOptions.m_correlation;
  m_history.Record(m_correlation);
  m_expectsNoBody = aRequest.m_method == "HEAD";
  ResetParser();
  m_headReported = false;
  m_maxResponseBytes =
    aOptions.m_maxResponseBytes.value_or(m_pool->m_options.m_maxResponseBytes);
  SetTimer(m_callTimer, aOptions.m_timeout, [this] {
    Finish(tl::make_unexpected(CallFailure::TimedOut));
  });
  if (m_connected) {
    Send();
  } else {
    Connect(std::min(aOptions.m_connectTimeout, aOptions.m_timeout));
  }
}

void ClientConnection::Connect(Duration aTimeout)
{
  const auto address = settings::SocketAddress::Parse(m_address);
  if (!address) {
    m_pool->m_loop.Post([self = shared_from_this()] {
      self->Finish(tl::make_unexpected(CallFailure::ConnectFailed));
    });
    return;
  }
  SetTimer(m_stageTimer, aTimeout, [this] {
    Finish(tl::make_unexpected(CallFailure::ConnectFailed));
  });
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(address->Host()), address->Port());
  m_socket.async_connect(
    endpoint, [self = shared_from_this()](const asio::error_code& aError) {
      if (self->m_closed) {
        return;
      }
      self->CancelTimer(self->m_stageTimer);
      if (aError) {
        self->Finish(tl::make_unexpected(CallFailure::ConnectFailed));
        return;
      }
      asio::error_code ignored;
      self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->m_connected = true;
      self->Send();
      self->Read();
    });
}

void ClientConnection::Send()
{
  m_isSent = false;
  const std::array<asio::const_buffer, 2> request = {
    asio::buffer(m_output), asio::buffer(m_outputBody.Get())
  };
  asio::async_write(
    m_socket,
    request,
    [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
      self->m_writeError = aError;
      // After a failed write the pending read may still receive a response that
      // was sent early.
      if (!aError) {
        self->m_isSent = true;
        ReleaseMemory(self->m_output);
        self->m_outputBody = {};
      }
    });
}

void ClientConnection::Read()
{
  if (m_reading || m_closed) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    asio::buffer(m_buffer),
    [self = shared_from_this()](const asio::error_code& aError,
                                std::size_t aBytes) {
      self->m_reading = false;
      if (!self->m_closed) {
        self->OnRead(aError, aBytes);
      }
    });
}

void ClientConnection::OnRead(const asio::error_code& aError,
                              std::size_t aBytes)
{
  if (!m_handlers) {
    // Bytes without a request, or the end of an idle connection.
    Close();
    return;
  }
  if (!aError) {
    HandleBytes(std::string_view(m_buffer.data(), aBytes));
    if (!m_closed) {
      Read();
    }
    return;
  }
  if (m_receivedBytes == 0) {
    Finish(tl::make_unexpected(CallFailure::ClosedBeforeResponse));
    return;
  }
  if (aError == asio::error::eof && !WasReset()) {
    m_parser.FeedEnd();
    if (m_parser.GetProgress() == Progress::Complete && !IsForeign()) {
      ReportProgress();
      OnComplete(true);
      return;
    }
  }
  Finish(tl::make_unexpected(CallFailure::IncompleteResponse));
}

bool ClientConnection::WasReset() const
{
  return m_writeError && m_writeError != asio::error::broken_pipe;
}

void ClientConnection::HandleBytes(std::string_view aBytes)
{
  const auto self = shared_from_this();
  CountReceived(aBytes.size());
  if (m_closed) {
    return;
  }
  if (m_receivedBytes > m_maxResponseBytes) {
    Finish(tl::make_unexpected(CallFailure::TooLarge));
    return;
  }
  bool isForeign = false;
  do {
    aBytes.remove_prefix(m_parser.Feed(aBytes));
    if (m_parser.GetProgress() == Progress::Malformed) {
      Finish(tl::make_unexpected(CallFailure::Malformed));
      return;
    }
    isForeign = IsForeign();
  } while (isForeign && DiscardForeign() && !aBytes.empty());
  if (isForeign) {
    return;
  }
  ReportProgress();
  if (m_handlers && m_parser.GetProgress() == Progress::Complete) {
    OnComplete(!aBytes.empty());
  }
}

bool ClientConnection::IsForeign() const
{
  if (!m_correlation || m_headReported ||
      m_parser.GetProgress() == Progress::Headers) {
    return false;
  }
  const auto echoed = m_parser.GetHeaders().Find(m_correlation->m_field);
  return echoed && *echoed != m_correlation->m_value;
}

bool ClientConnection::DiscardForeign()
{
  if (!std::exchange(m_foreignReported, true) && m_handlers->m_onForeignHead) {
    const auto onForeignHead = m_handlers->m_onForeignHead;
    onForeignHead(ResponseHead{ m_parser.Status(), m_parser.GetHeaders() });
  }
  std::ignore = m_parser.ExtractBody();
  if (m_parser.GetProgress() != Progress::Complete) {
    return false;
  }
  ResetParser();
  return true;
}

void ClientConnection::ResetParser()
{
  m_foreignReported = false;
  m_parser.Reset();
  if (m_expectsNoBody) {
    m_parser.ExpectNoBody();
  }
}

void ClientConnection::CountReceived(std::size_t aBytes)
{
  m_receivedBytes += aBytes;
  m_pool->m_receivedBytes += aBytes;
  m_pool->EnforceLimit();
}

void ClientConnection::ReleaseReceived()
{
  m_pool->RemoveReceiving(*this);
  m_pool->m_receivedBytes -= std::exchange(m_receivedBytes, 0);
}

std::optional<CallHandlers> ClientConnection::ExtractHandlers()
{
  ReleaseReceived();
  return std::exchange(m_handlers, std::nullopt);
}

void ClientConnection::Shed()
{
  ReleaseReceived();
  Close();
  m_pool->m_loop.Post([self = shared_from_this()] {
    self->Finish(tl::make_unexpected(CallFailure::TooLarge));
  });
}

void ClientConnection::ReportProgress()
{
  if (m_parser.GetProgress() == Progress::Headers) {
    return;
  }
  if (!m_headReported) {
    m_headReported = true;
    m_lastHeaders = m_parser.GetHeaders();
    if (m_handlers->m_onHead) {
      const auto onHead = m_handlers->m_onHead;
      onHead(ResponseHead{ m_parser.Status(), m_lastHeaders });
    }
  }
  const std::string body = m_parser.ExtractBody();
  if (!body.empty() && m_handlers && m_handlers->m_onBody) {
    const auto onBody = m_handlers->m_onBody;
    onBody(body);
  }
}

void ClientConnection::OnComplete(bool aSurplus)
{
  const auto self = shared_from_this();
  const bool reusable =
    !aSurplus && m_isSent && m_parser.KeepAlive() && !m_history.IsFull();
  const auto handlers = ExtractHandlers();
  CancelTimer(m_callTimer);
  if (reusable) {
    ReturnToPool();
  } else {
    Close();
  }
  handlers->m_onDone({});
}

void ClientConnection::ReturnToPool()
{
  if (!m_pool->AddIdle(shared_from_this())) {
    Close();
    return;
  }
  SetTimer(m_stageTimer, IdleTimeout(), [this] { Close(); });
}

Duration ClientConnection::IdleTimeout() const
{
  constexpr Duration kMargin = std::chrono::milliseconds(500);
  constexpr std::string_view kTimeout = "timeout=";
  const auto field = m_lastHeaders.Find("Keep-Alive");
  const auto at = field ? field->find(kTimeout) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return m_pool->m_options.m_idleTimeout;
  }
  const auto digits = field->substr(at + kTimeout.size());
  std::uint32_t seconds = std::numeric_limits<std::uint32_t>::max();
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const Duration announced = std::chrono::seconds(seconds);
  return std::min(std::max(announced - kMargin, announced / 2),
                  m_pool->m_options.m_idleTimeout);
}

void ClientConnection::Finish(tl::expected<void, CallFailure> aResult)
{
  const auto self = shared_from_this();
  const auto handlers = ExtractHandlers();
  Close();
  if (handlers) {
    handlers->m_onDone(aResult);
  }
}

void ClientConnection::Cancel()
{
  const auto self = shared_from_this();
  ExtractHandlers();
  Close();
}

void ClientConnection::Close()
{
  if (m_closed) {
    return;
  }
  const auto self = shared_from_this();
  m_closed = true;
  CancelTimer(m_callTimer);
  CancelTimer(m_stageTimer);
  m_pool->RemoveIdle(*this);
  asio::error_code ignored;
  if (m_pool->m_options.m_resetsOnClose) {
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  m_socket.close(ignored);
}

void ClientConnection::SetTimer(std::optional<timer::TimerId>& aTimer,
                                Duration aDelay,
                                std::function<void()> aWork)
{
  CancelTimer(aTimer);
  aTimer = m_pool->m_loop.After(
    aDelay, [weak = weak_from_this(), &aTimer, work = std::move(aWork)] {
      if (const auto self = weak.lock()) {
        aTimer.reset();
        work();
      }
    });
}

void ClientConnection::CancelTimer(std::optional<timer::TimerId>& aTimer)
{
  if (aTimer) {
    m_pool->m_loop.Cancel(*std::exchange(aTimer, std::nullopt));
  }
}

} // namespace auburntrestle::http::internal
