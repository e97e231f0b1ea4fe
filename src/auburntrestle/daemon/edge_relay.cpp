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

/** Instances that one request is tried at. */
constexpr std::uint32_t kMaxPlaces = 4;

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

bool ServesHere(const routing::Dispatcher& aDispatcher,
                const routing::Target& aTarget)
{
  return std::visit(
    [&](const auto& aName) { return aDispatcher.Registry().Serves(aName); },
    aTarget);
}

/** @return the error that another instance reported, if it is a typed one. */
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
bool WorthAnotherInstance(ErrorCode aCode)
{
  return aCode == ErrorCode::Draining || aCode == ErrorCode::NotReady ||
         aCode == ErrorCode::NoBackend || aCode == ErrorCode::UnknownModel ||
         aCode == ErrorCode::UnknownService ||
         aCode == ErrorCode::BackendLost ||
         aCode == ErrorCode::TooManyConnections;
}

} // namespace internal

struct EdgeRelay::Flight
{
  routing::RequestSpec m_spec;
  Work m_work;
  WorkHandlers m_handlers;
  bool m_stayHere = false;
  /** Counts the places tried; answers of earlier ones are dropped. */
  std::uint32_t m_try = 0;
  std::set<InstanceId> m_tried;
  bool m_triedHere = false;
  std::optional<RequestId> m_local;
  std::optional<backend::CallId> m_call;
  std::optional<InstanceId> m_place;
  int m_status = 0;
  AttemptStream m_stream;
  bool m_streamBroken = false;
  std::string m_body;
  /** The text that the receiver has. */
  GeneratedText m_delivered;
};

EdgeRelay::EdgeRelay(
  RequestRelay& aLocal,
  ControlLoop& aLoop,
  backend::HttpClient& aClient,
  InstanceId aSelf,
  std::function<std::vector<InstanceOffer>(const routing::Target&)> aPeers)
  : m_local(aLocal)
  , m_loop(aLoop)
  , m_client(aClient)
  , m_self(std::move(aSelf))
  , m_peers(std::move(aPeers))
  , m_random(std::random_device{}())
{
}

EdgeRelay::~EdgeRelay() = default;

RequestId EdgeRelay::Submit(routing::RequestSpec aSpec,
                            Work aWork,
                            WorkHandlers aHandlers,
                            bool aStayHere)
{
  const RequestId id(m_nextRequest++);
  auto flight = std::make_unique<Flight>();
  flight->m_spec = std::move(aSpec);
  flight->m_work = std::move(aWork);
  flight->m_handlers = std::move(aHandlers);
  flight->m_stayHere = aStayHere;
  if (const auto* work = std::get_if<CompletionWork>(&flight->m_work)) {
    flight->m_delivered = work->m_resume;
  }
  m_flights.emplace(id, std::move(flight));
  Place(id);
  return id;
}

void EdgeRelay::Place(RequestId aRequest)
{
  Flight& flight = *m_flights.at(aRequest);
  ++flight.m_try;
  if (flight.m_stayHere) {
    SubmitHere(aRequest, flight);
    return;
  }
  const auto& target = flight.m_spec.m_target;
  auto offers = m_peers(target);
  std::erase_if(offers, [&](const InstanceOffer& aOffer) {
    return flight.m_tried.contains(aOffer.m_instance);
  });
  // Advertised capacity is up to a second old; requests sent meanwhile count
  // against it.
  for (auto& offer : offers) {
    const auto used = m_outstanding[offer.m_instance];
    offer.m_freeSlots -= std::min(offer.m_freeSlots, used);
  }
  const auto& dispatcher = m_local.Dispatcher();
  const auto now = MonotonicClock::Now();
  ChoiceInput input;
  input.m_servesHere =
    !flight.m_triedHere && internal::ServesHere(dispatcher, target);
  input.m_freeHere =
    input.m_servesHere ? internal::FreeSlots(dispatcher, target, now) : 0;
  input.m_waitingHere = dispatcher.WaitingCount(flight.m_spec.m_class);
  input.m_others = offers;
  const auto choice = ChooseInstance(input, m_random);
  if (choice) {
    Forward(aRequest, flight, offers[*choice]);
  } else {
    SubmitHere(aRequest, flight);
  }
}

void EdgeRelay::SubmitHere(RequestId aRequest, Flight& aFlight)
{
  aFlight.m_triedHere = true;
  aFlight.m_place.reset();
  auto work = aFlight.m_work;
  auto spec = aFlight.m_spec;
  if (auto* completion = std::get_if<CompletionWork>(&work)) {
    completion->m_resume = aFlight.m_delivered;
    spec.m_resumeFromTokens = aFlight.m_delivered.m_tokens;
  }
  WorkHandlers handlers;
  handlers.m_onText = [this, aRequest](const TextProgress& aProgress) {
    const auto found = m_flights.find(aRequest);
    if (found != m_flights.end()) {
      Deliver(*found->second, aProgress.m_whole);
    }
  };
  handlers.m_onCompleted = [this, aRequest](const GeneratedText& aText,
                                            const std::string& aReason) {
    const auto flight = Take(aRequest);
    if (flight) {
      flight->m_handlers.m_onCompleted(aText, aReason);
    }
  };
  handlers.m_onAnswered = [this, aRequest](ServiceAnswer aAnswer) {
    const auto flight = Take(aRequest);
    if (flight) {
      flight->m_handlers.m_onAnswered(std::move(aAnswer));
    }
  };
  handlers.m_onFailed = [this, aRequest](const RequestError& aError,
                                         Duration aRetryAfter) {
    TryElsewhere(aRequest, aError, aRetryAfter);
  };
  const auto id =
    m_local.Submit(std::move(spec), std::move(work), std::move(handlers));
  const auto found = m_flights.find(aRequest);
  if (found != m_flights.end() && !found->second->m_place) {
    found->second->m_local = id;
  }
}

void EdgeRelay::Forward(RequestId aRequest,
                        Flight& aFlight,
                        const InstanceOffer& aOffer)
{
  aFlight.m_tried.insert(aOffer.m_instance);
  aFlight.m_place = aOffer.m_instance;
  aFlight.m_status = 0;
  aFlight.m_body.clear();
  aFlight.m_streamBroken = false;
  aFlight.m_stream = AttemptStream(aFlight.m_delivered);
  ++m_outstanding[aOffer.m_instance];
  const auto attempt = aFlight.m_try;
  backend::CallHandlers handlers;
  handlers.m_onHeaders = [this, aRequest, attempt](int aStatus) {
    m_loop.Post([this, aRequest, attempt, aStatus] {
      if (auto* flight = Find(aRequest, attempt)) {
        flight->m_status = aStatus;
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
  aFlight.m_call =
    m_client.Start(MakeCall(aFlight, aOffer), std::move(handlers));
}

backend::HttpCall EdgeRelay::MakeCall(const Flight& aFlight,
                                      const InstanceOffer& aOffer) const
{
  backend::HttpCall call;
  call.m_newConnection = !aFlight.m_spec.m_idempotent;
  const auto& spec = aFlight.m_spec;
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
        if (aFlight.m_delivered.m_tokens.Get() > 0) {
          body["resume"] = { { "text", aFlight.m_delivered.m_text },
                             { "tokens", aFlight.m_delivered.m_tokens.Get() } };
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
    aFlight.m_work);
  return call;
}

EdgeRelay::Flight* EdgeRelay::Find(RequestId aRequest, std::uint32_t aTry)
{
  const auto found = m_flights.find(aRequest);
  return found == m_flights.end() || found->second->m_try != aTry
           ? nullptr
           : found->second.get();
}

std::unique_ptr<EdgeRelay::Flight> EdgeRelay::Take(RequestId aRequest)
{
  const auto found = m_flights.find(aRequest);
  if (found == m_flights.end()) {
    return nullptr;
  }
  auto flight = std::move(found->second);
  m_flights.erase(found);
  return flight;
}

void EdgeRelay::OnData(RequestId aRequest,
                       std::uint32_t aTry,
                       const std::string& aData)
{
  auto* flight = Find(aRequest, aTry);
  if (flight == nullptr) {
    return;
  }
  const bool isStream = flight->m_status == 200 &&
                        std::holds_alternative<CompletionWork>(flight->m_work);
  if (isStream) {
    TakeText(*flight, aData);
  } else {
    flight->m_body += aData;
  }
}

void EdgeRelay::TakeText(Flight& aFlight, const std::string& aData)
{
  for (const auto& step : aFlight.m_stream.Feed(aData)) {
    aFlight.m_streamBroken = aFlight.m_streamBroken || step.m_error;
  }
  if (!aFlight.m_streamBroken) {
    Deliver(aFlight, aFlight.m_stream.Generated());
  }
}

void EdgeRelay::Deliver(Flight& aFlight, const GeneratedText& aText)
{
  if (aText.m_tokens <= aFlight.m_delivered.m_tokens) {
    return;
  }
  const std::size_t bytes = aFlight.m_delivered.m_text.size();
  const TokenCount tokens = aFlight.m_delivered.m_tokens;
  aFlight.m_delivered = aText;
  if (aFlight.m_handlers.m_onText) {
    aFlight.m_handlers.m_onText(
      TextProgress{ aFlight.m_delivered, bytes, tokens });
  }
}

void EdgeRelay::OnDone(RequestId aRequest,
                       std::uint32_t aTry,
                       const backend::CallResult& aResult)
{
  auto* flight = Find(aRequest, aTry);
  if (flight == nullptr) {
    return;
  }
  --m_outstanding[*flight->m_place];
  flight->m_call.reset();
  switch (aResult.m_status) {
    case backend::CallStatus::Complete:
      FinishForwarded(aRequest, *flight, aResult);
      return;
    case backend::CallStatus::ConnectFailed:
      TryElsewhere(
        aRequest,
        NotRunError(ErrorCode::NoBackend, NotRunEvidence::ConnectFailed),
        Duration::zero());
      return;
    case backend::CallStatus::LostBeforeAnswer:
    case backend::CallStatus::LostInAnswer:
    case backend::CallStatus::TimedOut:
      break;
  }
  TryElsewhere(
    aRequest, UnknownOutcomeError(ErrorCode::BackendLost), Duration::zero());
}

void EdgeRelay::FinishForwarded(RequestId aRequest,
                                Flight& aFlight,
                                const backend::CallResult& aResult)
{
  const bool isText = std::holds_alternative<CompletionWork>(aFlight.m_work);
  if (isText && aFlight.m_stream.Finished() && !aFlight.m_streamBroken) {
    const auto flight = Take(aRequest);
    flight->m_handlers.m_onCompleted(flight->m_stream.Generated(),
                                     flight->m_stream.FinishReason());
    return;
  }
  const auto error = internal::ReadError(aFlight.m_body);
  const bool isOurs = error && aResult.m_headers.contains("x-trestle-error");
  if (isText || isOurs) {
    TryElsewhere(aRequest,
                 error.value_or(UnknownOutcomeError(ErrorCode::BackendLost)),
                 Duration::zero());
    return;
  }
  const auto flight = Take(aRequest);
  const auto type = aResult.m_headers.find("content-type");
  flight->m_handlers.m_onAnswered(ServiceAnswer{
    aResult.m_httpStatus,
    type == aResult.m_headers.end() ? "application/octet-stream" : type->second,
    std::move(flight->m_body) });
}

void EdgeRelay::TryElsewhere(RequestId aRequest,
                             const RequestError& aError,
                             Duration aRetryAfter)
{
  const auto found = m_flights.find(aRequest);
  if (found == m_flights.end()) {
    return;
  }
  Flight& flight = *found->second;
  const bool notRun = std::holds_alternative<NotRunError>(aError);
  const bool mayRepeat = notRun || flight.m_spec.m_idempotent;
  if (flight.m_stayHere || !mayRepeat || flight.m_try >= internal::kMaxPlaces ||
      !internal::WorthAnotherInstance(CodeOf(aError))) {
    Fail(aRequest, aError, aRetryAfter);
    return;
  }
  const bool servesHere =
    !flight.m_triedHere &&
    internal::ServesHere(m_local.Dispatcher(), flight.m_spec.m_target);
  const auto offers = m_peers(flight.m_spec.m_target);
  const bool untried =
    std::any_of(offers.begin(), offers.end(), [&](const auto& aOffer) {
      return !flight.m_tried.contains(aOffer.m_instance);
    });
  if (!servesHere && !untried) {
    Fail(aRequest, aError, aRetryAfter);
    return;
  }
  observe::LogLine(observe::LogLevel::Info, "request_placed_again")
    .Add("caller", flight.m_spec.m_caller)
    .Add("code", ToString(CodeOf(aError)))
    .Add("tokens", flight.m_delivered.m_tokens);
  flight.m_local.reset();
  Place(aRequest);
}

void EdgeRelay::Fail(RequestId aRequest,
                     const RequestError& aError,
                     Duration aRetryAfter)
{
  const auto flight = Take(aRequest);
  flight->m_handlers.m_onFailed(aError, aRetryAfter);
}

void EdgeRelay::Cancel(RequestId aRequest)
{
  const auto flight = Take(aRequest);
  if (!flight) {
    return;
  }
  if (flight->m_local) {
    m_local.Cancel(*flight->m_local);
  }
  if (flight->m_call) {
    m_client.Cancel(*flight->m_call);
    --m_outstanding[*flight->m_place];
  }
}

} // namespace auburntrestle::daemon
