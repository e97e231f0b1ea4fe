#ifndef AUBURNTRESTLE_FLEET_FWD_HPP
#define AUBURNTRESTLE_FLEET_FWD_HPP

namespace auburntrestle::fleet {

struct BackendRecord;
struct ClientAccount;
struct InfrastructureSettings;
struct Job;
struct JobSpec;
struct Route;
struct RouteConfiguration;
struct Service;
struct StreamOrigin;
class EntryService;
class ItemScheduler;
class JobRunner;
class LeaderLink;
class LoopMonitor;
class RequestRelay;
class RewardCaller;
class RewardQueue;
class Replica;
class RouteTable;
class State;
class StoreService;
class WatchScheduler;
class WeightRollout;

} // namespace auburntrestle::fleet

#endif
