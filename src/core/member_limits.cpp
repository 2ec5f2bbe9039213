#include "vanillahatch/core/member_limits.h"

#include "vanillahatch/core/effective_settings.h"

#include <set>
#include <string>
#include <string_view>

namespace vanillahatch {

namespace {

constexpr std::string_view kMemberScope = "member:";
constexpr std::string_view kFleetScope = "fleet";

// The setting's value in force, or zero if it has none.
uint32_t ValueOf(const v1::FleetState& aState,
                 std::string_view aSetting,
                 std::string_view aScope,
                 Millis aUnixNow)
{
  const auto value = FindEffectiveValue(aState, aSetting, aScope, aUnixNow);
  return value ? static_cast<uint32_t>(value->value_) : 0;
}

MemberLimit LimitOf(const v1::FleetState& aState,
                    MemberName aMember,
                    std::string_view aScope,
                    Millis aUnixNow)
{
  return MemberLimit{
    .member_ = std::move(aMember),
    .weight_ = ValueOf(aState, "member.weight", aScope, aUnixNow),
    .maxWaiting_ = ValueOf(aState, "member.max_queued", aScope, aUnixNow)
  };
}

} // namespace

std::vector<MemberLimit> EffectiveMemberLimits(const v1::FleetState& aState,
                                               Millis aUnixNow)
{
  std::set<std::string> memberScopes;
  for (const v1::Exception& exception : aState.exceptions()) {
    if (exception.scope().starts_with(kMemberScope)) {
      memberScopes.insert(exception.scope());
    }
  }
  std::vector<MemberLimit> limits;
  limits.push_back(LimitOf(aState, MemberName(), kFleetScope, aUnixNow));
  for (const std::string& scope : memberScopes) {
    const MemberName member(
      std::string_view(scope).substr(kMemberScope.size()));
    limits.push_back(LimitOf(aState, member, scope, aUnixNow));
  }
  return limits;
}

} // namespace vanillahatch
