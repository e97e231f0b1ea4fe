#ifndef AUBURNTRESTLE_DAEMON_DAEMON_HPP
#define AUBURNTRESTLE_DAEMON_DAEMON_HPP

#include "auburntrestle/settings/instance_settings.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace auburntrestle::daemon {

/** The HTTP address cannot be used. */
struct AddressUnusable
{
  std::string m_address;
  std::string m_reason;
};

/** The HTTP client could not be set up. */
struct ClientUnusable
{
  std::string m_reason;
};

/** The connections to other instances cannot be set up. */
struct PeersUnusable
{
  std::string m_reason;
};

/** The data folder cannot be used; the reason names file and offset. */
struct DataUnusable
{
  std::string m_reason;
};

/** Why a daemon cannot start. */
using StartError =
  std::variant<AddressUnusable, ClientUnusable, PeersUnusable, DataUnusable>;

/** Options of a start. */
struct StartOptions
{
  /** Allows a member with an empty data folder to create a ledger of several
   * members; for the first start of a deployment only. */
  bool m_bootstrapLedger = false;
};

/** One instance of the service; owns and connects all its components. */
class Daemon
{
public:
  /** Creates the components and starts to listen. */
  [[nodiscard]] static tl::expected<std::unique_ptr<Daemon>, StartError> Create(
    settings::InstanceSettings aSettings,
    StartOptions aOptions = {});

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /** @return the port of the HTTP interface. */
  [[nodiscard]] std::uint16_t HttpPort() const noexcept;

  /** Serves until a graceful shutdown is complete. */
  void Run();

  /** Starts a graceful shutdown; may be called from any thread. */
  void RequestShutdown();

private:
  struct Implementation;
  explicit Daemon(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::daemon

#endif
