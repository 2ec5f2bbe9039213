// The decisions of one entry: what happens to each job from its arrival to its
// answer. A deterministic state machine: event and time in, actions out.
//
// The shell keeps request and answer bodies under the job and attempt numbers;
// the core never sees them. A typical job that runs at most once:
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
#include "vanillahatch/core/router.h"
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

enum class ClaimVerdict
{
  kGranted,     // durable on a quorum: this entry may dispatch once
  kHeld,        // another claimant holds the key and has not finished
  kRecorded,    // the job ended before; the shell holds the recorded answer
  kExpired,     // the key is older than the ledger remembers
  kUnavailable, // no quorum answered; the claim may or may not stand
};

struct ClaimEnded
{
  JobNumber job_{};
  ClaimVerdict verdict_ = ClaimVerdict::kUnavailable;
};

enum class AttemptVerdict
{
  kAnswered, // a whole answer is held by the shell
  kNotSent,  // provably no byte of the request was written
  kUnknown,  // broken after the first byte was written
};

struct AttemptEnded
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  AttemptVerdict verdict_ = AttemptVerdict::kUnknown;
  uint32_t httpStatus_ = 0;
};

struct FactArrived
{
  UpstreamFact fact_;
  bool fromPeer_ = false; // false: the upstream itself told this entry
};

// Grants given or renewed by a grantor. Each replaces the one held for its
// instance unless its epoch is lower; a grant that is not renewed runs out.
struct GrantsArrived
{
  std::vector<Grant> grants_;
};

// The planner's drain of one instance: no new work, work in flight finishes.
struct DrainChanged
{
  InstanceName instance_;
  bool draining_ = false;
};

// What the configuration allows members on this entry.
struct MemberLimitsChanged
{
  std::vector<MemberLimit> limits_;
};

// Another entry's part in the sharing of slots.
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

struct StartClaim
{
  JobNumber job_{};
  IdempotencyKey key_;
  Millis issuedAt_; // Unix time
  Millis deadline_; // monotonic
};

struct Dispatch
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  InstanceName instance_;
  Endpoint endpoint_;
  Millis timeLeft_;
  uint32_t candidates_ = 0;
  std::string reason_;
};

// The attempt's connection must be closed, so that a late answer is discarded
// with it; `AttemptEnded` follows when that is done.
struct AbandonAttempt
{
  JobNumber job_{};
  AttemptNumber attempt_{};
};

struct Answer
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  bool fromRecord_ = false; // answer with the outcome the ledger returned
};

struct Refuse
{
  JobNumber job_{};
  Refusal refusal_;
};

struct RecordOutcome
{
  JobNumber job_{};
  AttemptNumber attempt_{};
  IdempotencyKey key_;
};

struct ShareFact
{
  UpstreamFact fact_;
};

struct UpstreamGone
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
                                 UpstreamGone,
                                 HealthChanged,
                                 SendToPeer>;

// ---- The state machine --------------------------------------------------

struct EntryCoreOptions
{
  DataCentreName dataCentre_;
  uint32_t maxAttempts_ = 3;
  uint32_t maxQueued_ = 1000; // jobs waiting for a slot, per service
  // Nothing is dispatched to an instance without an unexpired grant, and the
  // grant's share of slots and connections caps this entry's use of it.
  bool requireGrants_ = false;
  // How long an abandoned attempt occupies its slot after its connection was
  // closed; the upstream may go on with the job for a while.
  Millis abandonedSpan_ = Seconds(1);
  uint64_t seed_ = 1; // of the jitter
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

  // When a `TimerTick` must come at the latest.
  Millis NextWake() const;

  size_t JobCount() const { return jobs_.Size(); }
  size_t WaitingCount(const ServiceName& aService) const;
  const UpstreamDirectory& Directory() const { return directory_; }

private:
  // What this entry keeps of one service.
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
      kStall,   // the attempt has run for longer than nearly all jobs do
      kRetry,   // the backoff of the job is over
      kRelease, // the slot of an abandoned attempt is free again
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

  // Waiting and dispatch.
  Service& ServiceOf(const ServiceName& aService);
  void Enqueue(Job& aJob);
  void Requeue(Job& aJob);
  void DrainQueue(const ServiceName& aService, Millis aNow);
  void DrainAllQueues(Millis aNow);
  FrontVerdict TryDispatch(const WaitingJob& aWaiting,
                           Service& aService,
                           Millis aNow);
  void DispatchTo(Job& aJob,
                  const SlotChoice& aChoice,
                  Service& aService,
                  Millis aNow);
  void ShareDemand(const ServiceName& aName, Service& aService, Millis aNow);

  // Attempts that end, well or badly.
  void EndAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow);
  void EndAbandoned(const AttemptEnded& aEvent, Millis aNow);
  void AnswerJob(Job& aJob);
  void FailAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow);
  bool TryRetry(Job& aJob, bool aSent, Millis aNow);
  void Abandon(Job& aJob);
  void ReleaseSlot(const InstanceName& aInstance, Millis aNow);
  void NoteOutcome(const InstanceName& aInstance,
                   AttemptOutcome aOutcome,
                   Millis aNow);
  void ApplyHealth(const InstanceName& aInstance);

  // What becomes due with time.
  void ExpireUpstreams(Millis aNow);
  void RefuseLateJobs(Millis aNow);
  void RunTimers(Millis aNow);
  void RunTimer(const Timer& aTimer, Millis aNow);
  void OnStall(const Timer& aTimer, Millis aNow);
  Millis StallSpan(const Job& aJob, const Service& aService, Millis aNow) const;
  Millis Backoff(uint32_t aAttempts);

  void RemoveFromQueue(const Job& aJob);
  void RefuseJob(JobNumber aNumber, RefusalCode aCode, std::string aDetail);
  void Flush(Millis aNow);
  bool DrainRaised(Millis aNow);

  EntryCoreOptions options_;
  std::string_view reason_; // of the routing strategy
  UpstreamDirectory directory_;
  SlotTable slots_;
  std::unique_ptr<SlotSharing> sharing_;
  HealthTracker health_;
  JobTable jobs_;
  std::unordered_map<ServiceName, Service> services_;
  std::vector<MemberLimit> limits_;
  std::unordered_map<AttemptNumber, InstanceName> abandoned_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::mt19937_64 random_;
  uint64_t nextAttempt_ = 1;
  Millis nextExpiry_;
  bool stopping_ = false;
  std::vector<EntryAction> actions_;
};

} // namespace vanillahatch
