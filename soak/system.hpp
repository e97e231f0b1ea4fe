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

/** Stores that keep the log; one of them may lose its disk at a time. */
inline constexpr std::size_t kStores = 3;
inline constexpr std::size_t kEntries = 2;
inline constexpr std::size_t kSamplers = 4;
/** The model that all samplers hold. */
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

  /** Starts an instance; stores come first in the numbering. */
  void Start(std::size_t aInstance, bool aBootstrap);
  /** Starts every instance that has ended. */
  void StartEnded();
  [[nodiscard]] auburntrestle::test::Process& Instance(std::size_t aInstance)
  {
    return m_instances.at(aInstance);
  }
  /** Removes what a store that does not run has stored. */
  void LoseDisk(std::size_t aStore);
  /** Ends a sampler without a word and starts another at its address. */
  void ReplaceSampler(std::size_t aSampler);

  [[nodiscard]] std::vector<std::unique_ptr<Proxy>>& Proxies()
  {
    return m_proxies;
  }
  /** @return where callers of the platform's control calls connect. */
  [[nodiscard]] const std::vector<std::string>& Controls() const
  {
    return m_controls;
  }
  /** @return where clients connect. */
  [[nodiscard]] const std::vector<std::string>& Callers() const
  {
    return m_callers;
  }
  [[nodiscard]] platform::test::Sampler& SamplerAt(std::size_t aSampler)
  {
    return *m_samplers.at(aSampler);
  }

private:
  /** @return the address of a new proxy in front of a target. */
  std::string Forward(const std::string& aTarget);
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
