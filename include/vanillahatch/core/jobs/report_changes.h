// Computes the changes to the replicated state that follow from an instance's
// report.
//
// Designed for a thousand instances that report every one or two seconds.
// Nearly all of their reports change nothing. Any replica can determine this
// from its own state, so only reports with changes have to reach the leader.
//
//   const v1::JobChanges changes = ChangesForReport(store, report);
//   if (changes.changes_size() > 0) { propose them }
#pragma once

#include "vanillahatch/core/jobs/job_store.h"
#include "vanillahatch/core/jobs/orders.h"

#include <map>
#include <span>

namespace vanillahatch {

// Empty if the report contains no change, or is a late report of an earlier
// incarnation. A late report of the same incarnation needs no sequence number
// to be recognized: within one incarnation only draining changes, which is
// final.
v1::JobChanges ChangesForReport(const JobStore& aStore,
                                const InstanceReport& aReport);
// False if the start is in the future. It and `aUnixNow` are read from the
// clocks of different machines, which may differ by `kMaxClockDifference`.
constexpr Millis kMaxClockDifference = Seconds(3600);
bool IsPlausibleStart(int64_t aStartedUnixMs, Millis aUnixNow);

// False if the report contradicts what the store holds: it names a service that
// is not configured, or moves a known incarnation to the address or the machine
// of another instance. Only a new incarnation can succeed another one there.
bool IsConsistent(const JobStore& aStore, const InstanceReport& aReport);

// True if the instance reports that it takes work, while the store holds that
// this incarnation has ended or drains. Both are final, so `ChangesForReport`
// takes such a report for a late one.
bool ContradictsFinalState(const JobStore& aStore,
                           const InstanceReport& aReport);
// Makes the incarnation usable again.
v1::JobChanges ChangesForReturn(const JobStore& aStore,
                                const InstanceReport& aReport);

// Tells late reports from those of an incarnation that was taken for ended or
// draining by mistake: it goes on reporting, while late reports arrive
// together.
class ContradictionTracker
{
public:
  // Records a report that contradicts the final state of its incarnation.
  // Returns true once the incarnation has sent such reports for 10 s.
  bool Add(const InstanceKey& aInstance, uint64_t aSequence, Millis aNow);

private:
  struct Span
  {
    Millis firstAt_;
    Millis lastAt_;
    uint64_t lastSequence_ = 0;
  };

  // Of incarnations with a report in the last seconds.
  std::map<InstanceKey, Span> spans_;
};

// Removes the incarnation that has reported its end, and earlier ones of the
// same id; all of them if the report does not tell when it started (zero).
v1::JobChanges ChangesForLeave(const JobStore& aStore,
                               const InstanceKey& aInstance);
// The incarnations that `ChangesForLeave` removes.
std::vector<InstanceKey> FindLeaving(const JobStore& aStore,
                                     const InstanceKey& aInstance);
// True if the store assigns tasks to one of the instances. One that leaves goes
// on running them until its leave is acknowledged, so they have to end first.
bool MayRunTasks(const JobStore& aStore,
                 std::span<const InstanceKey> aInstances);
// True if the store's state matches the report exactly. False for a late report
// as well, because only the leader decides on reports that may be outdated.
bool IsRecorded(const JobStore& aStore, const InstanceReport& aReport);

} // namespace vanillahatch
