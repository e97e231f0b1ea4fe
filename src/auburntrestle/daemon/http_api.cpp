#include "auburntrestle/daemon/http_api.hpp"

#include "auburntrestle/daemon/announcement_json.hpp"
#include "auburntrestle/daemon/completion_request.hpp"
#include "auburntrestle/daemon/completion_response_writer.hpp"
#include "auburntrestle/daemon/step_json.hpp"
#include "auburntrestle/gateway/error_response.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr const char* kAnonymousCaller = "anonymous";
// Number of leading bytes of a prompt that are hashed for prefix affinity.
constexpr std::size_t kPrefixBytes = 256;
// Approximate size of a token; used for cost estimates only.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint64_t kMaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaxWaitMs = 60'000;

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto result =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (result.ec != std::errc() || result.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

gateway::HttpResponse JsonResponse(int aStatus, const nlohmann::json& aBody)
{
  gateway::HttpResponse response;
  response.m_status = aStatus;
  response.m_body =
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

std::string JoinPath(const std::vector<std::string>& aSegments,
                     std::size_t aFirst)
{
  std::string path;
  for (std::size_t index = aFirst; index < aSegments.size(); ++index) {
    path += (path.empty() ? "" : "/") + aSegments[index];
  }
  return path;
}

TokenCount EstimateTokens(std::size_t aBytes)
{
  return TokenCount(aBytes / kBytesPerToken + 1);
}

bool IsForwarded(const gateway::HttpRequest& aRequest)
{
  return !aRequest.Header("x-forwarded-instance").empty();
}

} // namespace internal

HttpApi::HttpApi(ApiDependencies aDependencies)
  : m_dependencies(aDependencies)
{
}

void HttpApi::Refuse(gateway::Responder& aResponder,
                     ErrorCode aCode,
                     std::string_view aMessage)
{
  m_dependencies.m_metrics.CountRefusal(ToString(aCode));
  aResponder.Send(gateway::MakeErrorResponse(
    NotRunError(aCode, NotRunEvidence::NeverSent), aMessage));
}

void HttpApi::Handle(const gateway::HttpRequest& aRequest,
                     std::shared_ptr<gateway::Responder> aResponder)
{
  const auto segments = aRequest.PathSegments();
  if (segments.size() < 2 || segments[0] != "v1") {
    HandleOperator(aRequest, aResponder);
    return;
  }
  const bool isPost = aRequest.m_method == "POST";
  if (segments[1] == "completions" && segments.size() == 2) {
    if (!isPost) {
      Refuse(*aResponder, ErrorCode::MethodNotAllowed, "use POST");
      return;
    }
    HandleCompletion(aRequest, std::move(aResponder));
  } else if (segments[1] == "services" && segments.size() >= 3) {
    HandleService(aRequest, segments, std::move(aResponder));
  } else if (segments[1] == "trainers" && segments.size() >= 4) {
    HandleTrainer(aRequest, segments, aResponder);
  } else if (segments[1] == "backends" && segments.size() == 3 &&
             segments[2] == "announce" && isPost) {
    HandleAnnouncement(aRequest, std::move(aResponder));
  } else {
    HandleOperator(aRequest, aResponder);
  }
}

std::optional<ErrorCode> HttpApi::CheckTarget(const routing::Target& aTarget,
                                              bool aForwarded) const
{
  return m_dependencies.m_view.Read(
    [&](const GatewayView& aView) -> std::optional<ErrorCode> {
      if (aView.m_draining) {
        return ErrorCode::Draining;
      }
      if (!aView.m_ready) {
        return ErrorCode::NotReady;
      }
      // A forwarding instance has checked the rest, and its view may be newer.
      if (aForwarded) {
        return std::nullopt;
      }
      if (const auto* model = std::get_if<ModelName>(&aTarget)) {
        if (!aView.m_models.contains(*model)) {
          return ErrorCode::UnknownModel;
        }
      } else if (!aView.m_services.contains(std::get<ServiceName>(aTarget))) {
        return ErrorCode::UnknownService;
      }
      return std::nullopt;
    });
}

routing::RequestSpec HttpApi::MakeSpec(const gateway::HttpRequest& aRequest,
                                       routing::Target aTarget) const
{
  routing::RequestSpec spec;
  const auto caller = aRequest.Header("x-caller");
  spec.m_caller =
    CallerId(caller.empty() ? internal::kAnonymousCaller : std::string(caller));
  spec.m_target = std::move(aTarget);
  const auto section =
    m_dependencies.m_view.Read([&](const GatewayView& aView) {
      return aView.m_configuration->Caller(spec.m_caller);
    });
  const bool forwarded = internal::IsForwarded(aRequest);
  const bool training = forwarded
                          ? aRequest.Header("x-request-class") == "training"
                          : section.m_class == settings::CallerClass::Training;
  spec.m_class = training ? admission::RequestClass::Training
                          : admission::RequestClass::Application;
  const auto version = internal::ParseNumber(aRequest.Header("x-min-version"));
  if (forwarded && version) {
    spec.m_minVersion = WeightVersion(*version);
  }
  Duration limit = section.m_deadline;
  const auto given = internal::ParseNumber(aRequest.Header("x-deadline-ms"));
  if (given) {
    limit =
      std::chrono::milliseconds(std::min(*given, internal::kMaxDeadlineMs));
  }
  if (limit > Duration::zero()) {
    spec.m_deadline = MonotonicClock::Now() + limit;
  }
  return spec;
}

void HttpApi::Submit(routing::RequestSpec aSpec,
                     Work aWork,
                     WorkHandlers aHandlers,
                     bool aForwarded,
                     std::shared_ptr<gateway::Responder> aResponder)
{
  m_dependencies.m_loop.Post([this,
                              aForwarded,
                              spec = std::move(aSpec),
                              work = std::move(aWork),
                              handlers = std::move(aHandlers),
                              responder = std::move(aResponder)]() mutable {
    const auto id = m_dependencies.m_edge.Submit(
      std::move(spec), std::move(work), std::move(handlers), aForwarded);
    responder->OnClosed([this, id] {
      m_dependencies.m_loop.Post(
        [this, id] { m_dependencies.m_edge.Cancel(id); });
    });
  });
}

void HttpApi::HandleCompletion(const gateway::HttpRequest& aRequest,
                               std::shared_ptr<gateway::Responder> aResponder)
{
  auto parsed = ParseCompletionRequest(aRequest.m_body);
  if (!parsed) {
    Refuse(*aResponder, ErrorCode::BadRequest, Describe(parsed.error()));
    return;
  }
  if (const auto code =
        CheckTarget(parsed->m_model, internal::IsForwarded(aRequest))) {
    Refuse(*aResponder, *code, "the request cannot be served here now");
    return;
  }
  auto spec = MakeSpec(aRequest, parsed->m_model);
  spec.m_promptLength = internal::EstimateTokens(parsed->m_prompt.size());
  spec.m_prefixHash =
    XXH3_64bits(parsed->m_prompt.data(),
                std::min(parsed->m_prompt.size(), internal::kPrefixBytes));
  spec.m_maxTokens = parsed->m_maxTokens;
  static std::atomic<std::uint64_t> nextResponse{ 1 };
  auto writer = std::make_shared<CompletionResponseWriter>(
    aResponder,
    parsed->m_model,
    parsed->m_stream,
    "cmpl-" + std::to_string(nextResponse.fetch_add(1)));
  WorkHandlers handlers;
  handlers.m_onText = [writer](const TextProgress& aProgress) {
    writer->OnText(aProgress);
  };
  handlers.m_onCompleted = [writer](const GeneratedText& aText,
                                    const std::string& aReason) {
    writer->OnCompleted(aText, aReason);
  };
  handlers.m_onFailed = [writer](const RequestError& aError,
                                 Duration aRetryAfter) {
    writer->OnFailed(aError, aRetryAfter);
  };
  CompletionWork work{
    parsed->m_model, std::move(parsed->m_prompt), parsed->m_maxTokens, {}
  };
  if (parsed->m_resumeTokens.Get() > 0) {
    work.m_resume =
      MakeReceivedText(std::move(parsed->m_resumeText), parsed->m_resumeTokens);
    spec.m_resumeFromTokens = parsed->m_resumeTokens;
  }
  Submit(std::move(spec),
         std::move(work),
         std::move(handlers),
         internal::IsForwarded(aRequest),
         std::move(aResponder));
}

void HttpApi::HandleService(const gateway::HttpRequest& aRequest,
                            const Segments& aSegments,
                            std::shared_ptr<gateway::Responder> aResponder)
{
  const ServiceName service(aSegments[2]);
  if (const auto code = CheckTarget(service, internal::IsForwarded(aRequest))) {
    Refuse(*aResponder, *code, "the request cannot be served here now");
    return;
  }
  auto spec = MakeSpec(aRequest, service);
  spec.m_promptLength = internal::EstimateTokens(aRequest.m_body.size());
  spec.m_resumable = false;
  spec.m_idempotent = aRequest.Header("x-non-idempotent") != "true";
  ServiceWork work;
  work.m_service = service;
  work.m_method = aRequest.m_method;
  work.m_path = internal::JoinPath(aSegments, 3);
  work.m_contentType = std::string(aRequest.Header("content-type"));
  work.m_body = aRequest.m_body;
  const auto key = aRequest.Header("idempotency-key");
  if (!key.empty()) {
    work.m_key = IdempotencyKey(std::string(key));
    spec.m_key = work.m_key;
  }
  if (!spec.m_idempotent) {
    if (!work.m_key) {
      Refuse(*aResponder,
             ErrorCode::BadRequest,
             "a non-idempotent call needs an Idempotency-Key header");
      return;
    }
  }
  WorkHandlers handlers;
  handlers.m_onResponse = [aResponder](ServiceResponse aResponse) {
    gateway::HttpResponse response;
    response.m_status = aResponse.m_status;
    response.m_contentType = std::move(aResponse.m_contentType);
    response.m_body = std::move(aResponse.m_body);
    aResponder->Send(std::move(response));
  };
  handlers.m_onFailed = [aResponder](const RequestError& aError,
                                     Duration aRetryAfter) {
    aResponder->Send(gateway::MakeErrorResponse(
      aError, "the call of the service failed", aRetryAfter));
  };
  // Non-idempotent work runs on the instance that holds its claim, which must
  // own a backend server of the service.
  if (!spec.m_idempotent &&
      RunsClaimLocally(service, internal::IsForwarded(aRequest))) {
    m_dependencies.m_loop.Post([this,
                                spec = std::move(spec),
                                work = std::move(work),
                                handlers = std::move(handlers)]() mutable {
      m_dependencies.m_claims.Run(
        std::move(spec), std::move(work), std::move(handlers));
    });
    return;
  }
  Submit(std::move(spec),
         std::move(work),
         std::move(handlers),
         internal::IsForwarded(aRequest),
         std::move(aResponder));
}

bool HttpApi::RunsClaimLocally(const ServiceName& aService,
                               bool aForwarded) const
{
  return aForwarded ||
         m_dependencies.m_view.Read([&](const GatewayView& aView) {
           return aView.m_ownedServices.contains(aService);
         });
}

void HttpApi::HandleTrainer(
  const gateway::HttpRequest& aRequest,
  const Segments& aSegments,
  const std::shared_ptr<gateway::Responder>& aResponder)
{
  const TrainerId trainer(aSegments[2]);
  const bool isPost = aRequest.m_method == "POST";
  if (aSegments[3] == "steps" && aSegments.size() == 4 && isPost) {
    HandleStep(aRequest, trainer, aResponder);
  } else if (aSegments[3] == "batches" && aSegments.size() >= 5) {
    HandleBatch(aRequest, aSegments, aResponder);
  } else if (aSegments[3] == "versions" && aSegments.size() == 4 && isPost) {
    HandleVersion(aRequest, trainer, aResponder);
  } else {
    Refuse(*aResponder, ErrorCode::NotFound, "no such trainer resource");
  }
}

void HttpApi::HandleStep(const gateway::HttpRequest& aRequest,
                         TrainerId aTrainer,
                         const std::shared_ptr<gateway::Responder>& aResponder)
{
  auto spec = ParseStep(aRequest.m_body, std::move(aTrainer));
  if (!spec) {
    Refuse(*aResponder, ErrorCode::BadRequest, Describe(spec.error()));
    return;
  }
  ForwardToCoordinator(
    aRequest, aResponder, [this, spec = std::move(*spec), aResponder] {
      m_dependencies.m_trainers.OpenStep(spec, aResponder);
    });
}

void HttpApi::HandleBatch(const gateway::HttpRequest& aRequest,
                          const Segments& aSegments,
                          const std::shared_ptr<gateway::Responder>& aResponder)
{
  const auto number = internal::ParseNumber(aSegments[4]);
  if (!number || *number == 0) {
    Refuse(*aResponder,
           ErrorCode::BadRequest,
           "the cursor must be a whole number from 1");
    return;
  }
  const TrainerId trainer(aSegments[2]);
  const Cursor cursor(*number);
  const bool isDiscard = aSegments.size() == 6 && aSegments[5] == "discard" &&
                         aRequest.m_method == "POST";
  if (!isDiscard && (aSegments.size() != 5 || aRequest.m_method != "GET")) {
    Refuse(*aResponder, ErrorCode::NotFound, "no such batch resource");
    return;
  }
  Duration wait = Duration::zero();
  const auto given = aRequest.m_query.find("wait_ms");
  if (given != aRequest.m_query.end()) {
    const auto parsed = internal::ParseNumber(given->second);
    if (!parsed || *parsed > internal::kMaxWaitMs) {
      Refuse(*aResponder,
             ErrorCode::BadRequest,
             "wait_ms must be a whole number from 0 to 60000");
      return;
    }
    wait = std::chrono::milliseconds(*parsed);
  }
  ForwardToCoordinator(
    aRequest, aResponder, [this, trainer, cursor, wait, isDiscard, aResponder] {
      if (isDiscard) {
        m_dependencies.m_trainers.DiscardBatch(trainer, cursor, aResponder);
      } else {
        m_dependencies.m_trainers.FetchBatch(trainer, cursor, wait, aResponder);
      }
    });
}

void HttpApi::HandleVersion(
  const gateway::HttpRequest& aRequest,
  TrainerId aTrainer,
  const std::shared_ptr<gateway::Responder>& aResponder)
{
  const auto version = ParseVersion(aRequest.m_body);
  if (!version) {
    Refuse(*aResponder, ErrorCode::BadRequest, Describe(version.error()));
    return;
  }
  ForwardToCoordinator(
    aRequest,
    aResponder,
    [this, trainer = std::move(aTrainer), version = *version, aResponder] {
      m_dependencies.m_trainers.PublishVersion(
        trainer, version.m_model, version.m_version, aResponder);
    });
}

void HttpApi::ForwardToCoordinator(
  const gateway::HttpRequest& aRequest,
  std::shared_ptr<gateway::Responder> aResponder,
  std::function<void()> aHandleLocally)
{
  m_dependencies.m_loop.Post([this,
                              request = aRequest,
                              responder = std::move(aResponder),
                              handleLocally = std::move(aHandleLocally)] {
    if (m_dependencies.m_trainers.IsLeading()) {
      handleLocally();
    } else {
      m_dependencies.m_coordinatorLink.Forward(request, responder);
    }
  });
}

void HttpApi::HandleAnnouncement(const gateway::HttpRequest& aRequest,
                                 std::shared_ptr<gateway::Responder> aResponder)
{
  auto announcement = ParseAnnouncement(aRequest.m_body);
  if (!announcement) {
    Refuse(*aResponder, ErrorCode::BadRequest, Describe(announcement.error()));
    return;
  }
  m_dependencies.m_loop.Post([this,
                              announcement = std::move(*announcement),
                              body = aRequest.m_body,
                              responder = std::move(aResponder)]() mutable {
    m_dependencies.m_operators.Announce(
      std::move(announcement), body, *responder);
  });
}

void HttpApi::HandleOperator(
  const gateway::HttpRequest& aRequest,
  const std::shared_ptr<gateway::Responder>& aResponder)
{
  if (!m_dependencies.m_operators.Handle(aRequest, aResponder)) {
    Refuse(*aResponder, ErrorCode::NotFound, "no such resource");
  }
}

} // namespace auburntrestle::daemon
