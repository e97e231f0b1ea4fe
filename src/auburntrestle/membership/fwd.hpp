#ifndef AUBURNTRESTLE_MEMBERSHIP_FWD_HPP
#define AUBURNTRESTLE_MEMBERSHIP_FWD_HPP

#include <cstdint>

namespace auburntrestle::membership {

enum class MemberState : std::uint8_t;
struct Advertisement;
struct MemberUpdate;
struct Summary;
struct MembershipSettings;
class GossipQueue;
class MemberTable;
class Membership;
class SummaryTable;

} // namespace auburntrestle::membership

#endif
