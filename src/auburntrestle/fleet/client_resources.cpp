#include "auburntrestle/fleet/client_resources.hpp"

#include "auburntrestle/observe/log.hpp"

namespace auburntrestle::fleet {

namespace {

/** A crowd is logged once in this time: it would use up the budget of lines. */
constexpr Duration kLogInterval = std::chrono::seconds(1);

/** When a line was last logged, and what was not logged since. */
struct ShedLog
{
  TimePoint m_loggedAt{};
  std::uint64_t m_clients = 0;
};

} // namespace

std::shared_ptr<http::ServerResources> MakeServerResources(
  const ClientLimits& aLimits,
  const std::shared_ptr<observe::Instruments>& aInstruments)
{
  auto resources = std::make_shared<http::ServerResources>(
    http::ResourceLimits{ aLimits.m_connectionBytes, aLimits.m_connections });
  resources->OnShed([aInstruments, log = ShedLog(), self = resources.get()](
                      http::ShedReason aReason) mutable {
    aInstruments->Count(observe::counters::kClientsShed, ToString(aReason));
    ++log.m_clients;
    const TimePoint now = MonotonicClock::Now();
    if (now < log.m_loggedAt + kLogInterval) {
      return;
    }
    observe::LogLine(observe::LogLevel::Warning, "clients_shed")
      .Add("reason", ToString(aReason))
      .Add("clients", log.m_clients)
      .Add("connections", self->Connections())
      .Add("bytes", self->HeldBytes());
    log = ShedLog{ now, 0 };
  });
  return resources;
}

} // namespace auburntrestle::fleet
