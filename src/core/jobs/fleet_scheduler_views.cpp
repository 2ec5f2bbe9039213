// The views of the instances, as the log changes them.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

// Keeps one view for each instance of the store.
void FleetScheduler::SyncViews(Millis aNow)
{
  if (syncedInstanceChanges_ == store_.InstanceChangeCount()) {
    return;
  }
  std::optional<std::vector<InstanceKey>> changed =
    store_.InstancesChangedSince(syncedInstanceChanges_);
  syncedInstanceChanges_ = store_.InstanceChangeCount();
  if (!changed) {
    changed.emplace();
    for (const auto& [key, view] : views_) {
      changed->push_back(key);
    }
    for (const auto& [key, instance] : store_.Instances()) {
      changed->push_back(key);
    }
  }
  for (const InstanceKey& key : *changed) {
    SyncView(aNow, key);
  }
}

// An assigned task without a run in the view was started by an earlier leader,
// or on the previous incarnation of the instance.
bool FleetScheduler::AddInheritedRuns(Millis aNow, InstanceView& aView)
{
  bool isAnyAdded = false;
  for (const TaskRef& task : aView.StoredInstance().assigned_) {
    const uint32_t run = JobStore::TaskAt(task).run_;
    if (aView.FindRun(task, run) != nullptr) {
      continue;
    }
    RunView& added = aView.AddRun(task, { .run_ = run });
    isAnyAdded = true;
    if (aNow > leaderSince_) {
      MarkInDoubt(aNow, task, added, "its instance started again");
    } else {
      added.phase_ = RunPhase::kInDoubt;
      added.since_ = aNow;
    }
  }
  return isAnyAdded;
}

void FleetScheduler::SyncView(Millis aNow, const InstanceKey& aKey)
{
  Instance* instance = store_.FindInstance(aKey);
  InstanceView* known = FindView(aKey);
  if (known != nullptr && (instance == nullptr || !known->IsOf(instance))) {
    RemoveFromIndex(*known);
    viewsByKey_.erase(aKey);
    known->RemoveAllRuns();
    views_.erase(aKey);
    known = nullptr;
  }
  if (instance == nullptr) {
    return;
  }
  if (known != nullptr) {
    RemoveFromIndex(*known);
    known->RefreshCapacity();
    AddToIndex(*known);
    if (AddInheritedRuns(aNow, *known)) {
      known->Lease().ExpectUnknownLease(options_.longestLease_,
                                        aNow + kMaxOrderDelay);
      known->busySince_ = aNow;
      known->lastGrantAt_ = aNow;
    }
    return;
  }
  InstanceView& view =
    views_
      .try_emplace(aKey,
                   *instance,
                   options_.lease_,
                   std::max(leaderSince_ + options_.formerLeaderLease_, aNow),
                   aNow)
      .first->second;
  if (instance->mayHoldFormerLease_) {
    // Known from the log, also if it started again under an earlier leader.
    view.Lease().ExpectUnknownLease(options_.longestLease_,
                                    view.lastGrantAt_ + kMaxOrderDelay);
    trace_.onInstance_(aKey, "may hold a lease of its former incarnation");
  }
  view.SetLedger(ledger_);
  viewsByKey_.emplace(aKey, &view);
  AddToIndex(view);
  AddInheritedRuns(aNow, view);
  machines_.OnInstanceReport(
    aNow, view.StoredRecord().machine(), view.StoredRecord().service(), aKey);
}

void FleetScheduler::AddToIndex(InstanceView& aView)
{
  viewsByMachine_.emplace(aView.StoredRecord().machine(), &aView);
  allViews_.push_back(&aView);
  viewsByService_[aView.StoredRecord().service()].push_back(&aView);
}

// Searches by address: the facts of the view may have changed since it was
// added.
void FleetScheduler::RemoveFromIndex(const InstanceView& aView)
{
  std::erase_if(viewsByMachine_,
                [&](const auto& aItem) { return aItem.second == &aView; });
  std::erase(allViews_, &aView);
  for (auto& [service, views] : viewsByService_) {
    std::erase(views, &aView);
  }
}

} // namespace vanillahatch
