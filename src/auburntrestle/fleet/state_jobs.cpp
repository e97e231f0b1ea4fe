#include "auburntrestle/core/release_memory.hpp"
#include "auburntrestle/fleet/job_memory.hpp"
#include "auburntrestle/fleet/state.hpp"
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
    progress->second.m_software = item.m_software;
  }
  return CommandResult::Done;
}

const Job* State::FindJob(const JobId& aId) const
{
  const auto found = m_jobs.find(aId);
  return found == m_jobs.end() ? nullptr : &found->second;
}

} // namespace auburntrestle::fleet
