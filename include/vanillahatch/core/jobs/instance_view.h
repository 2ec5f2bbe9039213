// The leader's view of one instance: its lease, the runs that may exist on it,
// and the known phase of each run.
//
// A run moves through these phases:
//
//   proposed -> ordered -> started -> listed -> (ended, and removed)
//                  \---------> in doubt ------/
//
// A run in doubt may or may not exist. If the next listing does not contain it,
// it is stopped, which also prevents a start in flight from being executed. The
// task becomes free only by an end that the instance lists, or by a confirmed
// stop followed by a listing without the run.
#pragma once

#include "vanillahatch/core/jobs/instance_lease.h"
#include "vanillahatch/core/jobs/orders.h"
#include "vanillahatch/core/resources.h"
#include "vanillahatch/core/sharing/customer_ledger.h"

#include <map>

namespace vanillahatch {

enum class RunPhase
{
  kProposed, // not yet committed to the log
  kOrdered,  // the start order is in flight
  kStarted,  // the instance has accepted the start
  kListed,   // contained in a listing
  kInDoubt,  // the outcome of the start is unknown
};

// The known state of one run.
struct RunView
{
  uint32_t run_ = 0;
  RunPhase phase_ = RunPhase::kProposed;
  Millis since_;                        // start of the phase
  std::optional<Millis> placedAt_;      // set if this leader placed it
  std::optional<Millis> acceptedClock_; // instance's clock at acceptance
  // Set at placement where a run elsewhere takes longer than near its data.
  std::optional<Millis> expectedEndAt_;
  bool isFar_ = false; // away from its data, or its gang from one rack
  bool stopRequested_ = false;
  bool stopRespectsBudget_ = false;  // delayed while others are unavailable
  bool stopBecauseUnlisted_ = false; // requested only because it was not listed
  bool stopInFlight_ = false;
  Millis nextStopAt_;
  std::optional<Millis> stoppedAt_; // time of the reply to a stop
  bool endProposed_ = false;
  uint32_t percent_ = 100;        // of full work, as listed last
  uint32_t load_ = 0;             // as listed last; see `RunningTask::load_`
  uint32_t orderedPercent_ = 100; // percent of full work, as ordered last
  bool paceInFlight_ = false;
  uint64_t lastListing_ = 0;           // number of the latest listing with it
  std::optional<Millis> runningSince_; // listed at full percent since then
  // Properties of the task's step, set by `InstanceView::AddRun`.
  Resources need_; // capacity that the run occupies on the instance
  bool isLongRunning_ = false;
  bool isLatencySensitive_ = false; // has a target for its tail latency
  bool isBestEffort_ = false; // uses processor time that others leave unused
  bool isReleased_ = false;   // it has ended and its capacity was released
  RunCharge charge_;          // if the view has a ledger
};

// Summary of the runs of one instance, as the scheduler needs it per round.
struct RunSummary
{
  // The state of a run depends on the next listing.
  bool needsListing_ = false;
  bool hasRunsToStop_ = false; // a run has to be stopped, or its job has closed
};

class InstanceView
{
public:
  // `aLastGrantAt`: an earlier leader may have granted leases until then.
  InstanceView(Instance& aInstance,
               Millis aLongestLease,
               Millis aLastGrantAt,
               Millis aNow);

  // Charges the runs that are added from now on; call it before any is. The
  // ledger must outlive the view.
  void SetLedger(CustomerLedger& aLedger) { ledger_ = &aLedger; }
  // Updates the capacity after a committed change of the instance's record.
  void RefreshCapacity();
  // False if the record was removed, even if another has replaced it.
  bool IsOf(const Instance* aInstance) const
  {
    return aInstance == instance_ && aInstance->serial_ == serial_;
  }

  Instance& StoredInstance() { return *instance_; }
  const Instance& StoredInstance() const { return *instance_; }
  const v1::InstanceRecord& StoredRecord() const { return instance_->record_; }
  InstanceLease& Lease() { return lease_; }
  const InstanceLease& Lease() const { return lease_; }

  std::map<TaskRef, RunView>& Runs()
  {
    isSummaryValid_ = false;
    return runs_;
  }
  const std::map<TaskRef, RunView>& Runs() const { return runs_; }
  bool HasRuns() const { return !runs_.empty(); }
  RunView* FindRun(const TaskRef& aTask, uint32_t aRun);
  RunView& AddRun(const TaskRef& aTask, RunView aRun);
  // Releases the capacity of a run whose end the instance has listed.
  void ReleaseCapacityOf(RunView& aRun);
  void RemoveRun(const TaskRef& aTask);
  void RemoveAllRuns();
  // Runs of customers' tasks that a listing shows and the log does not assign
  // to the instance. They count against the cap until a listing lacks them.
  void ClearUnassignedRuns();
  void AddUnassignedRun(const TaskRef& aTask);
  bool HasUnassignedRuns() const { return !unassignedRuns_.empty(); }
  // Charges all runs to a copy of the ledger; see `CustomerLedger::CorrectBy`.
  void Recount(CustomerLedger& aLedger) const;

  // Capacity occupied by all runs, including those proposed or being stopped.
  const Resources& Used() const { return used_; }
  const Resources& Capacity() const { return capacity_; }
  bool HasCapacityFor(const Resources& aNeed) const;
  // Number of runs of long-running tasks, and the capacity they occupy.
  uint32_t LongRunningRunCount() const { return longRunningRuns_; }
  const Resources& UsedByLongRunning() const { return usedByLongRunning_; }
  // True if best-effort tasks run beside latency-sensitive tasks.
  bool MixesBestEffortAndLatencySensitive() const
  {
    return bestEffortRuns_ > 0 && latencySensitiveRuns_ > 0;
  }
  // `aInterruptedJobCount`: the store's `InterruptedJobCount()`; a change of it
  // invalidates the cached summary, because the runs of such jobs have to be
  // stopped.
  const RunSummary& Summary(uint64_t aInterruptedJobCount) const;
  // Number of runs of the same step on the instance.
  uint32_t CountRunsOfStep(const TaskRef& aTaskOfStep) const;

  // True unless the instance ends, does not reply, or is emptied.
  bool IsInService() const;
  // True if the instance may get new work at `aNow`.
  bool IsUsable(Millis aNow) const;
  // Reverts an evacuation. Stops that have been sent are carried out.
  void CancelEvacuation();

  // The instance has replied to an order with the current fencing token.
  bool contacted_ = false;
  // The latest listing request got no reply.
  bool isUnresponsive_ = false;
  bool isReplaced_ = false; // a reply came from the next incarnation
  // Where the instance itself has replied to a listing request.
  std::optional<Endpoint> confirmedEndpoint_;
  bool isLeaving_ = false; // its runs are stopped; it ends soon
  // Reserved for an operation on its machine: gets no new work.
  bool reserved_ = false;
  // Its runs are moved elsewhere, for an operation on its machine.
  bool evacuating_ = false;
  bool consolidating_ = false; // only long-running tasks are moved elsewhere
  // Evacuated although its service needed another machine first and got none.
  bool isEvacuatedWithoutReplacement_ = false;
  // Its service needs another machine before this one is maintained. Requested
  // since `replacementRequestedAt_`, and until the time below.
  Millis replacementRequestedAt_;
  Millis replacementRequestedUntil_;
  // Gets no new work because the demand of its pool falls, so that its machine
  // becomes idle and can leave the pool.
  bool isClosedToNewWork_ = false;
  Millis lastBusyAt_;
  Millis avoidMoveUntil_;     // set when an operation on its machine is refused
  bool holdInFlight_ = false; // a listing that waits for an end
  bool pollInFlight_ = false; // a listing with an immediate reply
  Millis nextHoldAt_;
  Millis lastReplyAt_;
  Millis busySince_; // an idle instance gets no listing requests
  // Time of the latest start or renewal of the lease, by any leader.
  Millis lastGrantAt_;
  uint64_t listings_ = 0;        // number of listings processed
  uint64_t confirmedCursor_ = 0; // end cursor last confirmed to the instance
  uint64_t proposedCursor_ = 0;  // end cursor including uncommitted proposals
  Millis avoidUntil_;            // set when it refuses or fails orders
  uint32_t failuresInRow_ = 0;   // consecutive runs that ended as failed
  bool removalProposed_ = false; // its removal has been proposed to the log
  bool formerLeaseEndProposed_ = false; // see `Instance::mayHoldFormerLease_`

private:
  ServiceId ChargedService() const;

  Instance* instance_;
  uint64_t serial_; // of the instance when the view was made
  InstanceLease lease_;
  std::map<TaskRef, RunView> runs_;
  Resources capacity_;
  Resources used_;
  Resources usedByLongRunning_;
  uint32_t longRunningRuns_ = 0;
  uint32_t latencySensitiveRuns_ = 0;
  uint32_t bestEffortRuns_ = 0;
  CustomerLedger* ledger_ = nullptr;
  std::vector<RunCharge> unassignedRuns_;
  // Any access that may modify a run invalidates the summary.
  mutable bool isSummaryValid_ = false;
  mutable uint64_t summarizedInterruptedJobs_ = 0;
  mutable RunSummary summary_;
};

// What one task of the step needs, including processor time that is not
// reserved.
Resources DeclaredNeedOf(const v1::StepSpec& aStep);

// Capacity that one task of the step occupies on its instance. The processor
// time of best-effort tasks is not reserved.
Resources OccupiedBy(const v1::StepSpec& aStep);

// True if the instance has the label that the step requires.
bool HasRequiredLabel(const InstanceView& aView, const v1::StepSpec& aStep);

} // namespace vanillahatch
