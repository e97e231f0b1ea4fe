#include "auburntrestle/daemon/configuration_api.hpp"

#include "auburntrestle/daemon/json_reader.hpp"
#include "auburntrestle/gateway/error_response.hpp"
#include "auburntrestle/observe/log.hpp"

#include <chrono>
#include <limits>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kApplyTimeout = std::chrono::seconds(10);
constexpr std::size_t kHistoryLength = 1000;
constexpr std::uint64_t kLargestEditNumber =
  std::numeric_limits<std::int64_t>::max();

void SendJson(gateway::Responder& aResponder,
              int aStatus,
              const nlohmann::json& aBody)
{
  gateway::HttpResponse response;
  response.m_status = aStatus;
  response.m_body =
    aBody.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  aResponder.Send(std::move(response));
}

void SendRefusal(gateway::Responder& aResponder,
                 ErrorCode aCode,
                 std::string_view aMessage)
{
  aResponder.Send(gateway::MakeErrorResponse(
    NotRunError(aCode, NotRunEvidence::NeverSent), aMessage));
}

/** Sends a refusal of the ledger with the data needed for a retry. */
void SendLedgerRefusal(gateway::Responder& aResponder,
                       const ledger::Refusal& aRefusal)
{
  auto response = gateway::MakeErrorResponse(
    NotRunError(ErrorCode::Conflict, NotRunEvidence::NeverSent),
    "the ledger refused the change");
  auto body = nlohmann::json::parse(response.m_body);
  body["error"]["kind"] = ledger::ToString(aRefusal.m_kind);
  body["error"]["current"] = aRefusal.m_current;
  body["error"]["detail"] = aRefusal.m_detail;
  response.m_body = body.dump();
  aResponder.Send(std::move(response));
}

void SendFailure(gateway::Responder& aResponder, const LedgerFailure& aFailure)
{
  if (const auto* refusal = std::get_if<ledger::Refusal>(&aFailure)) {
    SendLedgerRefusal(aResponder, *refusal);
  } else if (std::holds_alternative<LedgerUnavailable>(aFailure)) {
    SendRefusal(aResponder,
                ErrorCode::NoQuorum,
                "no majority of the ledger is reachable");
  } else {
    aResponder.Send(gateway::MakeErrorResponse(
      UnknownOutcomeError(ErrorCode::NoQuorum),
      "the majority was lost; send the same edit again"));
  }
}

nlohmann::json FileJson(const std::optional<ledger::AcceptedFile>& aFile)
{
  if (!aFile) {
    return nullptr;
  }
  return { { "number", aFile->m_number },
           { "digest", aFile->m_digest.Get() },
           { "text", aFile->m_text } };
}

nlohmann::json MembersJson(const consensus::NodeStatus& aStatus)
{
  nlohmann::json members = nlohmann::json::array();
  const auto now = MonotonicClock::Now();
  for (const auto& member : aStatus.m_configuration.m_members) {
    nlohmann::json entry{
      { "instance", member.m_identity.m_instance.Get() },
      { "incarnation", member.m_identity.m_incarnation.Get() },
      { "role",
        member.m_role == consensus::MemberRole::Voter ? "voter" : "learner" }
    };
    for (const auto& progress : aStatus.m_progress) {
      if (progress.m_identity == member.m_identity) {
        entry["match"] = progress.m_match.Get();
        entry["last_contact_ms"] =
          std::chrono::duration_cast<std::chrono::milliseconds>(
            now - progress.m_lastContact)
            .count();
      }
    }
    members.push_back(std::move(entry));
  }
  return members;
}

/** Validates a file of an edit before the edit is proposed. */
tl::expected<void, std::string> CheckFile(
  const ledger::ApplyConfiguration& aEdit)
{
  const auto role = aEdit.m_site.Get().empty() ? settings::FileRole::Base
                                               : settings::FileRole::Overlay;
  const auto file = settings::ParsedConfigurationFile::Parse(
    settings::ConfigurationFile{ role == settings::FileRole::Base
                                   ? "base.toml"
                                   : aEdit.m_site.Get() + ".toml",
                                 aEdit.m_text },
    role);
  if (!file) {
    return tl::make_unexpected(settings::FormatErrors(file.error()));
  }
  if (file->Number() != aEdit.m_number ||
      file->ContentDigest() != aEdit.m_digest || file->Site() != aEdit.m_site) {
    return tl::make_unexpected(
      std::string("number, digest and site must be those of the text"));
  }
  return {};
}

} // namespace internal

ConfigurationApi::ConfigurationApi(LedgerService& aLedger,
                                   ConfigurationService& aService,
                                   std::function<std::set<InstanceId>()> aLive)
  : m_ledger(aLedger)
  , m_service(aService)
  , m_live(std::move(aLive))
{
}

void ConfigurationApi::Apply(const std::string& aBody,
                             ResponderPointer aResponder)
{
  const auto body = ParseObject(aBody);
  FieldErrors errors = body ? FieldErrors{} : body.error();
  ledger::ApplyConfiguration edit;
  if (body) {
    JsonReader reader(*body, errors);
    edit.m_site = settings::SiteName(reader.Text("site"));
    edit.m_number =
      reader.RequiredNumber("number", 1, internal::kLargestEditNumber);
    edit.m_digest = settings::Digest(reader.RequiredText("digest"));
    edit.m_text = reader.RequiredText("text");
    edit.m_edit = ledger::EditId(reader.RequiredText("edit"));
  }
  if (!errors.empty()) {
    internal::SendRefusal(*aResponder, ErrorCode::BadRequest, Describe(errors));
    return;
  }
  if (const auto valid = internal::CheckFile(edit); !valid) {
    internal::SendRefusal(*aResponder, ErrorCode::BadRequest, valid.error());
    return;
  }
  m_ledger.Propose(
    edit,
    internal::kApplyTimeout,
    [responder = std::move(aResponder),
     site = edit.m_site](const LedgerResult& aResult) {
      if (!aResult) {
        internal::SendFailure(*responder, aResult.error());
        return;
      }
      const auto& accepted = std::get<ledger::ConfigurationAccepted>(*aResult);
      observe::LogLine(observe::LogLevel::Info, "configuration_accepted")
        .Add("site", site)
        .Add("number", accepted.m_number)
        .Add("revision", accepted.m_revision);
      internal::SendJson(*responder,
                         200,
                         { { "revision", accepted.m_revision.Get() },
                           { "number", accepted.m_number },
                           { "digest", accepted.m_digest.Get() } });
    });
}

void ConfigurationApi::Show(const std::string& aSite,
                            const ResponderPointer& aResponder)
{
  const bool own = aSite.empty();
  const auto render = [aResponder](const ledger::AcceptedConfiguration& aFound,
                                   const std::string& aEffective) {
    internal::SendJson(*aResponder,
                       200,
                       { { "site", aFound.m_site.Get() },
                         { "revision", aFound.m_revision.Get() },
                         { "base", internal::FileJson(aFound.m_base) },
                         { "overlay", internal::FileJson(aFound.m_overlay) },
                         { "effective", aEffective } });
  };
  if (own || !m_ledger.IsMember()) {
    render(m_service.Accepted().value_or(ledger::AcceptedConfiguration{}),
           settings::RenderEffective(m_service.Current()));
    return;
  }
  m_ledger.Query<ledger::AcceptedConfiguration>(
    [site = settings::SiteName(aSite)](const ledger::StateMachine& aState) {
      return aState.ConfigurationOf(site);
    },
    [render](const ledger::AcceptedConfiguration& aFound) {
      std::string effective;
      if (aFound.m_base && aFound.m_overlay) {
        const auto merged = settings::Configuration::FromTexts(
          settings::ConfigurationTexts{
            { "base.toml", aFound.m_base->m_text },
            settings::ConfigurationFile{ "overlay.toml",
                                         aFound.m_overlay->m_text } },
          aFound.m_site);
        effective = merged ? settings::RenderEffective(*merged) : "";
      }
      render(aFound, effective);
    });
}

void ConfigurationApi::ShowHistory(ResponderPointer aResponder)
{
  m_ledger.Query<std::vector<ledger::HistoryEntry>>(
    [](const ledger::StateMachine& aState) {
      return aState.History(internal::kHistoryLength);
    },
    [responder = std::move(aResponder)](
      const std::vector<ledger::HistoryEntry>& aHistory) {
      nlohmann::json edits = nlohmann::json::array();
      for (const auto& entry : aHistory) {
        edits.push_back({ { "site", entry.m_site.Get() },
                          { "number", entry.m_number },
                          { "digest", entry.m_digest.Get() },
                          { "edit", entry.m_edit.Get() },
                          { "revision", entry.m_revision.Get() } });
      }
      internal::SendJson(*responder, 200, { { "edits", std::move(edits) } });
    });
}

void ConfigurationApi::ShowForce(ResponderPointer aResponder)
{
  struct Force
  {
    Revision m_newest;
    std::vector<ledger::InstanceView> m_instances;
  };
  m_ledger.Query<Force>(
    [](const ledger::StateMachine& aState) {
      return Force{ aState.NewestRevision(), aState.Instances() };
    },
    [responder = std::move(aResponder), live = m_live()](const Force& aForce) {
      nlohmann::json instances = nlohmann::json::array();
      for (const auto& view : aForce.m_instances) {
        const auto& id = view.m_identity.m_instance;
        instances.push_back({ { "instance", id.Get() },
                              { "data_centre", view.m_dataCentre.Get() },
                              { "revision", view.m_revision.Get() },
                              { "alive", live.contains(id) } });
      }
      internal::SendJson(*responder,
                         200,
                         { { "newest", aForce.m_newest.Get() },
                           { "instances", std::move(instances) } });
    });
}

void ConfigurationApi::ShowMembers(ResponderPointer aResponder)
{
  m_ledger.Status(
    [responder = std::move(aResponder)](const consensus::NodeStatus& aStatus) {
      internal::SendJson(
        *responder,
        200,
        { { "leader", aStatus.m_leader ? aStatus.m_leader->Get() : "" },
          { "role", consensus::ToString(aStatus.m_role) },
          { "term", aStatus.m_term.Get() },
          { "commit", aStatus.m_commit.Get() },
          { "applied", aStatus.m_applied.Get() },
          { "members", internal::MembersJson(aStatus) } });
    });
}

void ConfigurationApi::ChangeMembers(const std::string& aBody,
                                     ResponderPointer aResponder)
{
  const auto body = ParseObject(aBody);
  FieldErrors errors = body ? FieldErrors{} : body.error();
  std::optional<consensus::MembershipChange> change;
  InstanceId instance;
  std::optional<std::string> addedAddress;
  if (body) {
    JsonReader reader(*body, errors);
    const auto word = reader.RequiredText("change");
    instance = InstanceId(reader.RequiredText("instance"));
    if (word == "promote") {
      change = consensus::PromoteLearner{ instance };
    } else if (word == "remove") {
      change = consensus::RemoveMember{ instance };
    } else if (word == "add") {
      addedAddress = reader.RequiredText("address");
    } else {
      reader.RecordFault("change", "\"add\", \"promote\" or \"remove\"");
    }
  }
  if (!errors.empty()) {
    internal::SendRefusal(*aResponder, ErrorCode::BadRequest, Describe(errors));
    return;
  }
  const auto show =
    [this, responder = std::move(aResponder)](
      const tl::expected<void, consensus::RejectionReason>& aResult) {
      ShowChange(aResult, responder);
    };
  if (addedAddress) {
    m_ledger.AddMember(instance, *addedAddress, show);
  } else {
    m_ledger.ChangeMembership(*change, show);
  }
}

void ConfigurationApi::ShowChange(
  const tl::expected<void, consensus::RejectionReason>& aResult,
  const ResponderPointer& aResponder)
{
  if (aResult) {
    ShowMembers(aResponder);
  } else if (!consensus::IsNotRun(aResult.error())) {
    aResponder->Send(
      gateway::MakeErrorResponse(UnknownOutcomeError(ErrorCode::NoQuorum),
                                 consensus::ToString(aResult.error())));
  } else {
    const bool leader =
      aResult.error() != consensus::RejectionReason::NotLeader;
    internal::SendRefusal(*aResponder,
                          leader ? ErrorCode::Conflict : ErrorCode::NoQuorum,
                          consensus::ToString(aResult.error()));
  }
}

} // namespace auburntrestle::daemon
