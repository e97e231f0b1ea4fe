#ifndef AUBURNTRESTLE_CORE_ERROR_HPP
#define AUBURNTRESTLE_CORE_ERROR_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace auburntrestle {

/** Why a request failed; the names are stable and sent in HTTP responses. */
enum class ErrorCode : std::uint8_t
{
  BadRequest,
  BodyTooLarge,
  HeadersTooLarge,
  RequestTimeout,
  TooManyConnections,
  NotFound,
  MethodNotAllowed,
  UnknownModel,
  UnknownService,
  Overloaded,
  DeadlineExceeded,
  Draining,
  NoBackend,
  NoQuorum,
  NotReady,
  Conflict,
  BatchExpired,
  BackendRefused,
  BackendLost,
  BackendTimeout,
  BadBackendResponse,
  Cancelled,
  KeyInProgress,
  KeyOutcomeUnknown,
};

/** @return the stable name of an error code, such as "unknown_model". */
[[nodiscard]] std::string_view ToString(ErrorCode aCode) noexcept;

/** @return the code with a stable name, or nothing for any other text. */
[[nodiscard]] std::optional<ErrorCode> ParseErrorCode(
  std::string_view aName) noexcept;

/** @return the HTTP status of a response with an error code. */
[[nodiscard]] int HttpStatus(ErrorCode aCode) noexcept;

/** The proof that a request did not run. */
enum class NotRunEvidence : std::uint8_t
{
  /** The request was refused before it was sent to any backend server. */
  NeverSent,
  /** No connection to the backend server was made, so no byte reached it. */
  ConnectFailed,
  /** The backend server reported that it did not run the request. */
  BackendReportedNotRun,
};

/** A failure with proof that the work did not run. */
class NotRunError
{
public:
  constexpr NotRunError(ErrorCode aCode, NotRunEvidence aEvidence) noexcept
    : m_code(aCode)
    , m_evidence(aEvidence)
  {
  }
  [[nodiscard]] constexpr ErrorCode Code() const noexcept { return m_code; }
  [[nodiscard]] constexpr NotRunEvidence Evidence() const noexcept
  {
    return m_evidence;
  }
  friend constexpr bool operator==(const NotRunError&,
                                   const NotRunError&) = default;

private:
  ErrorCode m_code;
  NotRunEvidence m_evidence;
};

/** A failure after which the work may have run, completely or partly. */
class UnknownOutcomeError
{
public:
  constexpr explicit UnknownOutcomeError(ErrorCode aCode) noexcept
    : m_code(aCode)
  {
  }
  [[nodiscard]] constexpr ErrorCode Code() const noexcept { return m_code; }
  friend constexpr bool operator==(const UnknownOutcomeError&,
                                   const UnknownOutcomeError&) = default;

private:
  ErrorCode m_code;
};

/** The failure of a request, as reported to the caller. */
using RequestError = std::variant<NotRunError, UnknownOutcomeError>;

/** @return the error code of either kind of failure. */
[[nodiscard]] ErrorCode CodeOf(const RequestError& aError) noexcept;

/** @return "not_run" or "outcome_unknown". */
[[nodiscard]] std::string_view OutcomeOf(const RequestError& aError) noexcept;

} // namespace auburntrestle

#endif
