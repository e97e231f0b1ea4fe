#ifndef AUBURNTRESTLE_FLEET_JOB_HPP
#define AUBURNTRESTLE_FLEET_JOB_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/output_store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::fleet {

/** Identifies a batch job; chosen by its trainer. */
using JobId = StrongType<struct JobIdTag, std::string>;
/** Identifies one request of a batch job. When a step ends before all groups
 * are complete, a later job repeats the ids of the rest. */
using ItemId = StrongType<struct ItemIdTag, std::string>;
/** Identifies the items that share one prompt. */
using GroupId = StrongType<struct GroupIdTag, std::string>;

/** Identifies the reward call of an item. */
using RewardId = StrongType<struct RewardIdTag, std::string>;
/** The score of an item, as the reward model states it. */
using Score = StrongType<struct ScoreTag, std::string>;

/** @return the current time of the system clock. */
[[nodiscard]] inline WallTime WallNow()
{
  return std::chrono::duration_cast<WallTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

/** A request to a reward model, sent when the output of its item is complete.
 * It may run more than once. */
struct RewardCall
{
  RewardId m_id;
  /** Host name; selects the route together with the path. */
  std::string m_host;
  std::string m_path;
  std::string m_body;
  /** The location of the body if the state machine has stored it; m_body is
   * empty then. */
  std::optional<OutputReference> m_storedBody = std::nullopt;

  friend bool operator==(const RewardCall&, const RewardCall&) = default;
};

/** The state keeps a larger body in the output store. A smaller one is cheaper
 * in memory than to read for each run of its item. */
inline constexpr std::size_t kMaxInlineBodyBytes = 4096;

/** One request of a batch job. */
struct JobItem
{
  ItemId m_id;
  std::string m_path;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  GroupId m_group;
  /** Number of output tokens that the trainer expects, or 0 if unknown. */
  std::uint64_t m_expectedTokens = 0;
  /** Present if the item is complete only with a score. */
  std::optional<RewardCall> m_reward = std::nullopt;
  /** The location of the body if the state machine has stored it; m_body is
   * empty then. */
  std::optional<OutputReference> m_storedBody = std::nullopt;

  /** @return whether the body or the one of the reward call is stored. */
  [[nodiscard]] bool HasStoredBody() const noexcept
  {
    return m_storedBody || (m_reward && m_reward->m_storedBody);
  }
};

/** Reads the stored bodies of an item of a job. @return nothing if a body can't
 * be read, which is logged. */
using ItemLoader =
  std::function<std::optional<JobItem>(const JobId&, const JobItem&)>;

/** A batch job as submitted. */
struct JobSpec
{
  JobId m_id;
  /** Host name; selects the route together with the path. */
  std::string m_host;
  std::string m_path;
  std::optional<ModelName> m_model;
  /** The minimum weight version that may generate the tokens. */
  WeightVersion m_minVersion;
  /** Number of complete groups that the trainer waits for; 0 for all. */
  std::uint32_t m_targetGroups = 0;
  std::vector<JobItem> m_items;
  /** The client account that submitted the job; empty if none. */
  AccountName m_account = {};
};

/** The final state of an item. */
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
  /** Present if the item has a reward call and is completed. */
  std::optional<Score> m_score = std::nullopt;
};

/** The result of one item, with its output in the OutputStore. */
struct StoredResult
{
  ItemId m_id;
  ItemState m_state = ItemState::Completed;
  OutputReference m_output;
  std::vector<WeightVersion> m_versions;
  std::optional<Score> m_score = std::nullopt;
};

/** The output that an item without a result has generated so far. */
struct PartialOutput
{
  /** Id of the last event in the output. */
  std::uint64_t m_lastEvent = 0;
  /** The data of all events, separated by line feeds. */
  std::string m_output;
  /** The weight versions that generated the output, ascending. */
  std::vector<WeightVersion> m_versions;
  /** The output has its last event; only the score is missing. */
  bool m_complete = false;
  /** The software that generated the output; no other can continue it. Empty if
   * unknown: nothing can continue it. */
  SoftwareVersion m_software = {};
};

/** An accepted batch job. */
struct Job
{
  JobId m_id;
  /** The client account that submitted the job; empty if none. */
  AccountName m_account;
  /** Released when the job has ended. */
  std::shared_ptr<const JobSpec> m_spec;
  /** The number of items. */
  std::size_t m_total = 0;
  /** When the job was accepted, by the clock of the accepting leader. */
  WallTime m_acceptedAt{};
  /** What the job takes in memory; see MemoryInState. */
  std::size_t m_memory = 0;
  /** In the order in which clients read them; a result never moves. */
  std::vector<StoredResult> m_results;
  bool m_ended = false;
  /** Partial outputs of unfinished items, by item index. */
  std::map<std::size_t, PartialOutput> m_progress;
  /** Item indices in m_spec->m_items; empty when the job has ended. */
  std::unordered_map<ItemId, std::size_t> m_itemIndex;
  /** Whether an item has a result, by item index. */
  std::vector<bool> m_hasResult;

  /** @return whether a reader may know of the job.
   * @param aReader the account of the reader; absent if it may know of all. */
  [[nodiscard]] bool IsVisibleTo(
    const std::optional<AccountName>& aReader) const
  {
    return !aReader || m_account == AccountName() || m_account == *aReader;
  }
};

} // namespace auburntrestle::fleet

#endif
