#ifndef AUBURNTRESTLE_ROLLOUT_FWD_HPP
#define AUBURNTRESTLE_ROLLOUT_FWD_HPP

namespace auburntrestle::rollout {

struct SampleId;
struct VersionSpan;
struct BatchSample;
struct Batch;
struct Policy;
struct TrainerSettings;
struct StepSpec;
struct Metrics;
class Coordinator;

} // namespace auburntrestle::rollout

#endif
