#include "auburntrestle/fleet/store_service.hpp"
#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Below the second after which callers of the control interface try another
 * instance. */
constexpr Duration kControlTimeout = std::chrono::milliseconds(900);

ControlOutcome OutcomeOf(const tl::expected<CommandResult, LinkError>& aResult)
{
  if (!aResult) {
    return ControlOutcome::Unavailable;
  }
  switch (*aResult) {
    case CommandResult::Done:
      return ControlOutcome::Done;
    case CommandResult::NotFound:
      return ControlOutcome::NotFound;
    case CommandResult::TooFewRemain:
      return ControlOutcome::TooFewRemain;
    case CommandResult::Conflict:
      return ControlOutcome::Invalid;
    case CommandResult::NoRoom:
      return ControlOutcome::Unavailable;
  }
  return ControlOutcome::Unavailable;
}

} // namespace

void StoreService::ProposeControl(const Command& aCommand,
                                  std::string_view aCall,
                                  OutcomeCallback aCallback)
{
  m_link->Propose(aCommand,
                  kControlTimeout,
                  [this,
                   aCall,
                   startedAt = MonotonicClock::Now(),
                   callback = std::move(aCallback)](
                    const tl::expected<CommandResult, LinkError>& aResult) {
                    if (!aResult) {
                      const auto leader = KnownLeader();
                      LogLine(LogLevel::Warning, "control_call_failed")
                        .Add("call", aCall)
                        .Add("reason", ToString(aResult.error()))
                        .Add("leader", leader ? leader->Get() : "none")
                        .Add("took_us",
                             (MonotonicClock::Now() - startedAt).count());
                    }
                    callback(OutcomeOf(aResult));
                  });
}

void StoreService::PutConfiguration(const std::string& aDocument,
                                    OutcomeCallback aCallback)
{
  const auto table = m_options.m_readConfiguration(aDocument);
  if (!table) {
    LogLine(LogLevel::Warning, "configuration_refused")
      .Add("fault", ToString(table.error().m_fault))
      .Add("detail", table.error().m_detail);
    aCallback(ControlOutcome::Invalid);
    return;
  }
  const auto version = table->Configuration().m_version;
  ProposeControl(
    fleet::PutConfiguration{ version, aDocument },
    "configuration",
    [version, callback = std::move(aCallback)](ControlOutcome aOutcome) {
      LogLine(LogLevel::Info, "configuration_put")
        .Add("version", version)
        .Add("acknowledged", aOutcome == ControlOutcome::Done);
      callback(aOutcome);
    });
}

void StoreService::GetConfiguration(
  std::function<void(std::optional<ConfigurationView>)> aCallback)
{
  m_link->SendQuery(
    ReadConfiguration{},
    kControlTimeout,
    Duration::zero(),
    [callback =
       std::move(aCallback)](const tl::expected<ReplyBody, LinkError>& aReply) {
      const auto* view =
        aReply ? std::get_if<ConfigurationView>(&*aReply) : nullptr;
      callback(view != nullptr ? std::optional(*view) : std::nullopt);
    });
}

void StoreService::Announce(const BackendRecord& aRecord,
                            OutcomeCallback aCallback)
{
  // A heartbeat without a change needs no log entry.
  if (!m_replica->GetState().IsChange(aRecord) && m_replica->Leader()) {
    aCallback(ControlOutcome::Done);
    return;
  }
  ProposeControl(AnnounceBackend{ aRecord }, "heartbeat", std::move(aCallback));
}

void StoreService::Remove(const BackendId& aId, OutcomeCallback aCallback)
{
  ProposeControl(
    RemoveBackend{ aId, Incarnation() }, "removal", std::move(aCallback));
}

void StoreService::PublishWeights(const ModelName& aModel,
                                  WeightVersion aVersion,
                                  OutcomeCallback aCallback)
{
  ProposeControl(fleet::PublishWeights{ aModel, aVersion },
                 "publication",
                 std::move(aCallback));
}

void StoreService::Retire(const std::string& aMachine,
                          OutcomeCallback aCallback)
{
  const auto minRemaining =
    static_cast<std::uint32_t>(2 * m_store.m_toleratedLosses + 1);
  ProposeControl(
    RetireMember{ aMachine, minRemaining }, "retirement", std::move(aCallback));
}

void StoreService::GetRetirement(
  const std::string& aMachine,
  std::function<void(std::optional<Retirement>)> aCallback)
{
  m_link->SendQuery(
    ReadRetirement{ aMachine },
    kControlTimeout,
    Duration::zero(),
    [callback =
       std::move(aCallback)](const tl::expected<ReplyBody, LinkError>& aReply) {
      const auto* view =
        aReply ? std::get_if<RetirementView>(&*aReply) : nullptr;
      callback(view != nullptr ? std::optional(view->m_state) : std::nullopt);
    });
}

} // namespace auburntrestle::fleet
