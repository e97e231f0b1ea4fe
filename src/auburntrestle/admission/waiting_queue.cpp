#include "auburntrestle/admission/waiting_queue.hpp"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace auburntrestle::admission {

namespace internal {

constexpr double kMinWeight = 1e-3;
// Bounds the memory for idle callers whose virtual time is still ahead of the
// queue's.
constexpr std::size_t kMaxIdleFlows = 4096;

} // namespace internal

WaitingQueue::ClassQueue& WaitingQueue::QueueOf(RequestClass aClass) noexcept
{
  return m_classes[static_cast<std::size_t>(aClass)];
}

const WaitingQueue::ClassQueue& WaitingQueue::QueueOf(
  RequestClass aClass) const noexcept
{
  return m_classes[static_cast<std::size_t>(aClass)];
}

void WaitingQueue::PushBack(const WaitingRequest& aRequest,
                            double aCallerWeight)
{
  Push(aRequest, aCallerWeight, m_nextBack++);
}

void WaitingQueue::PushFront(const WaitingRequest& aRequest,
                             double aCallerWeight)
{
  Push(aRequest, aCallerWeight, m_nextFront--);
}

WaitingQueue::FlowIndex WaitingQueue::FlowFor(ClassQueue& aQueue,
                                              const CallerId& aCaller)
{
  if (const auto found = aQueue.m_flowByCaller.find(aCaller);
      found != aQueue.m_flowByCaller.end()) {
    return found->second;
  }
  FlowIndex index = 0;
  if (aQueue.m_freeFlows.empty()) {
    index = static_cast<FlowIndex>(aQueue.m_flows.size());
    aQueue.m_flows.emplace_back();
  } else {
    index = aQueue.m_freeFlows.back();
    aQueue.m_freeFlows.pop_back();
    aQueue.m_flows[index] = Flow{};
  }
  aQueue.m_flows[index].m_caller = aCaller;
  aQueue.m_flowByCaller.emplace(aCaller, index);
  return index;
}

void WaitingQueue::Push(const WaitingRequest& aRequest,
                        double aWeight,
                        Order aOrder)
{
  auto& queue = QueueOf(aRequest.m_class);
  const FlowIndex index = FlowFor(queue, aRequest.m_caller);
  auto& flow = queue.m_flows[index];
  flow.m_weight = std::max(aWeight, internal::kMinWeight);
  if (flow.m_waitingByLane.empty()) {
    // A caller that was idle gets no credit for capacity that it did not use.
    flow.m_virtualTime = std::max(flow.m_virtualTime, queue.m_virtualTime);
  }
  const LaneKey key{ aRequest.m_size, aRequest.m_minVersion };
  auto& lane = queue.m_lanes[key];
  lane.m_requests[index].emplace(aOrder, aRequest);
  ++lane.m_size;
  if (++flow.m_waitingByLane[key] == 1) {
    lane.m_byVirtualTime.insert({ flow.m_virtualTime, index });
  }
  ++queue.m_size;
  m_positions[aRequest.m_id] = Position{ aRequest.m_class, key, index, aOrder };
}

bool WaitingQueue::Remove(RequestId aId)
{
  const auto found = m_positions.find(aId);
  if (found == m_positions.end()) {
    return false;
  }
  const Position position = found->second;
  m_positions.erase(found);
  auto& queue = QueueOf(position.m_class);
  auto& flow = queue.m_flows[position.m_flow];
  const auto lane = queue.m_lanes.find(position.m_lane);
  const auto requests = lane->second.m_requests.find(position.m_flow);
  requests->second.erase(position.m_order);
  --lane->second.m_size;
  --queue.m_size;
  const auto count = flow.m_waitingByLane.find(position.m_lane);
  if (--count->second == 0) {
    flow.m_waitingByLane.erase(count);
    lane->second.m_requests.erase(requests);
    lane->second.m_byVirtualTime.erase({ flow.m_virtualTime, position.m_flow });
    if (lane->second.m_requests.empty()) {
      queue.m_lanes.erase(lane);
    }
  }
  ReleaseIdleFlow(queue, position.m_flow);
  return true;
}

void WaitingQueue::ReleaseIdleFlow(ClassQueue& aQueue, FlowIndex aFlow)
{
  auto& flow = aQueue.m_flows[aFlow];
  const bool ahead = flow.m_virtualTime > aQueue.m_virtualTime;
  if (!flow.m_waitingByLane.empty() ||
      (ahead && aQueue.m_flowByCaller.size() < internal::kMaxIdleFlows)) {
    return;
  }
  aQueue.m_flowByCaller.erase(flow.m_caller);
  aQueue.m_freeFlows.push_back(aFlow);
}

std::optional<WaitingQueue::Candidate> WaitingQueue::Head(const Lane& aLane)
{
  if (aLane.m_byVirtualTime.empty()) {
    return std::nullopt;
  }
  const auto& [virtualTime, flow] = *aLane.m_byVirtualTime.begin();
  const auto& first = *aLane.m_requests.at(flow).begin();
  return Candidate{ virtualTime, first.first, &first.second };
}

std::optional<WaitingRequest> WaitingQueue::Peek(
  const Eligibility& aEligibility) const
{
  std::optional<Candidate> next;
  for (const auto& [key, lane] : QueueOf(aEligibility.m_class).m_lanes) {
    const auto& version = key.first == WorkSize::Short
                            ? aEligibility.m_shortVersion
                            : aEligibility.m_longVersion;
    if (!version || *version < key.second) {
      continue;
    }
    const auto head = Head(lane);
    if (head && (!next || std::tie(head->m_virtualTime, head->m_order) <
                            std::tie(next->m_virtualTime, next->m_order))) {
      next = head;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  return *next->m_request;
}

void WaitingQueue::SetVirtualTime(ClassQueue& aQueue,
                                  FlowIndex aFlow,
                                  double aTime)
{
  auto& flow = aQueue.m_flows[aFlow];
  for (const auto& entry : flow.m_waitingByLane) {
    auto& order = aQueue.m_lanes.at(entry.first).m_byVirtualTime;
    order.erase({ flow.m_virtualTime, aFlow });
    order.insert({ aTime, aFlow });
  }
  flow.m_virtualTime = aTime;
}

void WaitingQueue::RemoveAndCharge(RequestId aId)
{
  const auto found = m_positions.find(aId);
  if (found == m_positions.end()) {
    return;
  }
  const Position position = found->second;
  auto& queue = QueueOf(position.m_class);
  const auto& request = queue.m_lanes.at(position.m_lane)
                          .m_requests.at(position.m_flow)
                          .at(position.m_order);
  const auto& flow = queue.m_flows[position.m_flow];
  const double cost = request.m_cost / flow.m_weight;
  queue.m_virtualTime = std::max(queue.m_virtualTime, flow.m_virtualTime);
  SetVirtualTime(queue, position.m_flow, flow.m_virtualTime + cost);
  Remove(aId);
}

void WaitingQueue::Charge(RequestClass aClass,
                          const CallerId& aCaller,
                          double aCost)
{
  auto& queue = QueueOf(aClass);
  const auto found = queue.m_flowByCaller.find(aCaller);
  if (found == queue.m_flowByCaller.end()) {
    return;
  }
  const auto& flow = queue.m_flows[found->second];
  SetVirtualTime(
    queue, found->second, flow.m_virtualTime + aCost / flow.m_weight);
}

std::size_t WaitingQueue::Size(RequestClass aClass) const noexcept
{
  return QueueOf(aClass).m_size;
}

std::size_t WaitingQueue::CountAhead(RequestClass aClass,
                                     WorkSize aSize,
                                     const CallerId& aCaller) const
{
  const auto& queue = QueueOf(aClass);
  const auto flow = queue.m_flowByCaller.find(aCaller);
  std::size_t own = 0;
  std::size_t flows = 0;
  std::size_t total = 0;
  for (const auto& [key, lane] : queue.m_lanes) {
    if (key.first != aSize) {
      continue;
    }
    flows += lane.m_requests.size();
    total += lane.m_size;
    if (flow != queue.m_flowByCaller.end()) {
      const auto& waiting = queue.m_flows[flow->second].m_waitingByLane;
      const auto count = waiting.find(key);
      own += count == waiting.end() ? 0 : count->second;
    }
  }
  return std::min(total, (own + 1) * flows);
}

std::vector<RequestId> WaitingQueue::Ids() const
{
  std::vector<RequestId> ids;
  ids.reserve(m_positions.size());
  for (const auto& entry : m_positions) {
    ids.push_back(entry.first);
  }
  return ids;
}

} // namespace auburntrestle::admission
