#include "auburntrestle/daemon/edge_relay.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

/** Number of instances at which one request is tried. */
constexpr std::uint32_t kMaxInstancesTried = 4;

/** @return free slots of the owned backend servers that serve a target. */
std::uint32_t FreeSlots(const routing::Dispatcher& aDispatcher,
                        const routing::Target& aTarget,
                        TimePoint aNow)
{
  std::uint32_t free = 0;
  for (const auto& view : aDispatcher.BackendViews(aNow)) {
    const auto& announcement = view.m_announcement;
    const bool serves = std::visit(
      Overloaded{ [&](const ModelName& aModel) {
                   return std::any_of(announcement.m_models.begin(),
                                      announcement.m_models.end(),
                                      [&](const auto& aServed) {
                                        return aServed.m_name == aModel;
                                      });
                 },
                  [&](const ServiceName& aService) {
                    return std::find(announcement.m_services.begin(),
                                     announcement.m_services.end(),
                                     aService) != announcement.m_services.end();
                  } },
      aTarget);
    if (serves && view.m_owned && view.m_limit > view.m_inFlight) {
      free += view.m_limit - view.m_inFlight;
    }
  }
  return free;
}

bool ServesLocally(const routing::Dispatcher& aDispatcher,
                   const routing::Target& aTarget)
{
  return std::visit(
    [&](const auto& aName) { return aDispatcher.Registry().Serves(aName); },
    aTarget);
}

/** @return the error of another instance's response; nothing if the body is not
 * one of this system's errors. */
std::optional<RequestError> ReadError(const std::string& aBody)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return std::nullopt;
  }
  const auto& error = body["error"];
  const auto code = ParseErrorCode(error.value("code", ""));
  const auto outcome = error.value("outcome", "");
  if (!code) {
    return std::nullopt;
  }
  if (outcome == "not_run") {
    return NotRunError(*code, NotRunEvidence::BackendReportedNotRun);
  }
  return UnknownOutcomeError(*code);
}

/** @return whether another instance may be able to run the request. */
bool CanRunOnOtherInstance(ErrorCode aCode)
{
  return aCode == ErrorCode::Draining || aCode == ErrorCode::NotReady ||
         aCode == ErrorCode::NoBackend || aCode == ErrorCode::UnknownModel ||
         aCode == ErrorCode::UnknownService ||
         aCode == ErrorCode::BackendLost ||
         aCode == ErrorCode::TooManyConnections;
}

} // namespace internal

struct EdgeRelay::RequestState
{
  routing::RequestSpec m_spec;
  Work m_work;
  WorkHandlers m_handlers;
  bool m_localOnly = false;
  /** Number of the present attempt; responses of earlier ones are dropped. */
  std::uint32_t m_attempt = 0;
  std::set<InstanceId> m_tried;
  bool m_triedLocally = false;
  std::optional<RequestId> m_localRequest;
  std::optional<backend::CallId> m_call;
  std::optional<InstanceId> m_forwardedTo;
  int m_status = 0;
  AttemptStream m_stream;
  bool m_streamBroken = false;
  std::string m_body;
  /** The text that has been passed to the handlers. */
  GeneratedText m_delivered;
};

EdgeRelay::EdgeRelay(
  RequestRelay& aLocalRelay,
  ControlLoop& aLoop,
  backend::HttpClient& aClient,
  InstanceId aSelf,
  std::function<std::vector<InstanceOffer>(const routing::Target&)> aListOffers)
  : m_localRelay(aLocalRelay)
  , m_loop(aLoop)
  , m_client(aClient)
  , m_self(std::move(aSelf))
  , m_listOffers(std::move(aListOffers))
  , m_random(std::random_device{}())
{
}

EdgeRelay::~EdgeRelay() = default;

RequestId EdgeRelay::Submit(routing::RequestSpec aSpec,
                            Work aWork,
                            WorkHandlers aHandlers,
                            bool aLocalOnly)
{
  const RequestId id(m_nextRequest++);
  auto state = std::make_unique<RequestState>();
  state->m_spec = std::move(aSpec);
  state->m_work = std::move(aWork);
  state->m_handlers = std::move(aHandlers);
  state->m_localOnly = aLocalOnly;
  if (const auto* work = std::get_if<CompletionWork>(&state->m_work)) {
    state->m_delivered = work->m_resume;
  }
  m_requests.emplace(id, std::move(state));
  Dispatch(id);
  return id;
}

void EdgeRelay::Dispatch(RequestId aRequest)
{
  RequestState& state = *m_requests.at(aRequest);
  ++state.m_attempt;
  if (state.m_localOnly) {
    SubmitLocally(aRequest, state);
    return;
  }
  const auto& target = state.m_spec.m_target;
  auto offers = m_listOffers(target);
  std::erase_if(offers, [&](const InstanceOffer& aOffer) {
    return state.m_tried.contains(aOffer.m_instance);
  });
  // Advertised capacity is up to a second old, so requests that are still
  // outstanding are subtracted from it.
  for (auto& offer : offers) {
    const auto used = m_outstanding[offer.m_instance];
    offer.m_freeSlots -= std::min(offer.m_freeSlots, used);
  }
  const auto& dispatcher = m_localRelay.Dispatcher();
  const auto now = MonotonicClock::Now();
  ChoiceInput input;
  input.m_servesLocally =
    !state.m_triedLocally && internal::ServesLocally(dispatcher, target);
  input.m_localFreeSlots =
    input.m_servesLocally ? internal::FreeSlots(dispatcher, target, now) : 0;
  input.m_localWaiting = dispatcher.WaitingCount(state.m_spec.m_class);
  input.m_others = offers;
  const auto choice = ChooseInstance(input, m_random);
  if (choice) {
    Forward(aRequest, state, offers[*choice]);
  } else {
    SubmitLocally(aRequest, state);
  }
}

void EdgeRelay::SubmitLocally(RequestId aRequest, RequestState& aState)
{
  aState.m_triedLocally = true;
  aState.m_forwardedTo.reset();
  auto work = aState.m_work;
  auto spec = aState.m_spec;
  if (auto* completion = std::get_if<CompletionWork>(&work)) {
    completion->m_resume = aState.m_delivered;
    spec.m_resumeFromTokens = aState.m_delivered.m_tokens;
  }
  WorkHandlers handlers;
  handlers.m_onText = [this, aRequest](const TextProgress& aProgress) {
    const auto found = m_requests.find(aRequest);
    if (found != m_requests.end()) {
      Deliver(*found->second, aProgress.m_text);
    }
  };
  handlers.m_onCompleted = [this, aRequest](const GeneratedText& aText,
                                            const std::string& aReason) {
    const auto state = Extract(aRequest);
    if (state) {
      state->m_handlers.m_onCompleted(aText, aReason);
    }
  };
  handlers.m_onResponse = [this, aRequest](ServiceResponse aResponse) {
    const auto state = Extract(aRequest);
    if (state) {
      state->m_handlers.m_onResponse(std::move(aResponse));
    }
  };
  handlers.m_onFailed = [this, aRequest](const RequestError& aError,
                                         Duration aRetryAfter) {
    RetryOnOtherInstance(aRequest, aError, aRetryAfter);
  };
  const auto id =
    m_localRelay.Submit(std::move(spec), std::move(work), std::move(handlers));
  const auto found = m_requests.find(aRequest);
  if (found != m_requests.end() && !found->second->m_forwardedTo) {
    found->second->m_localRequest = id;
  }
}

void EdgeRelay::Forward(RequestId aRequest,
                        RequestState& aState,
                        const InstanceOffer& aOffer)
{
  aState.m_tried.insert(aOffer.m_instance);
  aState.m_forwardedTo = aOffer.m_instance;
  aState.m_status = 0;
  aState.m_body.clear();
  aState.m_streamBroken = false;
  aState.m_stream = AttemptStream(aState.m_delivered);
  ++m_outstanding[aOffer.m_instance];
  const auto attempt = aState.m_attempt;
  backend::CallHandlers handlers;
  handlers.m_onHeaders = [this, aRequest, attempt](int aStatus) {
    m_loop.Post([this, aRequest, attempt, aStatus] {
      if (auto* state = Find(aRequest, attempt)) {
        state->m_status = aStatus;
      }
    });
  };
  handlers.m_onData = [this, aRequest, attempt](std::string aData) {
    m_loop.Post([this, aRequest, attempt, data = std::move(aData)] {
      OnData(aRequest, attempt, data);
    });
  };
  handlers.m_onDone = [this, aRequest, attempt](backend::CallResult aResult) {
    m_loop.Post([this, aRequest, attempt, result = std::move(aResult)] {
      OnDone(aRequest, attempt, result);
    });
  };
  aState.m_call = m_client.Start(MakeCall(aState, aOffer), std::move(handlers));
}

backend::HttpCall EdgeRelay::MakeCall(const RequestState& aState,
                                      const InstanceOffer& aOffer) const
{
  backend::HttpCall call;
  call.m_newConnection = !aState.m_spec.m_idempotent;
  const auto& spec = aState.m_spec;
  auto& headers = call.m_headers;
  headers.emplace_back(kForwardedHeader, m_self.Get());
  headers.emplace_back("X-Caller", spec.m_caller.Get());
  headers.emplace_back(kClassHeader,
                       spec.m_class == admission::RequestClass::Training
                         ? "training"
                         : "application");
  if (spec.m_deadline) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      *spec.m_deadline - MonotonicClock::Now());
    headers.emplace_back(
      "X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
  }
  if (spec.m_minVersion) {
    headers.emplace_back(kMinVersionHeader,
                         std::to_string(spec.m_minVersion->Get()));
  }
  std::visit(
    Overloaded{
      [&](const CompletionWork& aWork) {
        call.m_url = "http://" + aOffer.m_address + "/v1/completions";
        headers.emplace_back("Content-Type", "application/json");
        nlohmann::json body{ { "model", aWork.m_model.Get() },
                             { "prompt", aWork.m_prompt },
                             { "max_tokens", aWork.m_maxTokens.Get() },
                             { "stream", true } };
        if (aState.m_delivered.m_tokens.Get() > 0) {
          body["resume"] = { { "text", aState.m_delivered.m_text },
                             { "tokens", aState.m_delivered.m_tokens.Get() } };
        }
        call.m_body =
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
      },
      [&](const ServiceWork& aWork) {
        call.m_method = aWork.m_method;
        call.m_url = "http://" + aOffer.m_address + "/v1/services/" +
                     aWork.m_service.Get() + "/" + aWork.m_path;
        headers.emplace_back("Content-Type", aWork.m_contentType);
        if (aWork.m_key) {
          headers.emplace_back("Idempotency-Key", aWork.m_key->Get());
        }
        if (!spec.m_idempotent) {
          headers.emplace_back("X-Non-Idempotent", "true");
        }
        call.m_body = aWork.m_body;
      } },
    aState.m_work);
  return call;
}

EdgeRelay::RequestState* EdgeRelay::Find(RequestId aRequest,
                                         std::uint32_t aAttempt)
{
  const auto found = m_requests.find(aRequest);
  return found == m_requests.end() || found->second->m_attempt != aAttempt
           ? nullptr
           : found->second.get();
}

std::unique_ptr<EdgeRelay::RequestState> EdgeRelay::Extract(RequestId aRequest)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return nullptr;
  }
  auto state = std::move(found->second);
  m_requests.erase(found);
  return state;
}

void EdgeRelay::OnData(RequestId aRequest,
                       std::uint32_t aAttempt,
                       const std::string& aData)
{
  auto* state = Find(aRequest, aAttempt);
  if (state == nullptr) {
    return;
  }
  const bool isStream = state->m_status == 200 &&
                        std::holds_alternative<CompletionWork>(state->m_work);
  if (isStream) {
    HandleText(*state, aData);
  } else {
    state->m_body += aData;
  }
}

void EdgeRelay::HandleText(RequestState& aState, const std::string& aData)
{
  for (const auto& update : aState.m_stream.Feed(aData)) {
    aState.m_streamBroken = aState.m_streamBroken || update.m_error;
  }
  if (!aState.m_streamBroken) {
    Deliver(aState, aState.m_stream.Generated());
  }
}

void EdgeRelay::Deliver(RequestState& aState, const GeneratedText& aText)
{
  if (aText.m_tokens <= aState.m_delivered.m_tokens) {
    return;
  }
  const std::size_t bytes = aState.m_delivered.m_text.size();
  const TokenCount tokens = aState.m_delivered.m_tokens;
  aState.m_delivered = aText;
  if (aState.m_handlers.m_onText) {
    aState.m_handlers.m_onText(
      TextProgress{ aState.m_delivered, bytes, tokens });
  }
}

void EdgeRelay::OnDone(RequestId aRequest,
                       std::uint32_t aAttempt,
                       const backend::CallResult& aResult)
{
  auto* state = Find(aRequest, aAttempt);
  if (state == nullptr) {
    return;
  }
  --m_outstanding[*state->m_forwardedTo];
  state->m_call.reset();
  switch (aResult.m_status) {
    case backend::CallStatus::Complete:
      FinishForwarded(aRequest, *state, aResult);
      return;
    case backend::CallStatus::ConnectFailed:
      RetryOnOtherInstance(
        aRequest,
        NotRunError(ErrorCode::NoBackend, NotRunEvidence::ConnectFailed),
        Duration::zero());
      return;
    case backend::CallStatus::LostBeforeResponse:
    case backend::CallStatus::LostMidResponse:
    case backend::CallStatus::TimedOut:
    case backend::CallStatus::TooLarge:
      break;
  }
  RetryOnOtherInstance(
    aRequest, UnknownOutcomeError(ErrorCode::BackendLost), Duration::zero());
}

void EdgeRelay::FinishForwarded(RequestId aRequest,
                                RequestState& aState,
                                const backend::CallResult& aResult)
{
  const bool isText = std::holds_alternative<CompletionWork>(aState.m_work);
  if (isText && aState.m_stream.IsFinished() && !aState.m_streamBroken) {
    const auto state = Extract(aRequest);
    state->m_handlers.m_onCompleted(state->m_stream.Generated(),
                                    state->m_stream.FinishReason());
    return;
  }
  const auto error = internal::ReadError(aState.m_body);
  const bool isOurs = error && aResult.m_headers.contains("x-trestle-error");
  if (isText || isOurs) {
    RetryOnOtherInstance(
      aRequest,
      error.value_or(UnknownOutcomeError(ErrorCode::BackendLost)),
      Duration::zero());
    return;
  }
  const auto state = Extract(aRequest);
  const auto type = aResult.m_headers.find("content-type");
  state->m_handlers.m_onResponse(ServiceResponse{
    aResult.m_httpStatus,
    type == aResult.m_headers.end() ? "application/octet-stream" : type->second,
    std::move(state->m_body) });
}

void EdgeRelay::RetryOnOtherInstance(RequestId aRequest,
                                     const RequestError& aError,
                                     Duration aRetryAfter)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return;
  }
  RequestState& state = *found->second;
  const bool notRun = std::holds_alternative<NotRunError>(aError);
  const bool mayRepeat = notRun || state.m_spec.m_idempotent;
  if (state.m_localOnly || !mayRepeat ||
      state.m_attempt >= internal::kMaxInstancesTried ||
      !internal::CanRunOnOtherInstance(CodeOf(aError))) {
    Fail(aRequest, aError, aRetryAfter);
    return;
  }
  const bool servesLocally =
    !state.m_triedLocally &&
    internal::ServesLocally(m_localRelay.Dispatcher(), state.m_spec.m_target);
  const auto offers = m_listOffers(state.m_spec.m_target);
  const bool untried =
    std::any_of(offers.begin(), offers.end(), [&](const auto& aOffer) {
      return !state.m_tried.contains(aOffer.m_instance);
    });
  if (!servesLocally && !untried) {
    Fail(aRequest, aError, aRetryAfter);
    return;
  }
  observe::LogLine(observe::LogLevel::Info, "request_placed_again")
    .Add("caller", state.m_spec.m_caller)
    .Add("code", ToString(CodeOf(aError)))
    .Add("tokens", state.m_delivered.m_tokens);
  state.m_localRequest.reset();
  Dispatch(aRequest);
}

void EdgeRelay::Fail(RequestId aRequest,
                     const RequestError& aError,
                     Duration aRetryAfter)
{
  const auto state = Extract(aRequest);
  state->m_handlers.m_onFailed(aError, aRetryAfter);
}

void EdgeRelay::Cancel(RequestId aRequest)
{
  const auto state = Extract(aRequest);
  if (!state) {
    return;
  }
  if (state->m_localRequest) {
    m_localRelay.Cancel(*state->m_localRequest);
  }
  if (state->m_call) {
    m_client.Cancel(*state->m_call);
    --m_outstanding[*state->m_forwardedTo];
  }
}

} // namespace auburntrestle::daemon
