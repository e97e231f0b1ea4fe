#include "auburntrestle/core/error.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace auburntrestle {
namespace {

// Guards against a new error code without a row, or with a name already in use.
TEST(ErrorCode, EveryCodeHasItsOwnName)
{
  std::set<std::string_view> names;
  constexpr int kLast = static_cast<int>(ErrorCode::KeyOutcomeUnknown);
  for (int code = 0; code <= kLast; ++code) {
    EXPECT_TRUE(names.insert(ToString(static_cast<ErrorCode>(code))).second);
    EXPECT_GE(HttpStatus(static_cast<ErrorCode>(code)), 400);
  }
}

// Guards against a failure that is reported as "not run" without proof.
TEST(RequestError, OutcomeFollowsTheType)
{
  const RequestError refused =
    NotRunError(ErrorCode::Overloaded, NotRunEvidence::NeverSent);
  const RequestError lost = UnknownOutcomeError(ErrorCode::BackendLost);
  EXPECT_EQ(OutcomeOf(refused), "not_run");
  EXPECT_EQ(OutcomeOf(lost), "outcome_unknown");
  EXPECT_EQ(CodeOf(lost), ErrorCode::BackendLost);
}

} // namespace
} // namespace auburntrestle
