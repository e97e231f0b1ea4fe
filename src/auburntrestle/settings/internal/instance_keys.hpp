#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_INSTANCE_KEYS_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_INSTANCE_KEYS_HPP

#include "auburntrestle/settings/instance_settings.hpp"
#include "auburntrestle/settings/internal/key_traits.hpp"

#include <array>

namespace auburntrestle::settings::internal {

inline constexpr std::array kLogLevels{ LogLevel::Debug,
                                        LogLevel::Info,
                                        LogLevel::Warning,
                                        LogLevel::Error };

/** Passes each key of a section to a visitor. These overloads are the only
 * list of keys: reading, listing and documentation all use them. */
template<typename Visitor>
void VisitKeys(Visitor& aVisitor, InstanceSection& aSection)
{
  aVisitor.Name(
    KeyMetadata{
      "id", "", "Name of this instance, unique in the whole system." },
    aSection.m_id,
    NameRule::Required);
  aVisitor.Name(KeyMetadata{ "data_centre",
                             "",
                             "Data centre in which this instance runs." },
                aSection.m_dataCentre,
                NameRule::Required);
  aVisitor.Name(
    KeyMetadata{
      "site", "", "Site whose overlay is in force on this instance." },
    aSection.m_site,
    NameRule::Required);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, ListenSection& aSection)
{
  aVisitor.Address(
    KeyMetadata{ "http",
                 "ip:port",
                 "Address for callers, trainers, backend servers "
                 "and operators. Port 0 lets the system choose." },
    aSection.m_http);
  aVisitor.Address(
    KeyMetadata{
      "peer", "ip:port", "Address for other instances, over TCP and UDP." },
    aSection.m_peer);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, HttpSection& aSection)
{
  aVisitor.Integer(
    KeyMetadata{ "threads", "threads", "Threads of the HTTP server." },
    aSection.m_threads,
    IntegerRange{ 1, 64 });
  aVisitor.Integer(
    KeyMetadata{ "max_body_bytes",
                 "bytes",
                 "Largest request body; a larger one is refused with 413." },
    aSection.m_maxBodyBytes,
    IntegerRange{ 1024, 1 << 30 });
  aVisitor.Integer(
    KeyMetadata{ "max_header_bytes",
                 "bytes",
                 "Largest request header; a larger one is refused with 431." },
    aSection.m_maxHeaderBytes,
    IntegerRange{ 1024, 1 << 20 });
  aVisitor.Integer(
    KeyMetadata{ "max_connections",
                 "connections",
                 "Connections open at a time; more are refused with 503." },
    aSection.m_maxConnections,
    IntegerRange{ 1, 65536 });
  aVisitor.Milliseconds(
    KeyMetadata{ "request_timeout_ms",
                 "ms",
                 "Time in which a request must have been received whole." },
    aSection.m_requestTimeout,
    IntegerRange{ 100, 3'600'000 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, LogSection& aSection)
{
  aVisitor.Enumeration(
    KeyMetadata{ "level", "", "Lowest severity that is logged." },
    aSection.m_level,
    kLogLevels);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, DrainSection& aSection)
{
  aVisitor.Milliseconds(
    KeyMetadata{
      "deadline_ms",
      "ms",
      "Longest time a graceful shutdown waits for requests in progress." },
    aSection.m_deadline,
    IntegerRange{ 0, 86'400'000 });
}

} // namespace auburntrestle::settings::internal

#endif
