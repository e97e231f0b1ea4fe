#include "auburntrestle/fleet/state.hpp"

#include "auburntrestle/core/release_memory.hpp"
#include "auburntrestle/fleet/job_memory.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

bool IsLargeBody(const std::string& aBody)
{
  return aBody.size() > kMaxInlineBodyBytes;
}

bool HasLargeBody(const JobItem& aItem)
{
  return IsLargeBody(aItem.m_body) ||
         (aItem.m_reward && IsLargeBody(aItem.m_reward->m_body));
}

} // namespace

State::State(OutputStore& aOutputs)
  : m_outputs(&aOutputs)
{
}

tl::expected<CommandResult, OutputStoreError> State::Apply(
  const Command& aCommand)
{
  return std::visit(
    [this](const auto& aBody) -> tl::expected<CommandResult, OutputStoreError> {
      return On(aBody);
    },
    aCommand);
}

tl::expected<ItemResult, OutputStoreError> State::Load(
  const StoredResult& aResult) const
{
  ItemResult result{
    aResult.m_id, aResult.m_state, {}, aResult.m_versions, aResult.m_score
  };
  if (aResult.m_output.m_bytes > 0) {
    auto output = m_outputs->Read(aResult.m_output);
    if (!output) {
      return tl::make_unexpected(output.error());
    }
    result.m_output = std::move(*output);
  }
  return result;
}

tl::expected<void, OutputStoreError> State::LoadBody(
  std::string& aBody,
  std::optional<OutputReference>& aStored) const
{
  if (!aStored) {
    return {};
  }
  auto bytes = m_outputs->Read(*aStored);
  if (!bytes) {
    return tl::make_unexpected(bytes.error());
  }
  aBody = std::move(*bytes);
  aStored.reset();
  return {};
}

std::optional<JobItem> State::Load(const JobId& aJob,
                                   const JobItem& aItem) const
{
  JobItem item = aItem;
  auto loaded = LoadBody(item.m_body, item.m_storedBody);
  if (loaded && item.m_reward) {
    loaded = LoadBody(item.m_reward->m_body, item.m_reward->m_storedBody);
  }
  if (!loaded) {
    observe::LogLine(observe::LogLevel::Error, "item_body_unreadable")
      .Add("job", aJob)
      .Add("item", aItem.m_id)
      .Add("file", loaded.error().m_file)
      .Add("error", loaded.error().m_systemError);
    return std::nullopt;
  }
  return item;
}

std::map<OutputSegment, std::uint64_t> State::OutputSegments() const
{
  std::map<OutputSegment, std::uint64_t> segments;
  const auto add = [&segments](const OutputReference& aReference) {
    if (aReference.m_bytes > 0) {
      auto& end = segments[aReference.m_segment];
      end = std::max(end, aReference.m_offset + aReference.m_bytes);
    }
  };
  for (const auto& [id, job] : m_jobs) {
    for (const auto& result : job.m_results) {
      add(result.m_output);
    }
    if (!job.m_spec) {
      continue;
    }
    for (const auto& item : job.m_spec->m_items) {
      add(item.m_storedBody.value_or(OutputReference{}));
      if (item.m_reward) {
        add(item.m_reward->m_storedBody.value_or(OutputReference{}));
      }
    }
  }
  return segments;
}

CommandResult State::On(const PutConfiguration& aCommand)
{
  if (aCommand.m_version > m_configuration.m_version) {
    m_configuration = { aCommand.m_version, aCommand.m_document };
  }
  return CommandResult::Done;
}

bool State::IsSuperseded(const BackendRecord& aRecord) const
{
  return std::any_of(
    m_backends.begin(), m_backends.end(), [&](const auto& aItem) {
      const BackendRecord& other = aItem.second;
      return other.m_address == aRecord.m_address &&
             other.m_id != aRecord.m_id &&
             other.m_incarnation > aRecord.m_incarnation;
    });
}

bool State::IsChange(const BackendRecord& aRecord) const
{
  const auto found = m_backends.find(aRecord.m_id);
  if (found != m_backends.end()) {
    const BackendRecord& current = found->second;
    if (aRecord.m_incarnation < current.m_incarnation) {
      return false;
    }
    if (aRecord.m_incarnation == current.m_incarnation &&
        (current.m_state == BackendState::Removed ||
         aRecord.m_sequence <= current.m_sequence ||
         current.HasSameRouting(aRecord))) {
      return false;
    }
  }
  return !IsSuperseded(aRecord);
}

bool State::IsChange(const AnnounceMember& aMember) const
{
  const auto found = m_members.find(aMember.m_instance);
  return found == m_members.end() ||
         found->second.m_machine != aMember.m_machine ||
         found->second.m_dataCentre != aMember.m_dataCentre;
}

CommandResult State::On(const AnnounceBackend& aCommand)
{
  const BackendRecord& record = aCommand.m_record;
  if (!IsChange(record)) {
    return CommandResult::Done;
  }
  // The address now belongs to this backend server.
  for (auto& [id, other] : m_backends) {
    if (other.m_address == record.m_address && id != record.m_id &&
        other.m_state != BackendState::Removed) {
      MarkRemoved(other);
    }
  }
  m_backends[record.m_id] = record;
  std::erase(m_removed, record.m_id);
  m_directory = m_directory.Next();
  return CommandResult::Done;
}

void State::MarkRemoved(BackendRecord& aRecord)
{
  aRecord.m_state = BackendState::Removed;
  m_removed.push_back(aRecord.m_id);
  if (m_removed.size() > kMaxRemoved) {
    m_backends.erase(m_removed.front());
    m_removed.pop_front();
  }
}

CommandResult State::On(const RemoveBackend& aCommand)
{
  const auto found = m_backends.find(aCommand.m_id);
  if (found == m_backends.end()) {
    return CommandResult::Done;
  }
  BackendRecord& record = found->second;
  const bool otherIncarnation = aCommand.m_incarnation != Incarnation() &&
                                aCommand.m_incarnation != record.m_incarnation;
  if (record.m_state != BackendState::Removed && !otherIncarnation) {
    MarkRemoved(record);
    m_directory = m_directory.Next();
  }
  return CommandResult::Done;
}

CommandResult State::On(const PublishWeights& aCommand)
{
  auto& newest = m_weights[aCommand.m_model];
  newest = std::max(newest, aCommand.m_version);
  return CommandResult::Done;
}

CommandResult State::On(const AnnounceMember& aCommand)
{
  // A machine has one instance: one at a new address replaces the old one.
  std::erase_if(m_members, [&](const auto& aItem) {
    return aItem.second.m_machine == aCommand.m_machine;
  });
  m_members[aCommand.m_instance] = { aCommand.m_machine,
                                     aCommand.m_dataCentre };
  return CommandResult::Done;
}

CommandResult State::On(const RetireMember& aCommand)
{
  if (m_retiring.contains(aCommand.m_machine)) {
    return CommandResult::Done;
  }
  if (InstancesOf(aCommand.m_machine).empty()) {
    return CommandResult::NotFound;
  }
  if (CountRemaining(aCommand) < aCommand.m_minRemaining) {
    return CommandResult::TooFewRemain;
  }
  m_retiring.insert(aCommand.m_machine);
  return CommandResult::Done;
}

std::size_t State::CountRemaining(const RetireMember& aCommand) const
{
  const auto& lost = aCommand.m_lost;
  return static_cast<std::size_t>(
    std::count_if(m_members.begin(), m_members.end(), [&](const auto& aItem) {
      const auto& [instance, record] = aItem;
      return record.m_machine != aCommand.m_machine &&
             !m_retiring.contains(record.m_machine) &&
             std::find(lost.begin(), lost.end(), instance) == lost.end();
    }));
}

Job& State::AddJob(std::shared_ptr<const JobSpec> aSpec, WallTime aAcceptedAt)
{
  Job job;
  job.m_id = aSpec->m_id;
  job.m_account = aSpec->m_account;
  job.m_acceptedAt = aAcceptedAt;
  job.m_total = aSpec->m_items.size();
  for (std::size_t index = 0; index < job.m_total; ++index) {
    job.m_itemIndex.emplace(aSpec->m_items[index].m_id, index);
  }
  job.m_hasResult.resize(job.m_total);
  job.m_memory = MemoryInState(*aSpec);
  m_jobMemory += job.m_memory;
  job.m_spec = std::move(aSpec);
  m_jobOrder.push_back(job.m_id);
  return m_jobs.insert_or_assign(job.m_id, std::move(job)).first->second;
}

void State::Close(Job& aJob)
{
  aJob.m_ended = true;
  // Only the results of an ended job are read.
  aJob.m_spec.reset();
  aJob.m_itemIndex = {};
  aJob.m_hasResult = {};
  aJob.m_progress = {};
  m_jobMemory -= aJob.m_memory;
  aJob.m_memory = MemoryOf(aJob.m_results);
  m_jobMemory += aJob.m_memory;
}

tl::expected<void, OutputStoreError> State::StoreBody(
  std::string& aBody,
  std::optional<OutputReference>& aStored)
{
  if (!IsLargeBody(aBody)) {
    return {};
  }
  const auto reference = m_outputs->Append(aBody);
  if (!reference) {
    return tl::make_unexpected(reference.error());
  }
  aStored = *reference;
  ReleaseMemory(aBody);
  return {};
}

tl::expected<JobItem, OutputStoreError> State::StoreBodies(const JobItem& aItem)
{
  JobItem item = aItem;
  auto stored = StoreBody(item.m_body, item.m_storedBody);
  if (stored && item.m_reward) {
    stored = StoreBody(item.m_reward->m_body, item.m_reward->m_storedBody);
  }
  if (!stored) {
    return tl::make_unexpected(stored.error());
  }
  return item;
}

tl::expected<CommandResult, OutputStoreError> State::On(
  const AcceptJob& aCommand)
{
  const JobSpec& given = aCommand.m_spec;
  if (const Job* known = FindJob(given.m_id)) {
    return known->m_account == given.m_account ? CommandResult::Done
                                               : CommandResult::Conflict;
  }
  // Bodies are needed until the job ends, outputs for longer.
  const bool storesBodies =
    std::any_of(given.m_items.begin(), given.m_items.end(), HasLargeBody);
  if (storesBodies) {
    m_outputs->EndSegment();
  }
  auto spec = std::make_shared<JobSpec>();
  spec->m_id = given.m_id;
  spec->m_host = given.m_host;
  spec->m_path = given.m_path;
  spec->m_model = given.m_model;
  spec->m_minVersion = given.m_minVersion;
  spec->m_targetGroups = given.m_targetGroups;
  spec->m_account = given.m_account;
  spec->m_items.reserve(given.m_items.size());
  for (const auto& item : given.m_items) {
    auto stored = StoreBodies(item);
    if (!stored) {
      return tl::make_unexpected(stored.error());
    }
    spec->m_items.push_back(std::move(*stored));
  }
  if (storesBodies) {
    m_outputs->EndSegment();
  }
  AddJob(std::move(spec), aCommand.m_acceptedAt);
  return CommandResult::Done;
}

tl::expected<CommandResult, OutputStoreError> State::On(
  const RecordResults& aCommand)
{
  for (const auto& part : aCommand.m_jobs) {
    const auto found = m_jobs.find(part.m_job);
    if (found == m_jobs.end() || found->second.m_ended) {
      continue;
    }
    for (const auto& result : part.m_results) {
      const auto& recorded = part.m_recordedOutputs;
      const bool isRecorded =
        std::find(recorded.begin(), recorded.end(), result.m_id) !=
        recorded.end();
      const auto stored = StoreResult(found->second, result, isRecorded);
      if (!stored) {
        return tl::make_unexpected(stored.error());
      }
    }
  }
  return CommandResult::Done;
}

tl::expected<void, OutputStoreError>
State::StoreResult(Job& aJob, const ItemResult& aResult, bool aIsRecorded)
{
  const auto index = aJob.m_itemIndex.find(aResult.m_id);
  if (index == aJob.m_itemIndex.end() || aJob.m_hasResult[index->second]) {
    return {};
  }
  const std::string* output = &aResult.m_output;
  const auto progress = aJob.m_progress.find(index->second);
  if (aIsRecorded) {
    if (progress == aJob.m_progress.end() || !progress->second.m_complete) {
      observe::LogLine(observe::LogLevel::Error, "result_without_output")
        .Add("job", aJob.m_id)
        .Add("item", aResult.m_id);
      return {};
    }
    output = &progress->second.m_output;
  }
  StoredResult stored{
    aResult.m_id, aResult.m_state, {}, aResult.m_versions, aResult.m_score
  };
  if (!output->empty()) {
    const auto reference = m_outputs->Append(*output);
    if (!reference) {
      return tl::make_unexpected(reference.error());
    }
    stored.m_output = *reference;
  }
  aJob.m_hasResult[index->second] = true;
  aJob.m_progress.erase(index->second);
  aJob.m_results.push_back(std::move(stored));
  return {};
}

CommandResult State::On(const EndJob& aCommand)
{
  const auto found = m_jobs.find(aCommand.m_job);
  if (found == m_jobs.end() || !found->second.IsVisibleTo(aCommand.m_account)) {
    return CommandResult::NotFound;
  }
  Close(found->second);
  return CommandResult::Done;
}

CommandResult State::On(const ForgetJobs& aCommand)
{
  for (const auto& id : aCommand.m_jobs) {
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
      m_jobMemory -= found->second.m_memory;
      m_jobs.erase(found);
      std::erase(m_jobOrder, id);
    }
  }
  return CommandResult::Done;
}

CommandResult State::On(const RecordProgress& aCommand)
{
  const auto found = m_jobs.find(aCommand.m_job);
  if (found == m_jobs.end() || found->second.m_ended) {
    return CommandResult::Done;
  }
  Job& job = found->second;
  for (const auto& item : aCommand.m_items) {
    const auto index = job.m_itemIndex.find(item.m_id);
    if (index == job.m_itemIndex.end() || job.m_hasResult[index->second]) {
      continue;
    }
    if (!item.m_after) {
      job.m_progress[index->second] = {};
    }
    const auto progress = job.m_progress.find(index->second);
    if (progress == job.m_progress.end() ||
        (item.m_after && progress->second.m_lastEvent != *item.m_after)) {
      continue;
    }
    progress->second.m_lastEvent = item.m_lastEvent;
    progress->second.m_output += item.m_output;
    progress->second.m_versions = item.m_versions;
    progress->second.m_complete = item.m_complete;
  }
  return CommandResult::Done;
}

CommandResult State::On(const RecordOrder& /*aCommand*/)
{
  // No state: StoreService uses the time at which it is applied.
  return CommandResult::Done;
}

CommandResult State::On(const RecordDutyLease& /*aCommand*/)
{
  // No state: StoreService uses the time at which it is applied.
  return CommandResult::Done;
}

CommandResult State::On(const RecordUsage& aCommand)
{
  if (aCommand.m_window < m_usage.m_firstOpen) {
    return CommandResult::Done;
  }
  auto& unreported = m_usage.m_unreported;
  unreported.emplace(aCommand.m_window, aCommand.m_counts);
  m_usage.m_firstOpen = aCommand.m_window.Next();
  if (unreported.size() > kMaxUsageWindows) {
    observe::LogLine(observe::LogLevel::Warning, "usage_window_dropped")
      .Add("window", unreported.begin()->first);
    unreported.erase(unreported.begin());
  }
  return CommandResult::Done;
}

CommandResult State::On(const CompleteUsage& aCommand)
{
  m_usage.m_unreported.erase(aCommand.m_window);
  m_usage.m_firstOpen = std::max(m_usage.m_firstOpen, aCommand.m_window.Next());
  return CommandResult::Done;
}

bool State::IsRetiringMachine(const std::string& aMachine) const
{
  return m_retiring.contains(aMachine);
}

bool State::IsRetiring(const InstanceId& aInstance) const
{
  const auto found = m_members.find(aInstance);
  return found != m_members.end() &&
         m_retiring.contains(found->second.m_machine);
}

std::vector<InstanceId> State::InstancesOf(const std::string& aMachine) const
{
  std::vector<InstanceId> instances;
  for (const auto& [instance, record] : m_members) {
    if (record.m_machine == aMachine) {
      instances.push_back(instance);
    }
  }
  return instances;
}

const Job* State::FindJob(const JobId& aId) const
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : &found->second;
}

} // namespace auburntrestle::fleet
