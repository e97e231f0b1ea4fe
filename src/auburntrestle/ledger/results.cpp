#include "auburntrestle/ledger/results.hpp"

#include <array>

namespace auburntrestle::ledger {

namespace internal {

// Names are in the order of RefusalKind.
constexpr std::array<std::string_view, 34> kRefusalNames{
  "malformed",         "unknown_version",   "already_applied",
  "invalid_argument",  "limit_reached",     "payload_too_large",
  "store_full",        "number_taken",      "number_not_next",
  "edit_id_reused",    "unknown_revision",  "revision_went_back",
  "lease_held",        "lease_lost",        "key_reused",
  "unknown_claim",     "not_claim_owner",   "claim_not_running",
  "answer_conflict",   "dead_incarnation",  "step_conflict",
  "step_forgotten",    "unknown_step",      "step_in_delivery",
  "version_went_back", "not_coordinator",   "cursor_not_next",
  "cursor_taken",      "batch_outstanding", "unknown_sample",
  "sample_taken",      "unknown_cursor",    "batch_acknowledged",
  "batch_discarded",
};

static_assert(kRefusalNames.size() ==
              static_cast<std::size_t>(RefusalKind::BatchDiscarded) + 1);

} // namespace internal

std::string_view ToString(RefusalKind aKind) noexcept
{
  return internal::kRefusalNames[static_cast<std::size_t>(aKind)];
}

} // namespace auburntrestle::ledger
