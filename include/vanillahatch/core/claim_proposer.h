// One operation of an entry on one key of the ledger: to claim it, to record
// the outcome of the job, or to abandon a claim that was never dispatched.
//
// A deterministic state machine without I/O. The caller sends the requests
// that it returns, passes replies and failures in, calls `OnTick`, and reads
// `Result()` once it is set. An operation that reaches no quorum in time ends
// with `kUnavailable`.
//
//   ClaimProposer proposer({ .key_ = key, .claimant_ = id, ... });
//   Send(proposer.Start(now));
//   Send(proposer.OnReply(replica, serial, reply, now));
//   if (proposer.Result()) { ... }
//
// A claim first tries the fast ballot: one round trip and one sync at each
// replica. If that decides nothing, it continues with ballots of its own, each
// with a prepare and an accept phase (single-decree Paxos).
#pragma once

#include "vanillahatch/core/claim_quorum.h"
#include "vanillahatch/core/clock.h"

#include "ledger.pb.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace vanillahatch {

enum class ClaimOperation
{
  kClaim,
  kRecord,
  kAbandon,
};

enum class ClaimOutcome
{
  kGranted,     // claim: decided for this claimant, which may dispatch once
  kHeldByOther, // claim: another claimant holds the key; no outcome yet
  kRecorded,    // an outcome is recorded, in `recorded_`
  kAbandoned,   // abandon: this claimant can never be granted the key again
  kExpired,     // the key was issued before the issue-time floor
  kUnavailable, // no quorum in time; whether a claim is decided is unknown
};

struct ClaimResult
{
  ClaimOutcome outcome_ = ClaimOutcome::kUnavailable;
  v1::RecordedOutcome recorded_;
  uint64_t lastRound_ = 0; // the claimant's next operation starts above it
};

struct ClaimProposerOptions
{
  std::string key_;
  std::string claimant_;       // never used for another claim
  int64_t issuedAtUnixMs_ = 0; // when the caller issued the key
  ClaimOperation operation_ = ClaimOperation::kClaim;
  v1::RecordedOutcome outcome_; // to record; kRecord only
  size_t replicaCount_ = 3;
  Millis deadline_;             // monotonic; the operation ends then
  uint64_t lastRound_ = 0;      // highest round that this claimant used
  bool skipFastBallot_ = false; // set while a replica is unresponsive
  Millis fastBallotTimeout_ = Millis(60); // of the fast ballot
  Millis phaseTimeout_ = Millis(500);     // of a prepare or accept phase
  Millis pollInterval_ = Millis(100);     // while another claimant holds it
  // The operation ends if no quorum has answered for this long.
  Millis quorumTimeout_ = Seconds(3);
  uint64_t seed_ = 0; // of the random backoff
};

struct OutgoingVoteRequest
{
  size_t replicaIndex_ = 0; // index of the replica that the request goes to
  uint64_t serial_ = 0;     // of the phase; passed back with the reply
  v1::VoteRequest request_;
};

class ClaimProposer
{
public:
  explicit ClaimProposer(ClaimProposerOptions aOptions);

  std::vector<OutgoingVoteRequest> Start(Millis aNow);
  std::vector<OutgoingVoteRequest> OnReply(size_t aReplicaIndex,
                                           uint64_t aSerial,
                                           const v1::VoteReply& aReply,
                                           Millis aNow);
  // The request failed: no reply to it will come.
  std::vector<OutgoingVoteRequest> OnFailure(size_t aReplicaIndex,
                                             uint64_t aSerial,
                                             Millis aNow);
  // Ends phases, pauses and the operation whose time is over.
  std::vector<OutgoingVoteRequest> OnTick(Millis aNow);
  // Ends the operation as if its deadline had passed.
  void Cancel();

  const std::optional<ClaimResult>& Result() const { return result_; }
  // The earliest time at which `OnTick` has something to do.
  Millis WakeAt() const { return wakeAt_; }
  // Whether the fast ballot ended because a replica was unresponsive.
  bool FastBallotTimedOut() const { return fastBallotTimedOut_; }

private:
  enum class Phase
  {
    kIdle, // before the start and after the end
    kFast,
    kPrepare,
    kAccept,
    kPause, // until the next ballot
  };

  // Makes one request for each replica; without `aValue` it is a prepare.
  std::vector<OutgoingVoteRequest> StartPhase(Phase aPhase,
                                              const v1::ClaimValue* aValue,
                                              Millis aTimeout,
                                              Millis aNow);
  std::vector<OutgoingVoteRequest> StartPrepare(Millis aNow);
  std::vector<OutgoingVoteRequest> EvaluateReplies(Millis aNow);
  std::vector<OutgoingVoteRequest> ProposeAfterPrepare(
    std::span<const v1::KeyState* const> aStates,
    Millis aNow);
  // Continues after a phase that can reach no quorum or has timed out.
  std::vector<OutgoingVoteRequest> HandleMissedQuorum(Millis aNow);
  void StartBackoff(int64_t aFactor, Millis aNow);
  void HandleDecidedValue(Millis aNow);
  void StartPause(Millis aDuration, Millis aNow);
  void Finish(ClaimOutcome aOutcome);

  // The value to propose. `aCurrent` may already be decided; it is null if no
  // value can be.
  v1::ClaimValue ChooseProposal(const v1::ClaimValue* aCurrent) const;
  void UpdateRoundAndIdentities(const v1::VoteReply& aReply);
  bool HasValidReply(size_t aReplicaIndex) const;
  std::vector<const v1::KeyState*> GrantedStates() const;
  size_t CountRefused() const;
  size_t CountExpired() const;
  size_t CountFailed() const;

  ClaimProposerOptions options_;
  ClaimQuorum quorum_;
  std::mt19937_64 random_;
  Phase phase_ = Phase::kIdle;
  uint64_t serial_ = 0;
  v1::Ballot ballot_;
  uint64_t highestRound_ = 0; // observed in any reply or used
  v1::ClaimValue proposed_;
  std::vector<std::optional<v1::VoteReply>> replies_; // of this phase
  std::vector<bool> failed_;                          // in this phase
  std::vector<uint64_t> identities_; // newest known, by replica
  bool wasHeldByOther_ = false;      // by a decided value
  bool fastBallotTimedOut_ = false;
  int64_t phasesWithoutQuorum_ = 0; // in a row; sets the backoff
  Millis lastQuorumAt_;             // when a quorum last answered
  Millis wakeAt_;
  std::optional<ClaimResult> result_;
};

} // namespace vanillahatch
