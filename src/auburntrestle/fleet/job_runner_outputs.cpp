#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/observe/log.hpp"

#include <set>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Only texts that would take long to generate again are recorded before they
 * are whole, each time after this many further events. */
constexpr std::uint64_t kRecordFromEvents = 30;
constexpr std::uint64_t kRecordEveryEvents = 20;

} // namespace

JobRunner::ItemPtr JobRunner::MakeItem(const std::shared_ptr<RunningJob>& aJob,
                                       std::size_t aIndex,
                                       const Job& aRecord)
{
  auto item = std::make_shared<Item>(m_protocol.m_versionField);
  item->m_job = aJob;
  item->m_index = aIndex;
  const auto recorded = aRecord.m_progress.find(aIndex);
  if (recorded != aRecord.m_progress.end()) {
    item->m_transcript.Restore(recorded->second);
    item->m_recordedEvent = recorded->second.m_lastEvent;
    item->m_recordedBytes = recorded->second.m_text.size();
  }
  return item;
}

bool JobRunner::TakeCarried(const ItemPtr& aItem)
{
  const JobSpec& spec = *aItem->m_job->m_spec;
  const JobItem& item = spec.m_items[aItem->m_index];
  const Route* route =
    m_routes ? m_routes->Match(spec.m_host, item.m_path) : nullptr;
  const bool single = route == nullptr || route->m_singleVersion;
  auto carried =
    m_carried.Take(item, spec.m_minVersion, single, MonotonicClock::Now());
  if (!carried || aItem->m_transcript.LastEvent()) {
    return false;
  }
  LogLine(LogLevel::Info, "item_carried")
    .Add("job", spec.m_id)
    .Add("item", item.m_id)
    .Add("after_event", carried->m_text.m_lastEvent)
    .Add("finished", carried->m_finished);
  aItem->m_transcript.Restore(carried->m_text);
  if (carried->m_finished) {
    Finish(aItem, ItemState::Completed);
  }
  return carried->m_finished;
}

void JobRunner::KeepIncompleteGroups(const RunningJob& aJob)
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
    if (item->m_wholeText) {
      m_carried.Keep(spec, { *item->m_wholeText, true }, now);
    } else if (const auto text = item->m_transcript.Text()) {
      m_carried.Keep(spec, { *text, false }, now);
    }
  }
}

void JobRunner::RecordProgressOf(RunningJob& aJob)
{
  RecordProgress command;
  for (const auto& item : aJob.m_items) {
    const auto last = item->m_transcript.LastEvent();
    if (item->m_done || !last || *last < kRecordFromEvents ||
        *last < item->m_recordedEvent.value_or(0) + kRecordEveryEvents) {
      continue;
    }
    const auto& output = item->m_transcript.Output();
    command.m_items.push_back(
      ItemProgress{ aJob.m_spec->m_items[item->m_index].m_id,
                    item->m_recordedEvent,
                    *last,
                    output.substr(item->m_recordedBytes),
                    item->m_transcript.Versions() });
    item->m_recordedEvent = last;
    item->m_recordedBytes = output.size();
  }
  if (!command.m_items.empty()) {
    command.m_job = aJob.m_spec->m_id;
    // A record that is lost leaves a gap, after which none fits any more; the
    // text is then generated again by the next leader.
    m_propose(command, [](bool) {});
  }
}

} // namespace auburntrestle::fleet
