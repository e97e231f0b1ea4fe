#include "auburntrestle/routing/dispatcher.hpp"

#include "auburntrestle/routing/dispatcher_core.hpp"

#include <utility>

namespace auburntrestle::routing {

tl::expected<Dispatcher, PolicyError> Dispatcher::Create(const Policy& aPolicy,
                                                         std::uint64_t aSeed)
{
  if (const auto valid = Validate(aPolicy); !valid) {
    return tl::unexpected(valid.error());
  }
  return Dispatcher(std::make_unique<internal::DispatcherCore>(aPolicy, aSeed));
}

Dispatcher::Dispatcher(std::unique_ptr<internal::DispatcherCore> aCore) noexcept
  : m_core(std::move(aCore))
{
}

Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;
Dispatcher::~Dispatcher() = default;

void Dispatcher::Handle(const Event& aEvent,
                        TimePoint aNow,
                        std::vector<Action>& aActions)
{
  m_core->Handle(aEvent, aNow, aActions);
}

const registry::BackendRegistry& Dispatcher::Registry() const noexcept
{
  return m_core->Registry();
}

std::vector<registry::BackendView> Dispatcher::BackendViews(
  TimePoint aNow) const
{
  return m_core->BackendViews(aNow);
}

std::optional<double> Dispatcher::TypicalTimePerToken(
  const Target& aTarget) const
{
  return m_core->TypicalTimePerToken(aTarget);
}

std::size_t Dispatcher::WaitingCount(admission::RequestClass aClass) const
{
  return m_core->WaitingCount(aClass);
}

std::size_t Dispatcher::InFlightCount() const noexcept
{
  return m_core->InFlightCount();
}

std::size_t Dispatcher::RequestCount() const noexcept
{
  return m_core->RequestCount();
}

bool Dispatcher::IsDraining() const noexcept
{
  return m_core->IsDraining();
}

std::optional<TimePoint> Dispatcher::NextTimer() const
{
  return m_core->NextTimer();
}

const DispatcherCounters& Dispatcher::Counters() const noexcept
{
  return m_core->Counters();
}

} // namespace auburntrestle::routing
