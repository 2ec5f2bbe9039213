#include "vanillahatch/core/claim_quorum.h"

#include <algorithm>
#include <tuple>

namespace vanillahatch {

namespace {

size_t CountSameVotes(std::span<const v1::KeyState* const> aStates,
                      const v1::KeyState& aState)
{
  const auto isSame = [&](const v1::KeyState* aOther) {
    return aOther->has_value() &&
           IsSame(aOther->accepted(), aState.accepted()) &&
           aOther->value().claimant() == aState.value().claimant();
  };
  return std::count_if(aStates.begin(), aStates.end(), isSame);
}

} // namespace

bool IsLess(const v1::Ballot& aLeft, const v1::Ballot& aRight)
{
  return std::tuple(aLeft.round(), std::string_view(aLeft.proposer())) <
         std::tuple(aRight.round(), std::string_view(aRight.proposer()));
}

bool IsSame(const v1::Ballot& aLeft, const v1::Ballot& aRight)
{
  return aLeft.round() == aRight.round() &&
         aLeft.proposer() == aRight.proposer();
}

const v1::KeyState* ClaimQuorum::Candidate(
  std::span<const v1::KeyState* const> aStates) const
{
  const v1::KeyState* highest = nullptr;
  for (const v1::KeyState* state : aStates) {
    const bool isHigher =
      state->has_value() &&
      (highest == nullptr || IsLess(highest->accepted(), state->accepted()));
    highest = isHigher ? state : highest;
  }
  if (highest == nullptr || highest->accepted().round() > 0) {
    return highest;
  }
  // Only votes of the fast ballot: a value is a candidate if the replicas
  // whose states are missing could complete its fast quorum. At most one value
  // can be.
  const size_t missing = replicaCount_ - aStates.size();
  for (const v1::KeyState* state : aStates) {
    if (state->has_value() &&
        CountSameVotes(aStates, *state) + missing >= FastQuorum()) {
      return state;
    }
  }
  return nullptr;
}

bool ClaimQuorum::IsDecided(std::span<const v1::KeyState* const> aStates,
                            const v1::KeyState& aCandidate) const
{
  const bool isFast = aCandidate.accepted().round() == 0;
  return CountSameVotes(aStates, aCandidate) >=
         (isFast ? FastQuorum() : Majority());
}

} // namespace vanillahatch
