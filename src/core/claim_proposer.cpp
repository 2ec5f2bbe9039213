#include "vanillahatch/core/claim_proposer.h"

#include <algorithm>
#include <utility>

namespace vanillahatch {

namespace {

constexpr int64_t kLeastPauseMs = 5;
constexpr int64_t kMostPauseMs = 40;
constexpr int64_t kMostSilences = 6; // pauses grow to 64 times the first

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
  , quorum_(options_.replicas_)
  , random_(options_.seed_)
  , highestRound_(options_.lastRound_)
  , replies_(options_.replicas_)
  , failed_(options_.replicas_)
  , identities_(options_.replicas_)
{
}

std::vector<SendVote> ClaimProposer::Start(Millis aNow)
{
  quorumAt_ = aNow;
  if (options_.operation_ != ClaimOperation::kClaim || options_.skipFast_) {
    return Prepare(aNow);
  }
  proposed_ = MakeValue(v1::CLAIM_HELD, options_.claimant_);
  ballot_.Clear();
  return Broadcast(Phase::kFast, &proposed_, options_.fastWait_, aNow);
}

std::vector<SendVote> ClaimProposer::OnReply(size_t aReplica,
                                             uint64_t aSerial,
                                             const v1::VoteReply& aReply,
                                             Millis aNow)
{
  if (result_) {
    return {};
  }
  Learn(aReply);
  if (aSerial != serial_ || replies_[aReplica]) {
    return {};
  }
  const bool isVote = aReply.status() == v1::VOTE_GRANTED ||
                      aReply.status() == v1::VOTE_REFUSED ||
                      aReply.status() == v1::VOTE_EXPIRED;
  if (!isVote) {
    return OnFailure(aReplica, aSerial, aNow);
  }
  replies_[aReplica] = aReply;
  return Evaluate(aNow);
}

std::vector<SendVote> ClaimProposer::OnFailure(size_t aReplica,
                                               uint64_t aSerial,
                                               Millis aNow)
{
  if (result_ || aSerial != serial_) {
    return {};
  }
  failed_[aReplica] = true;
  return Evaluate(aNow);
}

std::vector<SendVote> ClaimProposer::OnTick(Millis aNow)
{
  if (result_ || phase_ == Phase::kIdle) {
    return {};
  }
  const bool isCutOff = aNow - quorumAt_ >= options_.quorumWait_;
  if (aNow >= options_.deadline_ || isCutOff) {
    Cancel();
    return {};
  }
  if (aNow < wakeAt_) {
    return {};
  }
  fastTimedOut_ = fastTimedOut_ || phase_ == Phase::kFast;
  if (phase_ == Phase::kPrepare || phase_ == Phase::kAccept) {
    return AfterSilence(aNow);
  }
  return Prepare(aNow);
}

void ClaimProposer::Cancel()
{
  if (!result_) {
    End(seenHeldByOther_ ? ClaimOutcome::kHeld : ClaimOutcome::kUnavailable);
  }
}

std::vector<SendVote> ClaimProposer::Prepare(Millis aNow)
{
  ballot_.set_round(highestRound_ + 1);
  ballot_.set_proposer(options_.claimant_);
  highestRound_ = ballot_.round();
  return Broadcast(Phase::kPrepare, nullptr, options_.phaseWait_, aNow);
}

std::vector<SendVote> ClaimProposer::Broadcast(Phase aPhase,
                                               const v1::ClaimValue* aValue,
                                               Millis aWait,
                                               Millis aNow)
{
  phase_ = aPhase;
  ++serial_;
  wakeAt_ = std::min(aNow + aWait, options_.deadline_);
  std::fill(replies_.begin(), replies_.end(), std::nullopt);
  std::fill(failed_.begin(), failed_.end(), false);
  std::vector<SendVote> sends(quorum_.Replicas());
  for (size_t i = 0; i < sends.size(); ++i) {
    sends[i].replica_ = i;
    sends[i].serial_ = serial_;
    sends[i].request_.set_key(options_.key_);
    sends[i].request_.set_issued_at_unix_ms(options_.issuedAtUnixMs_);
    *sends[i].request_.mutable_ballot() = ballot_;
    if (aValue != nullptr) {
      *sends[i].request_.mutable_value() = *aValue;
    }
  }
  return sends;
}

std::vector<SendVote> ClaimProposer::Evaluate(Millis aNow)
{
  const std::vector<const v1::KeyState*> granted = Granted();
  switch (phase_) {
    case Phase::kFast:
      if (granted.size() >= quorum_.Fast()) {
        End(ClaimOutcome::kGranted);
        return {};
      }
      if (CountRefused() > 0) {
        return Prepare(aNow);
      }
      break;
    case Phase::kPrepare:
      if (granted.size() >= quorum_.Majority()) {
        return Decide(granted, aNow);
      }
      break;
    case Phase::kAccept:
      if (granted.size() >= quorum_.Majority()) {
        Conclude(aNow);
        return {};
      }
      break;
    case Phase::kIdle:
    case Phase::kPause:
      return {};
  }
  const size_t possible = quorum_.Replicas() - CountExpired() - CountSilent();
  if (possible < quorum_.Majority() && CountExpired() > 0) {
    End(ClaimOutcome::kExpired);
    return {};
  }
  if (CountRefused() > quorum_.Replicas() - quorum_.Majority()) {
    quorumAt_ = aNow;
    Backoff(1, aNow);
    return {};
  }
  const size_t answered =
    std::count_if(replies_.begin(), replies_.end(), [](const auto& aReply) {
      return aReply.has_value();
    });
  const size_t unanswered = quorum_.Replicas() - answered - CountSilent();
  const size_t needed =
    phase_ == Phase::kFast ? quorum_.Fast() : quorum_.Majority();
  return granted.size() + unanswered < needed ? AfterSilence(aNow)
                                              : std::vector<SendVote>();
}

std::vector<SendVote> ClaimProposer::AfterSilence(Millis aNow)
{
  if (phase_ == Phase::kFast) {
    fastTimedOut_ = true;
    return Prepare(aNow);
  }
  silences_ = std::min(silences_ + 1, kMostSilences);
  Backoff(int64_t{ 1 } << silences_, aNow);
  return {};
}

void ClaimProposer::Backoff(int64_t aFactor, Millis aNow)
{
  std::uniform_int_distribution<int64_t> pause(kLeastPauseMs, kMostPauseMs);
  Pause(Millis(pause(random_) * aFactor), aNow);
}

std::vector<SendVote> ClaimProposer::Decide(
  std::span<const v1::KeyState* const> aStates,
  Millis aNow)
{
  quorumAt_ = aNow;
  silences_ = 0;
  const v1::KeyState* held = quorum_.Candidate(aStates);
  const v1::ClaimValue* current = held != nullptr ? &held->value() : nullptr;
  v1::ClaimValue next = Successor(current);
  const bool isUnchanged = current != nullptr &&
                           next.phase() == current->phase() &&
                           next.claimant() == current->claimant();
  const bool isDecided = isUnchanged && quorum_.IsDecided(aStates, *held);
  proposed_ = std::move(next);
  if (isDecided) {
    Conclude(aNow);
    return {};
  }
  return Broadcast(Phase::kAccept, &proposed_, options_.phaseWait_, aNow);
}

v1::ClaimValue ClaimProposer::Successor(const v1::ClaimValue* aCurrent) const
{
  const bool isMine =
    aCurrent != nullptr && aCurrent->claimant() == options_.claimant_;
  const bool isFree =
    aCurrent == nullptr || aCurrent->phase() == v1::CLAIM_ABANDONED;
  const bool isMyClaim = isMine && aCurrent->phase() == v1::CLAIM_HELD;
  switch (options_.operation_) {
    case ClaimOperation::kClaim:
      if (isFree && !isMine) {
        return MakeValue(v1::CLAIM_HELD, options_.claimant_);
      }
      break;
    case ClaimOperation::kRecord:
      if (isMyClaim) {
        v1::ClaimValue value =
          MakeValue(v1::CLAIM_RECORDED, options_.claimant_);
        *value.mutable_outcome() = options_.outcome_;
        return value;
      }
      break;
    case ClaimOperation::kAbandon:
      if (isMyClaim || aCurrent == nullptr) {
        return MakeValue(v1::CLAIM_ABANDONED, options_.claimant_);
      }
      break;
  }
  if (aCurrent == nullptr) {
    // Only a record of a key that was forgotten comes here.
    return MakeValue(v1::CLAIM_ABANDONED, options_.claimant_);
  }
  // Proposing the same value again settles it.
  return *aCurrent;
}

void ClaimProposer::Conclude(Millis aNow)
{
  const bool isMine = proposed_.claimant() == options_.claimant_;
  if (proposed_.phase() == v1::CLAIM_RECORDED) {
    End(ClaimOutcome::kRecorded);
    return;
  }
  switch (options_.operation_) {
    case ClaimOperation::kClaim:
      if (proposed_.phase() == v1::CLAIM_HELD && isMine) {
        End(ClaimOutcome::kGranted);
        return;
      }
      // Another claimant's job runs: its outcome may come within the deadline.
      seenHeldByOther_ = true;
      Pause(options_.pollEvery_, aNow);
      return;
    case ClaimOperation::kRecord:
      End(ClaimOutcome::kExpired);
      return;
    case ClaimOperation::kAbandon:
      End(ClaimOutcome::kAbandoned);
      return;
  }
}

void ClaimProposer::Pause(Millis aSpan, Millis aNow)
{
  phase_ = Phase::kPause;
  ++serial_;
  wakeAt_ = std::min(aNow + aSpan, options_.deadline_);
}

void ClaimProposer::End(ClaimOutcome aOutcome)
{
  phase_ = Phase::kIdle;
  result_ = ClaimResult{ .outcome_ = aOutcome, .lastRound_ = highestRound_ };
  if (aOutcome == ClaimOutcome::kRecorded) {
    result_->recorded_ = proposed_.outcome();
  }
}

void ClaimProposer::Learn(const v1::VoteReply& aReply)
{
  highestRound_ = std::max(highestRound_, aReply.state().promised().round());
  const auto known = static_cast<size_t>(aReply.identities_size());
  for (size_t i = 0; i < identities_.size() && i < known; ++i) {
    identities_[i] =
      std::max(identities_[i], aReply.identities(static_cast<int>(i)));
  }
}

bool ClaimProposer::IsValid(size_t aReplica) const
{
  // A vote given before its replica lost its disk does not count beside a
  // vote that knows of the loss.
  return replies_[aReplica] &&
         replies_[aReplica]->identities_size() ==
           static_cast<int>(identities_.size()) &&
         replies_[aReplica]->identities(static_cast<int>(aReplica)) ==
           identities_[aReplica];
}

std::vector<const v1::KeyState*> ClaimProposer::Granted() const
{
  std::vector<const v1::KeyState*> states;
  for (size_t i = 0; i < replies_.size(); ++i) {
    if (IsValid(i) && replies_[i]->status() == v1::VOTE_GRANTED) {
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

size_t ClaimProposer::CountSilent() const
{
  return std::count(failed_.begin(), failed_.end(), true);
}

} // namespace vanillahatch
