#ifndef AUBURNTRESTLE_SOAK_PIPELINING_CLIENT_HPP
#define AUBURNTRESTLE_SOAK_PIPELINING_CLIENT_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/http/internal/parser.hpp"

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::soak {

/** A request of a PipeliningClient. */
struct PipelinedRequest
{
  std::string m_id;
  std::string m_target;
  std::string m_body;
};

/** How a PipeliningClient behaves. */
struct PipeliningOptions
{
  std::string m_host;
  /** Time between two reads. */
  Duration m_readDelay{};
  /** The client closes after this many bytes, in the middle of an answer. */
  std::size_t m_maxBytes = 0;
};

/**
 * A client that sends all of its requests at once on one connection, reads the
 * answers slowly and may close halfway. It keeps itself alive until then.
 */
class PipeliningClient : public std::enable_shared_from_this<PipeliningClient>
{
public:
  /** Called for each complete answer with its request, in order. */
  using AnswerCallback =
    std::function<void(const PipelinedRequest&, const http::Response&)>;
  /** Called when bytes are received that are no answer to a request. */
  using SurplusCallback = std::function<void(const std::string& aDetail)>;

  PipeliningClient(event_loop::EventLoop& aLoop,
                   PipeliningOptions aOptions,
                   std::vector<PipelinedRequest> aRequests,
                   AnswerCallback aOnAnswer,
                   SurplusCallback aOnSurplus);

  /** Connects to ip:port and sends the requests. */
  void Start(const std::string& aAddress);

private:
  void Send();
  void Read();
  void HandleBytes(std::string_view aBytes);

  event_loop::EventLoop& m_loop;
  PipeliningOptions m_options;
  std::vector<PipelinedRequest> m_requests;
  AnswerCallback m_onAnswer;
  SurplusCallback m_onSurplus;
  asio::ip::tcp::socket m_socket;
  http::internal::Parser m_parser{ http::internal::MessageKind::Response };
  std::string m_output;
  std::array<char, 16384> m_buffer{};
  std::size_t m_answered = 0;
  std::size_t m_received = 0;
};

} // namespace auburntrestle::soak

#endif
