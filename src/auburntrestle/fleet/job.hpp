#ifndef AUBURNTRESTLE_FLEET_JOB_HPP
#define AUBURNTRESTLE_FLEET_JOB_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/output_store.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

/** A batch job, as its trainer names it. */
using JobId = StrongType<struct JobIdTag, std::string>;
/** One request of a batch job; repeats in a later job after a short step. */
using ItemId = StrongType<struct ItemIdTag, std::string>;
/** The prompt that several items share. */
using GroupId = StrongType<struct GroupIdTag, std::string>;

/** Milliseconds since the Unix epoch. */
using WallTime = std::chrono::duration<std::int64_t, std::milli>;

/** @return the present time of day of this machine. */
[[nodiscard]] inline WallTime WallNow()
{
  return std::chrono::duration_cast<WallTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

/** One request of a batch job. */
struct JobItem
{
  ItemId m_id;
  std::string m_path;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  GroupId m_group;
  /** The output tokens that its trainer expects, or 0. */
  std::uint64_t m_expectedTokens = 0;
};

/** A batch job as submitted. */
struct JobSpec
{
  JobId m_id;
  /** Selects the route, together with the path. */
  std::string m_host;
  std::string m_path;
  std::optional<ModelName> m_model;
  /** The oldest version of the weights that may generate its tokens. */
  WeightVersion m_minVersion;
  /** Complete groups that the trainer waits for; 0 for all. */
  std::uint32_t m_targetGroups = 0;
  std::vector<JobItem> m_items;
};

/** How an item ended. */
enum class ItemState : std::uint8_t
{
  Completed,
  Lost,
};

/** The result of one item. */
struct ItemResult
{
  ItemId m_id;
  ItemState m_state = ItemState::Completed;
  /** The data of all events, separated by line feeds. */
  std::string m_output;
  /** The weight versions that generated the events, ascending. */
  std::vector<WeightVersion> m_versions;
};

/** The result of one item, with its output in the text store. */
struct StoredResult
{
  ItemId m_id;
  ItemState m_state = ItemState::Completed;
  OutputReference m_output;
  std::vector<WeightVersion> m_versions;
};

/** The text that was generated so far for an item. */
struct PartialOutput
{
  std::uint64_t m_lastEvent = 0;
  /** The data of all events, separated by line feeds. */
  std::string m_text;
  /** The weight versions that generated it, ascending. */
  std::vector<WeightVersion> m_versions;
};

/** An accepted batch job. */
struct Job
{
  JobId m_id;
  /** Released when the job has ended. */
  std::shared_ptr<const JobSpec> m_spec;
  /** The number of items. */
  std::size_t m_total = 0;
  /** When the job was accepted, by the clock of the leader of that time. */
  WallTime m_acceptedAt{};
  /** In the order in which they are shown; a position never changes. */
  std::vector<StoredResult> m_results;
  bool m_ended = false;
  /** Texts of unfinished items, by index of the item. */
  std::map<std::size_t, PartialOutput> m_progress;
  /** Index in m_spec->m_items; empty when the job has ended. */
  std::unordered_map<ItemId, std::size_t> m_itemIndex;
  /** By index of the item: whether it has a result. */
  std::vector<bool> m_listed;
};

} // namespace auburntrestle::fleet

#endif
