// What an instance's report of itself changes in the log.
//
// Load that it answers: a thousand instances that report every second or two.
// Nearly all of their reports change nothing, and any replica can see that from
// what it has applied, so only news has to reach the leader.
//
//   const v1::JobChanges changes = ChangesForReport(store, report);
//   if (changes.changes_size() > 0) { propose them }
#pragma once

#include "vanillahatch/core/jobs/job_store.h"
#include "vanillahatch/core/jobs/orders.h"

namespace vanillahatch {

// Empty if the report says nothing new, or comes late from a former life.
v1::JobChanges ChangesForReport(const JobStore& aStore,
                                const InstanceReport& aReport);
// The instance said that it has ended.
v1::JobChanges ChangesForLeave(const JobStore& aStore,
                               const std::string& aInstance);
// True if the store holds exactly this. False for a late report as well: what
// is not known to be current is left to the leader.
bool IsHeld(const JobStore& aStore, const InstanceReport& aReport);

} // namespace vanillahatch
