#ifndef REVIEW_SUPPORT_DEPLOYMENT_HPP
#define REVIEW_SUPPORT_DEPLOYMENT_HPP

#include "http.hpp"

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** The file with what was sent, answered and run. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  /** Adds a line with the time since the start. */
  void Add(const std::string& aLine);
  /** @return the time since the start, in seconds. */
  [[nodiscard]] double Seconds() const;

private:
  std::chrono::steady_clock::time_point m_start;
  std::mutex m_mutex;
  std::ofstream m_file;
};

/** The ports of a deployment, the same on all machines. */
struct Ports
{
  int m_peers = 0;
  int m_control = 0;
  int m_front = 0;
  int m_ready = 0;
  int m_metrics = 0;
  int m_server = 0;
};

/** Three storage machines and some edge machines, each a process of the
 * project with an address of its own in 127.0.0.0/8. The settings are those
 * that the templates of the project give, with the figures of tp-ensaio. */
class Deployment
{
public:
  Deployment(Record& aRecord, int aEdges);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  /** Ends all processes and removes the temporary folder. */
  ~Deployment();

  /** @return whether all processes were started. */
  [[nodiscard]] bool Start();
  /** @return the address for clients of an edge machine. */
  [[nodiscard]] std::string Front(int aEdge) const;
  /** @return the control address of a storage machine. */
  [[nodiscard]] std::string Control(int aStore) const;
  [[nodiscard]] std::vector<std::string> Controls() const;
  /** @return an address for a stand-in. */
  [[nodiscard]] std::string ServerAddress(int aNumber) const;
  void SignalStore(int aStore, int aSignal);
  void SignalEdge(int aEdge, int aSignal);
  /** Sends a call to the storage machines in turn until one answers 200.
   * @return whether that happened in time. */
  [[nodiscard]] bool SendUntilDone(const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody);
  /** @return whether all edge machines became ready in time. */
  [[nodiscard]] bool WaitUntilReady();
  /** Sets the memory of the machines in MB, which a process otherwise learns
   * from the machine. Call before Start. */
  void SetMemory(long aEdgeMb, long aStoreMb);
  /** @return the number of machines: first those for storage, then the edge. */
  [[nodiscard]] int Machines() const { return kStores + m_edges; }
  [[nodiscard]] std::string NameOf(int aMachine) const;
  /** @return the memory of a machine, or 0 if it was not set. */
  [[nodiscard]] long MemoryMb(int aMachine) const;
  /** @return the memory that the process of a machine takes now. */
  [[nodiscard]] long UsedMb(int aMachine) const;
  /** Kills the process of a machine and starts it again after a delay. */
  void Restart(int aMachine, int aDelayMs);

  static constexpr int kStores = 3;

private:
  [[nodiscard]] std::string Ip(int aMachine) const;
  [[nodiscard]] pid_t StartProcess(const std::string& aName,
                                   const std::string& aSettings);
  [[nodiscard]] pid_t& ProcessOf(int aMachine);
  [[nodiscard]] std::string StoreSettings(int aStore) const;
  [[nodiscard]] std::string EdgeSettings(int aEdge) const;
  [[nodiscard]] std::string CommonSettings(const std::string& aRole,
                                           const std::string& aName,
                                           const std::string& aIp) const;

  Record& m_record;
  int m_edges;
  long m_edgeMb = 0;
  long m_storeMb = 0;
  Ports m_ports;
  std::string m_network;
  std::filesystem::path m_folder;
  std::vector<pid_t> m_storeProcesses;
  std::vector<pid_t> m_edgeProcesses;
};

/** @return whether the disruption is wanted (TROUBLE is not 0). */
[[nodiscard]] bool HasTrouble();

/** A manifest with a rollout route "/rollout/" and an idempotent route
 * "/query/" at host "review.example". */
[[nodiscard]] std::string Manifest(int aVersion,
                                   const std::string& aRolloutService,
                                   const std::string& aQueryService);

inline constexpr auto kHost = "review.example";
inline constexpr auto kModel = "model-a";

/** @return a text in base64. */
[[nodiscard]] std::string EncodeBase64(const std::string& aText);

void Sleep(int aMilliseconds);

} // namespace review

#endif
