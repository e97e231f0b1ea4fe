#ifndef AUBURNTRESTLE_LEDGER_RESULTS_HPP
#define AUBURNTRESTLE_LEDGER_RESULTS_HPP

#include "auburntrestle/ledger/commands.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace auburntrestle::ledger {

/** Why a command changed nothing. */
enum class RefusalKind : std::uint8_t
{
  /** The bytes are no command. */
  Malformed,
  /** The command has a format version that this program does not know. */
  UnknownVersion,
  /** The log index is not above the last applied one. */
  AlreadyApplied,
  /** An empty name, a duration out of range and the like. */
  InvalidArgument,
  /** A table has no room; m_current is its limit. */
  LimitReached,
  /** One payload is larger than allowed; m_current is the limit in bytes. */
  PayloadTooLarge,
  /** Too many payload bytes are held already; try again later. */
  StoreFull,
  /** Another edit has this number; m_detail is its digest. */
  NumberTaken,
  /** The number is not the next one; m_current is the last accepted one. */
  NumberNotNext,
  /** The edit id belongs to an edit with another number or digest. */
  EditIdReused,
  /** No such revision has been accepted; m_current is the newest. */
  UnknownRevision,
  /** m_current is the revision in force. */
  RevisionWentBack,
  /** m_detail is the holder, m_current its fencing number. */
  LeaseHeld,
  /** The lease has ended or has another holder. */
  LeaseLost,
  /** The key belongs to another request; m_detail is that request's digest. */
  KeyReused,
  UnknownClaim,
  NotClaimOwner,
  ClaimNotRunning,
  /** The claim was finished with another answer. */
  AnswerConflict,
  /** The life of the instance is known to have ended. */
  DeadIncarnation,
  /** The step was opened with other content; m_detail is its digest. */
  StepConflict,
  /** The step is older than those remembered; m_current is the first that is
   * not. */
  StepForgotten,
  UnknownStep,
  /** A batch with samples of this step is outstanding. */
  StepInDelivery,
  /** m_current is the newest version. */
  VersionWentBack,
  /** The sender was not the coordinator when the entry was appended. */
  NotCoordinator,
  /** m_current is the next cursor. */
  CursorNotNext,
  /** Another batch is fixed under this cursor. */
  CursorTaken,
  /** The batch of the cursor before is neither acknowledged nor discarded. */
  BatchOutstanding,
  UnknownSample,
  /** A sample is in a fixed batch already. */
  SampleTaken,
  /** No batch was fixed under this cursor, or it is too old to be known. */
  UnknownCursor,
  BatchAcknowledged,
  BatchDiscarded,
};

/** @return the stable name of a kind, such as "number_taken". */
[[nodiscard]] std::string_view ToString(RefusalKind aKind) noexcept;

/** A refusal with what the sender needs to go on. */
struct Refusal
{
  RefusalKind m_kind = RefusalKind::Malformed;
  /** A number whose meaning depends on the kind; otherwise 0. */
  std::uint64_t m_current = 0;
  /** A digest or name whose meaning depends on the kind; otherwise empty. */
  std::string m_detail;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/** The command has been carried out and has nothing more to say. */
struct Done
{
  friend bool operator==(const Done&, const Done&) = default;
};

struct ConfigurationAccepted
{
  Revision m_revision;
  std::uint64_t m_number = 0;
  Digest m_digest;

  friend bool operator==(const ConfigurationAccepted&,
                         const ConfigurationAccepted&) = default;
};

struct LeaseGranted
{
  Fencing m_fencing;
  Duration m_duration{};
  /** Duration of the lease of the holder before; zero if there was none. */
  Duration m_previousDuration{};

  friend bool operator==(const LeaseGranted&, const LeaseGranted&) = default;
};

/** What is known of the work of a claim. */
enum class ClaimState : std::uint8_t
{
  Running,
  Finished,
  OutcomeUnknown,
};

/** The answer to BeginClaim. */
struct ClaimResult
{
  /** The sender owns the claim and runs the work. */
  bool m_begun = false;
  ClaimState m_state = ClaimState::Running;
  /** The stored answer of a finished claim. */
  std::string m_response;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

struct StepOpened
{
  StepNumber m_step;
  /** Where the step was opened first. */
  LogIndex m_openedAt;

  friend bool operator==(const StepOpened&, const StepOpened&) = default;
};

struct VersionPublished
{
  WeightVersion m_newest;

  friend bool operator==(const VersionPublished&,
                         const VersionPublished&) = default;
};

struct BatchFixed
{
  Cursor m_cursor;
  /** Where the batch was fixed first. */
  LogIndex m_fixedAt;

  friend bool operator==(const BatchFixed&, const BatchFixed&) = default;
};

using ResultValue = std::variant<Done,
                                 ConfigurationAccepted,
                                 LeaseGranted,
                                 ClaimResult,
                                 StepOpened,
                                 VersionPublished,
                                 BatchFixed>;

/** The outcome of a command. */
using Result = tl::expected<ResultValue, Refusal>;

} // namespace auburntrestle::ledger

#endif
