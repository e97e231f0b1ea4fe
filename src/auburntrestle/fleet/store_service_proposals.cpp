#include "auburntrestle/fleet/announcement_policy.hpp"
#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/job_memory.hpp"
#include "auburntrestle/fleet/store_service.hpp"
#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** @return the job that a command submits, if it does. */
std::optional<SubmittedJob> JobOf(const Command& aCommand)
{
  const auto* accept = std::get_if<AcceptJob>(&aCommand);
  return accept != nullptr
           ? std::optional(SubmittedJob{ accept->m_spec.m_id,
                                         MemoryInState(accept->m_spec) })
           : std::nullopt;
}

/** @return the outcome of a proposal for those who wait for it. */
tl::expected<CommandResult, LinkError> ResultOf(
  const tl::expected<CommandResult, ProposeError>& aProposed,
  bool aIsJob)
{
  if (aProposed) {
    return *aProposed;
  }
  if (aIsJob && aProposed.error() == ProposeError::NoRoom) {
    return CommandResult::NoRoom;
  }
  return tl::make_unexpected(aProposed.error() == ProposeError::OutcomeUnknown
                               ? LinkError::OutcomeUnknown
                               : LinkError::NotRun);
}

} // namespace

void StoreService::HandlePropose(std::string aPayload,
                                 const protocol::Reply& aReply)
{
  std::optional<SubmittedJob> job;
  {
    // Decoded in a scope of its own: a job can be large.
    const auto command = DecodeCommand(aPayload);
    if (!command) {
      LogLine(LogLevel::Warning, "command_unreadable")
        .Add("bytes", aPayload.size());
      aReply.Fail("unreadable");
      return;
    }
    if (const auto result = ResultWithoutEntry(*command)) {
      aReply.Send(Encode(ReplyBody(CommandReply{ *result })));
      return;
    }
    job = JobOf(*command);
    if (const auto* retirement = std::get_if<RetireMember>(&*command)) {
      aPayload = Encode(AddLostStores(*retirement));
    }
  }
  ProposeEncoded(
    std::move(aPayload),
    std::move(job),
    [this, aReply](const tl::expected<CommandResult, LinkError>& aResult) {
      if (aResult) {
        aReply.Send(Encode(ReplyBody(CommandReply{ *aResult })));
      } else if (aResult.error() == LinkError::NotRun) {
        RefuseCall(aReply);
      } else {
        aReply.Fail("outcome unknown");
      }
    });
}

std::optional<CommandResult> StoreService::ResultWithoutEntry(
  const Command& aCommand) const
{
  const auto* backend = std::get_if<AnnounceBackend>(&aCommand);
  if (backend != nullptr &&
      !AcceptsAnnouncement(
        backend->m_record, m_replica->GetState().Backends(), m_routes.get())) {
    LogLine(LogLevel::Warning, "announcement_refused")
      .Add("backend", backend->m_record.m_id)
      .Add("service", backend->m_record.m_service)
      .Add("address", backend->m_record.m_address);
    return CommandResult::NotFound;
  }
  return IsRepeated(aCommand) ? std::optional(CommandResult::Done)
                              : std::nullopt;
}

bool StoreService::IsRepeated(const Command& aCommand) const
{
  const State& state = m_replica->GetState();
  if (const auto* backend = std::get_if<AnnounceBackend>(&aCommand)) {
    return !state.IsChange(backend->m_record);
  }
  if (const auto* job = std::get_if<AcceptJob>(&aCommand)) {
    const Job* known = state.FindJob(job->m_spec.m_id);
    return known != nullptr && known->m_account == job->m_spec.m_account;
  }
  const auto* member = std::get_if<AnnounceMember>(&aCommand);
  return member != nullptr && !state.IsChange(*member);
}

void StoreService::ProposeLocally(const Command& aCommand,
                                  ProposalCallback aCallback)
{
  const auto result =
    m_replica->IsLeading() ? ResultWithoutEntry(aCommand) : std::nullopt;
  if (result) {
    aCallback(*result);
    return;
  }
  const auto* retirement = std::get_if<RetireMember>(&aCommand);
  ProposeEncoded(retirement != nullptr ? Encode(AddLostStores(*retirement))
                                       : Encode(aCommand),
                 JobOf(aCommand),
                 std::move(aCallback));
}

Command StoreService::AddLostStores(RetireMember aCommand) const
{
  aCommand.m_lost = m_replica->FindLostStores();
  LogLine(LogLevel::Info, "retirement_requested")
    .Add("machine", aCommand.m_machine)
    .Add("lost_stores", aCommand.m_lost.size());
  return aCommand;
}

bool StoreService::TryStartReplication(const SubmittedJob& aJob,
                                       std::size_t aBytes)
{
  const RequestLimits& limits = m_options.m_requestLimits;
  const std::size_t stored =
    m_replica->GetState().JobMemory() + m_replicatedJobMemory + aJob.m_memory;
  if (m_replicatedJobBytes + aBytes > limits.m_replicatedJobBytes ||
      stored > limits.m_storedJobBytes) {
    LogLine(LogLevel::Warning, "job_without_room")
      .Add("job", aJob.m_id)
      .Add("bytes", aBytes)
      .Add("replicated", m_replicatedJobBytes)
      .Add("limit", limits.m_replicatedJobBytes)
      .Add("stored", stored)
      .Add("stored_limit", limits.m_storedJobBytes);
    return false;
  }
  m_replicatedJobs.try_emplace(aJob.m_id);
  m_replicatedJobBytes += aBytes;
  m_replicatedJobMemory += aJob.m_memory;
  return true;
}

void StoreService::FinishReplication(
  const SubmittedJob& aJob,
  std::size_t aBytes,
  const tl::expected<CommandResult, LinkError>& aResult)
{
  m_replicatedJobBytes -= aBytes;
  m_replicatedJobMemory -= aJob.m_memory;
  const auto waiting = m_replicatedJobs.extract(aJob.m_id);
  for (const auto& callback : waiting.mapped()) {
    callback(aResult);
  }
}

void StoreService::ProposeEncoded(SharedBytes aCommand,
                                  std::optional<SubmittedJob> aJob,
                                  ProposalCallback aCallback)
{
  const std::size_t bytes = aCommand.size();
  if (aJob) {
    const auto replicated = m_replicatedJobs.find(aJob->m_id);
    if (replicated != m_replicatedJobs.end()) {
      replicated->second.push_back(std::move(aCallback));
      return;
    }
    if (!TryStartReplication(*aJob, bytes)) {
      aCallback(CommandResult::NoRoom);
      return;
    }
  }
  const TimePoint started = MonotonicClock::Now();
  m_replica->Propose(
    std::move(aCommand),
    [this,
     started,
     bytes,
     job = std::move(aJob),
     callback = std::move(aCallback)](
      const tl::expected<CommandResult, ProposeError>& aProposed) {
      m_options.m_instruments->Count(observe::counters::kProposals,
                                     aProposed ? "applied" : "failed");
      m_options.m_instruments->ObserveDuration(observe::histograms::kCommitTime,
                                               aProposed ? "applied" : "failed",
                                               MonotonicClock::Now() - started);
      const auto result = ResultOf(aProposed, job.has_value());
      if (job) {
        FinishReplication(*job, bytes, result);
      }
      callback(result);
    });
}

} // namespace auburntrestle::fleet
