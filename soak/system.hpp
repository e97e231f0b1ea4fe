#ifndef AUBURNTRESTLE_SOAK_SYSTEM_HPP
#define AUBURNTRESTLE_SOAK_SYSTEM_HPP

#include "auburntrestle/core/random.hpp"
#include "platform/instance_files.hpp"
#include "platform/sampler.hpp"
#include "soak/checker.hpp"
#include "soak/proxy.hpp"

#include <cstddef>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** Stores of the replicated log; at most one loses its disk at a time. */
inline constexpr std::size_t kStores = 3;
inline constexpr std::size_t kEntries = 2;
inline constexpr std::size_t kSamplers = 4;
/** The model that all samplers serve. */
inline constexpr auto kModel = "m";

/**
 * The system under test: instances as real processes, samplers in this process,
 * and a proxy in front of each of them.
 */
class System
{
public:
  System(event_loop::EventLoop& aLoop,
         Checker& aChecker,
         std::filesystem::path aFolder);

  /** Starts an instance; the numbers of the stores come first. */
  void Start(std::size_t aInstance, bool aBootstrap);
  /** Starts every instance whose process has exited. */
  void RestartExited();
  [[nodiscard]] auburntrestle::test::Process& Instance(std::size_t aInstance)
  {
    return m_instances.at(aInstance);
  }
  /** Deletes the data of a stopped store. */
  void LoseDisk(std::size_t aStore);
  /** Drops a sampler without notice and starts another at its address. */
  void ReplaceSampler(std::size_t aSampler);

  [[nodiscard]] std::vector<std::unique_ptr<Proxy>>& Proxies()
  {
    return m_proxies;
  }
  /** @return the proxy addresses for the platform's control calls. */
  [[nodiscard]] const std::vector<std::string>& ControlAddresses() const
  {
    return m_controls;
  }
  /** @return the proxy addresses for requests of callers. */
  [[nodiscard]] const std::vector<std::string>& CallerAddresses() const
  {
    return m_callers;
  }
  [[nodiscard]] platform::test::Sampler& SamplerAt(std::size_t aSampler)
  {
    return *m_samplers.at(aSampler);
  }

private:
  /** Starts a proxy in front of a target. @return the proxy's address. */
  std::string AddProxy(const std::string& aTarget);
  void MakeSampler(std::size_t aSampler);

  event_loop::EventLoop& m_loop;
  Checker& m_checker;
  std::filesystem::path m_folder;
  platform::test::PortSource m_ports;
  std::vector<std::unique_ptr<Proxy>> m_proxies;
  std::vector<platform::test::InstanceFile> m_files;
  std::vector<std::string> m_seeds;
  std::vector<std::string> m_controls;
  std::vector<std::string> m_callers;
  std::map<std::size_t, auburntrestle::test::Process> m_instances;
  std::vector<std::string> m_samplerAddresses;
  std::vector<std::string> m_samplerProxies;
  std::vector<std::unique_ptr<platform::test::Sampler>> m_samplers;
  std::uint64_t m_startedSamplers = 0;
};

} // namespace auburntrestle::soak

#endif
