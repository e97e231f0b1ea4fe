#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/observe/log.hpp"

#include <set>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Partial outputs are recorded from this many events on; shorter ones are
 * quick to generate again. */
constexpr std::uint64_t kMinRecordedEvents = 30;
/** Number of further events between two records of an item. */
constexpr std::uint64_t kRecordIntervalEvents = 20;

} // namespace

JobRunner::ItemPtr JobRunner::MakeItem(const std::shared_ptr<RunningJob>& aJob,
                                       std::size_t aIndex,
                                       const Job& aRecord)
{
  auto item = std::make_shared<Item>(m_protocol.m_versionField);
  item->m_job = aJob;
  item->m_index = aIndex;
  item->m_waitsSince = MonotonicClock::Now();
  auto& group = aJob->m_groups[item->Spec().m_group];
  if (!group) {
    group = std::make_shared<RewardGroup>();
    group->m_jobAcceptedAt = aJob->m_acceptedAt;
  }
  ++group->m_unfinishedItems;
  const auto recorded = aRecord.m_progress.find(aIndex);
  if (recorded == aRecord.m_progress.end()) {
    return item;
  }
  if (recorded->second.m_complete) {
    item->m_completeOutput = recorded->second;
    item->m_completeOutputRecorded = true;
    return item;
  }
  item->m_transcript.Restore(recorded->second);
  item->m_recordedEvent = recorded->second.m_lastEvent;
  item->m_recordedBytes = recorded->second.m_output.size();
  return item;
}

std::optional<PartialOutput> JobRunner::FindCompleteOutput(Item& aItem)
{
  if (aItem.m_completeOutput) {
    return aItem.m_completeOutput;
  }
  auto cached = ExtractFromCache(aItem);
  if (!cached || aItem.m_transcript.LastEvent()) {
    return std::nullopt;
  }
  PartialOutput& output = cached->m_progress;
  LogLine(LogLevel::Info, "item_carried")
    .Add("job", aItem.m_job->m_spec->m_id)
    .Add("item", aItem.Spec().m_id)
    .Add("after_event", output.m_lastEvent)
    .Add("finished", output.m_complete)
    .Add("scored", cached->m_score.has_value());
  if (!output.m_complete) {
    aItem.m_transcript.Restore(output);
    return std::nullopt;
  }
  aItem.m_score = std::move(cached->m_score);
  return std::move(output);
}

std::optional<CachedOutput> JobRunner::ExtractFromCache(const Item& aItem)
{
  const JobSpec& spec = *aItem.m_job->m_spec;
  const Route* route =
    m_routes ? m_routes->Match(spec.m_host, aItem.Spec().m_path) : nullptr;
  const bool single = route == nullptr || route->m_singleVersion;
  return m_cache.Extract(
    aItem.Spec(), spec.m_minVersion, single, MonotonicClock::Now());
}

void JobRunner::CacheIncompleteGroups(const RunningJob& aJob)
{
  std::set<GroupId> incomplete;
  for (const auto& item : aJob.m_items) {
    if (!item->m_done) {
      incomplete.insert(aJob.m_spec->m_items[item->m_index].m_group);
    }
  }
  const TimePoint now = MonotonicClock::Now();
  for (const auto& item : aJob.m_items) {
    const JobItem& spec = aJob.m_spec->m_items[item->m_index];
    if (!incomplete.contains(spec.m_group)) {
      continue;
    }
    if (item->m_completeOutput) {
      m_cache.Add(spec, { *item->m_completeOutput, item->m_score }, now);
    } else if (auto output = item->m_transcript.ToPartialOutput()) {
      m_cache.Add(spec, { std::move(*output) }, now);
    }
  }
}

void JobRunner::ProposeProgress(RunningJob& aJob)
{
  RecordProgress command;
  for (const auto& item : aJob.m_items) {
    const auto last = item->m_transcript.LastEvent();
    if (item->m_done || !last || *last < kMinRecordedEvents ||
        *last < item->m_recordedEvent.value_or(0) + kRecordIntervalEvents) {
      continue;
    }
    const auto& output = item->m_transcript.Output();
    command.m_items.push_back(ItemProgress{
      aJob.m_spec->m_items[item->m_index].m_id,
      item->m_recordedEvent,
      *last,
      output.substr(item->m_recordedBytes),
      item->m_transcript.Versions(),
      false,
      item->m_transcript.Software().value_or(SoftwareVersion()) });
    item->m_recordedEvent = last;
    item->m_recordedBytes = output.size();
  }
  if (!command.m_items.empty()) {
    command.m_job = aJob.m_spec->m_id;
    // A lost record leaves a gap: all later records of the item are ignored,
    // and the next leader generates the output after the gap again.
    m_propose(command, [](bool) {});
  }
}

} // namespace auburntrestle::fleet
