#ifndef REVIEW_SUPPORT_STEP_HPP
#define REVIEW_SUPPORT_STEP_HPP

#include "deployment.hpp"
#include "sampler.hpp"

#include <vector>

namespace review {

/** The results of a case, as run.sh returns them. */
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** The figures of tp-ensaio that the cases use. */
inline constexpr int kDrainMs = 2000;
inline constexpr int kContactMs = 3000;

/**
 * Submits a step of a trainer in steady state, reads its results until its
 * deadline, judges it and ends it. The rule: "A step runs out of time while one
 * of its items, which no sampler has finished or failed, has been at no sampler
 * for 5 s of steady state; others of the step had begun, the samplers were
 * under half full".
 *
 * @return kHeld, kBroken or kCouldNotRun.
 */
[[nodiscard]] int PlayStep(Record& aRecord,
                           const Deployment& aDeployment,
                           const std::vector<const Sampler*>& aSamplers);

/** @return the options of a sampler of the service "engines" at which an item
 * takes 3 s. */
[[nodiscard]] SamplerOptions EngineOptions(const Deployment& aDeployment,
                                           int aNumber,
                                           int aSlots);

} // namespace review

#endif
