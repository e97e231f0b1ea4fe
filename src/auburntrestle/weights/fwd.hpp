#ifndef AUBURNTRESTLE_WEIGHTS_FWD_HPP
#define AUBURNTRESTLE_WEIGHTS_FWD_HPP

namespace auburntrestle::weights {

struct WeightKey;
struct EngineState;
struct Goals;
struct PlannerSettings;
struct PlannerMetrics;
class Planner;

} // namespace auburntrestle::weights

#endif
