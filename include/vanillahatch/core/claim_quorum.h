// Quorum sizes of the ledger and the rule that picks the value which may
// already be decided, shared by proposers and by replicas that catch up.
//
//   const ClaimQuorum quorum(3);     // majority 2, fast quorum 3
//   const v1::KeyState* held = quorum.Candidate(states);
#pragma once

#include "ledger.pb.h"

#include <span>

namespace vanillahatch {

// Ballots compare by round, then by proposer.
bool IsLess(const v1::Ballot& aLeft, const v1::Ballot& aRight);
bool IsSame(const v1::Ballot& aLeft, const v1::Ballot& aRight);

class ClaimQuorum
{
public:
  explicit ClaimQuorum(size_t aReplicas)
    : replicas_(aReplicas)
  {
  }

  size_t Replicas() const { return replicas_; }

  // Replicas whose votes decide a ballot above zero.
  size_t Majority() const { return replicas_ / 2 + 1; }

  // Replicas whose votes decide the fast ballot: any two such sets and any
  // majority have a replica in common, so that a majority can tell which
  // value of the fast ballot may have been decided.
  size_t Fast() const { return (2 * replicas_ - Majority()) / 2 + 1; }

  // Of the states that at least a majority of different replicas hold for one
  // key, the one whose value may have been decided; null if there is none.
  const v1::KeyState* Candidate(
    std::span<const v1::KeyState* const> aStates) const;

  // Whether the states by themselves show that `aCandidate` is decided.
  bool IsDecided(std::span<const v1::KeyState* const> aStates,
                 const v1::KeyState& aCandidate) const;

private:
  size_t replicas_;
};

} // namespace vanillahatch
