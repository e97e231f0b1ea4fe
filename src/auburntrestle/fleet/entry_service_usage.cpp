#include "auburntrestle/fleet/entry_service.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** Time in which the counts of several requests go into one message. What an
 * instance that dies has not sent is lost. */
constexpr Duration kUsageDelay = std::chrono::milliseconds(250);
constexpr Duration kMinUsageInterval = std::chrono::seconds(1);
constexpr Duration kUsageTimeout = std::chrono::milliseconds(1000);
constexpr Duration kTimeOfDayInterval = std::chrono::seconds(1);

} // namespace

void EntryService::SetUpUsage()
{
  m_incarnation = Incarnation(static_cast<std::uint64_t>(WallNow().count()));
  m_usage.emplace(m_options.m_infrastructure.m_usageWindow);
  m_relay.SetUsageHooks(
    { [this](const AccountName& aAccount) {
       ScheduleUsage();
       return m_usage->RecordStart(aAccount, m_clock.At(BootClock::Now()));
     },
      [this](const AccountName& aAccount, UsageWindow aWindow) {
        m_usage->RecordNotRun(aAccount, aWindow);
        ScheduleUsage();
      } });
  ReadTimeOfDay();
}

void EntryService::ReadTimeOfDay()
{
  m_clock.RecordOwn(WallNow(), BootClock::Now());
  m_loop.After(kTimeOfDayInterval, [this] { ReadTimeOfDay(); });
}

void EntryService::ScheduleUsage()
{
  if (std::exchange(m_usageScheduled, true)) {
    return;
  }
  const TimePoint now = MonotonicClock::Now();
  const TimePoint at =
    std::max(now + kUsageDelay, m_usageSentAt + kMinUsageInterval);
  m_loop.After(at - now, [this] { SubmitUsage(); });
}

void EntryService::SubmitUsage()
{
  m_usageSentAt = MonotonicClock::Now();
  fleet::SubmitUsage submission;
  submission.m_instance = m_options.m_self;
  submission.m_incarnation = m_incarnation;
  submission.m_sequence = ++m_usageSequence;
  submission.m_counts = m_usage->TakeChanges();
  m_link->SendQuery(submission,
                    kUsageTimeout,
                    Duration::zero(),
                    [this](const tl::expected<ReplyBody, LinkError>& aReply) {
                      const auto* view =
                        aReply ? std::get_if<UsageView>(&*aReply) : nullptr;
                      // A leader that has been replaced may still answer.
                      const bool isDelivered =
                        view != nullptr && view->m_term >= m_watch.m_term;
                      if (isDelivered) {
                        m_usage->RecordClosed(view->m_firstOpen);
                      } else {
                        m_usage->RecordNotDelivered();
                      }
                      m_usageScheduled = false;
                      if (m_usage->HasChanges()) {
                        ScheduleUsage();
                      }
                    });
}

} // namespace auburntrestle::fleet
