#include "entry/ledger_client.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <optional>
#include <utility>

namespace vanillahatch {

namespace {

constexpr Millis kVoteTimeout = Seconds(1);
constexpr Millis kTickInterval = Millis(10);
// Timeout of recording and abandoning, which run in the background.
constexpr Millis kBackgroundTimeout = Seconds(300);
// A claim ends this long before the job's deadline, so that the caller is
// answered in time.
constexpr Millis kAnswerMargin = Millis(50);
// Claims skip the fast ballot for this long after it timed out because a
// replica was unresponsive.
constexpr Millis kSkipFastBallotTime = Seconds(2);
constexpr size_t kMaxOperations = 16384;
// Larger bodies are not recorded, since the replicas keep outcomes in memory.
constexpr size_t kMaxRecordedBodyBytes = 4096;

struct VoteCall
{
  grpc::ClientContext context_;
  OutgoingVoteRequest outgoing_;
  v1::VoteReply reply_;
};

Millis Now()
{
  return SystemClock().Now();
}

KeyClaimResult ToKeyClaimResult(ClaimOutcome aOutcome)
{
  switch (aOutcome) {
    case ClaimOutcome::kGranted:
      return KeyClaimResult::kGranted;
    case ClaimOutcome::kHeldByOther:
      return KeyClaimResult::kHeld;
    case ClaimOutcome::kRecorded:
      return KeyClaimResult::kRecorded;
    case ClaimOutcome::kExpired:
      return KeyClaimResult::kExpired;
    case ClaimOutcome::kAbandoned:
    case ClaimOutcome::kUnavailable:
      break;
  }
  return KeyClaimResult::kUnavailable;
}

} // namespace

LedgerClient::LedgerClient(std::span<const LedgerSettings> aLedgers)
{
  for (const LedgerSettings& ledger : aLedgers) {
    stubs_.push_back(v1::LedgerService::NewStub(MakeChannel(ledger.rpc_)));
  }
  ticker_ = std::thread([this] { TickLoop(); });
}

LedgerClient::~LedgerClient()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
  // Bounded by the timeout of the calls.
  wake_.wait(lock, [this] { return callsInFlight_ == 0; });
  lock.unlock();
  ticker_.join();
}

void LedgerClient::Claim(ClaimRequest aRequest, ClaimCallback aCallback)
{
  std::unique_lock lock(mutex_);
  if (operations_.size() >= kMaxOperations) {
    lock.unlock();
    LogWarning(Event::kOverloaded, { { "ring", "ledger-operations" } });
    aCallback(KeyClaimResult::kUnavailable, {});
    return;
  }
  const OpenClaim claim{ .request_ = std::move(aRequest) };
  openClaims_[claim.request_.claimant_] = claim;
  lock.unlock();
  StartOperation(ClaimOperation::kClaim, claim, {}, std::move(aCallback));
}

void LedgerClient::MarkDispatched(const std::string& aClaimant)
{
  std::lock_guard lock(mutex_);
  const auto it = openClaims_.find(aClaimant);
  if (it != openClaims_.end()) {
    it->second.isDispatched_ = true;
  }
}

void LedgerClient::Record(const std::string& aClaimant,
                          v1::RecordedOutcome aOutcome)
{
  std::unique_lock lock(mutex_);
  const auto it = openClaims_.find(aClaimant);
  if (it == openClaims_.end()) {
    return;
  }
  const OpenClaim claim = std::move(it->second);
  openClaims_.erase(it);
  lock.unlock();
  if (aOutcome.body().size() > kMaxRecordedBodyBytes) {
    aOutcome.clear_body();
    aOutcome.set_body_omitted(true);
  }
  StartOperation(ClaimOperation::kRecord, claim, std::move(aOutcome), {});
}

void LedgerClient::Release(const std::string& aClaimant, bool aNeverSent)
{
  {
    std::lock_guard lock(mutex_);
    const auto it = openClaims_.find(aClaimant);
    if (it == openClaims_.end()) {
      return;
    }
    if (it->second.isDispatched_ && !aNeverSent) {
      openClaims_.erase(it);
      return;
    }
    it->second.isReleased_ = true;
    if (it->second.isClaiming_) {
      // `FinishClaim` abandons the claim when the claim operation ends.
      return;
    }
  }
  Abandon(aClaimant);
}

void LedgerClient::Abandon(const std::string& aClaimant)
{
  std::unique_lock lock(mutex_);
  const auto it = openClaims_.find(aClaimant);
  if (it == openClaims_.end()) {
    return;
  }
  const OpenClaim claim = std::move(it->second);
  openClaims_.erase(it);
  lock.unlock();
  StartOperation(ClaimOperation::kAbandon, claim, {}, {});
}

void LedgerClient::StartOperation(ClaimOperation aKind,
                                  const OpenClaim& aClaim,
                                  v1::RecordedOutcome aOutcome,
                                  ClaimCallback aCallback)
{
  const Millis now = Now();
  const bool isClaim = aKind == ClaimOperation::kClaim;
  std::unique_lock lock(mutex_);
  if (stopping_) {
    return;
  }
  const uint64_t id = nextOperation_++;
  ClaimProposerOptions options{
    .key_ = aClaim.request_.key_,
    .claimant_ = aClaim.request_.claimant_,
    .issuedAtUnixMs_ = aClaim.request_.issuedAt_.Count(),
    .operation_ = aKind,
    .outcome_ = std::move(aOutcome),
    .replicaCount_ = stubs_.size(),
    .deadline_ = isClaim ? aClaim.request_.deadline_ - kAnswerMargin
                         : now + kBackgroundTimeout,
    .lastRound_ = aClaim.lastRound_,
    .skipFastBallot_ = isClaim && ShouldSkipFastBallot(now),
    .seed_ = id ^ static_cast<uint64_t>(now.Count()),
  };
  if (!isClaim) {
    options.quorumTimeout_ = kBackgroundTimeout;
  }
  const auto it = operations_.emplace(
    id,
    Operation{ .id_ = id,
               .kind_ = aKind,
               .claimant_ = aClaim.request_.claimant_,
               .proposer_ = ClaimProposer(options),
               .triedFastBallot_ = isClaim && !options.skipFastBallot_,
               .callback_ = std::move(aCallback) });
  VoteRequests requests = it.first->second.proposer_.Start(now);
  callsInFlight_ += static_cast<int>(requests.size());
  lock.unlock();
  Send(id, std::move(requests));
}

void LedgerClient::Send(uint64_t aOperation, VoteRequests aRequests)
{
  for (OutgoingVoteRequest& request : aRequests) {
    auto call = std::make_shared<VoteCall>();
    call->outgoing_ = std::move(request);
    SetDeadline(call->context_, kVoteTimeout);
    stubs_[call->outgoing_.replicaIndex_]->async()->Vote(
      &call->context_,
      &call->outgoing_.request_,
      &call->reply_,
      [this, call, aOperation](const grpc::Status& aStatus) {
        OnCallEnd(aOperation, call->outgoing_, aStatus.ok(), call->reply_);
      });
  }
}

void LedgerClient::OnCallEnd(uint64_t aOperation,
                             const OutgoingVoteRequest& aRequest,
                             bool aSucceeded,
                             const v1::VoteReply& aReply)
{
  VoteRequests requests;
  std::unique_lock lock(mutex_);
  const auto it = operations_.find(aOperation);
  if (it != operations_.end() && !stopping_) {
    ClaimProposer& proposer = it->second.proposer_;
    const Millis now = Now();
    requests =
      aSucceeded
        ? proposer.OnReply(
            aRequest.replicaIndex_, aRequest.serial_, aReply, now)
        : proposer.OnFailure(aRequest.replicaIndex_, aRequest.serial_, now);
    callsInFlight_ += static_cast<int>(requests.size());
    FinishIfDone(lock, aOperation);
  }
  if (lock.owns_lock()) {
    lock.unlock();
  }
  Send(aOperation, std::move(requests));
  // Must come last: the destructor may finish once no call is in flight.
  std::lock_guard finalLock(mutex_);
  --callsInFlight_;
  wake_.notify_all();
}

void LedgerClient::FinishIfDone(std::unique_lock<std::mutex>& aLock,
                                uint64_t aOperation)
{
  const auto it = operations_.find(aOperation);
  if (it->second.proposer_.FastBallotTimedOut()) {
    skipFastBallotUntil_ =
      std::max(skipFastBallotUntil_, Now() + kSkipFastBallotTime);
  } else if (it->second.triedFastBallot_ && it->second.proposer_.Result() &&
             it->second.proposer_.Result()->outcome_ ==
               ClaimOutcome::kGranted) {
    skipFastBallotUntil_ = Millis(0);
  }
  if (!it->second.proposer_.Result()) {
    return;
  }
  const Operation operation = std::move(it->second);
  operations_.erase(it);
  if (operation.kind_ == ClaimOperation::kClaim) {
    FinishClaim(aLock, operation);
    return;
  }
  aLock.unlock();
  const ClaimOutcome outcome = operation.proposer_.Result()->outcome_;
  if (outcome == ClaimOutcome::kUnavailable ||
      outcome == ClaimOutcome::kExpired) {
    LogWarning(Event::kClaimLeftOpen, { { "claimant", operation.claimant_ } });
  } else if (outcome == ClaimOutcome::kAbandoned) {
    LogInfo(Event::kClaimAbandoned, { { "claimant", operation.claimant_ } });
  }
}

void LedgerClient::FinishClaim(std::unique_lock<std::mutex>& aLock,
                               const Operation& aOperation)
{
  const ClaimResult& result = *aOperation.proposer_.Result();
  const auto it = openClaims_.find(aOperation.claimant_);
  if (it == openClaims_.end()) {
    return;
  }
  OpenClaim& claim = it->second;
  claim.isClaiming_ = false;
  claim.lastRound_ = result.lastRound_;
  const bool isGranted = result.outcome_ == ClaimOutcome::kGranted;
  // Without a grant this claimant never dispatches. A claim that another
  // proposer may yet complete is abandoned, so that the key is not held by a
  // job that never ran.
  const bool mayHoldKey = isGranted ||
                          result.outcome_ == ClaimOutcome::kUnavailable ||
                          result.outcome_ == ClaimOutcome::kHeldByOther;
  const bool isReleased = claim.isReleased_;
  const bool mustAbandon = mayHoldKey && (isReleased || !isGranted);
  if (!mayHoldKey) {
    openClaims_.erase(it);
  }
  aLock.unlock();
  if (mustAbandon) {
    Abandon(aOperation.claimant_);
  }
  if (!isReleased) {
    aOperation.callback_(ToKeyClaimResult(result.outcome_), result.recorded_);
  }
}

bool LedgerClient::ShouldSkipFastBallot(Millis aNow)
{
  if (aNow < skipFastBallotUntil_) {
    return true;
  }
  if (skipFastBallotUntil_ > Millis(0)) {
    // This claim tests whether the replica responds again; the other claims
    // skip the fast ballot, so that an unresponsive replica does not delay
    // them.
    skipFastBallotUntil_ = aNow + kSkipFastBallotTime;
    return false;
  }
  return false;
}

void LedgerClient::TickLoop()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wake_.wait_for(lock, std::chrono::milliseconds(kTickInterval.Count()));
    const Millis now = Now();
    std::vector<uint64_t> due;
    for (const auto& [id, operation] : operations_) {
      if (operation.proposer_.WakeAt() <= now) {
        due.push_back(id);
      }
    }
    for (const uint64_t id : due) {
      const auto it = operations_.find(id);
      if (it == operations_.end()) {
        continue;
      }
      VoteRequests requests = it->second.proposer_.OnTick(now);
      callsInFlight_ += static_cast<int>(requests.size());
      FinishIfDone(lock, id);
      if (lock.owns_lock()) {
        lock.unlock();
      }
      Send(id, std::move(requests));
      lock.lock();
    }
  }
}

size_t LedgerClient::OperationCount() const
{
  std::lock_guard lock(mutex_);
  return operations_.size();
}

} // namespace vanillahatch
