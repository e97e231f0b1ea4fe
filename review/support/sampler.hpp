#ifndef REVIEW_SUPPORT_SAMPLER_HPP
#define REVIEW_SUPPORT_SAMPLER_HPP

#include "deployment.hpp"
#include "http.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** A run of a request at a sampler. */
struct Run
{
  std::string m_id;
  std::string m_sampler;
  std::string m_method;
  std::string m_target;
  std::string m_body;
  double m_beganAt = 0;
  /** Negative while the run goes on. */
  double m_endedAt = -1;
  bool m_isComplete = false;
};

/** Options of a sampler. */
struct SamplerOptions
{
  std::string m_id;
  std::string m_address;
  std::string m_service;
  int m_slots = 16;
  int m_events = 6;
  Milliseconds m_eventGap{ 20 };
};

/** A sampler as the users' pages describe it: it announces itself, runs
 * requests in its slots, and rejects what is meant for another instance. */
class Sampler
{
public:
  Sampler(Record& aRecord,
          std::vector<std::string> aControls,
          SamplerOptions aOptions);
  Sampler(const Sampler&) = delete;
  Sampler& operator=(const Sampler&) = delete;
  /** Ends without a word, as a crash does. */
  ~Sampler();

  [[nodiscard]] bool IsListening() const { return m_server->IsListening(); }
  /** Sends a ping now and then one every 1.2 s. */
  void StartPings(int aFirstControl);
  void StopPings();
  /** Says that it leaves: DELETE to one node after the other, from
   * aFirstControl on, until one acknowledges it within a second. @return
   * whether one did. */
  bool Deregister(int aFirstControl);
  [[nodiscard]] std::vector<Run> Runs() const;
  [[nodiscard]] int RunningNow() const { return m_running; }
  [[nodiscard]] int Slots() const { return m_options.m_slots; }
  /** @return the events of an item, from the first. */
  [[nodiscard]] static std::string Event(const std::string& aItem, int aNumber);
  /** @return the body of the next ping. */
  [[nodiscard]] std::string PingBody(const std::string& aState);

private:
  bool Handle(const Message& aRequest, Connection& aConnection);
  bool RunItem(const Message& aRequest, Connection& aConnection);
  bool RunPlain(const Message& aRequest, Connection& aConnection);
  [[nodiscard]] std::string Report() const;
  [[nodiscard]] std::size_t Begin(const Message& aRequest);
  void End(std::size_t aRun, bool aIsComplete);
  bool Ping(int& aControl, const std::string& aState);

  Record& m_record;
  std::vector<std::string> m_controls;
  SamplerOptions m_options;
  std::uint64_t m_born;
  std::atomic<std::uint64_t> m_sequence{ 0 };
  std::atomic<int> m_version{ 1 };
  std::atomic<int> m_orders{ 0 };
  std::atomic<int> m_running{ 0 };
  std::atomic<bool> m_stopped{ false };
  std::atomic<bool> m_pings{ false };
  mutable std::mutex m_mutex;
  std::vector<Run> m_runs;
  std::thread m_pinger;
  std::unique_ptr<Server> m_server;
};

} // namespace review

#endif
