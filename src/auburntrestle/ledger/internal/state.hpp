#ifndef AUBURNTRESTLE_LEDGER_INTERNAL_STATE_HPP
#define AUBURNTRESTLE_LEDGER_INTERNAL_STATE_HPP

#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/results.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::ledger::internal {

/** An accepted edit without its text. */
struct AcceptedEdit
{
  std::uint64_t m_number = 0;
  Digest m_digest;
  EditId m_edit;
  Revision m_revision;
  LedgerTime m_acceptedAt;
};

/** The base or one overlay. */
struct FileState
{
  /** In order of number; the last one is in force. */
  std::deque<AcceptedEdit> m_edits;
  std::string m_text;
};

struct ConfigurationState
{
  Revision m_revision;
  std::map<SiteName, FileState> m_files;
};

struct InstanceState
{
  Incarnation m_incarnation;
  /** All lower incarnations are known to have ended. */
  Incarnation m_firstAlive;
  DataCentreId m_dataCentre;
  Revision m_revision;
  LedgerTime m_lastSeenAt;
};

struct LeaseState
{
  InstanceIdentity m_holder;
  Fencing m_fencing;
  Duration m_duration{};
  Duration m_previousDuration{};
  LedgerTime m_endsAt;
  bool m_released = false;
};

struct LeaseTableState
{
  /** One counter for all leases, so that erasing a lease never reuses a number.
   */
  Fencing m_lastFencing;
  std::map<LeaseName, LeaseState> m_leases;
};

struct Claim
{
  ClaimOwner m_owner;
  Digest m_request;
  ClaimState m_state = ClaimState::Running;
  std::string m_response;
  Duration m_retention{};
  /** When the claim expires; unused while it is running. */
  LedgerTime m_expiresAt;
};

enum class SampleState : std::uint8_t
{
  Free,
  Fixed,
  Delivered,
};

struct OpenStepState
{
  Digest m_digest;
  LogIndex m_openedAt;
  std::vector<std::uint32_t> m_groupSizes;
  /** One SampleState per sample, ordered by group and index. */
  std::string m_samples;
  std::string m_payload;
};

struct ClosedStep
{
  Digest m_digest;
  LogIndex m_openedAt;
};

struct OutstandingBatch
{
  std::vector<SampleRef> m_samples;
  std::string m_payload;
  LogIndex m_fixedAt;
};

struct TrainerState
{
  std::map<StepNumber, OpenStepState> m_open;
  std::map<StepNumber, ClosedStep> m_closed;
  /** Lower steps that are not in the maps have been forgotten. */
  StepNumber m_firstKnownStep;
  Cursor m_lastCursor;
  std::optional<OutstandingBatch> m_outstanding;
  /** Recently closed cursors, and whether their batch was discarded. */
  std::map<Cursor, bool> m_closedCursors;
};

struct ModelState
{
  TrainerId m_trainer;
  WeightVersion m_newest;
};

/** The complete replicated state. */
struct State
{
  LogIndex m_lastApplied;
  LedgerTime m_now;
  ConfigurationState m_configuration;
  std::map<InstanceId, InstanceState> m_instances;
  LeaseTableState m_leases;
  std::map<ClaimKey, Claim> m_claims;
  std::map<TrainerId, TrainerState> m_trainers;
  std::map<ModelName, ModelState> m_models;
};

} // namespace auburntrestle::ledger::internal

#endif
