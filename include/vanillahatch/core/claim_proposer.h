// One operation of an entry on one key of the ledger: to claim it, to record
// the outcome of the job, or to abandon a claim that was never dispatched.
//
// A deterministic state machine. The shell sends what it returns, passes
// replies and failures in, ticks it, and reads `Result()` once it is set.
//
//   ClaimProposer proposer({ .key_ = key, .claimant_ = id, ... });
//   Send(proposer.Start(now));
//   Send(proposer.OnReply(replica, serial, reply, now));
//   if (proposer.Result()) { ... }
//
// A claim first tries the fast ballot: one round trip and one sync at each
// replica. If that does not decide, it goes on with ballots of its own, each
// with a prepare and an accept phase.
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
  kHeld,        // claim: another claimant has it and nothing is recorded
  kRecorded,    // the recorded outcome stands (in `outcome_`)
  kAbandoned,   // abandon: this claimant can never be granted the key again
  kExpired,     // the replicas no longer remember so old a key
  kUnavailable, // no quorum in time; a claim may or may not stand
};

struct ClaimResult
{
  ClaimOutcome outcome_ = ClaimOutcome::kUnavailable;
  v1::RecordedOutcome recorded_;
  uint64_t lastRound_ = 0; // the next operation starts above it
};

struct ClaimProposerOptions
{
  std::string key_;
  std::string claimant_; // never used for another claim
  int64_t issuedAtUnixMs_ = 0;
  ClaimOperation operation_ = ClaimOperation::kClaim;
  v1::RecordedOutcome outcome_; // of kRecord
  size_t replicas_ = 3;
  Millis deadline_;                // monotonic; the operation then ends
  uint64_t lastRound_ = 0;         // the highest that this claimant has used
  bool skipFast_ = false;          // a replica is known to be silent
  Millis fastWait_ = Millis(60);   // then the fast ballot is given up
  Millis phaseWait_ = Millis(500); // then a phase is tried anew
  Millis pollEvery_ = Millis(100); // while another claimant has the key
  // Without a quorum's answer for so long, the operation ends.
  Millis quorumWait_ = Seconds(3);
  uint64_t seed_ = 0; // for the pauses after a conflict
};

struct SendVote
{
  size_t replica_ = 0;
  uint64_t serial_ = 0; // comes back with the reply
  v1::VoteRequest request_;
};

class ClaimProposer
{
public:
  explicit ClaimProposer(ClaimProposerOptions aOptions);

  std::vector<SendVote> Start(Millis aNow);
  std::vector<SendVote> OnReply(size_t aReplica,
                                uint64_t aSerial,
                                const v1::VoteReply& aReply,
                                Millis aNow);
  // The replica did not answer this request and will not.
  std::vector<SendVote> OnFailure(size_t aReplica,
                                  uint64_t aSerial,
                                  Millis aNow);
  std::vector<SendVote> OnTick(Millis aNow);
  // Ends the operation now, as if its deadline had come.
  void Cancel();

  const std::optional<ClaimResult>& Result() const { return result_; }
  // When `OnTick` is next of use.
  Millis WakeAt() const { return wakeAt_; }
  // Whether the fast ballot ended because a replica was silent.
  bool FastTimedOut() const { return fastTimedOut_; }

private:
  enum class Phase
  {
    kIdle,
    kFast,
    kPrepare,
    kAccept,
    kPause,
  };

  std::vector<SendVote> Broadcast(Phase aPhase,
                                  const v1::ClaimValue* aValue,
                                  Millis aWait,
                                  Millis aNow);
  std::vector<SendVote> Prepare(Millis aNow);
  std::vector<SendVote> Evaluate(Millis aNow);
  std::vector<SendVote> Decide(std::span<const v1::KeyState* const> aStates,
                               Millis aNow);
  std::vector<SendVote> AfterSilence(Millis aNow);
  void Backoff(int64_t aFactor, Millis aNow);
  void Conclude(Millis aNow);
  void Pause(Millis aSpan, Millis aNow);
  void End(ClaimOutcome aOutcome);

  // The value to propose where `aCurrent` may be decided (null: none is).
  v1::ClaimValue Successor(const v1::ClaimValue* aCurrent) const;
  void Learn(const v1::VoteReply& aReply);
  bool IsValid(size_t aReplica) const;
  std::vector<const v1::KeyState*> Granted() const;
  size_t CountRefused() const;
  size_t CountExpired() const;
  size_t CountSilent() const;

  ClaimProposerOptions options_;
  ClaimQuorum quorum_;
  std::mt19937_64 random_;
  Phase phase_ = Phase::kIdle;
  uint64_t serial_ = 0;
  v1::Ballot ballot_;
  uint64_t highestRound_ = 0; // seen anywhere
  v1::ClaimValue proposed_;
  std::vector<std::optional<v1::VoteReply>> replies_; // of this phase
  std::vector<bool> failed_;                          // in this phase
  std::vector<uint64_t> identities_;                  // newest known
  bool seenHeldByOther_ = false;
  bool fastTimedOut_ = false;
  int64_t silences_ = 0; // phases in a row that no quorum answered
  Millis quorumAt_;      // when a quorum last answered
  Millis wakeAt_;
  std::optional<ClaimResult> result_;
};

} // namespace vanillahatch
