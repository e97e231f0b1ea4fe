#include "auburntrestle/daemon/coordinator_link.hpp"

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/daemon/peer_methods.hpp"
#include "auburntrestle/gateway/error_response.hpp"
#include "auburntrestle/protocol/pack.hpp"

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

// Exceeds the maximum wait for a batch that a trainer may request.
constexpr Duration kForwardTimeout = std::chrono::seconds(70);
constexpr const char* kForwardedKey = "x-forwarded-instance";

std::string EncodeRequest(const gateway::HttpRequest& aRequest)
{
  protocol::Writer writer;
  writer(aRequest.m_method, aRequest.m_path, aRequest.m_query, aRequest.m_body);
  return writer.ExtractBytes();
}

std::string EncodeResponse(const gateway::HttpResponse& aResponse)
{
  protocol::Writer writer;
  writer(aResponse.m_status, aResponse.m_contentType, aResponse.m_body);
  return writer.ExtractBytes();
}

std::optional<gateway::HttpResponse> DecodeResponse(std::string_view aBytes)
{
  protocol::Reader reader(aBytes);
  gateway::HttpResponse response;
  reader(response.m_status, response.m_contentType, response.m_body);
  return reader.Result() ? std::optional(std::move(response)) : std::nullopt;
}

/** Sends a complete response as the reply to a call of another instance. */
class CallResponder final : public gateway::Responder
{
public:
  explicit CallResponder(protocol::Reply aReply)
    : m_reply(std::move(aReply))
  {
  }
  void Send(gateway::HttpResponse aResponse) override
  {
    m_reply.Send(EncodeResponse(aResponse));
  }
  // Responses to trainers are never streamed.
  void Begin(int, const std::string&) override {}
  void Write(std::string) override {}
  void End() override {}
  void OnClosed(std::function<void()>) override {}

private:
  protocol::Reply m_reply;
};

void RefuseForward(gateway::Responder& aResponder)
{
  aResponder.Send(gateway::MakeErrorResponse(
    NotRunError(ErrorCode::NoQuorum, NotRunEvidence::NeverSent),
    "no coordinator is reachable",
    std::chrono::seconds(1)));
}

} // namespace internal

void CoordinatorLink::Forward(
  const gateway::HttpRequest& aRequest,
  const std::shared_ptr<gateway::Responder>& aResponder)
{
  const bool alreadyForwarded =
    !aRequest.Header(internal::kForwardedKey).empty();
  if (m_transport == nullptr || !m_coordinator || alreadyForwarded) {
    internal::RefuseForward(*aResponder);
    return;
  }
  const auto sent = m_transport->Call(
    *m_coordinator,
    kTrainerMethod,
    internal::EncodeRequest(aRequest),
    internal::kForwardTimeout,
    [aResponder](protocol::Expected<std::string> aReply) {
      auto response = aReply ? internal::DecodeResponse(*aReply) : std::nullopt;
      if (response) {
        aResponder->Send(std::move(*response));
      } else if (!aReply && !protocol::MayHaveRun(aReply.error().m_code)) {
        internal::RefuseForward(*aResponder);
      } else {
        // All requests of trainers are idempotent.
        aResponder->Send(gateway::MakeErrorResponse(
          UnknownOutcomeError(ErrorCode::BackendLost),
          "the coordinator was lost; send the request again",
          std::chrono::seconds(1)));
      }
    });
  if (!sent) {
    internal::RefuseForward(*aResponder);
  }
}

void CoordinatorLink::HandleForwardedRequest(const std::string& aPayload,
                                             protocol::Reply aReply,
                                             const gateway::Handler& aHandler)
{
  protocol::Reader reader(aPayload);
  gateway::HttpRequest request;
  reader(request.m_method, request.m_path, request.m_query, request.m_body);
  if (!reader.Result()) {
    aReply.Refuse("the request cannot be decoded");
    return;
  }
  request.m_headers[internal::kForwardedKey] = "peer";
  aHandler(std::move(request),
           std::make_shared<internal::CallResponder>(std::move(aReply)));
}

} // namespace auburntrestle::daemon
