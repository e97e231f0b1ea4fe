#ifndef AUBURNTRESTLE_FLEET_ITEM_TRANSCRIPT_HPP
#define AUBURNTRESTLE_FLEET_ITEM_TRANSCRIPT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/**
 * The text of an item, collected from the event streams of one or more runs.
 * Only events received in full and in order are taken.
 */
class ItemTranscript
{
public:
  /**
   * @param aVersionField name of the line with which an event states that the
   *   weight version changed, in lower case.
   */
  explicit ItemTranscript(std::string aVersionField);

  /**
   * Begins a run that continues after LastEvent.
   *
   * @param aVersion the version under which the run begins, if stated.
   */
  void BeginRun(std::optional<WeightVersion> aVersion);

  /**
   * Takes the next bytes of the run.
   *
   * @return how many events they completed, or nothing when the stream skips
   *   or repeats an event or cannot be read.
   */
  [[nodiscard]] std::optional<std::size_t> Feed(std::string_view aBytes);

  /** @return whether the run stopped within an event. */
  [[nodiscard]] bool InsideEvent() const noexcept;
  /** Takes over a text, as if it had been received. */
  void Restore(const PartialOutput& aText);
  /** @return the text so far, or nothing while there is none. */
  [[nodiscard]] std::optional<PartialOutput> Text() const;
  /** Forgets all text, to generate it anew. */
  void Clear();

  /** @return the id of the last event taken, or nothing. */
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const noexcept
  {
    return m_lastEvent;
  }
  /** @return the data of all events, separated by line feeds. */
  [[nodiscard]] const std::string& Output() const noexcept { return m_output; }
  /** @return the versions that generated events, ascending. */
  [[nodiscard]] std::vector<WeightVersion> Versions() const;
  /** @return the version of the present run. */
  [[nodiscard]] std::optional<WeightVersion> CurrentVersion() const noexcept
  {
    return m_version;
  }

private:
  [[nodiscard]] bool TakeLine(std::string_view aLine);
  [[nodiscard]] bool TakeEvent();

  std::string m_versionField;
  std::optional<std::uint64_t> m_lastEvent;
  std::string m_output;
  std::size_t m_events = 0;
  std::set<WeightVersion> m_versions;
  std::optional<WeightVersion> m_version;

  // The event being received.
  std::string m_line;
  std::optional<std::uint64_t> m_eventId;
  std::string m_data;
  bool m_hasData = false;
};

} // namespace auburntrestle::fleet

#endif
