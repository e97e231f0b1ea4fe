#ifndef AUBURNTRESTLE_DAEMON_LEDGER_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_LEDGER_SERVICE_HPP

#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/results.hpp"
#include "auburntrestle/ledger/state_machine.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"
#include "auburntrestle/settings/instance_settings.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::daemon {

/** No majority accepted the command; it is certain to have no effect. */
struct LedgerUnavailable
{};

/** The command may or may not have been committed. */
struct LedgerOutcomeUnknown
{};

/** Why a command has no result. */
using LedgerFailure =
  std::variant<ledger::Refusal, LedgerUnavailable, LedgerOutcomeUnknown>;
using LedgerResult = tl::expected<ledger::ResultValue, LedgerFailure>;

/** The ledger cannot be opened. */
struct LedgerOpenError
{
  std::string m_reason;
};

/** The leadership of this instance, as reported to the control loop. */
struct Leadership
{
  Term m_term;
  std::optional<InstanceId> m_leader;
  /** This instance is the leader and has applied all entries of earlier
   * leaders. */
  bool m_isLeading = false;
};

/** Callbacks of the ledger service; called on the control loop. */
struct LedgerListener
{
  std::function<void(const Leadership&)> m_onLeadership;
  /** A newer configuration of this instance's site has been committed. */
  std::function<void(ledger::AcceptedConfiguration)> m_onConfiguration;
};

/**
 * Gives access to the replicated ledger. An instance that is a member of the
 * ledger runs it on a separate thread, so that syncing files does not delay
 * requests; other instances forward commands to a member. All results are
 * delivered on the control loop.
 */
class LedgerService
{
public:
  /**
   * @param aTransport null when the instance has no peers.
   * @param aBootstrap allows a member with an empty data folder to create a new
   * ledger of several members; see the operators' page.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<LedgerService>,
                                    LedgerOpenError>
  Create(const settings::InstanceSettings& aSettings,
         ControlLoop& aLoop,
         protocol::PeerTransport* aTransport,
         ledger::InstanceIdentity aIdentity,
         bool aBootstrap,
         LedgerListener aListener);

  LedgerService(const LedgerService&) = delete;
  LedgerService& operator=(const LedgerService&) = delete;
  ~LedgerService();

  /**
   * Proposes a command; may be called from any thread. Commands are idempotent,
   * so one whose reply is lost is sent again until the time limit.
   */
  void Propose(ledger::Command aCommand,
               Duration aTimeout,
               std::function<void(LedgerResult)> aCallback);

  /**
   * Runs a query on the thread of the ledger and its callback on the control
   * loop. The state may be behind the leader's. A leader that has reported
   * m_isLeading has applied everything that was committed before its election.
   */
  template<typename Value>
  void Query(std::function<Value(const ledger::StateMachine&)> aQuery,
             std::function<void(Value)> aCallback)
  {
    OnLedger([this, query = std::move(aQuery), callback = std::move(aCallback)](
               const ledger::StateMachine& aState) {
      auto value = query(aState);
      m_loop.Post([callback, value = std::move(value)]() mutable {
        callback(std::move(value));
      });
    });
  }

  /** Reports the state of the replicated log on the control loop. */
  void Status(std::function<void(consensus::NodeStatus)> aCallback);

  /** Changes the members of the replicated log; works on the leader only. */
  void ChangeMembership(
    consensus::MembershipChange aChange,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback);

  /**
   * Adds an instance that has asked to join as a learner; works on the leader
   * only.
   *
   * @param aAddress ip:port on which the instance listens for peers.
   */
  void AddMember(
    const InstanceId& aInstance,
    const std::string& aAddress,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback);

  /** Handles a message of another member; may be called from any thread. */
  void HandleMessage(const std::string& aPayload);
  /** Handle calls of kProposeMethod, kConfigurationMethod and kConfirmMethod.
   */
  void HandleProposal(const std::string& aPayload,
                      const protocol::Reply& aReply);
  void HandleConfigurationRequest(const std::string& aPayload,
                                  const protocol::Reply& aReply);
  void HandleConfirmRequest(const std::string& aPayload,
                            const protocol::Reply& aReply);

  /**
   * Reads the newest configuration of this instance's site by a linearizable
   * read, which is retried until the time limit.
   */
  void ConfirmConfiguration(
    Duration aTimeout,
    std::function<void(std::optional<ledger::AcceptedConfiguration>)>
      aCallback);

  /** @return whether this instance is a member of the replicated log. */
  [[nodiscard]] bool IsMember() const noexcept;

  /** Sets the instances that a non-member sends its calls to while its settings
   * name no ledger members. */
  void SetFallbackPeers(std::vector<InstanceId> aPeers);

  /** Asks a member for the configuration and the leader; does nothing on a
   * member. */
  void PollConfiguration(Revision aHeld);

  /** Transfers leadership to another member before a shutdown. */
  void TransferLeadership();

  /**
   * Stops the thread of the ledger. Must be called before the connections to
   * other instances are closed, since closing them ends their pending calls.
   */
  void Stop();

private:
  class Implementation;
  LedgerService(ControlLoop& aLoop,
                std::unique_ptr<Implementation> aImplementation);
  void OnLedger(std::function<void(const ledger::StateMachine&)> aWork);

  ControlLoop& m_loop;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::daemon

#endif
