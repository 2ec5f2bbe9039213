// What the leader believes of one instance: its lease, the runs that may exist
// there, and how far each is known to be.
//
// A run moves through these phases:
//
//   proposed -> ordered -> started -> listed -> (ended, and forgotten)
//                  \---------> in doubt ------/
//
// A run in doubt may or may not exist. It is looked for in the next listing;
// if that does not show it, it is stopped, which also keeps a start that is
// still under way from being carried out. Only an end that the instance lists,
// or an answered stop followed by a listing without the run, frees the task.
#pragma once

#include "vanillahatch/core/jobs/instance_lease.h"
#include "vanillahatch/core/jobs/orders.h"

#include <map>

namespace vanillahatch {

enum class RunPhase
{
  kProposed, // not yet in the log
  kOrdered,  // the start is under way
  kStarted,  // the instance has accepted it
  kListed,   // seen in a listing
  kInDoubt,
};

struct RunView
{
  uint32_t run_ = 0;
  v1::Resources need_; // that it occupies on the instance
  RunPhase phase_ = RunPhase::kProposed;
  Millis since_; // of the phase
  Millis orderedAt_;
  bool stopWanted_ = false;
  bool stopKeepsBudget_ = false; // the stop waits while others are away
  bool stopUnderWay_ = false;
  Millis nextStopAt_;
  std::optional<Millis> stoppedAt_; // when a stop was answered
  bool endProposed_ = false;
  uint32_t percent_ = 100; // as listed
  uint32_t load_ = 0;      // as listed
  uint32_t pacedTo_ = 100; // as ordered last
  bool paceUnderWay_ = false;
  uint64_t seenInListing_ = 0;        // number of the latest that showed it
  std::optional<Millis> atWorkSince_; // listed at full percent
};

class InstanceView
{
public:
  InstanceView(Instance& aInstance, Millis aLongestLease, Millis aNow);

  Instance& Record() { return *instance_; }
  const Instance& Record() const { return *instance_; }
  const v1::InstanceRecord& Facts() const { return instance_->record_; }
  InstanceLease& Lease() { return lease_; }
  const InstanceLease& Lease() const { return lease_; }

  std::map<TaskRef, RunView>& Runs() { return runs_; }
  const std::map<TaskRef, RunView>& Runs() const { return runs_; }
  RunView* FindRun(const TaskRef& aTask, uint32_t aRun);
  RunView& AddRun(const TaskRef& aTask, RunView aRun);
  void RemoveRun(const TaskRef& aTask);

  // Room that is taken or promised; what is being stopped still counts.
  const v1::Resources& Used() const { return used_; }
  bool HasRoomFor(const v1::Resources& aNeed) const;
  // Runs of tasks that last.
  uint32_t LastingRuns() const;
  // Runs of one step there.
  uint32_t CountOf(const TaskRef& aAnyOfStep) const;

  // True if it may be given new work at `aNow`.
  bool IsUsable(Millis aNow) const;

  // Reached under the present fencing token.
  bool contacted_ = false;
  // Its latest listing was not answered.
  bool isSilent_ = false;
  // Set aside for an operation on its machine.
  bool reserved_ = false;
  // Being emptied for an operation on its machine.
  bool evacuating_ = false;
  bool consolidating_ = false; // emptied only of tasks that last
  // Its pool ebbs: no new work for now, so that its machine can go.
  bool closed_ = false;
  Millis lastBusyAt_;
  Millis avoidMoveUntil_;     // an operation on its machine was refused
  bool holdUnderWay_ = false; // a listing that waits for an end
  bool lookUnderWay_ = false; // a listing that is answered at once
  Millis nextHoldAt_;
  Millis lastAnswerAt_;
  Millis reportedAt_;            // of its own accord
  uint64_t listings_ = 0;        // that were taken in
  uint64_t confirmedCursor_ = 0; // that it was told last
  uint64_t proposedCursor_ = 0;  // of ends that are on their way to the log
  Millis avoidUntil_;            // it refused or failed orders
  uint32_t failuresInRow_ = 0;   // runs that ended as failed
  bool goneProposed_ = false;

private:
  Instance* instance_;
  InstanceLease lease_;
  std::map<TaskRef, RunView> runs_;
  v1::Resources used_;
};

// What a task takes of its instance's capacity.
v1::Resources OccupiedBy(const v1::StepSpec& aStep);

} // namespace vanillahatch
