// Quorum sizes of the ledger and the rule that picks the value which may
// already be decided, used by proposers and by replicas that catch up.
//
//   const ClaimQuorum quorum(3);     // majority 2, fast quorum 3
//   const v1::KeyState* candidate = quorum.Candidate(states);
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
  explicit ClaimQuorum(size_t aReplicaCount)
    : replicaCount_(aReplicaCount)
  {
  }

  size_t ReplicaCount() const { return replicaCount_; }

  // Number of votes that decide a ballot whose round is above zero.
  size_t Majority() const { return replicaCount_ / 2 + 1; }

  // Number of votes that decide the fast ballot. Any two sets of this size and
  // any majority have a replica in common, so a majority can tell which value
  // of the fast ballot may have been decided.
  size_t FastQuorum() const { return (2 * replicaCount_ - Majority()) / 2 + 1; }

  // The state whose value may have been decided; null if there is none.
  // `aStates` are the states of one key at a majority of replicas or more.
  const v1::KeyState* Candidate(
    std::span<const v1::KeyState* const> aStates) const;

  // Whether the votes in `aStates` suffice to decide `aCandidate`.
  bool IsDecided(std::span<const v1::KeyState* const> aStates,
                 const v1::KeyState& aCandidate) const;

private:
  size_t replicaCount_;
};

} // namespace vanillahatch
