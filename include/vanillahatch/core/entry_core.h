// The state machine of one entry: decides what happens to each job from its
// arrival to its answer. Deterministic: takes an event and the time, returns
// actions.
//
// The entry process keeps request and answer bodies by job and attempt number;
// the core has no access to them. A typical job that runs at most once:
//
//   JobArrived -> StartClaim -> ClaimEnded(granted) -> Dispatch
//              -> AttemptEnded(answered) -> RecordOutcome + Answer
#pragma once

#include "vanillahatch/core/admission_queue.h"
#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/health_tracker.h"
#include "vanillahatch/core/job.h"
#include "vanillahatch/core/job_table.h"
#include "vanillahatch/core/retry_budget.h"
#include "vanillahatch/core/routing_strategy.h"
#include "vanillahatch/core/run_time_estimator.h"
#include "vanillahatch/core/slot_sharing.h"
#include "vanillahatch/core/slot_table.h"
#include "vanillahatch/core/upstream_directory.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace vanillahatch {

// ---- Events -------------------------------------------------------------

struct JobArrived
{
  JobRequest request_;
};

struct JobCancelled
{
  JobNumber job_{};
};

enum class KeyClaimResult
{
  kGranted,     // durable on a quorum: this entry may dispatch once
  kHeld,        // another claimant holds the key and has no outcome yet
  kRecorded,    // the job has ended; the entry process has the recorded answer
  kExpired,     // the key is older than the ledger's retention
  kUnavailable, // no quorum answered; the claim is in doubt
};

struct ClaimEnded
{
  JobNumber job_{};
  KeyClaimResult result_ = KeyClaimResult::kUnavailable;
};

enum class AttemptResult
{
  kAnswered, // the entry process has the whole answer
  kNotSent,  // no byte of the request was written
  kUnknown,  // failed after the first byte was written
};

struct AttemptEnded
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  AttemptResult result_ = AttemptResult::kUnknown;
  uint32_t httpStatus_ = 0;
};

struct FactArrived
{
  UpstreamFact fact_;
  bool fromPeer_ = false; // false: announced to this entry by the upstream
};

// Grants issued or renewed by a grantor. Each replaces the one held for its
// instance unless its epoch is lower. A grant that is not renewed expires.
struct GrantsArrived
{
  std::vector<Grant> grants_;
};

// The planner starts or ends the drain of an instance. A draining instance gets
// no new work; attempts in flight finish.
struct DrainChanged
{
  InstanceName instance_;
  bool draining_ = false;
};

// The configured limits of members at this entry changed.
struct MemberLimitsChanged
{
  std::vector<MemberLimit> limits_;
};

// A message of slot sharing from another entry.
struct PeerMessageArrived
{
  NodeName from_;
  PeerMessage message_;
};

struct LatencyMeasured
{
  DataCentreName dataCentre_;
  Millis roundTrip_;
};

// A planned stop of this entry: new jobs are refused.
struct StopRequested
{};

struct TimerTick
{};

using EntryEvent = std::variant<JobArrived,
                                JobCancelled,
                                ClaimEnded,
                                AttemptEnded,
                                FactArrived,
                                GrantsArrived,
                                DrainChanged,
                                MemberLimitsChanged,
                                PeerMessageArrived,
                                LatencyMeasured,
                                StopRequested,
                                TimerTick>;

// ---- Actions ------------------------------------------------------------

// Claim the job's key in the ledger. `ClaimEnded` follows.
struct StartClaim
{
  JobNumber job_{};
  IdempotencyKey key_;
  Millis issuedAt_; // Unix time
  Millis deadline_; // monotonic
};

// Send the job to an upstream. `AttemptEnded` follows.
struct Dispatch
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  InstanceName instance_;
  Endpoint endpoint_;
  Millis timeLeft_;               // until the job's deadline
  Millis sendBy_ = Millis::Max(); // after it, the job must not be sent
  uint32_t candidates_ = 0;       // upstreams with a usable slot, for the log
  std::string reason_;            // of the choice, for the log
};

// Close the attempt's connection, so that a late answer is discarded.
// `AttemptEnded` follows.
struct AbandonAttempt
{
  JobNumber job_{};
  AttemptNumber attempt_{};
};

struct Answer
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  bool fromRecord_ = false; // answer with the outcome from the ledger
};

// Answer the caller with a refusal.
struct Refuse
{
  JobNumber job_{};
  Refusal refusal_;
};

// Record the answer in the ledger under the job's key.
struct RecordOutcome
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  IdempotencyKey key_;
};

// Forward a fact to the other entries.
struct ShareFact
{
  UpstreamFact fact_;
};

// The upstream's lease has expired.
struct UpstreamRemoved
{
  InstanceName instance_;
};

struct HealthChanged
{
  InstanceName instance_;
  HealthState state_ = HealthState::kHealthy;
};

struct SendToPeer
{
  NodeName to_;
  PeerMessage message_;
};

using EntryAction = std::variant<StartClaim,
                                 Dispatch,
                                 AbandonAttempt,
                                 Answer,
                                 Refuse,
                                 RecordOutcome,
                                 ShareFact,
                                 UpstreamRemoved,
                                 HealthChanged,
                                 SendToPeer>;

// ---- The state machine --------------------------------------------------

struct EntryCoreOptions
{
  DataCentreName dataCentre_;
  uint32_t maxAttempts_ = 3;
  uint32_t maxQueued_ = 1000; // jobs waiting for a slot, per service
  // Whether dispatch to an instance requires an unexpired grant, whose slots
  // and connections then limit this entry's use of the instance.
  bool requireGrants_ = false;
  // How long an abandoned attempt occupies its slot after its connection is
  // closed, because the upstream may continue to run the job.
  Millis abandonedSlotHold_ = Seconds(1);
  uint64_t seed_ = 1; // of the jitter of backoffs and ejections
};

using SharingFactory =
  std::function<std::unique_ptr<SlotSharing>(SlotTable& aTable)>;

class EntryCore
{
public:
  EntryCore(EntryCoreOptions aOptions,
            std::unique_ptr<RoutingStrategy> aStrategy,
            const SharingFactory& aMakeSharing);

  std::vector<EntryAction> Handle(const EntryEvent& aEvent, Millis aNow);

  // When the next `TimerTick` is due.
  Millis NextWake() const;

  size_t JobCount() const { return jobs_.Size(); }
  size_t WaitingCount(const ServiceName& aService) const;
  const UpstreamDirectory& Directory() const { return directory_; }

private:
  // This entry's state of one service.
  struct Service
  {
    AdmissionQueue queue_;
    RunTimeEstimator runTimes_;
    RetryBudget budget_;
  };

  struct Timer
  {
    enum class Kind : uint8_t
    {
      kStall,   // the attempt's stall timeout
      kRetry,   // end of the job's backoff
      kRelease, // release of the slot of an abandoned attempt
    };

    Millis at_;
    Kind kind_ = Kind::kStall;
    JobNumber job_{};
    AttemptNumber attempt_{};
    InstanceName instance_;

    friend bool operator>(const Timer& aLeft, const Timer& aRight)
    {
      return aLeft.at_ > aRight.at_;
    }
  };

  void On(const JobArrived& aEvent, Millis aNow);
  void On(const JobCancelled& aEvent, Millis aNow);
  void On(const ClaimEnded& aEvent, Millis aNow);
  void On(const AttemptEnded& aEvent, Millis aNow);
  void On(const FactArrived& aEvent, Millis aNow);
  void On(const GrantsArrived& aEvent, Millis aNow);
  void On(const DrainChanged& aEvent, Millis aNow);
  void On(const MemberLimitsChanged& aEvent, Millis aNow);
  void On(const PeerMessageArrived& aEvent, Millis aNow);
  void On(const LatencyMeasured& aEvent, Millis aNow);
  void On(const StopRequested& aEvent, Millis aNow);
  void On(const TimerTick& aEvent, Millis aNow);

  // Queueing and dispatch.
  Service& ServiceOf(const ServiceName& aService);
  void Enqueue(Job& aJob);
  void Requeue(Job& aJob);
  void DispatchWaiting(const ServiceName& aService, Millis aNow);
  void DispatchAllWaiting(Millis aNow);
  VisitResult TryDispatch(const WaitingJob& aWaiting,
                          Service& aService,
                          Millis aNow);
  void DispatchTo(Job& aJob,
                  const SlotChoice& aChoice,
                  Service& aService,
                  Millis aNow);
  void UpdateDemand(const ServiceName& aName, Service& aService, Millis aNow);

  // Ends of attempts.
  void EndAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow);
  void EndAbandoned(const AttemptEnded& aEvent, Millis aNow);
  void AnswerJob(Job& aJob);
  void HandleFailedAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow);
  bool TryRetry(Job& aJob, bool aSent, Millis aNow);
  void Abandon(Job& aJob);
  void ReleaseSlot(const InstanceName& aInstance, Millis aNow);
  void RecordAttemptOutcome(const InstanceName& aInstance,
                            AttemptOutcome aOutcome,
                            Millis aNow);
  void ApplyHealth(const InstanceName& aInstance);

  // Timers, deadlines and leases.
  void ExpireUpstreams(Millis aNow);
  void RefuseOverdueJobs(Millis aNow);
  void RunTimers(Millis aNow);
  void RunTimer(const Timer& aTimer, Millis aNow);
  void HandleStall(const Timer& aTimer, Millis aNow);
  // Time after its dispatch at which an attempt counts as stalled.
  Millis StallTimeout(const Job& aJob,
                      const Service& aService,
                      Millis aNow) const;
  Millis Backoff(uint32_t aAttempts);

  void RemoveFromQueue(const Job& aJob);
  void RefuseJob(JobNumber aNumber, RefusalCode aCode, std::string aDetail);
  void Flush(Millis aNow);
  bool DispatchToGrownAllowances(Millis aNow);

  EntryCoreOptions options_;
  std::string_view routingReason_; // of dispatches, from the routing strategy
  UpstreamDirectory directory_;
  SlotTable slots_;
  std::unique_ptr<SlotSharing> sharing_;
  HealthTracker health_;
  JobTable jobs_;
  std::unordered_map<ServiceName, Service> services_;
  std::vector<MemberLimit> memberLimits_;
  // Abandoned attempts whose connection is not closed yet.
  std::unordered_map<AttemptNumber, InstanceName> abandoned_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::mt19937_64 random_;
  uint64_t nextAttempt_ = 1;
  Millis nextExpiryCheck_; // of upstream leases
  bool stopping_ = false;
  std::vector<EntryAction> actions_; // of the event in progress
};

} // namespace vanillahatch
