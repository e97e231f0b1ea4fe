#include "auburntrestle/daemon/trainer_service.hpp"

#include "auburntrestle/daemon/rollout_ledger.hpp"
#include "auburntrestle/gateway/error_response.hpp"
#include "auburntrestle/observe/log.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kLedgerTimeout = std::chrono::seconds(10);

RequestError LedgerErrorOf(const LedgerFailure& aFailure)
{
  if (std::holds_alternative<ledger::Refusal>(aFailure)) {
    return NotRunError(ErrorCode::Conflict, NotRunEvidence::NeverSent);
  }
  if (std::holds_alternative<LedgerUnavailable>(aFailure)) {
    return NotRunError(ErrorCode::NoQuorum, NotRunEvidence::NeverSent);
  }
  return UnknownOutcomeError(ErrorCode::NoQuorum);
}

gateway::HttpResponse JsonBody(int aStatus, const nlohmann::json& aBody)
{
  gateway::HttpResponse response;
  response.m_status = aStatus;
  response.m_body = aBody.dump();
  return response;
}

/** @return the score of a judge's response; nothing when it has none. */
std::optional<double> ReadScore(const ServiceResponse& aResponse)
{
  if (aResponse.m_status != 200) {
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(aResponse.m_body, nullptr, false);
  if (!body.is_object() || !body.contains("score") ||
      !body["score"].is_number()) {
    return std::nullopt;
  }
  return body["score"].get<double>();
}

rollout::TrainerSettings Convert(const settings::TrainerSection& aSection)
{
  rollout::TrainerSettings converted;
  converted.m_model = aSection.m_model;
  converted.m_weight = aSection.m_weight;
  converted.m_stalenessBound = aSection.m_stalenessBound;
  converted.m_maxOutstandingSteps = aSection.m_maxOutstandingSteps;
  converted.m_batchGroups = aSection.m_batchGroups;
  if (!aSection.m_judge.Get().empty()) {
    converted.m_judge = aSection.m_judge;
  }
  converted.m_judgeRepeatable = aSection.m_judgeRepeatable;
  return converted;
}

} // namespace internal

TrainerService::TrainerService(rollout::Coordinator aCoordinator,
                               EdgeRelay& aEdge,
                               ClaimService& aClaims,
                               LedgerService& aLedger,
                               ControlLoop& aLoop)
  : m_coordinator(std::move(aCoordinator))
  , m_edge(aEdge)
  , m_claims(aClaims)
  , m_ledger(aLedger)
  , m_loop(aLoop)
{
}

TrainerService::~TrainerService() = default;

void TrainerService::Handle(const rollout::Event& aEvent)
{
  m_coordinator.Handle(aEvent, MonotonicClock::Now(), m_actions);
  ExecutePendingActions();
}

void TrainerService::ExecutePendingActions()
{
  // Executing an action may raise events, which add actions; the outer call
  // executes them.
  if (m_executing) {
    return;
  }
  m_executing = true;
  while (!m_actions.empty()) {
    const auto actions = std::exchange(m_actions, {});
    for (const auto& action : actions) {
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
  }
  m_executing = false;
}

void TrainerService::PostEvent(rollout::Event aEvent)
{
  m_loop.Post([this, event = std::move(aEvent)] { Handle(event); });
}

RequestId TrainerService::RegisterResponder(
  std::shared_ptr<gateway::Responder> aResponder)
{
  const RequestId id(m_nextRequest++);
  m_responders.emplace(id, std::move(aResponder));
  return id;
}

std::shared_ptr<gateway::Responder> TrainerService::ExtractResponder(
  RequestId aRequest)
{
  const auto found = m_responders.find(aRequest);
  if (found == m_responders.end()) {
    return nullptr;
  }
  auto responder = std::move(found->second);
  m_responders.erase(found);
  return responder;
}

void TrainerService::Configure(const settings::Configuration& aConfiguration)
{
  m_acceptUnlisted = aConfiguration.BaseNumber() == 0;
  if (!m_acceptUnlisted) {
    m_trainers.clear();
  }
  for (const auto& [trainer, section] : aConfiguration.Trainers()) {
    m_trainers[trainer] = internal::Convert(section);
  }
  Handle(rollout::ConfigurationChanged{ m_trainers });
}

void TrainerService::EnsureTrainer(const TrainerId& aTrainer,
                                   const ModelName& aModel)
{
  // The embedded defaults list no trainer. A trainer is then added by its first
  // step, or when a new coordinator finds it in the ledger.
  if (!m_acceptUnlisted) {
    return;
  }
  const auto known = m_trainers.find(aTrainer);
  if (known != m_trainers.end() && !known->second.m_model.Get().empty()) {
    return;
  }
  settings::TrainerSection section;
  section.m_model = aModel;
  m_trainers[aTrainer] = internal::Convert(section);
  Handle(rollout::ConfigurationChanged{ m_trainers });
}

void TrainerService::AddRestoredTrainers(
  const rollout::LedgerStateRestored& aRestored)
{
  std::map<TrainerId, ModelName> models;
  for (const auto& [trainer, step] : aRestored.m_lastSteps) {
    models[trainer];
  }
  for (const auto& step : aRestored.m_steps) {
    models[step.m_trainer] = step.m_model;
  }
  for (const auto& [trainer, model] : models) {
    EnsureTrainer(trainer, model);
  }
}

void TrainerService::OpenStep(rollout::StepSpec aSpec,
                              std::shared_ptr<gateway::Responder> aResponder)
{
  EnsureTrainer(aSpec.m_trainer, aSpec.m_model);
  const auto request = RegisterResponder(std::move(aResponder));
  Handle(rollout::StepRequested{ request, std::move(aSpec) });
}

void TrainerService::FetchBatch(const TrainerId& aTrainer,
                                Cursor aCursor,
                                Duration aWait,
                                std::shared_ptr<gateway::Responder> aResponder)
{
  auto* responder = aResponder.get();
  const auto request = RegisterResponder(std::move(aResponder));
  responder->OnClosed([this, request] {
    m_loop.Post([this, request] {
      if (ExtractResponder(request)) {
        Handle(rollout::BatchRequestCancelled{ request });
      }
    });
  });
  Handle(rollout::BatchRequested{
    request, aTrainer, aCursor, MonotonicClock::Now() + aWait });
}

void TrainerService::DiscardBatch(
  const TrainerId& aTrainer,
  Cursor aCursor,
  std::shared_ptr<gateway::Responder> aResponder)
{
  const auto request = RegisterResponder(std::move(aResponder));
  Handle(rollout::DiscardRequested{ request, aTrainer, aCursor });
}

void TrainerService::PublishVersion(
  const TrainerId& aTrainer,
  const ModelName& aModel,
  WeightVersion aVersion,
  std::shared_ptr<gateway::Responder> aResponder)
{
  m_ledger.Propose(
    ledger::PublishVersion{ aTrainer, aModel, aVersion },
    internal::kLedgerTimeout,
    [this, aModel, aVersion, responder = std::move(aResponder)](
      const LedgerResult& aResult) {
      if (aResult) {
        observe::LogLine(observe::LogLevel::Info, "version_published")
          .Add("model", aModel)
          .Add("version", aVersion);
        Handle(rollout::VersionPublished{ aModel, aVersion });
        m_versionHandler(aModel, aVersion);
        responder->Send(internal::JsonBody(
          200, { { "model", aModel.Get() }, { "version", aVersion.Get() } }));
      } else {
        responder->Send(
          gateway::MakeErrorResponse(internal::LedgerErrorOf(aResult.error()),
                                     "the version was not recorded"));
      }
    });
}

void TrainerService::HandleLeadership(const Leadership& aLeadership)
{
  if (m_isLeading && !aLeadership.m_isLeading) {
    m_isLeading = false;
    Handle(rollout::LeadershipLost{});
  }
  m_term = aLeadership.m_term;
  if (!aLeadership.m_isLeading || m_isLeading) {
    return;
  }
  m_ledger.Query<rollout::LedgerStateRestored>(
    [](const ledger::StateMachine& aState) { return ReadRestored(aState); },
    [this,
     term = aLeadership.m_term](const rollout::LedgerStateRestored& aRestored) {
      if (m_term == term && !m_isLeading) {
        m_isLeading = true;
        AddRestoredTrainers(aRestored);
        Handle(aRestored);
      }
    });
}

void TrainerService::Propose(ledger::Command aCommand,
                             rollout::Event aApplied,
                             rollout::Event aRefused)
{
  m_ledger.Propose(
    std::move(aCommand),
    internal::kLedgerTimeout,
    [this,
     term = m_term,
     applied = std::move(aApplied),
     refused = std::move(aRefused)](const LedgerResult& aResult) {
      if (m_term != term || !m_isLeading) {
        return;
      }
      if (aResult) {
        Handle(applied);
      } else if (!std::holds_alternative<LedgerOutcomeUnknown>(
                   aResult.error())) {
        // An unknown outcome is not reported: leadership is lost, and the next
        // coordinator reads the outcome from the ledger.
        if (const auto* refusal =
              std::get_if<ledger::Refusal>(&aResult.error())) {
          observe::LogLine(observe::LogLevel::Warning, "ledger_refused")
            .Add("kind", ledger::ToString(refusal->m_kind))
            .Add("current", refusal->m_current);
        }
        Handle(refused);
      }
    });
}

void TrainerService::Execute(const rollout::GenerateSample& aAction)
{
  const auto& sample = aAction.m_sample;
  const auto attempt = aAction.m_attempt;
  routing::RequestSpec spec;
  spec.m_caller = CallerId(sample.m_trainer.Get());
  spec.m_class = admission::RequestClass::Training;
  spec.m_target = aAction.m_model;
  spec.m_promptLength = TokenCount(aAction.m_prompt->size() / 4 + 1);
  spec.m_prefixHash =
    XXH3_64bits(aAction.m_prompt->data(), aAction.m_prompt->size());
  spec.m_maxTokens = aAction.m_maxTokens;
  spec.m_minVersion = aAction.m_minimumVersion;
  CompletionWork work{
    aAction.m_model, *aAction.m_prompt, aAction.m_maxTokens, {}
  };
  if (aAction.m_resume) {
    work.m_resume =
      MakeReceivedText(aAction.m_resume->m_text, aAction.m_resume->m_tokens);
    spec.m_resumeFromTokens = aAction.m_resume->m_tokens;
  }
  WorkHandlers handlers;
  handlers.m_onText = [this, sample, attempt](const TextProgress& aProgress) {
    const auto& text = aProgress.m_text;
    std::size_t start = aProgress.m_deliveredBytes;
    // An event covers tokens of one weight version, so the new tokens are split
    // where the version changes.
    std::uint64_t token = 0;
    for (const auto& part : text.m_trail) {
      const std::uint64_t end = token + part.m_tokens.Get();
      if (end > aProgress.m_deliveredTokens.Get()) {
        const auto from = std::max(token, aProgress.m_deliveredTokens.Get());
        const std::size_t stop = text.m_tokenEnds[end - 1];
        Handle(rollout::SampleTokens{ sample,
                                      attempt,
                                      text.m_text.substr(start, stop - start),
                                      TokenCount(end - from),
                                      part.m_version });
        start = stop;
      }
      token = end;
    }
  };
  handlers.m_onCompleted = [this, sample, attempt](const GeneratedText&,
                                                   const std::string&) {
    m_generating.erase({ sample, attempt });
    Handle(rollout::SampleFinished{ sample, attempt });
  };
  handlers.m_onFailed = [this, sample, attempt](const RequestError& aError,
                                                Duration) {
    m_generating.erase({ sample, attempt });
    // The request may fail before Submit has returned its id.
    PostEvent(rollout::SampleFailed{ sample, attempt, aError });
  };
  const SampleKey key{ sample, attempt };
  m_generating[key] = RequestId(0);
  const auto id =
    m_edge.Submit(std::move(spec), std::move(work), std::move(handlers), false);
  const auto found = m_generating.find(key);
  if (found != m_generating.end()) {
    found->second = id;
  }
}

void TrainerService::Execute(const rollout::CancelSample& aAction)
{
  const auto found = m_generating.find({ aAction.m_sample, aAction.m_attempt });
  if (found != m_generating.end()) {
    const auto id = found->second;
    m_generating.erase(found);
    m_edge.Cancel(id);
  }
}

void TrainerService::Execute(const rollout::JudgeSample& aAction)
{
  const auto sample = aAction.m_sample;
  const auto attempt = aAction.m_attempt;
  routing::RequestSpec spec;
  spec.m_caller = CallerId(sample.m_trainer.Get());
  spec.m_class = admission::RequestClass::Training;
  spec.m_target = aAction.m_judge;
  spec.m_promptLength = TokenCount(aAction.m_text->size() / 4 + 1);
  spec.m_resumable = false;
  ServiceWork work;
  work.m_service = aAction.m_judge;
  work.m_method = "POST";
  work.m_path = "score";
  work.m_contentType = "application/json";
  work.m_body = nlohmann::json{
    { "sample", rollout::ToText(sample) },
    { "prompt", *aAction.m_prompt },
    { "text", *aAction.m_text }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  WorkHandlers handlers;
  handlers.m_onResponse = [this, sample, attempt](
                            const ServiceResponse& aResponse) {
    if (const auto score = internal::ReadScore(aResponse)) {
      Handle(rollout::JudgeSucceeded{ sample, attempt, *score });
    } else {
      Handle(rollout::JudgeFailed{
        sample, attempt, UnknownOutcomeError(ErrorCode::BadBackendResponse) });
    }
  };
  handlers.m_onFailed = [this, sample, attempt](const RequestError& aError,
                                                Duration) {
    PostEvent(rollout::JudgeFailed{ sample, attempt, aError });
  };
  if (aAction.m_claim) {
    spec.m_key = aAction.m_claim;
    m_claims.Run(std::move(spec), std::move(work), std::move(handlers));
  } else {
    m_edge.Submit(std::move(spec), std::move(work), std::move(handlers), false);
  }
}

void TrainerService::Execute(const rollout::ProposeOpenStep& aAction)
{
  const auto& spec = aAction.m_spec;
  Propose(MakeOpenStep(spec),
          rollout::StepOpened{ spec },
          rollout::StepOpenRefused{
            spec.m_trainer,
            spec.m_step,
            NotRunError(ErrorCode::Conflict, NotRunEvidence::NeverSent) });
}

void TrainerService::Execute(const rollout::ProposeFixBatch& aAction)
{
  ledger::FixBatch command;
  command.m_trainer = aAction.m_trainer;
  command.m_cursor = aAction.m_cursor;
  for (const auto& sample : aAction.m_samples) {
    command.m_samples.push_back(ToSampleRef(sample));
  }
  command.m_payload = *aAction.m_payload;
  command.m_term = m_term;
  Propose(std::move(command),
          rollout::BatchFixed{ aAction.m_trainer, aAction.m_cursor },
          rollout::BatchFixRefused{ aAction.m_trainer, aAction.m_cursor });
}

void TrainerService::Execute(const rollout::ProposeAcknowledge& aAction)
{
  Propose(ledger::AcknowledgeBatch{ aAction.m_trainer, aAction.m_cursor },
          rollout::BatchAcknowledged{ aAction.m_trainer, aAction.m_cursor },
          rollout::AcknowledgeRefused{ aAction.m_trainer, aAction.m_cursor });
}

void TrainerService::Execute(const rollout::ProposeDiscard& aAction)
{
  Propose(ledger::DiscardBatch{ aAction.m_trainer, aAction.m_cursor },
          rollout::BatchDiscarded{ aAction.m_trainer, aAction.m_cursor },
          rollout::DiscardRefused{ aAction.m_trainer, aAction.m_cursor });
}

void TrainerService::Execute(const rollout::ConfirmStep& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    responder->Send(internal::JsonBody(201, { { "opened", true } }));
  }
}

void TrainerService::Execute(const rollout::RefuseStep& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    responder->Send(
      gateway::MakeErrorResponse(aAction.m_error, "the step was not opened"));
  }
}

void TrainerService::Execute(const rollout::SendBatch& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    observe::LogLine(observe::LogLevel::Info, "batch_sent")
      .Add("trainer", aAction.m_trainer)
      .Add("cursor", aAction.m_cursor)
      .Add("samples", aAction.m_samples.size());
    gateway::HttpResponse response;
    response.m_body = *aAction.m_payload;
    responder->Send(std::move(response));
  }
}

void TrainerService::Execute(const rollout::SendNoBatch& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    gateway::HttpResponse response;
    response.m_status = 204;
    responder->Send(std::move(response));
  }
}

void TrainerService::Execute(const rollout::RefuseBatch& aAction)
{
  const auto responder = ExtractResponder(aAction.m_request);
  if (!responder) {
    return;
  }
  auto response =
    gateway::MakeErrorResponse(aAction.m_error, "the batch was not sent");
  if (!aAction.m_samples.empty()) {
    auto body = nlohmann::json::parse(response.m_body);
    for (const auto& sample : aAction.m_samples) {
      body["error"]["samples"].push_back(rollout::ToText(sample));
    }
    response.m_body = body.dump();
  }
  responder->Send(std::move(response));
}

void TrainerService::Execute(const rollout::ConfirmDiscard& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    responder->Send(internal::JsonBody(200, { { "discarded", true } }));
  }
}

void TrainerService::Execute(const rollout::RefuseDiscard& aAction)
{
  if (const auto responder = ExtractResponder(aAction.m_request)) {
    responder->Send(gateway::MakeErrorResponse(aAction.m_error,
                                               "the batch was not discarded"));
  }
}

} // namespace auburntrestle::daemon
