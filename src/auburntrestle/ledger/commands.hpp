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
 * Time of the ledger since its first entry. It advances only with the stamps of
 * committed commands and never faster than the clocks of the leaders.
 */
using LedgerTime = StrongType<struct LedgerTimeTag, Duration>;
/** What a lease protects, such as "weights/MODEL". */
using LeaseName = StrongType<struct LeaseNameTag, std::string>;
/** Chosen by the sender of an edit; a resend carries the same one. */
using EditId = StrongType<struct EditIdTag, std::string>;

// clang-tidy takes the 0 in rewritten comparisons for a null pointer.
// NOLINTBEGIN(modernize-use-nullptr)

/** One life of an instance. */
struct InstanceIdentity
{
  InstanceId m_instance;
  Incarnation m_incarnation;

  friend auto operator<=>(const InstanceIdentity&,
                          const InstanceIdentity&) = default;
};

/** The key of a claim; keys of different callers are unrelated. */
struct ClaimKey
{
  CallerId m_caller;
  IdempotencyKey m_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/** Who runs a claim: one request of one life of an instance. */
struct ClaimOwner
{
  InstanceIdentity m_identity;
  RequestId m_request;

  friend auto operator<=>(const ClaimOwner&, const ClaimOwner&) = default;
};

/** A sample of a trainer. */
struct SampleRef
{
  StepNumber m_step;
  GroupIndex m_group;
  SampleIndex m_index;

  friend auto operator<=>(const SampleRef&, const SampleRef&) = default;
};

// NOLINTEND(modernize-use-nullptr)

/** Only advances the time of the ledger, so that leases and claims expire. */
struct AdvanceTime
{};

/** Replaces the base or one overlay if the number is the next one. */
struct ApplyConfiguration
{
  /** Empty for the base. */
  SiteName m_site;
  std::uint64_t m_number = 0;
  Digest m_digest;
  std::string m_text;
  EditId m_edit;
};

/** States the revision that is in force on an instance. */
struct ReportRevision
{
  InstanceIdentity m_identity;
  DataCentreId m_dataCentre;
  Revision m_revision;
};

/** States that a life of an instance, and every earlier one, has ended. */
struct InstanceDied
{
  InstanceIdentity m_identity;
};

/** Asks for a lease; resent by its holder it extends the lease. */
struct AcquireLease
{
  LeaseName m_lease;
  InstanceIdentity m_holder;
  Duration m_duration{};
};

/** Extends a lease that has not ended. */
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
  /** Digest of the request; the same key with another request is refused. */
  Digest m_request;
  /** How long the outcome is kept once the work has ended. */
  Duration m_retention{};
};

/** Stores the answer of the work. */
struct FinishClaim
{
  ClaimKey m_key;
  ClaimOwner m_owner;
  std::string m_response;
};

/** States that the work may have run and its answer is lost. */
struct MarkClaimUnknown
{
  ClaimKey m_key;
  ClaimOwner m_owner;
};

/** Removes a claim whose work is proved not to have run. */
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
  /** Digest of the whole request; a resend has the same one. */
  Digest m_digest;
  /** Samples of each group, in the order of groups. */
  std::vector<std::uint32_t> m_groupSizes;
  /** What a new coordinator needs to go on with the step; opaque here. */
  std::string m_payload;
};

/** Gives up a step of which no batch is outstanding. */
struct AbandonStep
{
  TrainerId m_trainer;
  StepNumber m_step;
};

/** States a new version of a model's weights. */
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
  /** The term in which the sender is the coordinator. */
  Term m_term;
};

/** States that the trainer has a batch. */
struct AcknowledgeBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** States that the trainer does not have a batch; its samples are free again.
 */
struct DiscardBatch
{
  TrainerId m_trainer;
  Cursor m_cursor;
};

/** Any command. The order is part of the encoding; append only. */
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

/** A command with the time stamp of the leader that proposes it. */
struct Proposal
{
  LedgerTime m_stamp;
  Command m_command;
};

} // namespace auburntrestle::ledger

#endif
