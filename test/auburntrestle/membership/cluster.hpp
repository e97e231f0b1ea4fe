#ifndef AUBURNTRESTLE_TEST_MEMBERSHIP_CLUSTER_HPP
#define AUBURNTRESTLE_TEST_MEMBERSHIP_CLUSTER_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/membership/membership.hpp"

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::membership {

/** Instances on a simulated network in virtual time. */
class Cluster
{
public:
  struct Instance
  {
    std::unique_ptr<Membership> m_membership;
    DataCentreId m_dataCentre;
    std::string m_address;
    Incarnation m_incarnation;
    /** Every action but SendMessage, in order. */
    std::vector<Action> m_reported;
  };

  explicit Cluster(std::uint64_t aSeed)
    : m_random(aSeed)
  {
    std::cout << "seed=" << aSeed << '\n';
  }

  /** Starts or restarts an instance; its address follows from its id. */
  void Start(const std::string& aId,
             const std::string& aDataCentre,
             std::vector<std::string> aSeeds,
             std::uint64_t aIncarnation = 1)
  {
    MembershipSettings settings;
    settings.m_id = InstanceId(aId);
    settings.m_dataCentre = DataCentreId(aDataCentre);
    settings.m_incarnation = Incarnation(aIncarnation);
    settings.m_httpAddress = AddressOf(aId) + "1";
    settings.m_peerAddress = AddressOf(aId);
    settings.m_seeds = std::move(aSeeds);
    if (m_adjust) {
      m_adjust(settings);
    }
    Instance& instance = m_instances[aId];
    instance.m_dataCentre = settings.m_dataCentre;
    instance.m_address = settings.m_peerAddress;
    instance.m_incarnation = settings.m_incarnation;
    instance.m_reported.clear();
    instance.m_membership =
      std::make_unique<Membership>(settings, m_random.Below(1U << 30), m_now);
  }

  /** Ends the process without a leave message. */
  void Crash(const std::string& aId)
  {
    m_instances.at(aId).m_membership.reset();
  }

  void Handle(const std::string& aId, const Event& aEvent)
  {
    Instance& instance = m_instances.at(aId);
    std::vector<Action> actions;
    instance.m_membership->Handle(aEvent, m_now, actions);
    Execute(aId, actions);
  }

  /** Advances the virtual time and delivers messages and ticks. */
  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (true) {
      const std::string due = NextInstance();
      const TimePoint tick =
        due.empty() ? TimePoint::max() : At(due).NextDeadline();
      const TimePoint arrival =
        m_inFlight.empty() ? TimePoint::max() : m_inFlight.top().m_at;
      if (std::min(tick, arrival) > end) {
        break;
      }
      m_now = std::max(m_now, std::min(tick, arrival));
      if (arrival <= tick) {
        const InFlightMessage message = m_inFlight.top();
        m_inFlight.pop();
        Deliver(message);
      } else {
        Handle(due, Tick{});
      }
    }
    m_now = end;
  }

  [[nodiscard]] Membership& At(const std::string& aId)
  {
    return *m_instances.at(aId).m_membership;
  }

  [[nodiscard]] const std::vector<Action>& Reported(
    const std::string& aId) const
  {
    return m_instances.at(aId).m_reported;
  }

  /** @return the ids that an instance counts as live. */
  [[nodiscard]] std::set<std::string> LiveAt(const std::string& aId)
  {
    std::set<std::string> live;
    for (const Member& member : At(aId).LiveMembers()) {
      live.insert(member.m_id.Get());
    }
    return live;
  }

  /** @return how many actions of a kind an instance reported. */
  template<typename Kind>
  [[nodiscard]] std::size_t Count(const std::string& aId) const
  {
    std::size_t count = 0;
    for (const Action& action : Reported(aId)) {
      count += std::holds_alternative<Kind>(action) ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] static std::string AddressOf(const std::string& aId)
  {
    return "10.0.0." + aId + ":70";
  }

  TimePoint m_now{};
  /** Returns whether messages from the first to the second id are lost. */
  std::function<bool(const std::string&, const std::string&)> m_isLost;
  /** Probability that any message is lost. */
  double m_lossRate = 0.0;
  /** Changes the settings of each instance before its start. */
  std::function<void(MembershipSettings&)> m_adjust;
  /** Called for each message with the ids of sender and receiver; the receiver
   * is empty if unknown. */
  std::function<
    void(const std::string&, const std::string&, const SendMessage&)>
    m_observe;

private:
  struct InFlightMessage
  {
    TimePoint m_at;
    std::uint64_t m_order = 0;
    std::string m_from;
    std::string m_to;
    std::shared_ptr<const MessageReceived> m_received;

    bool operator<(const InFlightMessage& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  [[nodiscard]] std::string NextInstance() const
  {
    std::string next;
    TimePoint earliest = TimePoint::max();
    for (const auto& [id, instance] : m_instances) {
      if (instance.m_membership != nullptr &&
          instance.m_membership->NextDeadline() < earliest) {
        earliest = instance.m_membership->NextDeadline();
        next = id;
      }
    }
    return next;
  }

  [[nodiscard]] std::string OwnerOf(const std::string& aAddress) const
  {
    const std::string prefix = "10.0.0.";
    if (!aAddress.starts_with(prefix)) {
      return {};
    }
    const std::string id =
      aAddress.substr(prefix.size(), aAddress.rfind(':') - prefix.size());
    return m_instances.contains(id) ? id : std::string();
  }

  void Execute(const std::string& aFrom, std::vector<Action>& aActions)
  {
    for (Action& action : aActions) {
      auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) {
        m_instances.at(aFrom).m_reported.push_back(std::move(action));
        continue;
      }
      const std::string to = OwnerOf(send->m_address);
      if (m_observe) {
        m_observe(aFrom, to, *send);
      }
      const bool dropped = to.empty() || (m_isLost && m_isLost(aFrom, to)) ||
                           m_random.Chance(m_lossRate) ||
                           (send->m_to.has_value() && send->m_to->Get() != to);
      if (!dropped) {
        // Random delays reorder messages.
        const Duration delay(
          static_cast<std::int64_t>(500 + m_random.Below(4500)));
        m_inFlight.push({ m_now + delay,
                          ++m_order,
                          aFrom,
                          to,
                          std::make_shared<MessageReceived>(
                            MessageReceived{ InstanceId(aFrom),
                                             m_instances.at(aFrom).m_address,
                                             send->m_to.has_value(),
                                             std::move(send->m_message) }) });
      }
    }
  }

  void Deliver(const InFlightMessage& aMessage)
  {
    if (m_instances.at(aMessage.m_to).m_membership != nullptr) {
      Handle(aMessage.m_to, *aMessage.m_received);
    }
  }

  RandomSource m_random;
  std::map<std::string, Instance> m_instances;
  std::priority_queue<InFlightMessage> m_inFlight;
  std::uint64_t m_order = 0;
};

} // namespace auburntrestle::membership

#endif
