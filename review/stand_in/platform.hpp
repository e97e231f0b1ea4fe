#ifndef AUBURNTRESTLE_REVIEW_STAND_IN_PLATFORM_HPP
#define AUBURNTRESTLE_REVIEW_STAND_IN_PLATFORM_HPP

#include "http.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace auburntrestle::review {

using Json = nlohmann::json;

/** Exit status of a case. */
enum class Verdict : std::uint8_t
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/** The arguments that review/lib.sh passes to a case. */
struct CaseOptions
{
  std::vector<Address> m_controls;
  std::vector<Address> m_fronts;
  std::vector<pid_t> m_entryPids;
  /** The first three numbers of the loopback addresses. */
  std::string m_network;
  std::uint16_t m_serverPort = 0;
  bool m_trouble = true;
  std::string m_recordFile;

  [[nodiscard]] static CaseOptions Parse(int aCount, char** aArguments);
};

/** Writes what was sent, answered and run, with the time since its start. */
class Record
{
public:
  explicit Record(const std::string& aFile);

  void Write(const std::string& aLine);
  /** Writes the last line. */
  Verdict Close(Verdict aVerdict, const std::string& aReason);

private:
  std::mutex m_mutex;
  std::ofstream m_file;
  std::chrono::steady_clock::time_point m_start;
};

/** What a server says of itself in its heartbeats. */
struct ServerEntry
{
  std::string m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  int m_slots = 1;
  /** The models that it holds; empty for a plain service. */
  Json m_models;
};

/** Sends the calls of the operator and the servers to the control machines,
 * again and to the next one until they are acknowledged. */
class ControlCaller
{
public:
  ControlCaller(std::vector<Address> aControls, Record& aRecord);

  /** @return whether the call got a 2xx within a time. */
  bool Call(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            std::chrono::seconds aTimeout);

private:
  std::vector<Address> m_controls;
  Record& m_record;
};

/** Registers a server and sends its heartbeats until the process ends. */
void StartHeartbeats(const CaseOptions& aOptions,
                     Record& aRecord,
                     const ServerEntry& aServer);

/** @return whether an entry machine answers a request of a path with another
 * status than 503 within a time. */
bool WaitUntilServed(const Address& aFront,
                     const std::string& aHost,
                     const std::string& aPath,
                     std::chrono::seconds aTimeout);

/** @return the milliseconds since the epoch. */
std::int64_t UnixMilliseconds();

} // namespace auburntrestle::review

#endif
