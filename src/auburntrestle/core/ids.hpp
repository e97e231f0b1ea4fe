#ifndef AUBURNTRESTLE_CORE_IDS_HPP
#define AUBURNTRESTLE_CORE_IDS_HPP

#include "auburntrestle/core/strong_type.hpp"

#include <cstdint>
#include <string>

namespace auburntrestle {

/** One running process of this system. */
using InstanceId = StrongType<struct InstanceIdTag, std::string>;
/** A failure domain with its own instances and backend servers. */
using DataCentreId = StrongType<struct DataCentreIdTag, std::string>;
/** An application or trainer that sends requests. */
using CallerId = StrongType<struct CallerIdTag, std::string>;
/** A client account: an organisation whose callers share limits and priority.
 */
using AccountName = StrongType<struct AccountNameTag, std::string>;
/** An engine or plain service that does the work. */
using BackendId = StrongType<struct BackendIdTag, std::string>;
/** A model that engines serve. */
using ModelName = StrongType<struct ModelNameTag, std::string>;
/** A plain service. */
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/** A trainer; each trainer is also a caller. */
using TrainerId = StrongType<struct TrainerIdTag, std::string>;
/** The key with which a caller requests non-idempotent work. */
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;

/** A request, unique within one instance's lifetime. */
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
/** A dispatch of a request to a backend server, counted from 1. */
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;
/** A training step, counted by its trainer. */
using StepNumber = StrongType<struct StepNumberTag, std::uint64_t>;
/** A group of samples of one prompt within a step. */
using GroupIndex = StrongType<struct GroupIndexTag, std::uint32_t>;
/** A sample within its group. */
using SampleIndex = StrongType<struct SampleIndexTag, std::uint32_t>;
/** A version of a model's weights, counted by its trainer. */
using WeightVersion = StrongType<struct WeightVersionTag, std::uint64_t>;
/** A version of the software of backend servers, as they state it; versions
 * have no order. Empty if a server states none. */
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
/** A fencing token: orders the holders of a lease. */
using Fencing = StrongType<struct FencingTag, std::uint64_t>;
/** A leadership term of the replicated log. */
using Term = StrongType<struct TermTag, std::uint64_t>;
/** A position in the replicated log, counted from 1. */
using LogIndex = StrongType<struct LogIndexTag, std::uint64_t>;
/** Increases with each start of a backend server or instance. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/** A revision of the accepted configuration. */
using Revision = StrongType<struct RevisionTag, std::uint64_t>;
/** The sequence number of a trainer's batch, counted from 1. */
using Cursor = StrongType<struct CursorTag, std::uint64_t>;

/** A number of tokens. */
using TokenCount = StrongType<struct TokenCountTag, std::uint64_t>;
/** A number of bytes. */
using ByteCount = StrongType<struct ByteCountTag, std::uint64_t>;

} // namespace auburntrestle

#endif
