// The decisions of one entry: what happens to each job from its arrival to its
// answer. A deterministic state machine: event and time in, actions out.
//
// The shell keeps request and answer bodies under the job and attempt numbers;
// the core never sees them. A typical job that runs at most once:
//
//   JobArrived -> StartClaim -> ClaimEnded(granted) -> Dispatch
//              -> AttemptEnded(answered) -> RecordOutcome + Answer
#pragma once

#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/job.h"
#include "vanillahatch/core/router.h"
#include "vanillahatch/core/upstream_directory.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
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

using EntryAction = std::variant<StartClaim,
                                 Dispatch,
                                 AbandonAttempt,
                                 Answer,
                                 Refuse,
                                 RecordOutcome,
                                 ShareFact,
                                 UpstreamGone>;

// ---- The state machine --------------------------------------------------

struct EntryCoreOptions
{
  DataCentreName dataCentre_;
  uint32_t maxAttempts_ = 3;
  uint32_t maxQueued_ = 1000; // jobs waiting for a slot, per service
  // Nothing is dispatched to an instance without an unexpired grant, and the
  // grant's share of slots and connections caps this entry's use of it.
  bool requireGrants_ = false;
};

class EntryCore
{
public:
  explicit EntryCore(EntryCoreOptions aOptions,
                     std::unique_ptr<RoutingStrategy> aStrategy);

  std::vector<EntryAction> Handle(const EntryEvent& aEvent, Millis aNow);

  size_t JobCount() const { return jobs_.size(); }
  const UpstreamDirectory& Directory() const { return directory_; }

private:
  enum class JobState
  {
    kClaiming,
    kWaiting,
    kRunning,
  };

  struct Job
  {
    JobRequest request_;
    JobState state_ = JobState::kWaiting;
    bool hasClaim_ = false; // the key is this job's: nobody else ran it
    AttemptNumber attempt_{};
    InstanceName instance_;
    uint32_t attempts_ = 0;
    std::vector<InstanceName> tried_;
  };

  void On(const JobArrived& aEvent, Millis aNow);
  void On(const JobCancelled& aEvent, Millis aNow);
  void On(const ClaimEnded& aEvent, Millis aNow);
  void On(const AttemptEnded& aEvent, Millis aNow);
  void On(const FactArrived& aEvent, Millis aNow);
  void On(const GrantsArrived& aEvent, Millis aNow);
  void On(const DrainChanged& aEvent, Millis aNow);
  void On(const StopRequested& aEvent, Millis aNow);
  void On(const TimerTick& aEvent, Millis aNow);

  void Enqueue(Job& aJob);
  void DrainQueue(const ServiceName& aService, Millis aNow);
  void DrainAllQueues(Millis aNow);
  // Whether drain and grants allow this entry one more attempt on it now.
  bool MayUse(const InstanceName& aInstance, Millis aNow) const;
  bool TryDispatch(Job& aJob, Millis aNow);
  void End(JobNumber aNumber);
  void RefuseJob(JobNumber aNumber,
                 RefusalCode aCode,
                 RanVerdict aRan,
                 std::string aDetail);

  EntryCoreOptions options_;
  std::unique_ptr<RoutingStrategy> strategy_;
  UpstreamDirectory directory_;
  std::map<JobNumber, Job> jobs_;
  std::map<ServiceName, std::deque<JobNumber>> queues_;
  std::map<InstanceName, uint32_t> inFlight_;
  std::map<InstanceName, Grant> grants_;
  std::set<InstanceName> draining_;
  uint64_t nextAttempt_ = 1;
  bool stopping_ = false;
  std::vector<EntryAction> actions_;
};

} // namespace vanillahatch
