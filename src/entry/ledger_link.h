// This entry's way to the ledger replicas: claims a key before anything is
// dispatched, records how the job ended, and gives up claims of jobs that were
// never dispatched.
//
//   link.Claim({ .key_ = key, .claimant_ = id, ... }, done);
//   link.MarkDispatched(id);          // before the first byte is sent
//   link.Record(id, outcome);         // the job has answered, or:
//   link.Release(id, neverSent);      // the job was refused
//
// The decisions are `ClaimProposer`'s; this class only moves its messages.
// Safe to use from any thread.
#pragma once

#include "vanillahatch/core/claim_proposer.h"
#include "vanillahatch/core/entry_core.h"
#include "vanillahatch/shell/settings.h"

#include "ledger.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace vanillahatch {

struct ClaimTicket
{
  std::string key_;
  std::string claimant_;
  Millis issuedAt_; // Unix time that the caller gave
  Millis deadline_; // monotonic, of the job
};

class LedgerLink
{
public:
  // `aOutcome` is set when the verdict is `kRecorded`.
  using ClaimDone = std::function<void(KeyClaimResult aVerdict,
                                       const v1::RecordedOutcome& aOutcome)>;

  explicit LedgerLink(std::span<const LedgerSettings> aLedgers);
  ~LedgerLink();

  // Calls back at most once, on a thread of the link's or of gRPC's; not at
  // all if the claim is released before.
  void Claim(ClaimTicket aTicket, ClaimDone aDone);
  // From now on the claim is not abandoned unless `Release` says that nothing
  // was sent.
  void MarkDispatched(const std::string& aClaimant);
  void Record(const std::string& aClaimant, v1::RecordedOutcome aOutcome);
  // The job was refused. If nothing of it was ever sent, the claim is given
  // up in the background, so that a resend may claim the key.
  void Release(const std::string& aClaimant, bool aNeverSent);

  size_t OpenOperations() const;

private:
  struct Open
  {
    ClaimTicket ticket_;
    uint64_t lastRound_ = 0;
    bool isClaiming_ = true;
    bool isDispatched_ = false;
    bool isReleased_ = false;
  };

  struct Operation
  {
    uint64_t id_ = 0;
    ClaimOperation kind_ = ClaimOperation::kClaim;
    std::string claimant_;
    ClaimProposer proposer_;
    bool isFast_ = false; // began with the fast ballot
    ClaimDone done_;
  };

  using Sends = std::vector<OutgoingVoteRequest>;

  void Begin(ClaimOperation aKind,
             const Open& aOpen,
             v1::RecordedOutcome aOutcome,
             ClaimDone aDone);
  void Abandon(const std::string& aClaimant);
  void Send(uint64_t aOperation, Sends aSends);
  void OnEnd(uint64_t aOperation,
             const OutgoingVoteRequest& aSend,
             bool aAnswered,
             const v1::VoteReply& aReply);
  // Ends the operation if it has a result; called with the lock held.
  void Settle(std::unique_lock<std::mutex>& aLock, uint64_t aOperation);
  void SettleClaim(std::unique_lock<std::mutex>& aLock,
                   const Operation& aOperation);
  bool SkipFast(Millis aNow);
  void TickLoop();

  std::vector<std::shared_ptr<v1::LedgerService::Stub>> stubs_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::map<uint64_t, Operation> operations_;
  std::map<std::string, Open> open_; // by claimant
  uint64_t nextOperation_ = 1;
  Millis skipFastUntil_;
  bool stopping_ = false;
  int callsInFlight_ = 0;
  std::thread ticker_;
};

} // namespace vanillahatch
