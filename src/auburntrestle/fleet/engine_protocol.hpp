#ifndef AUBURNTRESTLE_FLEET_ENGINE_PROTOCOL_HPP
#define AUBURNTRESTLE_FLEET_ENGINE_PROTOCOL_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"
#include "auburntrestle/fleet/weight_rollout.hpp"
#include "auburntrestle/http/client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace auburntrestle::fleet {

/** The state that an engine reports; some hundred milliseconds old. */
struct EngineReport
{
  std::map<ModelName, WeightVersion> m_versions;
  /** An order is in progress. */
  bool m_busy = false;
  /** Orders accepted since the engine started. */
  std::uint64_t m_orders = 0;
};

/** An order to load a version of a model's weights. */
struct LoadOrder
{
  BackendId m_engine;
  ModelName m_model;
  WeightVersion m_version;
  /** Whether running items continue with the new version; otherwise the load
   * waits until they have ended. */
  bool m_continueRuns = true;
  InstanceId m_holder;
  Fencing m_fencing;
  /** Number of orders accepted so far; the engine refuses the order if its own
   * count differs. */
  std::uint64_t m_ordersBefore = 0;
};

/** The response of an engine to an order. */
enum class OrderOutcome : std::uint8_t
{
  Accepted,
  AlreadyDone,
  /** Another order is in progress, or the count of orders differs. */
  Busy,
  /** The engine has received a higher fencing number. */
  StaleFencing,
  /** Another engine answers at this address. */
  WrongEngine,
  Refused,
};

/** The parsed head of an item's response. */
struct ItemResponseHead
{
  int m_status = 0;
  /** The engine states that it did not run the item. */
  bool m_notRun = false;
  /** The response belongs to this item. */
  bool m_matches = false;
  std::optional<WeightVersion> m_version;
};

/** The reward model answered with a score. */
struct RewardScored
{
  Score m_score;
};

/** The reward call was not run. */
struct RewardNotRun
{
  /** Another process answers at the address. */
  bool m_misdirected = false;
};

/** The reward call ran and failed; counts as a failed attempt of the item. */
struct RewardFailed
{
  int m_status = 0;
};

/** The response states neither a score nor a failed attempt. */
struct RewardUnusable
{
  int m_status = 0;
};

/** A complete response to a reward call. */
using RewardResponse =
  std::variant<RewardScored, RewardNotRun, RewardFailed, RewardUnusable>;

/** Encodes requests to engines and reward models and parses their responses.
 * Other kinds of engines are supported by supplying other functions. */
struct EngineProtocol
{
  std::function<http::Request(const JobSpec&,
                              const JobItem&,
                              const BackendId&,
                              Duration aTimeLeft,
                              std::optional<std::uint64_t> aLastEvent)>
    m_itemRequest;
  std::function<ItemResponseHead(const JobItem&, const http::ResponseHead&)>
    m_readItemHead;
  /** Name of the header field with the id of a request, which a response
   * echoes. */
  std::string m_requestIdField;
  /** Name of the event field that announces a change of the weight version. */
  std::string m_versionField;
  std::function<http::Request(const BackendId&)> m_reportRequest;
  std::function<std::optional<EngineReport>(const http::Response&)>
    m_readReport;
  std::function<http::Request(const LoadOrder&)> m_orderRequest;
  std::function<OrderOutcome(const http::Response&)> m_readOrderOutcome;
  std::function<
    http::Request(const RewardCall&, const BackendId&, Duration aTimeLeft)>
    m_rewardRequest;
  std::function<RewardResponse(const RewardCall&, const http::Response&)>
    m_readRewardResponse;
};

} // namespace auburntrestle::fleet

#endif
