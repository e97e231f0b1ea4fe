#ifndef AUBURNTRESTLE_SOAK_CHECKER_HPP
#define AUBURNTRESTLE_SOAK_CHECKER_HPP

#include "platform/json_fields.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::soak {

/** What the workload knows of a job that was accepted. */
struct AcceptedJob
{
  std::set<std::string> m_items;
  std::uint64_t m_minVersion = 1;
  /** Results by position, as they were first read. */
  std::vector<platform::Json> m_results;
};

/**
 * Compares what callers and engines see with the promises of the system, and
 * collects what contradicts them.
 */
class Checker
{
public:
  /** An engine ran a request. */
  void Ran(const std::string& aRequest) { ++m_runs[aRequest]; }
  /** A short request that may run once at most was sent. */
  void SentOnce(const std::string& aRequest) { m_once.insert(aRequest); }
  /** A short request was answered. */
  void Answered(const std::string& aRequest,
                int aStatus,
                const std::string& aBody,
                const std::string& aSignature);

  /** Results were read from a position on. */
  void ReadResults(const std::string& aId,
                   AcceptedJob& aJob,
                   std::size_t aAfter,
                   const platform::Json& aView);
  /** An accepted job was answered with 404. */
  void JobMissing(const std::string& aId);

  /** A version of the configuration was acknowledged. */
  void ConfigurationAcknowledged(std::uint64_t aVersion);
  [[nodiscard]] std::uint64_t Configuration() const { return m_configuration; }
  /** A version was read by a call that began when aFloor was acknowledged. */
  void ConfigurationRead(std::uint64_t aVersion, std::uint64_t aFloor);

  /** An engine got an order. */
  void Ordered(const std::string& aEngine,
               const std::string& aHolder,
               std::uint64_t aFencing);

  /** Checks what only holds once everything has come to rest. */
  void Finish();
  /** Records that a promise was broken, as a text in parts. */
  void Violate(std::initializer_list<std::string_view> aParts);
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return m_violations;
  }

private:
  void CheckResult(const std::string& aId,
                   const AcceptedJob& aJob,
                   const platform::Json& aResult);

  std::map<std::string, int> m_runs;
  std::set<std::string> m_once;
  std::set<std::string> m_refused;
  std::uint64_t m_configuration = 0;
  /** The holder of each fencing number. */
  std::map<std::uint64_t, std::string> m_holders;
  /** The highest fencing number that each engine has seen. */
  std::map<std::string, std::uint64_t> m_fencing;
  std::vector<std::string> m_violations;
};

} // namespace auburntrestle::soak

#endif
