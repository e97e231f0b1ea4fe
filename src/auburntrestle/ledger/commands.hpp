#ifndef AUBURNTRESTLE_LEDGER_COMMANDS_HPP
#define AUBURNTRESTLE_LEDGER_COMMANDS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/settings/digest.hpp"
#include "auburntrestle/settings/site_name.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::ledger {

using settings::Digest;
using settings::SiteName;

/**
 * Time since the first entry of the ledger. It advances only with the stamps of
 * committed commands and never faster than the clocks of the leaders.
 */
using LedgerTime = StrongType<struct LedgerTimeTag, Duration>;
/** The name of the resource that a lease protects, such as "weights/MODEL". */
using LeaseName = StrongType<struct LeaseNameTag, std::string>;
/** Identifies an edit; chosen by its sender and repeated in a resend. */
using EditId = StrongType<struct EditIdTag, std::string>;

// clang-tidy mistakes the 0 in rewritten comparisons for a null pointer.
// NOLINTBEGIN(modernize-use-nullptr)

/** An incarnation of an instance. */
struct InstanceIdentity
{
  InstanceId m_instance;
  Incarnation m_incarnation;

  friend auto operator<=>(const InstanceIdentity&,
                          const InstanceIdentity&) = default;
};

/** The key of a claim; each caller has its own key space. */
struct ClaimKey
{
  CallerId m_caller;
  IdempotencyKey m_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/** The owner of a claim: a request of an incarnation of an instance. */
struct ClaimOwner
{
  InstanceIdentity m_identity;
  RequestId m_request;

  friend auto operator<=>(const ClaimOwner&, const ClaimOwner&) = default;
};

/** Identifies a sample of a trainer. */
struct SampleRef
{
  StepNumber m_step;
  GroupIndex m_group;
  SampleIndex m_index;

  friend auto operator<=>(const SampleRef&, const SampleRef&) = default;
};

// NOLINTEND(modernize-use-nullptr)

/** Advances only the time of the ledger, so that leases and claims expire. */
struct AdvanceTime
{};

/** Replaces the base or one overlay if its number is the next one. */
struct ApplyConfiguration
{
  /** Empty for the base. */
  SiteName m_site;
  std::uint64_t m_number = 0;
  Digest m_digest;
  std::string m_text;
  EditId m_edit;
};

/** Reports the revision that is in force on an instance. */
struct ReportRevision
{
  InstanceIdentity m_identity;
  DataCentreId m_dataCentre;
  Revision m_revision;
};

/** Reports that an incarnation and all previous ones have ended. */
struct InstanceDied
{
  InstanceIdentity m_identity;
};

/** Acquires a lease; when resent by its holder, extends the lease. */
struct AcquireLease
{
  LeaseName m_lease;
  InstanceIdentity m_holder;
  Duration m_duration{};
};

/** Extends a lease that has not expired. */
struct RenewLease
{
  LeaseName m_lease;
  InstanceIdentity m_holder;
  Fencing m_fencing;
  Duration m_duration{};
};

/** Ends a lease early. */
struct ReleaseLease
{
  LeaseName m_lease;
  InstanceIdentity m_holder;
  Fencing m_fencing;
};

/** Claims the right to run non-idempotent work under a key. */
struct BeginClaim
{
  ClaimKey m_key;
  ClaimOwner m_owner;
  /** Digest of the request; another request under the same key is refused. */
  Digest m_request;
  /** How long the outcome is kept after the work has ended. */
  Duration m_retention{};
};

/** Stores the response of the work. */
struct FinishClaim
{
  ClaimKey m_key;
  ClaimOwner m_owner;
  std::string m_response;
};

/** Reports that the work may have run and that its response is lost. */
struct MarkClaimUnknown
{
  ClaimKey m_key;
  ClaimOwner m_owner;
};

/** Removes a claim whose work has certainly not run. */
struct AbandonClaim
{
  ClaimKey m_key;
  ClaimOwner m_owner;
};

/** Opens a step of a trainer. */
struct OpenStep
{
  TrainerId m_trainer;
  StepNumber m_step;
  /** Digest of the complete request; a resend has the same one. */
  Digest m_digest;
  /** The number of samples of each group, by group index. */
  std::vector<std::uint32_t> m_groupSizes;
  /** Opaque data with which a new coordinator can continue the step. */
  std::string m_payload;
};

/** Abandons a step without samples in the outstanding batch. */
struct AbandonStep
{
  TrainerId m_trainer;
  StepNumber m_step;
};

/** Publishes a new version of a model's weights. */
struct PublishVersion
{
  TrainerId m_trainer;
  ModelName m_model;
  WeightVersion m_version;
};

/** Fixes the content of a trainer's next batch. */
struct FixBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
  std::vector<SampleRef> m_samples;
  std::string m_payload;
  /** The term in which the sender is coordinator. */
  Term m_term;
};

/** Reports that the trainer has received a batch. */
struct AcknowledgeBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** Reports that the trainer has not received a batch; frees its samples. */
struct DiscardBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** Any command. The index is part of the encoding, so only append to the list.
 */
using Command = std::variant<AdvanceTime,
                             ApplyConfiguration,
                             ReportRevision,
                             InstanceDied,
                             AcquireLease,
                             RenewLease,
                             ReleaseLease,
                             BeginClaim,
                             FinishClaim,
                             MarkClaimUnknown,
                             AbandonClaim,
                             OpenStep,
                             AbandonStep,
                             PublishVersion,
                             FixBatch,
                             AcknowledgeBatch,
                             DiscardBatch>;

/** A command with the time stamp of the proposing leader. */
struct Proposal
{
  LedgerTime m_stamp;
  Command m_command;
};

} // namespace auburntrestle::ledger

#endif
