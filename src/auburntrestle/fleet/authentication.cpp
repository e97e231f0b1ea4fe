#include "auburntrestle/fleet/authentication.hpp"

namespace auburntrestle::fleet {

namespace {

tl::expected<RequestAccount, AccessError> FindAccount(
  const AccountTable& aAccounts,
  std::string_view aKey,
  bool aNeedsKey,
  bool aIsCurrent)
{
  if (aAccounts.IsEmpty()) {
    return RequestAccount();
  }
  if (auto account = aAccounts.FindByKey(aKey)) {
    return RequestAccount(std::move(account));
  }
  if (!aNeedsKey) {
    return RequestAccount(AccountName());
  }
  return tl::make_unexpected(aIsCurrent ? AccessError::Unauthenticated
                                        : AccessError::Unconfirmed);
}

} // namespace

std::string_view ToString(AccessError aError) noexcept
{
  switch (aError) {
    case AccessError::Unauthenticated:
      return "unauthenticated";
    case AccessError::Unconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

tl::expected<RequestAccount, AccessError> Authenticate(
  const RouteTable& aRoutes,
  const Route& aRoute,
  std::string_view aKey,
  bool aIsCurrent)
{
  return FindAccount(aRoutes.Accounts(), aKey, !aRoute.m_public, aIsCurrent);
}

tl::expected<RequestAccount, AccessError> AuthenticateJobCall(
  const RouteTable& aRoutes,
  std::string_view aHost,
  std::string_view aKey,
  bool aIsCurrent)
{
  return FindAccount(
    aRoutes.Accounts(), aKey, !aRoutes.HasPublicJobs(aHost), aIsCurrent);
}

} // namespace auburntrestle::fleet
