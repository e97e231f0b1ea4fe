#ifndef AUBURNTRESTLE_TOOLS_COMMON_BATCHING_MODEL_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_BATCHING_MODEL_HPP

#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace auburntrestle::tools {

/** Timing of an engine with continuous batching. */
struct BatchingTiming
{
  /** Maximum number of running sequences; the others wait in arrival order. */
  std::size_t m_slots = 16;
  /** Number of sequences that run without slowing each other down. */
  std::size_t m_knee = 8;
  Duration m_timePerToken{ 5000 };
  /** Growth of the time per token for each sequence above the knee, as a
   *  share of the time per token. */
  double m_slopeAboveKnee = 0.1;
  /** Part of the time to first token that is independent of the prompt. */
  Duration m_firstTokenBase{ 20'000 };
  Duration m_perPromptToken{ 50 };
};

/** Identifies a sequence within one model. */
using SequenceNumber = std::uint64_t;

/** A sequence to run. */
struct Sequence
{
  SequenceNumber m_number = 0;
  /** Prompt tokens that have to be computed; excludes cached ones. */
  std::uint64_t m_promptTokens = 0;
  /** Index of the first token to produce; above zero when resumed. */
  std::uint64_t m_firstIndex = 0;
  /** Length of the complete output, in tokens. */
  std::uint64_t m_length = 0;
};

/** A token that is due. */
struct ProducedToken
{
  SequenceNumber m_number = 0;
  std::uint64_t m_index = 0;
  bool m_last = false;
};

/**
 * Computes when each sequence produces its tokens. It has no clock; callers
 * pass the current time.
 */
class BatchingModel
{
public:
  explicit BatchingModel(const BatchingTiming& aTiming)
    : m_timing(aTiming)
  {
  }

  /** Adds a sequence; the number of waiting sequences is unlimited. */
  void Submit(const Sequence& aSequence, TimePoint aNow);
  /** Removes a sequence. @return false when it is unknown. */
  bool Cancel(SequenceNumber aNumber, TimePoint aNow);
  /** Multiplies all times from now on; 1 is normal speed. */
  void SetSlowFactor(double aFactor) noexcept { m_slowFactor = aFactor; }
  /** Delays all running sequences, and those that start during the pause. */
  void Pause(Duration aDuration, TimePoint aNow);
  /** @return the tokens that are due, in order of time. */
  [[nodiscard]] std::vector<ProducedToken> Advance(TimePoint aNow);
  /** @return when the next token is due. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;
  /** @return the time per token at the current number of sequences. */
  [[nodiscard]] Duration TimePerToken() const;

  [[nodiscard]] std::size_t RunningCount() const noexcept
  {
    return m_running.size();
  }
  [[nodiscard]] std::size_t WaitingCount() const noexcept
  {
    return m_waiting.size();
  }

private:
  struct Active
  {
    Sequence m_sequence;
    std::uint64_t m_nextIndex = 0;
    TimePoint m_due;
  };

  void FillSlots(TimePoint aNow);
  [[nodiscard]] Duration Scale(double aMicroseconds) const;

  BatchingTiming m_timing;
  double m_slowFactor = 1.0;
  TimePoint m_pausedUntil;
  std::deque<Sequence> m_waiting;
  std::map<SequenceNumber, Active> m_running;
};

} // namespace auburntrestle::tools

#endif
