#ifndef AUBURNTRESTLE_DAEMON_TRAINER_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_TRAINER_SERVICE_HPP

#include "auburntrestle/daemon/claim_service.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/edge_relay.hpp"
#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/daemon/request_relay.hpp"
#include "auburntrestle/gateway/http.hpp"
#include "auburntrestle/rollout/coordinator.hpp"
#include "auburntrestle/settings/configuration.hpp"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace auburntrestle::daemon {

/**
 * Executes the rollout coordinator's decisions: generates samples through the
 * request relay, calls judges and responds to trainers. Used on the control
 * loop only.
 */
class TrainerService
{
public:
  /** All references must outlive the service. */
  TrainerService(rollout::Coordinator aCoordinator,
                 EdgeRelay& aEdge,
                 ClaimService& aClaims,
                 LedgerService& aLedger,
                 ControlLoop& aLoop);
  TrainerService(const TrainerService&) = delete;
  TrainerService& operator=(const TrainerService&) = delete;
  ~TrainerService();

  void OpenStep(rollout::StepSpec aSpec,
                std::shared_ptr<gateway::Responder> aResponder);
  void FetchBatch(const TrainerId& aTrainer,
                  Cursor aCursor,
                  Duration aWait,
                  std::shared_ptr<gateway::Responder> aResponder);
  void DiscardBatch(const TrainerId& aTrainer,
                    Cursor aCursor,
                    std::shared_ptr<gateway::Responder> aResponder);
  void PublishVersion(const TrainerId& aTrainer,
                      const ModelName& aModel,
                      WeightVersion aVersion,
                      std::shared_ptr<gateway::Responder> aResponder);

  /** Sets the handler of published versions. */
  void OnVersion(std::function<void(const ModelName&, WeightVersion)> aHandler)
  {
    m_versionHandler = std::move(aHandler);
  }

  /** Starts or stops coordination when this instance's leadership changes. */
  void HandleLeadership(const Leadership& aLeadership);

  /** @return whether this instance coordinates the trainers. */
  [[nodiscard]] bool IsLeading() const noexcept { return m_isLeading; }

  /** Applies a new configuration. */
  void Configure(const settings::Configuration& aConfiguration);

  /** Passes an event to the coordinator and executes its decisions. */
  void Handle(const rollout::Event& aEvent);

  /** @return the coordinator's counters. */
  [[nodiscard]] const rollout::Metrics& Counters() const noexcept
  {
    return m_coordinator.GetMetrics();
  }

private:
  struct SampleKey
  {
    rollout::SampleId m_sample;
    AttemptNumber m_attempt;
    friend auto operator<=>(const SampleKey&, const SampleKey&) = default;
  };

  void ExecutePendingActions();
  void Execute(const rollout::GenerateSample& aAction);
  void Execute(const rollout::CancelSample& aAction);
  void Execute(const rollout::JudgeSample& aAction);
  void Execute(const rollout::ProposeOpenStep& aAction);
  void Execute(const rollout::ProposeFixBatch& aAction);
  void Execute(const rollout::ProposeAcknowledge& aAction);
  void Execute(const rollout::ProposeDiscard& aAction);
  void Execute(const rollout::ConfirmStep& aAction);
  void Execute(const rollout::RefuseStep& aAction);
  void Execute(const rollout::SendBatch& aAction);
  void Execute(const rollout::SendNoBatch& aAction);
  void Execute(const rollout::RefuseBatch& aAction);
  void Execute(const rollout::ConfirmDiscard& aAction);
  void Execute(const rollout::RefuseDiscard& aAction);

  void Propose(ledger::Command aCommand,
               rollout::Event aApplied,
               rollout::Event aRefused);
  RequestId RegisterResponder(std::shared_ptr<gateway::Responder> aResponder);
  std::shared_ptr<gateway::Responder> ExtractResponder(RequestId aRequest);
  void PostEvent(rollout::Event aEvent);
  void EnsureTrainer(const TrainerId& aTrainer, const ModelName& aModel);
  void AddRestoredTrainers(const rollout::LedgerStateRestored& aRestored);

  rollout::Coordinator m_coordinator;
  EdgeRelay& m_edge;
  ClaimService& m_claims;
  LedgerService& m_ledger;
  ControlLoop& m_loop;
  std::function<void(const ModelName&, WeightVersion)> m_versionHandler;
  bool m_isLeading = false;
  Term m_term;
  std::map<TrainerId, rollout::TrainerSettings> m_trainers;
  bool m_acceptUnlisted = true;
  std::uint64_t m_nextRequest = 1;
  std::unordered_map<RequestId, std::shared_ptr<gateway::Responder>>
    m_responders;
  std::map<SampleKey, RequestId> m_generating;
  std::vector<rollout::Action> m_actions;
  bool m_executing = false;
};

} // namespace auburntrestle::daemon

#endif
