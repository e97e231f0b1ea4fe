#include "auburntrestle/core/error.hpp"

#include <array>
#include <cstddef>

namespace auburntrestle {

namespace internal {

struct ErrorCodeRow
{
  std::string_view m_name;
  int m_httpStatus;
};

// Rows are in the order of ErrorCode.
constexpr std::array kErrorCodeTable{
  ErrorCodeRow{ "bad_request", 400 },
  ErrorCodeRow{ "body_too_large", 413 },
  ErrorCodeRow{ "headers_too_large", 431 },
  ErrorCodeRow{ "request_timeout", 408 },
  ErrorCodeRow{ "too_many_connections", 503 },
  ErrorCodeRow{ "not_found", 404 },
  ErrorCodeRow{ "method_not_allowed", 405 },
  ErrorCodeRow{ "unknown_model", 404 },
  ErrorCodeRow{ "unknown_service", 404 },
  ErrorCodeRow{ "overloaded", 429 },
  ErrorCodeRow{ "deadline_exceeded", 504 },
  ErrorCodeRow{ "draining", 503 },
  ErrorCodeRow{ "no_backend", 503 },
  ErrorCodeRow{ "no_quorum", 503 },
  ErrorCodeRow{ "not_ready", 503 },
  ErrorCodeRow{ "conflict", 409 },
  ErrorCodeRow{ "batch_expired", 410 },
  ErrorCodeRow{ "backend_refused", 502 },
  ErrorCodeRow{ "backend_lost", 502 },
  ErrorCodeRow{ "backend_timeout", 504 },
  ErrorCodeRow{ "bad_backend_answer", 502 },
  ErrorCodeRow{ "cancelled", 499 },
  ErrorCodeRow{ "key_in_progress", 409 },
  ErrorCodeRow{ "key_outcome_unknown", 409 },
};
static_assert(kErrorCodeTable.size() ==
              static_cast<std::size_t>(ErrorCode::KeyOutcomeUnknown) + 1);

} // namespace internal

std::string_view ToString(ErrorCode aCode) noexcept
{
  return internal::kErrorCodeTable[static_cast<std::size_t>(aCode)].m_name;
}

std::optional<ErrorCode> ParseErrorCode(std::string_view aName) noexcept
{
  for (std::size_t index = 0; index < internal::kErrorCodeTable.size();
       ++index) {
    if (internal::kErrorCodeTable[index].m_name == aName) {
      return static_cast<ErrorCode>(index);
    }
  }
  return std::nullopt;
}

int HttpStatus(ErrorCode aCode) noexcept
{
  return internal::kErrorCodeTable[static_cast<std::size_t>(aCode)]
    .m_httpStatus;
}

ErrorCode CodeOf(const RequestError& aError) noexcept
{
  return std::visit([](const auto& aValue) { return aValue.Code(); }, aError);
}

std::string_view OutcomeOf(const RequestError& aError) noexcept
{
  return std::holds_alternative<NotRunError>(aError) ? "not_run"
                                                     : "outcome_unknown";
}

} // namespace auburntrestle
