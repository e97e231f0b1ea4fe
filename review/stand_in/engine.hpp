#ifndef AUBURNTRESTLE_REVIEW_STAND_IN_ENGINE_HPP
#define AUBURNTRESTLE_REVIEW_STAND_IN_ENGINE_HPP

#include "http.hpp"
#include "platform.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace auburntrestle::review {

/** How an Engine behaves. */
struct EngineOptions
{
  std::string m_id;
  Address m_address;
  std::string m_model;
  int m_slots = 4;
  int m_events = 14;
  std::chrono::milliseconds m_eventInterval{ 150 };
  std::chrono::milliseconds m_loadTime{ 900 };
  /** Decides on an order: the delay after which it is carried out, without an
   * answer, or nothing for an order that is answered at once. */
  std::function<std::optional<std::chrono::milliseconds>()> m_lateOrder;
};

/** A model sampler: it runs items of batch jobs as streams of events, and
 * changes its version by orders. */
class Engine
{
public:
  Engine(EngineOptions aOptions, Record& aRecord);

  [[nodiscard]] int Version() const { return m_version; }
  [[nodiscard]] int Orders() const { return m_orders; }

private:
  void Serve(Connection& aConnection);
  void Run(const Message& aRequest, Connection& aConnection);
  [[nodiscard]] std::string Report();
  [[nodiscard]] std::string HandleOrder(const Json& aOrder);
  /** Carries an order out, unless its precondition doesn't hold.
   * @return the status of its answer. */
  int CarryOut(const Json& aOrder);

  EngineOptions m_options;
  Record& m_record;
  std::mutex m_mutex;
  std::atomic<int> m_version = 1;
  std::atomic<int> m_running = 0;
  std::atomic<bool> m_busy = false;
  /** Loads new weights; runs pause, and requests are refused. */
  std::atomic<bool> m_loading = false;
  std::atomic<int> m_sequence = 0;
  std::atomic<int> m_orders = 0;
  long m_highestFence = 0;
  Listener m_listener;
};

} // namespace auburntrestle::review

#endif
