#include "auburntrestle/gateway/error_response.hpp"

#include <nlohmann/json.hpp>

namespace auburntrestle::gateway {

namespace internal {

std::int64_t CeilMilliseconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
}

} // namespace internal

std::string ErrorBody(const RequestError& aError,
                      std::string_view aMessage,
                      Duration aRetryAfter)
{
  nlohmann::json error{ { "code", ToString(CodeOf(aError)) },
                        { "message", aMessage },
                        { "outcome", OutcomeOf(aError) } };
  if (aRetryAfter > Duration::zero()) {
    error["retry_after_ms"] = internal::CeilMilliseconds(aRetryAfter);
  }
  return nlohmann::json{ { "error", std::move(error) } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse MakeErrorResponse(const RequestError& aError,
                               std::string_view aMessage,
                               Duration aRetryAfter)
{
  HttpResponse response;
  response.m_status = HttpStatus(CodeOf(aError));
  response.m_body = ErrorBody(aError, aMessage, aRetryAfter);
  // Distinguishes an error of this system from a response of a plain service.
  response.m_headers.emplace_back("X-Trestle-Error",
                                  std::string(ToString(CodeOf(aError))));
  if (aRetryAfter > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter);
    response.m_headers.emplace_back("Retry-After",
                                    std::to_string(seconds.count()));
  }
  return response;
}

} // namespace auburntrestle::gateway
