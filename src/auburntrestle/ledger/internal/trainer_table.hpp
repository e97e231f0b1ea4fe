#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_TRAINER_TABLE_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_TRAINER_TABLE_HPP

#include "auburntrestle/ledger/internal/state.hpp"
#include "auburntrestle/ledger/limits.hpp"

#include <cstddef>
#include <optional>

namespace auburntrestle::ledger::internal {

/** @return the index of a sample in OpenStepState::m_samples. */
[[nodiscard]] std::optional<std::size_t> SampleOffset(
  const OpenStepState& aStep,
  const SampleRef& aSample);

/** Applies commands on steps, versions and batches. */
class TrainerTable
{
public:
  /** Recomputes the payload bytes from a restored state. */
  void Rebuild(const State& aState);

  [[nodiscard]] Result Apply(const OpenStep& aCommand,
                             LogIndex aIndex,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const AbandonStep& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const PublishVersion& aCommand,
                             State& aState,
                             const Limits& aLimits);
  /** @param aTerm the term of the log entry that holds the command. */
  [[nodiscard]] Result Apply(const FixBatch& aCommand,
                             LogIndex aIndex,
                             Term aTerm,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const AcknowledgeBatch& aCommand,
                             State& aState,
                             const Limits& aLimits);
  [[nodiscard]] Result Apply(const DiscardBatch& aCommand,
                             State& aState,
                             const Limits& aLimits);

  /** @return the total bytes of the stored payloads. */
  [[nodiscard]] std::size_t PayloadBytes() const noexcept
  {
    return m_payloadBytes;
  }

private:
  /** How a batch was closed. */
  enum class Closing : std::uint8_t
  {
    Acknowledged,
    Discarded,
  };
  [[nodiscard]] Result CloseBatch(const TrainerId& aTrainer,
                                  Cursor aCursor,
                                  Closing aClosing,
                                  State& aState,
                                  const Limits& aLimits);
  void CloseStep(TrainerState& aTrainer,
                 StepNumber aStep,
                 const Limits& aLimits);

  std::size_t m_payloadBytes = 0;
};

} // namespace auburntrestle::ledger::internal

#endif
