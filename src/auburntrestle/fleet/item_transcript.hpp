#ifndef AUBURNTRESTLE_FLEET_ITEM_TRANSCRIPT_HPP
#define AUBURNTRESTLE_FLEET_ITEM_TRANSCRIPT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/** Why the stream of a run cannot become part of the output. */
enum class TranscriptFault : std::uint8_t
{
  /** An event is missing or repeated, or the bytes are not events. */
  OutOfOrder,
  /** An event or the whole output exceeds its limit. */
  TooLarge,
};

/** @return the stable name of a fault, such as "output_too_large". */
[[nodiscard]] std::string_view ToString(TranscriptFault aFault) noexcept;

/** Size limits of an ItemTranscript; an engine in trouble may send without end.
 */
struct TranscriptLimits
{
  /** Maximum bytes of one event. */
  std::size_t m_eventBytes = std::size_t{ 1024 } * 1024;
  /** Maximum bytes of the output of an item. */
  std::size_t m_outputBytes = std::size_t{ 8 } * 1024 * 1024;
};

/**
 * Collects the output of an item from the event streams of one or more runs.
 * Only events that arrive completely and in order become part of the output.
 */
class ItemTranscript
{
public:
  /**
   * @param aVersionField name of the event field that announces a change of
   *   the weight version, in lower case.
   */
  explicit ItemTranscript(std::string aVersionField,
                          TranscriptLimits aLimits = {});

  /**
   * Begins a run that continues after LastEvent().
   *
   * @param aVersion the weight version at the start of the run, if known.
   * @param aSoftware the software of the engine; that of the output so far, if
   *   there is any: engines do not check that they understand what others
   *   generated.
   */
  void BeginRun(std::optional<WeightVersion> aVersion,
                SoftwareVersion aSoftware);

  /**
   * Parses the next bytes of the run.
   *
   * @return the number of events that they completed, or why the run must end.
   */
  [[nodiscard]] tl::expected<std::size_t, TranscriptFault> Feed(
    std::string_view aBytes);

  /** @return whether the last event of the run is incomplete. */
  [[nodiscard]] bool IsInsideEvent() const noexcept;
  /** @return the software that generated the output, if there is any. */
  [[nodiscard]] std::optional<SoftwareVersion> Software() const;
  /** Replaces the output by one that was collected earlier. */
  void Restore(const PartialOutput& aOutput);
  /** @return the output so far, or nothing before the first event. */
  [[nodiscard]] std::optional<PartialOutput> ToPartialOutput() const;
  /** Discards the output, so that it is generated again from the start. */
  void Clear();

  /** @return the id of the last complete event, or nothing. */
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const noexcept
  {
    return m_lastEvent;
  }
  /** @return the data of all events, separated by line feeds. */
  [[nodiscard]] const std::string& Output() const noexcept { return m_output; }
  /** @return the weight versions that generated events, ascending. */
  [[nodiscard]] std::vector<WeightVersion> Versions() const;
  [[nodiscard]] std::size_t VersionCount() const noexcept
  {
    return m_versions.size();
  }
  /** @return the weight version of the current run, if known. */
  [[nodiscard]] std::optional<WeightVersion> CurrentVersion() const noexcept
  {
    return m_version;
  }

private:
  /** Discards the incomplete event. */
  void DiscardEvent();
  [[nodiscard]] bool ParseLine(std::string_view aLine);
  [[nodiscard]] bool IsWithinLimits() const noexcept;
  [[nodiscard]] bool FinishEvent();

  std::string m_versionField;
  TranscriptLimits m_limits;
  std::optional<std::uint64_t> m_lastEvent;
  std::string m_output;
  std::size_t m_events = 0;
  std::set<WeightVersion> m_versions;
  std::optional<WeightVersion> m_version;
  SoftwareVersion m_software;

  // State of the incomplete event.
  std::string m_line;
  std::optional<std::uint64_t> m_eventId;
  std::string m_data;
  bool m_hasData = false;
};

} // namespace auburntrestle::fleet

#endif
