#ifndef AUBURNTRESTLE_ADMISSION_WAITING_QUEUE_HPP
#define AUBURNTRESTLE_ADMISSION_WAITING_QUEUE_HPP

#include "auburntrestle/admission/policy.hpp"
#include "auburntrestle/core/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace auburntrestle::admission {

/** A request that waits for a slot. */
struct WaitingRequest
{
  RequestId m_id;
  CallerId m_caller;
  RequestClass m_class = RequestClass::Application;
  WorkSize m_size = WorkSize::Short;
  /** The oldest weight version that may run it. */
  WeightVersion m_minVersion;
  /** Expected cost in tokens, charged to the caller when the request starts. */
  double m_cost = 1.0;
};

/** Which waiting requests may start now. */
struct Eligibility
{
  RequestClass m_class = RequestClass::Application;
  /** The newest version that has a free slot for short work. */
  std::optional<WeightVersion> m_shortVersion;
  /** The newest version that has a free slot for long work. */
  std::optional<WeightVersion> m_longVersion;
};

/**
 * The requests that wait for one model or service, by class. Within a class,
 * callers share capacity by weighted start-time fair queueing on expected cost;
 * requests of one caller start in order of arrival. Requests that need
 * different weight versions or slot kinds wait in separate lanes, so that one
 * that cannot run yet does not block others. Every operation is logarithmic in
 * the number of waiting requests and callers.
 */
class WaitingQueue
{
public:
  /** Adds a request behind the others of its caller. */
  void PushBack(const WaitingRequest& aRequest, double aCallerWeight);

  /** Adds a request in front of the others of its caller; used for retries. */
  void PushFront(const WaitingRequest& aRequest, double aCallerWeight);

  /**
   * Removes a request without a charge.
   * @return whether it was waiting.
   */
  bool Remove(RequestId aId);

  /** @return the next eligible request, which stays in the queue. */
  [[nodiscard]] std::optional<WaitingRequest> Peek(
    const Eligibility& aEligibility) const;

  /** Removes a request and charges its expected cost to its caller. */
  void RemoveAndCharge(RequestId aId);

  /**
   * Charges a caller for the difference between actual and expected cost.
   * @param aCost tokens; a negative value is a refund.
   */
  void Charge(RequestClass aClass, const CallerId& aCaller, double aCost);

  /** @return the number of waiting requests of a class. */
  [[nodiscard]] std::size_t Size(RequestClass aClass) const noexcept;

  /**
   * @return the approximate number of requests of a class and size that start
   * before a new one of the caller, if callers are served in rotation.
   */
  [[nodiscard]] std::size_t CountAhead(RequestClass aClass,
                                       WorkSize aSize,
                                       const CallerId& aCaller) const;

  /** @return the number of waiting requests. */
  [[nodiscard]] std::size_t Size() const noexcept { return m_positions.size(); }

  /** @return the ids of all waiting requests, in no particular order. */
  [[nodiscard]] std::vector<RequestId> Ids() const;

private:
  // A flow is the share of one caller in a class.
  using FlowIndex = std::uint32_t;
  using LaneKey = std::pair<WorkSize, WeightVersion>;
  using Order = std::int64_t;

  struct Lane
  {
    std::set<std::pair<double, FlowIndex>> m_byVirtualTime;
    std::unordered_map<FlowIndex, std::map<Order, WaitingRequest>> m_requests;
    std::size_t m_size = 0;
  };

  struct Flow
  {
    CallerId m_caller;
    double m_weight = 1.0;
    double m_virtualTime = 0.0;
    std::map<LaneKey, std::size_t> m_waitingByLane;
  };

  struct ClassQueue
  {
    std::map<LaneKey, Lane> m_lanes;
    std::vector<Flow> m_flows;
    std::unordered_map<CallerId, FlowIndex> m_flowByCaller;
    std::vector<FlowIndex> m_freeFlows;
    double m_virtualTime = 0.0;
    std::size_t m_size = 0;
  };

  struct Position
  {
    RequestClass m_class = RequestClass::Application;
    LaneKey m_lane;
    FlowIndex m_flow = 0;
    Order m_order = 0;
  };

  struct Candidate
  {
    double m_virtualTime;
    Order m_order;
    const WaitingRequest* m_request;
  };

  ClassQueue& QueueOf(RequestClass aClass) noexcept;
  [[nodiscard]] const ClassQueue& QueueOf(RequestClass aClass) const noexcept;
  void Push(const WaitingRequest& aRequest, double aWeight, Order aOrder);
  static FlowIndex FlowFor(ClassQueue& aQueue, const CallerId& aCaller);
  static void SetVirtualTime(ClassQueue& aQueue, FlowIndex aFlow, double aTime);
  static void ReleaseIdleFlow(ClassQueue& aQueue, FlowIndex aFlow);
  static std::optional<Candidate> Head(const Lane& aLane);

  std::array<ClassQueue, 2> m_classes;
  std::unordered_map<RequestId, Position> m_positions;
  Order m_nextBack = 0;
  Order m_nextFront = -1;
};

} // namespace auburntrestle::admission

#endif
