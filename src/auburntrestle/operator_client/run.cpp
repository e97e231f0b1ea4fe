#include "auburntrestle/operator_client/run.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/operator_client/edit.hpp"
#include "auburntrestle/operator_client/explain.hpp"
#include "auburntrestle/operator_client/in_force_wait.hpp"
#include "auburntrestle/operator_client/render.hpp"
#include "auburntrestle/operator_client/request_sender.hpp"
#include "auburntrestle/operator_client/table.hpp"

#include <curl/curl.h>

#include <memory>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

using Renderer = RenderResult (*)(const nlohmann::json&);

std::string ErrorsToJson(const settings::ValidationErrors& aErrors)
{
  auto list = nlohmann::json::array();
  for (const auto& error : aErrors) {
    list.push_back({ { "file", error.m_file },
                     { "line", error.m_line },
                     { "key", error.m_key },
                     { "kind", settings::ToString(error.m_kind) },
                     { "given", error.m_given },
                     { "allowed", error.m_allowed } });
  }
  return nlohmann::json{
    { "valid", aErrors.empty() }, { "errors", std::move(list) }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EscapeQueryValue(const std::string& aText)
{
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
    curl_easy_escape(nullptr, aText.c_str(), static_cast<int>(aText.size())),
    &curl_free);
  return escaped ? std::string(escaped.get()) : std::string();
}

/** Visitor that executes one command. */
class Runner
{
public:
  Runner(const Invocation& aInvocation, const RunContext& aContext)
    : m_invocation(aInvocation)
    , m_context(aContext)
  {
  }

  ExitCode operator()(const ValidateCommand& aCommand)
  {
    const auto errors = ValidatePaths(aCommand.m_paths, aCommand.m_sites);
    if (m_invocation.m_json) {
      m_context.m_output << ErrorsToJson(errors) << "\n";
    } else {
      m_context.m_output << (errors.empty() ? std::string("valid\n")
                                            : settings::FormatErrors(errors));
    }
    return errors.empty() ? ExitCode::Success : ExitCode::InvalidInput;
  }

  ExitCode operator()(const ExplainCommand& aCommand)
  {
    const auto explanation = Explain(aCommand.m_id, aCommand.m_folder);
    if (!explanation) {
      m_context.m_errors << explanation.error().m_message << "\n";
      return ExitCode::InvalidInput;
    }
    m_context.m_output << (m_invocation.m_json
                             ? ExplanationAsJson(*explanation) + "\n"
                             : RenderExplanation(*explanation));
    return ExitCode::Success;
  }

  ExitCode operator()(const ApplyCommand& aCommand)
  {
    const auto edit = ReadEdit(aCommand.m_file);
    if (!edit) {
      if (m_invocation.m_json) {
        m_context.m_output << ErrorsToJson(edit.error()) << "\n";
      }
      m_context.m_errors << settings::FormatErrors(edit.error());
      return ExitCode::InvalidInput;
    }
    auto sender = MakeSender();
    if (!sender) {
      return ReportFailure(sender.error());
    }
    const auto response = sender->Send(Request{
      "POST", "/v1/config", edit->ToJson(), ResendPolicy::Allowed, {} });
    if (!response) {
      const ExitCode code = ReportFailure(response.error());
      ReportFailedEdit(response.error(), *edit);
      return code;
    }
    const ExitCode exitCode = Show(*response, &RenderAccepted);
    if (exitCode != ExitCode::Success || !aCommand.m_wait) {
      return exitCode;
    }
    return Wait(*sender,
                Revision(response->m_json["revision"].get<std::uint64_t>()),
                aCommand);
  }

  ExitCode operator()(const ShowConfigurationCommand& aCommand)
  {
    const std::string& site = aCommand.m_site.Get();
    return GetAndShow("/v1/config" +
                        (site.empty() ? "" : "?site=" + EscapeQueryValue(site)),
                      &RenderConfiguration);
  }
  ExitCode operator()(const ShowHistoryCommand&)
  {
    return GetAndShow("/v1/config/history", &RenderHistory);
  }
  ExitCode operator()(const ShowStatusCommand&)
  {
    return GetAndShow("/v1/status", &RenderStatus);
  }
  ExitCode operator()(const ShowBackendsCommand&)
  {
    return GetAndShow("/v1/backends", &RenderBackends);
  }
  ExitCode operator()(const ShowReportCommand&)
  {
    return GetAndShow("/v1/report", &RenderReport);
  }
  ExitCode operator()(const ShowMembersCommand&)
  {
    return GetAndShow("/v1/members", &RenderMembers);
  }
  ExitCode operator()(const DrainCommand&)
  {
    return SendAndShow({ "POST", "/v1/drain", "", ResendPolicy::Forbidden, {} },
                       &RenderDrain);
  }
  ExitCode operator()(const ChangeMembersCommand& aCommand)
  {
    const nlohmann::json body{ { "change", ToString(aCommand.m_change) },
                               { "instance", aCommand.m_instance.Get() },
                               { "address", aCommand.m_address } };
    return SendAndShow(
      { "POST",
        "/v1/members",
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        ResendPolicy::Forbidden,
        {} },
      &RenderMemberChange);
  }

private:
  [[nodiscard]] tl::expected<RequestSender, RequestFailure> MakeSender() const
  {
    SenderOptions options;
    options.m_targets = m_invocation.m_targets;
    options.m_requestTimeout = m_invocation.m_requestTimeout;
    return RequestSender::Create(std::move(options));
  }

  ExitCode GetAndShow(const std::string& aPath, Renderer aRenderer)
  {
    return SendAndShow({ "GET", aPath, "", ResendPolicy::Allowed, {} },
                       aRenderer);
  }

  ExitCode SendAndShow(const Request& aRequest, Renderer aRenderer)
  {
    auto sender = MakeSender();
    if (!sender) {
      return ReportFailure(sender.error());
    }
    const auto response = sender->Send(aRequest);
    return response ? Show(*response, aRenderer)
                    : ReportFailure(response.error());
  }

  /** Prints a response. It is also validated with --json, so that the exit code
   * does not depend on the output format. */
  ExitCode Show(const Response& aResponse, Renderer aRenderer)
  {
    const auto text = aRenderer(aResponse.m_json);
    if (!text) {
      return ReportFailure(MakeBadResponse(text.error().m_reason));
    }
    if (m_invocation.m_json) {
      m_context.m_output << aResponse.m_body << "\n";
    } else {
      m_context.m_output << *text;
    }
    return ExitCode::Success;
  }

  ExitCode ReportFailure(const RequestFailure& aFailure)
  {
    if (m_invocation.m_json) {
      m_context.m_output << aFailure.ToJson() << "\n";
    }
    m_context.m_errors << "error: " << PrintableText(aFailure.m_code) << " ("
                       << ToString(aFailure.m_outcome)
                       << "): " << PrintableText(aFailure.m_message) << "\n";
    if (!aFailure.m_kind.empty()) {
      m_context.m_errors << "conflict: " << PrintableText(aFailure.m_kind);
      if (aFailure.m_current) {
        m_context.m_errors << ", current number " << *aFailure.m_current;
      }
      if (!aFailure.m_detail.empty()) {
        m_context.m_errors << ", accepted digest "
                           << PrintableText(aFailure.m_detail);
      }
      m_context.m_errors << "\n";
    }
    return aFailure.m_exitCode;
  }

  void ReportFailedEdit(const RequestFailure& aFailure, const Edit& aEdit)
  {
    const std::string& site = aEdit.m_site.Get();
    m_context.m_errors << "edit: " << (site.empty() ? "base" : "site " + site)
                       << ", number " << aEdit.m_number << ", digest "
                       << aEdit.m_digest << "\n";
    if (aFailure.m_outcome == Outcome::Unknown) {
      m_context.m_errors << "The edit may have been accepted. Running the same "
                            "command again is safe: it sends the same edit id "
                         << aEdit.m_id << ".\n";
    }
  }

  ExitCode Wait(RequestSender& aSender,
                Revision aRevision,
                const ApplyCommand& aCommand)
  {
    const auto result = WaitUntilInForce(
      aSender,
      InForceWaitOptions{
        aRevision, aCommand.m_timeout, m_context.m_pollInterval },
      m_context.m_errors);
    if (result.m_status) {
      m_context.m_output << (m_invocation.m_json
                               ? result.m_status->m_body + "\n"
                               : result.m_status->Render(aRevision));
    }
    if (result.m_inForce) {
      return ExitCode::Success;
    }
    m_context.m_errors << "error: revision " << aRevision
                       << " was accepted, but is not in force on all live "
                          "instances after "
                       << aCommand.m_timeout.count() << " ms\n";
    if (result.m_failure) {
      m_context.m_errors << "last poll: "
                         << PrintableText(result.m_failure->m_code) << ": "
                         << PrintableText(result.m_failure->m_message) << "\n";
    }
    return ExitCode::WaitTimedOut;
  }

  const Invocation& m_invocation;
  const RunContext& m_context;
};

} // namespace internal

ExitCode Run(const Invocation& aInvocation, const RunContext& aContext)
{
  internal::Runner runner(aInvocation, aContext);
  return std::visit(runner, aInvocation.m_command);
}

} // namespace auburntrestle::operator_client
