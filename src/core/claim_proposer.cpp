#include "vanillahatch/core/claim_proposer.h"

#include <algorithm>
#include <utility>

namespace vanillahatch {

namespace {

constexpr int64_t kMinBackoffMs = 5;
constexpr int64_t kMaxBackoffMs = 40;
constexpr int64_t kMaxBackoffExponent = 6; // up to 64 times the pause

v1::ClaimValue MakeValue(v1::ClaimPhase aPhase, const std::string& aClaimant)
{
  v1::ClaimValue value;
  value.set_phase(aPhase);
  value.set_claimant(aClaimant);
  return value;
}

} // namespace

ClaimProposer::ClaimProposer(ClaimProposerOptions aOptions)
  : options_(std::move(aOptions))
  , quorum_(options_.replicaCount_)
  , random_(options_.seed_)
  , highestRound_(options_.lastRound_)
  , replies_(options_.replicaCount_)
  , failed_(options_.replicaCount_)
  , identities_(options_.replicaCount_)
{
}

std::vector<OutgoingVoteRequest> ClaimProposer::Start(Millis aNow)
{
  lastQuorumAt_ = aNow;
  if (options_.operation_ != ClaimOperation::kClaim ||
      options_.skipFastBallot_) {
    return StartPrepare(aNow);
  }
  proposed_ = MakeValue(v1::CLAIM_HELD, options_.claimant_);
  ballot_.Clear();
  return StartPhase(
    Phase::kFast, &proposed_, options_.fastBallotTimeout_, aNow);
}

std::vector<OutgoingVoteRequest> ClaimProposer::OnReply(
  size_t aReplicaIndex,
  uint64_t aSerial,
  const v1::VoteReply& aReply,
  Millis aNow)
{
  if (result_) {
    return {};
  }
  UpdateRoundAndIdentities(aReply);
  if (aSerial != serial_ || replies_[aReplicaIndex]) {
    return {};
  }
  const bool isVote = aReply.status() == v1::VOTE_GRANTED ||
                      aReply.status() == v1::VOTE_REFUSED ||
                      aReply.status() == v1::VOTE_EXPIRED;
  if (!isVote) {
    return OnFailure(aReplicaIndex, aSerial, aNow);
  }
  replies_[aReplicaIndex] = aReply;
  return EvaluateReplies(aNow);
}

std::vector<OutgoingVoteRequest> ClaimProposer::OnFailure(size_t aReplicaIndex,
                                                          uint64_t aSerial,
                                                          Millis aNow)
{
  if (result_ || aSerial != serial_) {
    return {};
  }
  failed_[aReplicaIndex] = true;
  return EvaluateReplies(aNow);
}

std::vector<OutgoingVoteRequest> ClaimProposer::OnTick(Millis aNow)
{
  if (result_ || phase_ == Phase::kIdle) {
    return {};
  }
  const bool lacksQuorum = aNow - lastQuorumAt_ >= options_.quorumTimeout_;
  if (aNow >= options_.deadline_ || lacksQuorum) {
    Cancel();
    return {};
  }
  if (aNow < wakeAt_) {
    return {};
  }
  fastBallotTimedOut_ = fastBallotTimedOut_ || phase_ == Phase::kFast;
  if (phase_ == Phase::kPrepare || phase_ == Phase::kAccept) {
    return HandleMissedQuorum(aNow);
  }
  return StartPrepare(aNow);
}

void ClaimProposer::Cancel()
{
  if (!result_) {
    Finish(wasHeldByOther_ ? ClaimOutcome::kHeldByOther
                           : ClaimOutcome::kUnavailable);
  }
}

std::vector<OutgoingVoteRequest> ClaimProposer::StartPrepare(Millis aNow)
{
  ballot_.set_round(highestRound_ + 1);
  ballot_.set_proposer(options_.claimant_);
  highestRound_ = ballot_.round();
  return StartPhase(Phase::kPrepare, nullptr, options_.phaseTimeout_, aNow);
}

std::vector<OutgoingVoteRequest> ClaimProposer::StartPhase(
  Phase aPhase,
  const v1::ClaimValue* aValue,
  Millis aTimeout,
  Millis aNow)
{
  phase_ = aPhase;
  ++serial_;
  wakeAt_ = std::min(aNow + aTimeout, options_.deadline_);
  std::fill(replies_.begin(), replies_.end(), std::nullopt);
  std::fill(failed_.begin(), failed_.end(), false);
  std::vector<OutgoingVoteRequest> requests(quorum_.ReplicaCount());
  for (size_t i = 0; i < requests.size(); ++i) {
    requests[i].replicaIndex_ = i;
    requests[i].serial_ = serial_;
    requests[i].request_.set_key(options_.key_);
    requests[i].request_.set_issued_at_unix_ms(options_.issuedAtUnixMs_);
    *requests[i].request_.mutable_ballot() = ballot_;
    if (aValue != nullptr) {
      *requests[i].request_.mutable_value() = *aValue;
    }
  }
  return requests;
}

std::vector<OutgoingVoteRequest> ClaimProposer::EvaluateReplies(Millis aNow)
{
  const std::vector<const v1::KeyState*> granted = GrantedStates();
  switch (phase_) {
    case Phase::kFast:
      if (granted.size() >= quorum_.FastQuorum()) {
        Finish(ClaimOutcome::kGranted);
        return {};
      }
      if (CountRefused() > 0) {
        return StartPrepare(aNow);
      }
      break;
    case Phase::kPrepare:
      if (granted.size() >= quorum_.Majority()) {
        return ProposeAfterPrepare(granted, aNow);
      }
      break;
    case Phase::kAccept:
      if (granted.size() >= quorum_.Majority()) {
        HandleDecidedValue(aNow);
        return {};
      }
      break;
    case Phase::kIdle:
    case Phase::kPause:
      return {};
  }
  const size_t possibleVotes =
    quorum_.ReplicaCount() - CountExpired() - CountFailed();
  if (possibleVotes < quorum_.Majority() && CountExpired() > 0) {
    Finish(ClaimOutcome::kExpired);
    return {};
  }
  if (CountRefused() > quorum_.ReplicaCount() - quorum_.Majority()) {
    lastQuorumAt_ = aNow;
    StartBackoff(1, aNow);
    return {};
  }
  const size_t answered =
    std::count_if(replies_.begin(), replies_.end(), [](const auto& aReply) {
      return aReply.has_value();
    });
  const size_t unanswered = quorum_.ReplicaCount() - answered - CountFailed();
  const size_t quorumSize =
    phase_ == Phase::kFast ? quorum_.FastQuorum() : quorum_.Majority();
  return granted.size() + unanswered < quorumSize
           ? HandleMissedQuorum(aNow)
           : std::vector<OutgoingVoteRequest>();
}

std::vector<OutgoingVoteRequest> ClaimProposer::HandleMissedQuorum(Millis aNow)
{
  if (phase_ == Phase::kFast) {
    fastBallotTimedOut_ = true;
    return StartPrepare(aNow);
  }
  phasesWithoutQuorum_ =
    std::min(phasesWithoutQuorum_ + 1, kMaxBackoffExponent);
  StartBackoff(int64_t{ 1 } << phasesWithoutQuorum_, aNow);
  return {};
}

void ClaimProposer::StartBackoff(int64_t aFactor, Millis aNow)
{
  std::uniform_int_distribution<int64_t> pause(kMinBackoffMs, kMaxBackoffMs);
  StartPause(Millis(pause(random_) * aFactor), aNow);
}

std::vector<OutgoingVoteRequest> ClaimProposer::ProposeAfterPrepare(
  std::span<const v1::KeyState* const> aStates,
  Millis aNow)
{
  lastQuorumAt_ = aNow;
  phasesWithoutQuorum_ = 0;
  const v1::KeyState* candidate = quorum_.Candidate(aStates);
  const v1::ClaimValue* current =
    candidate != nullptr ? &candidate->value() : nullptr;
  v1::ClaimValue next = ChooseProposal(current);
  const bool isUnchanged = current != nullptr &&
                           next.phase() == current->phase() &&
                           next.claimant() == current->claimant();
  const bool isDecided = isUnchanged && quorum_.IsDecided(aStates, *candidate);
  proposed_ = std::move(next);
  if (isDecided) {
    HandleDecidedValue(aNow);
    return {};
  }
  return StartPhase(Phase::kAccept, &proposed_, options_.phaseTimeout_, aNow);
}

v1::ClaimValue ClaimProposer::ChooseProposal(
  const v1::ClaimValue* aCurrent) const
{
  const bool isOwnValue =
    aCurrent != nullptr && aCurrent->claimant() == options_.claimant_;
  const bool isFree =
    aCurrent == nullptr || aCurrent->phase() == v1::CLAIM_ABANDONED;
  const bool isOwnClaim = isOwnValue && aCurrent->phase() == v1::CLAIM_HELD;
  switch (options_.operation_) {
    case ClaimOperation::kClaim:
      if (isFree && !isOwnValue) {
        return MakeValue(v1::CLAIM_HELD, options_.claimant_);
      }
      break;
    case ClaimOperation::kRecord:
      if (isOwnClaim) {
        v1::ClaimValue value =
          MakeValue(v1::CLAIM_RECORDED, options_.claimant_);
        *value.mutable_outcome() = options_.outcome_;
        return value;
      }
      break;
    case ClaimOperation::kAbandon:
      if (isOwnClaim || aCurrent == nullptr) {
        return MakeValue(v1::CLAIM_ABANDONED, options_.claimant_);
      }
      break;
  }
  if (aCurrent == nullptr) {
    // Reached only by recording the outcome of a key that was removed.
    return MakeValue(v1::CLAIM_ABANDONED, options_.claimant_);
  }
  // Proposing the same value again completes its decision.
  return *aCurrent;
}

void ClaimProposer::HandleDecidedValue(Millis aNow)
{
  const bool isOwnValue = proposed_.claimant() == options_.claimant_;
  if (proposed_.phase() == v1::CLAIM_RECORDED) {
    Finish(ClaimOutcome::kRecorded);
    return;
  }
  switch (options_.operation_) {
    case ClaimOperation::kClaim:
      if (proposed_.phase() == v1::CLAIM_HELD && isOwnValue) {
        Finish(ClaimOutcome::kGranted);
        return;
      }
      // Another claimant's job may run: polls for its outcome until the
      // deadline.
      wasHeldByOther_ = true;
      StartPause(options_.pollInterval_, aNow);
      return;
    case ClaimOperation::kRecord:
      Finish(ClaimOutcome::kExpired);
      return;
    case ClaimOperation::kAbandon:
      Finish(ClaimOutcome::kAbandoned);
      return;
  }
}

void ClaimProposer::StartPause(Millis aDuration, Millis aNow)
{
  phase_ = Phase::kPause;
  ++serial_;
  wakeAt_ = std::min(aNow + aDuration, options_.deadline_);
}

void ClaimProposer::Finish(ClaimOutcome aOutcome)
{
  phase_ = Phase::kIdle;
  result_ = ClaimResult{ .outcome_ = aOutcome, .lastRound_ = highestRound_ };
  if (aOutcome == ClaimOutcome::kRecorded) {
    result_->recorded_ = proposed_.outcome();
  }
}

void ClaimProposer::UpdateRoundAndIdentities(const v1::VoteReply& aReply)
{
  highestRound_ = std::max(highestRound_, aReply.state().promised().round());
  const auto knownCount = static_cast<size_t>(aReply.identities_size());
  for (size_t i = 0; i < identities_.size() && i < knownCount; ++i) {
    identities_[i] =
      std::max(identities_[i], aReply.identities(static_cast<int>(i)));
  }
}

bool ClaimProposer::HasValidReply(size_t aReplicaIndex) const
{
  // A vote that a replica cast before it lost its state is void once another
  // reply reports the replica's newer identity.
  return replies_[aReplicaIndex] &&
         replies_[aReplicaIndex]->identities_size() ==
           static_cast<int>(identities_.size()) &&
         replies_[aReplicaIndex]->identities(static_cast<int>(aReplicaIndex)) ==
           identities_[aReplicaIndex];
}

std::vector<const v1::KeyState*> ClaimProposer::GrantedStates() const
{
  std::vector<const v1::KeyState*> states;
  for (size_t i = 0; i < replies_.size(); ++i) {
    if (HasValidReply(i) && replies_[i]->status() == v1::VOTE_GRANTED) {
      states.push_back(&replies_[i]->state());
    }
  }
  return states;
}

size_t ClaimProposer::CountRefused() const
{
  return std::count_if(
    replies_.begin(), replies_.end(), [](const auto& aReply) {
      return aReply && aReply->status() == v1::VOTE_REFUSED;
    });
}

size_t ClaimProposer::CountExpired() const
{
  return std::count_if(
    replies_.begin(), replies_.end(), [](const auto& aReply) {
      return aReply && aReply->status() == v1::VOTE_EXPIRED;
    });
}

size_t ClaimProposer::CountFailed() const
{
  return std::count(failed_.begin(), failed_.end(), true);
}

} // namespace vanillahatch
