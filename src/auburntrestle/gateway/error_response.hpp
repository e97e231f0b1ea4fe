#ifndef AUBURNTRESTLE_GATEWAY_ERROR_RESPONSE_HPP
#define AUBURNTRESTLE_GATEWAY_ERROR_RESPONSE_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/gateway/http.hpp"

#include <string>
#include <string_view>

namespace auburntrestle::gateway {

/**
 * Renders the JSON body of a failed request.
 *
 * @param aMessage explanation for people; programs read the code.
 * @param aRetryAfter delay after which to retry; zero for no advice.
 */
[[nodiscard]] std::string ErrorBody(const RequestError& aError,
                                    std::string_view aMessage,
                                    Duration aRetryAfter = Duration::zero());

/** @return the response to a failed request, with a Retry-After header if a
 * delay is given. */
[[nodiscard]] HttpResponse MakeErrorResponse(
  const RequestError& aError,
  std::string_view aMessage,
  Duration aRetryAfter = Duration::zero());

} // namespace auburntrestle::gateway

#endif
