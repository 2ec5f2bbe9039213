// An entry's client of the ledger replicas: claims a job's key before the job
// is dispatched, records the job's outcome, and abandons claims of jobs that
// were never dispatched.
//
//   ledger.Claim({ .key_ = key, .claimant_ = id, ... }, callback);
//   ledger.MarkDispatched(id);      // before the first byte is sent
//   ledger.Record(id, outcome);     // the upstream has answered, or:
//   ledger.Release(id, neverSent);  // the job was refused
//
// `ClaimProposer` makes the decisions; this class sends its requests. Recording
// and abandoning continue in the background for up to five minutes; a failure
// is logged. Safe to use from any thread.
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

struct ClaimRequest
{
  std::string key_;
  std::string claimant_; // unique for each claim
  Millis issuedAt_;      // Unix time, from the caller's request
  Millis deadline_;      // monotonic, of the job
};

class LedgerClient
{
public:
  // `aOutcome` is set if the result is `kRecorded`.
  using ClaimCallback =
    std::function<void(KeyClaimResult aResult,
                       const v1::RecordedOutcome& aOutcome)>;

  explicit LedgerClient(std::span<const LedgerSettings> aLedgers);
  ~LedgerClient();

  // Calls back at most once, on the calling thread, a thread of this class or
  // one of gRPC's; not at all if the claim is released before.
  void Claim(ClaimRequest aRequest, ClaimCallback aCallback);
  // After this call, `Release` abandons the claim only if nothing was sent.
  void MarkDispatched(const std::string& aClaimant);
  // Records the job's outcome. An answer body above 4096 bytes is omitted.
  void Record(const std::string& aClaimant, v1::RecordedOutcome aOutcome);
  // The job was refused. If no byte of it was sent, the claim is abandoned in
  // the background, so that a resend can claim the key.
  void Release(const std::string& aClaimant, bool aNeverSent);

  // Operations that have not finished, including those in the background.
  size_t OperationCount() const;

private:
  // A claim whose job has neither an outcome nor a release.
  struct OpenClaim
  {
    ClaimRequest request_;
    uint64_t lastRound_ = 0; // highest round that the claimant used
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
    bool triedFastBallot_ = false; // started with the fast ballot
    ClaimCallback callback_;
  };

  using VoteRequests = std::vector<OutgoingVoteRequest>;

  void StartOperation(ClaimOperation aKind,
                      const OpenClaim& aClaim,
                      v1::RecordedOutcome aOutcome,
                      ClaimCallback aCallback);
  void Abandon(const std::string& aClaimant);
  // Sends the requests. The caller has added them to `callsInFlight_`.
  void Send(uint64_t aOperation, VoteRequests aRequests);
  void OnCallEnd(uint64_t aOperation,
                 const OutgoingVoteRequest& aRequest,
                 bool aSucceeded,
                 const v1::VoteReply& aReply);
  // Finishes the operation if it has a result. Called with the lock held; may
  // release it, to call back or to log.
  void FinishIfDone(std::unique_lock<std::mutex>& aLock, uint64_t aOperation);
  void FinishClaim(std::unique_lock<std::mutex>& aLock,
                   const Operation& aOperation);
  // Whether to claim without the fast ballot, since a replica was unresponsive.
  // Lets one claim at a time try the fast ballot again.
  bool ShouldSkipFastBallot(Millis aNow);
  void TickLoop();

  std::vector<std::shared_ptr<v1::LedgerService::Stub>> stubs_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::map<uint64_t, Operation> operations_;
  std::map<std::string, OpenClaim> openClaims_; // by claimant
  uint64_t nextOperation_ = 1;
  Millis skipFastBallotUntil_;
  bool stopping_ = false;
  int callsInFlight_ = 0;
  std::thread ticker_;
};

} // namespace vanillahatch
