#ifndef AUBURNTRESTLE_FLEET_INTERNAL_FIELDS_HPP
#define AUBURNTRESTLE_FLEET_INTERNAL_FIELDS_HPP

#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/pack.hpp"

namespace auburntrestle::protocol {

template<>
inline constexpr fleet::BackendState kLastValue<fleet::BackendState> =
  fleet::BackendState::Removed;
template<>
inline constexpr fleet::ItemState kLastValue<fleet::ItemState> =
  fleet::ItemState::Lost;
template<>
inline constexpr fleet::CommandResult kLastValue<fleet::CommandResult> =
  fleet::CommandResult::NoRoom;
template<>
inline constexpr fleet::Retirement kLastValue<fleet::Retirement> =
  fleet::Retirement::Completed;

void Fields(auto& aArchive,
            MaybeConst<std::pair<std::string, std::string>> auto& aPair)
{
  aArchive(aPair.first, aPair.second);
}

void Fields(auto& aArchive, MaybeConst<fleet::BackendRecord> auto& aRecord)
{
  aArchive(aRecord.m_id,
           aRecord.m_service,
           aRecord.m_address,
           aRecord.m_dataCentre,
           aRecord.m_slots,
           aRecord.m_state,
           aRecord.m_incarnation,
           aRecord.m_sequence,
           Appended{ aRecord.m_preemptible },
           Appended{ aRecord.m_software });
}

void Fields(auto& aArchive, MaybeConst<fleet::OutputReference> auto& aReference)
{
  aArchive(aReference.m_segment, aReference.m_offset, aReference.m_bytes);
}

void Fields(auto& aArchive, MaybeConst<fleet::RewardCall> auto& aCall)
{
  aArchive(aCall.m_id,
           aCall.m_host,
           aCall.m_path,
           aCall.m_body,
           Appended{ aCall.m_storedBody });
}

void Fields(auto& aArchive, MaybeConst<fleet::JobItem> auto& aItem)
{
  aArchive(aItem.m_id,
           aItem.m_path,
           aItem.m_headers,
           aItem.m_body,
           aItem.m_group,
           aItem.m_expectedTokens,
           Appended{ aItem.m_reward },
           Appended{ aItem.m_storedBody });
}

void Fields(auto& aArchive, MaybeConst<fleet::JobSpec> auto& aSpec)
{
  aArchive(aSpec.m_id,
           aSpec.m_host,
           aSpec.m_path,
           aSpec.m_model,
           aSpec.m_minVersion,
           aSpec.m_targetGroups,
           aSpec.m_items,
           Appended{ aSpec.m_account });
}

void Fields(auto& aArchive, MaybeConst<fleet::ItemResult> auto& aResult)
{
  aArchive(aResult.m_id,
           aResult.m_state,
           aResult.m_output,
           aResult.m_versions,
           Appended{ aResult.m_score });
}

void Fields(auto& aArchive, MaybeConst<fleet::PutConfiguration> auto& aCommand)
{
  aArchive(aCommand.m_version, aCommand.m_document);
}

void Fields(auto& aArchive, MaybeConst<fleet::AnnounceBackend> auto& aCommand)
{
  aArchive(aCommand.m_record);
}

void Fields(auto& aArchive, MaybeConst<fleet::RemoveBackend> auto& aCommand)
{
  aArchive(aCommand.m_id, aCommand.m_incarnation);
}

void Fields(auto& aArchive, MaybeConst<fleet::PublishWeights> auto& aCommand)
{
  aArchive(aCommand.m_model, aCommand.m_version);
}

void Fields(auto& aArchive, MaybeConst<fleet::AnnounceMember> auto& aCommand)
{
  aArchive(aCommand.m_instance, aCommand.m_machine, aCommand.m_dataCentre);
}

void Fields(auto& aArchive, MaybeConst<fleet::RetireMember> auto& aCommand)
{
  aArchive(
    aCommand.m_machine, aCommand.m_minRemaining, Appended{ aCommand.m_lost });
}

void Fields(auto& aArchive, MaybeConst<fleet::AcceptJob> auto& aCommand)
{
  aArchive(aCommand.m_spec, aCommand.m_acceptedAt);
}

void Fields(auto& aArchive, MaybeConst<fleet::JobResults> auto& aResults)
{
  aArchive(
    aResults.m_job, aResults.m_results, Appended{ aResults.m_recordedOutputs });
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordResults> auto& aCommand)
{
  aArchive(aCommand.m_jobs);
}

void Fields(auto& aArchive, MaybeConst<fleet::ItemProgress> auto& aItem)
{
  aArchive(aItem.m_id,
           aItem.m_after,
           aItem.m_lastEvent,
           aItem.m_output,
           aItem.m_versions,
           Appended{ aItem.m_complete },
           Appended{ aItem.m_software });
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordProgress> auto& aCommand)
{
  aArchive(aCommand.m_job, aCommand.m_items);
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordOrder> auto& aCommand)
{
  aArchive(aCommand.m_engine, aCommand.m_model, aCommand.m_version);
}

void Fields(auto& aArchive, MaybeConst<fleet::StoredResult> auto& aResult)
{
  aArchive(aResult.m_id,
           aResult.m_state,
           aResult.m_output,
           aResult.m_versions,
           Appended{ aResult.m_score });
}

void Fields(auto& aArchive, MaybeConst<fleet::OutputChunk> auto& aChunk)
{
  aArchive(aChunk.m_segment, aChunk.m_offset, aChunk.m_bytes, aChunk.m_last);
}

void Fields(auto& aArchive, MaybeConst<fleet::PartialOutput> auto& aOutput)
{
  aArchive(aOutput.m_lastEvent,
           aOutput.m_output,
           aOutput.m_versions,
           Appended{ aOutput.m_complete },
           Appended{ aOutput.m_software });
}

void Fields(auto& aArchive, MaybeConst<fleet::EndJob> auto& aCommand)
{
  aArchive(aCommand.m_job, Appended{ aCommand.m_account });
}

void Fields(auto& aArchive, MaybeConst<fleet::ForgetJobs> auto& aCommand)
{
  aArchive(aCommand.m_jobs);
}

void Fields(auto& aArchive, MaybeConst<fleet::ReadJob> auto& aQuery)
{
  aArchive(
    aQuery.m_job, aQuery.m_after, aQuery.m_wait, Appended{ aQuery.m_account });
}

void Fields(auto& aArchive, MaybeConst<fleet::ReadItem> auto& aQuery)
{
  aArchive(aQuery.m_job, aQuery.m_item, Appended{ aQuery.m_account });
}

void Fields(auto& aArchive,
            MaybeConst<fleet::ReadConfiguration> auto& /*aQuery*/)
{
  aArchive();
}

void Fields(auto& aArchive, MaybeConst<fleet::ReadRetirement> auto& aQuery)
{
  aArchive(aQuery.m_machine);
}

void Fields(auto& aArchive, MaybeConst<fleet::Watch> auto& aQuery)
{
  aArchive(aQuery.m_configuration,
           aQuery.m_term,
           aQuery.m_directory,
           Appended{ aQuery.m_versionsOnly });
}

void Fields(auto& aArchive, MaybeConst<fleet::RequestPermit> auto& aQuery)
{
  aArchive(
    aQuery.m_backend.m_id, aQuery.m_backend.m_incarnation, aQuery.m_limit);
}

void Fields(auto& aArchive, MaybeConst<fleet::SubmitUsage> auto& aQuery)
{
  aArchive(aQuery.m_instance,
           aQuery.m_incarnation,
           aQuery.m_sequence,
           aQuery.m_counts);
}

void Fields(auto& aArchive, MaybeConst<fleet::UsageView> auto& aView)
{
  aArchive(aView.m_firstOpen, Appended{ aView.m_term });
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordDutyLease> auto& aCommand)
{
  aArchive(aCommand.m_term, aCommand.m_holder);
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordUsage> auto& aCommand)
{
  aArchive(aCommand.m_window, aCommand.m_counts);
}

void Fields(auto& aArchive, MaybeConst<fleet::CompleteUsage> auto& aCommand)
{
  aArchive(aCommand.m_window);
}

void Fields(auto& aArchive, MaybeConst<fleet::StreamOrigin> auto& aOrigin)
{
  aArchive(aOrigin.m_service, aOrigin.m_software);
}

void Fields(auto& aArchive, MaybeConst<fleet::StreamRecord> auto& aStream)
{
  aArchive(aStream.m_id, aStream.m_origin, aStream.m_at);
}

void Fields(auto& aArchive, MaybeConst<fleet::RecordStream> auto& aCommand)
{
  aArchive(aCommand.m_stream);
}

void Fields(auto& aArchive, MaybeConst<fleet::ReadStream> auto& aQuery)
{
  aArchive(aQuery.m_id);
}

void Fields(auto& aArchive, MaybeConst<fleet::StreamView> auto& aView)
{
  aArchive(aView.m_origin);
}

void Fields(auto& aArchive, MaybeConst<fleet::UsageState> auto& aState)
{
  aArchive(aState.m_firstOpen, aState.m_unreported);
}

void Fields(auto& aArchive, MaybeConst<fleet::PermitView> auto& aView)
{
  aArchive(aView.m_granted, aView.m_retryAfter);
}

void Fields(auto& aArchive, MaybeConst<fleet::LeaderNotice> auto& aNotice)
{
  aArchive(aNotice.m_term, aNotice.m_leader, aNotice.m_members);
}

void Fields(auto& aArchive, MaybeConst<fleet::CommandReply> auto& aReply)
{
  aArchive(aReply.m_result);
}

void Fields(auto& aArchive, MaybeConst<fleet::JobView> auto& aView)
{
  aArchive(aView.m_exists, aView.m_total, aView.m_next, aView.m_results);
}

void Fields(auto& aArchive, MaybeConst<fleet::ItemView> auto& aView)
{
  aArchive(aView.m_body);
}

void Fields(auto& aArchive, MaybeConst<fleet::ConfigurationView> auto& aView)
{
  aArchive(aView.m_version, aView.m_document);
}

void Fields(auto& aArchive, MaybeConst<fleet::RetirementView> auto& aView)
{
  aArchive(aView.m_state);
}

void Fields(auto& aArchive, MaybeConst<fleet::Relay> auto& aRelay)
{
  aArchive(aRelay.m_instance, aRelay.m_dataCentre);
}

void Fields(auto& aArchive, MaybeConst<fleet::DirectoryView> auto& aView)
{
  aArchive(aView.m_term,
           aView.m_directory,
           aView.m_configuration,
           aView.m_backends,
           aView.m_members,
           Appended{ aView.m_newestConfiguration },
           Appended{ aView.m_confirmationAge },
           Appended{ aView.m_relays },
           Appended{ aView.m_wallTime });
}

} // namespace auburntrestle::protocol

#endif
