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

/** An accepted job, and the results of it that were read so far. */
struct AcceptedJob
{
  std::set<std::string> m_items;
  std::uint64_t m_minVersion = 1;
  /** Results by position, each as it was first read. */
  std::vector<platform::Json> m_results;
};

/**
 * Checks what callers and engines observe against the guarantees of the
 * system, and collects the violations.
 */
class Checker
{
public:
  /** Records that an engine ran a request. */
  void RecordRun(const std::string& aRequest) { ++m_runs[aRequest]; }
  /** Records that a short request that may run at most once was sent. */
  void RecordSentOnce(const std::string& aRequest)
  {
    m_sentOnce.insert(aRequest);
  }
  /** Checks the response to a short request. */
  void CheckResponse(const std::string& aRequest,
                     int aStatus,
                     const std::string& aBody,
                     const std::string& aSignature);

  /** Checks the results of a job, read from position aAfter on. */
  void CheckJobResults(const std::string& aId,
                       AcceptedJob& aJob,
                       std::size_t aAfter,
                       const platform::Json& aView);
  /** Records that a call about an accepted job got a 404. */
  void RecordMissingJob(const std::string& aId);

  /** Records that a version of the configuration was acknowledged. */
  void RecordAcknowledgedConfiguration(std::uint64_t aVersion);
  [[nodiscard]] std::uint64_t AcknowledgedConfiguration() const
  {
    return m_configuration;
  }
  /**
   * Checks the version that a call read.
   *
   * @param aFloor the highest version acknowledged when the call began.
   */
  void CheckReadConfiguration(std::uint64_t aVersion, std::uint64_t aFloor);

  /** Checks and records an order that an engine received. */
  void RecordOrder(const std::string& aEngine,
                   const std::string& aHolder,
                   std::uint64_t aFencing);

  /** Checks what can be checked only when no request is in progress. */
  void CheckFinalState();
  /** Records and prints a violation; the parts are joined to one text. */
  void RecordViolation(std::initializer_list<std::string_view> aParts);
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return m_violations;
  }

private:
  void CheckResult(const std::string& aId,
                   const AcceptedJob& aJob,
                   const platform::Json& aResult);

  std::map<std::string, int> m_runs;
  std::set<std::string> m_sentOnce;
  std::set<std::string> m_refused;
  std::uint64_t m_configuration = 0;
  /** The holder of each fencing number. */
  std::map<std::uint64_t, std::string> m_holders;
  /** The highest fencing number that each engine received. */
  std::map<std::string, std::uint64_t> m_fencing;
  std::vector<std::string> m_violations;
};

} // namespace auburntrestle::soak

#endif
