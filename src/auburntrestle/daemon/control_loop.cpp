#include "auburntrestle/daemon/control_loop.hpp"

#include <asio.hpp>

#include <csignal>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

class PeriodicTimer : public std::enable_shared_from_this<PeriodicTimer>
{
public:
  PeriodicTimer(asio::io_context& aContext,
                Duration aInterval,
                std::function<void()> aTask)
    : m_timer(aContext)
    , m_interval(aInterval)
    , m_task(std::move(aTask))
  {
  }

  void Arm()
  {
    m_timer.expires_after(m_interval);
    m_timer.async_wait(
      [self = shared_from_this()](const asio::error_code& aError) {
        if (!aError) {
          self->m_task();
          self->Arm();
        }
      });
  }

private:
  asio::steady_timer m_timer;
  Duration m_interval;
  std::function<void()> m_task;
};

} // namespace internal

struct ControlLoop::Implementation
{
  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_guard{
    m_context.get_executor()
  };
  asio::signal_set m_signals{ m_context };

  void WaitForSignal(std::function<void()> aTask)
  {
    m_signals.async_wait(
      [this, task = std::move(aTask)](const asio::error_code& aError, int) {
        if (!aError) {
          task();
          WaitForSignal(task);
        }
      });
  }
};

ControlLoop::ControlLoop()
  : m_implementation(std::make_unique<Implementation>())
{
}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Post(std::function<void()> aTask)
{
  asio::post(m_implementation->m_context, std::move(aTask));
}

void ControlLoop::RunPeriodically(Duration aInterval,
                                  std::function<void()> aTask)
{
  std::make_shared<internal::PeriodicTimer>(
    m_implementation->m_context, aInterval, std::move(aTask))
    ->Arm();
}

void ControlLoop::RunAfter(Duration aDelay, std::function<void()> aTask)
{
  auto timer =
    std::make_shared<asio::steady_timer>(m_implementation->m_context, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](const asio::error_code& aError) {
      if (!aError) {
        task();
      }
    });
}

void ControlLoop::OnSignal(std::function<void()> aTask)
{
  m_implementation->m_signals.add(SIGTERM);
  m_implementation->m_signals.add(SIGINT);
  m_implementation->WaitForSignal(std::move(aTask));
}

void ControlLoop::Run()
{
  m_implementation->m_context.run();
}

void ControlLoop::Stop()
{
  m_implementation->m_context.stop();
}

} // namespace auburntrestle::daemon
