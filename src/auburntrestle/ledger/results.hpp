#ifndef AUBURNTRESTLE_LEDGER_RESULTS_HPP
#define AUBURNTRESTLE_LEDGER_RESULTS_HPP

#include "auburntrestle/ledger/commands.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace auburntrestle::ledger {

/** Why a command was refused and changed nothing. */
enum class RefusalKind : std::uint8_t
{
  /** The bytes are not a valid command. */
  Malformed,
  /** The command has an unknown format version. */
  UnknownVersion,
  /** The log index is not higher than the last applied one. */
  AlreadyApplied,
  /** An invalid argument, such as an empty name or a duration out of range. */
  InvalidArgument,
  /** A table is full; m_current is its limit. */
  LimitReached,
  /** A payload is too large; m_current is the limit in bytes. */
  PayloadTooLarge,
  /** Too many payload bytes are stored; retry later. */
  StoreFull,
  /** Another edit has this number; m_detail is its digest. */
  NumberTaken,
  /** The number is not the next one; m_current is the last accepted number. */
  NumberNotNext,
  /** The edit id belongs to an edit with another number or digest. */
  EditIdReused,
  /** No such revision has been accepted; m_current is the newest. */
  UnknownRevision,
  /** The instance has reported a higher revision, which is m_current. */
  RevisionWentBack,
  /** The lease is held: m_detail is the holder, m_current its fencing number.
   */
  LeaseHeld,
  /** The lease has expired or has another holder. */
  LeaseLost,
  /** The key belongs to another request; m_detail is that request's digest. */
  KeyReused,
  UnknownClaim,
  NotClaimOwner,
  ClaimNotRunning,
  /** The claim was finished with another response. */
  AnswerConflict,
  /** The incarnation is known to have ended; m_current is the first that is
   * not. */
  DeadIncarnation,
  /** The step was opened with other content; m_detail is its digest. */
  StepConflict,
  /** The step is too old to be known; m_current is the first step that is
   * not. */
  StepForgotten,
  UnknownStep,
  /** A batch with samples of this step is outstanding. */
  StepInDelivery,
  /** The version is older than the newest one, which is m_current. */
  VersionWentBack,
  /** The sender was not the coordinator when the entry was appended. */
  NotCoordinator,
  /** The cursor is not the next one, which is m_current. */
  CursorNotNext,
  /** Another batch is fixed under this cursor. */
  CursorTaken,
  /** The previous batch is neither acknowledged nor discarded. */
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

/** A refusal with the details that the sender needs to react. */
struct Refusal
{
  RefusalKind m_kind = RefusalKind::Malformed;
  /** A number whose meaning depends on the kind; otherwise 0. */
  std::uint64_t m_current = 0;
  /** A digest or name whose meaning depends on the kind; otherwise empty. */
  std::string m_detail;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/** The command has succeeded and has no further result. */
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
  /** Duration of the previous holder's lease; zero if there was none. */
  Duration m_previousDuration{};

  friend bool operator==(const LeaseGranted&, const LeaseGranted&) = default;
};

/** The state of the work of a claim. */
enum class ClaimState : std::uint8_t
{
  Running,
  Finished,
  OutcomeUnknown,
};

/** The result of BeginClaim. */
struct ClaimResult
{
  /** Whether the sender owns the claim and must run the work. */
  bool m_begun = false;
  ClaimState m_state = ClaimState::Running;
  /** The stored response of a finished claim. */
  std::string m_response;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

struct StepOpened
{
  StepNumber m_step;
  /** The index of the entry that opened the step. */
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
  /** The index of the entry that fixed the batch. */
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

/** The result of a command. */
using Result = tl::expected<ResultValue, Refusal>;

} // namespace auburntrestle::ledger

#endif
