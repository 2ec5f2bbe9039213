#include "entry/ledger_link.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <optional>
#include <utility>

namespace vanillahatch {

namespace {

constexpr Millis kVoteTimeout = Seconds(1);
constexpr Millis kTick = Millis(10);
// Records and abandonments go on in the background for so long.
constexpr Millis kBackgroundSpan = Seconds(300);
// The answer of a claim must reach the caller within the job's deadline.
constexpr Millis kAnswerMargin = Millis(50);
// After a silent replica was met, claims go without the fast ballot.
constexpr Millis kSkipFastSpan = Seconds(2);
constexpr size_t kMaxOperations = 16384;
// Larger answers are not kept: the replicas hold the outcomes in memory.
constexpr size_t kMaxKeptBodyBytes = 4096;

struct Call
{
  grpc::ClientContext context_;
  OutgoingVoteRequest send_;
  v1::VoteReply reply_;
};

Millis Now()
{
  return SystemClock().Now();
}

KeyClaimResult ToVerdict(ClaimOutcome aOutcome)
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

LedgerLink::LedgerLink(std::span<const LedgerSettings> aLedgers)
{
  for (const LedgerSettings& ledger : aLedgers) {
    stubs_.push_back(v1::LedgerService::NewStub(MakeChannel(ledger.rpc_)));
  }
  ticker_ = std::thread([this] { TickLoop(); });
}

LedgerLink::~LedgerLink()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  wake_.notify_all();
  // Calls end at the latest with their timeout.
  wake_.wait(lock, [this] { return callsInFlight_ == 0; });
  lock.unlock();
  ticker_.join();
}

void LedgerLink::Claim(ClaimTicket aTicket, ClaimDone aDone)
{
  std::unique_lock lock(mutex_);
  if (operations_.size() >= kMaxOperations) {
    lock.unlock();
    LogWarning(Event::kOverloaded, { { "ring", "ledger-operations" } });
    aDone(KeyClaimResult::kUnavailable, {});
    return;
  }
  const Open open{ .ticket_ = std::move(aTicket) };
  open_[open.ticket_.claimant_] = open;
  lock.unlock();
  Begin(ClaimOperation::kClaim, open, {}, std::move(aDone));
}

void LedgerLink::MarkDispatched(const std::string& aClaimant)
{
  std::lock_guard lock(mutex_);
  const auto it = open_.find(aClaimant);
  if (it != open_.end()) {
    it->second.isDispatched_ = true;
  }
}

void LedgerLink::Record(const std::string& aClaimant,
                        v1::RecordedOutcome aOutcome)
{
  std::unique_lock lock(mutex_);
  const auto it = open_.find(aClaimant);
  if (it == open_.end()) {
    return;
  }
  const Open open = std::move(it->second);
  open_.erase(it);
  lock.unlock();
  if (aOutcome.body().size() > kMaxKeptBodyBytes) {
    aOutcome.clear_body();
    aOutcome.set_body_omitted(true);
  }
  Begin(ClaimOperation::kRecord, open, std::move(aOutcome), {});
}

void LedgerLink::Release(const std::string& aClaimant, bool aNeverSent)
{
  {
    std::lock_guard lock(mutex_);
    const auto it = open_.find(aClaimant);
    if (it == open_.end()) {
      return;
    }
    if (it->second.isDispatched_ && !aNeverSent) {
      open_.erase(it);
      return;
    }
    it->second.isReleased_ = true;
    if (it->second.isClaiming_) {
      // The claim's end abandons it; nobody waits for it any longer.
      return;
    }
  }
  Abandon(aClaimant);
}

void LedgerLink::Abandon(const std::string& aClaimant)
{
  std::unique_lock lock(mutex_);
  const auto it = open_.find(aClaimant);
  if (it == open_.end()) {
    return;
  }
  const Open open = std::move(it->second);
  open_.erase(it);
  lock.unlock();
  Begin(ClaimOperation::kAbandon, open, {}, {});
}

void LedgerLink::Begin(ClaimOperation aKind,
                       const Open& aOpen,
                       v1::RecordedOutcome aOutcome,
                       ClaimDone aDone)
{
  const Millis now = Now();
  const bool isClaim = aKind == ClaimOperation::kClaim;
  std::unique_lock lock(mutex_);
  if (stopping_) {
    return;
  }
  const uint64_t id = nextOperation_++;
  ClaimProposerOptions options{
    .key_ = aOpen.ticket_.key_,
    .claimant_ = aOpen.ticket_.claimant_,
    .issuedAtUnixMs_ = aOpen.ticket_.issuedAt_.Count(),
    .operation_ = aKind,
    .outcome_ = std::move(aOutcome),
    .replicaCount_ = stubs_.size(),
    .deadline_ =
      isClaim ? aOpen.ticket_.deadline_ - kAnswerMargin : now + kBackgroundSpan,
    .lastRound_ = aOpen.lastRound_,
    .skipFastBallot_ = isClaim && SkipFast(now),
    .seed_ = id ^ static_cast<uint64_t>(now.Count()),
  };
  if (!isClaim) {
    options.quorumTimeout_ = kBackgroundSpan;
  }
  const auto it = operations_.emplace(
    id,
    Operation{ .id_ = id,
               .kind_ = aKind,
               .claimant_ = aOpen.ticket_.claimant_,
               .proposer_ = ClaimProposer(options),
               .isFast_ = isClaim && !options.skipFastBallot_,
               .done_ = std::move(aDone) });
  Sends sends = it.first->second.proposer_.Start(now);
  callsInFlight_ += static_cast<int>(sends.size());
  lock.unlock();
  Send(id, std::move(sends));
}

// The caller has counted the sends in `callsInFlight_`.
void LedgerLink::Send(uint64_t aOperation, Sends aSends)
{
  for (OutgoingVoteRequest& send : aSends) {
    auto call = std::make_shared<Call>();
    call->send_ = std::move(send);
    SetDeadline(call->context_, kVoteTimeout);
    stubs_[call->send_.replicaIndex_]->async()->Vote(
      &call->context_,
      &call->send_.request_,
      &call->reply_,
      [this, call, aOperation](const grpc::Status& aStatus) {
        OnEnd(aOperation, call->send_, aStatus.ok(), call->reply_);
      });
  }
}

void LedgerLink::OnEnd(uint64_t aOperation,
                       const OutgoingVoteRequest& aSend,
                       bool aAnswered,
                       const v1::VoteReply& aReply)
{
  Sends sends;
  std::unique_lock lock(mutex_);
  const auto it = operations_.find(aOperation);
  if (it != operations_.end() && !stopping_) {
    ClaimProposer& proposer = it->second.proposer_;
    const Millis now = Now();
    sends =
      aAnswered
        ? proposer.OnReply(aSend.replicaIndex_, aSend.serial_, aReply, now)
        : proposer.OnFailure(aSend.replicaIndex_, aSend.serial_, now);
    callsInFlight_ += static_cast<int>(sends.size());
    Settle(lock, aOperation);
  }
  if (lock.owns_lock()) {
    lock.unlock();
  }
  Send(aOperation, std::move(sends));
  // Last, since the link may be gone once no call is in flight.
  std::lock_guard last(mutex_);
  --callsInFlight_;
  wake_.notify_all();
}

void LedgerLink::Settle(std::unique_lock<std::mutex>& aLock,
                        uint64_t aOperation)
{
  const auto it = operations_.find(aOperation);
  if (it->second.proposer_.FastBallotTimedOut()) {
    skipFastUntil_ = std::max(skipFastUntil_, Now() + kSkipFastSpan);
  } else if (it->second.isFast_ && it->second.proposer_.Result() &&
             it->second.proposer_.Result()->outcome_ ==
               ClaimOutcome::kGranted) {
    skipFastUntil_ = Millis(0);
  }
  if (!it->second.proposer_.Result()) {
    return;
  }
  const Operation operation = std::move(it->second);
  operations_.erase(it);
  if (operation.kind_ == ClaimOperation::kClaim) {
    SettleClaim(aLock, operation);
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

void LedgerLink::SettleClaim(std::unique_lock<std::mutex>& aLock,
                             const Operation& aOperation)
{
  const ClaimResult& result = *aOperation.proposer_.Result();
  const auto it = open_.find(aOperation.claimant_);
  if (it == open_.end()) {
    return;
  }
  Open& open = it->second;
  open.isClaiming_ = false;
  open.lastRound_ = result.lastRound_;
  const bool isGranted = result.outcome_ == ClaimOutcome::kGranted;
  // Without a grant this claimant never dispatches. A claim that may still be
  // completed by somebody else is given up, so that the key does not stay
  // held by a job that never ran.
  const bool mayStand = isGranted ||
                        result.outcome_ == ClaimOutcome::kUnavailable ||
                        result.outcome_ == ClaimOutcome::kHeldByOther;
  const bool isReleased = open.isReleased_;
  const bool mustAbandon = mayStand && (isReleased || !isGranted);
  if (!mayStand) {
    open_.erase(it);
  }
  aLock.unlock();
  if (mustAbandon) {
    Abandon(aOperation.claimant_);
  }
  if (!isReleased) {
    aOperation.done_(ToVerdict(result.outcome_), result.recorded_);
  }
}

bool LedgerLink::SkipFast(Millis aNow)
{
  if (aNow < skipFastUntil_) {
    return true;
  }
  if (skipFastUntil_ > Millis(0)) {
    // One claim tries whether the replica is back; the others do not wait.
    skipFastUntil_ = aNow + kSkipFastSpan;
    return false;
  }
  return false;
}

void LedgerLink::TickLoop()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    wake_.wait_for(lock, std::chrono::milliseconds(kTick.Count()));
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
      Sends sends = it->second.proposer_.OnTick(now);
      callsInFlight_ += static_cast<int>(sends.size());
      Settle(lock, id);
      if (lock.owns_lock()) {
        lock.unlock();
      }
      Send(id, std::move(sends));
      lock.lock();
    }
  }
}

size_t LedgerLink::OpenOperations() const
{
  std::lock_guard lock(mutex_);
  return operations_.size();
}

} // namespace vanillahatch
