#include "vanillahatch/core/jobs/report_changes.h"

namespace vanillahatch {

namespace {

void AddGone(v1::JobChanges& aChanges, const InstanceKey& aKey)
{
  v1::InstanceGone& gone = *aChanges.add_changes()->mutable_instance_gone();
  *gone.mutable_key() = ToMessage(aKey);
  gone.set_final(true);
}

// What is to be held of the instance after its report.
v1::InstanceRecord FreshRecord(const Instance* aKnown,
                               const v1::InstanceRecord& aReported)
{
  v1::InstanceRecord fresh = aReported;
  if (aKnown != nullptr) {
    fresh.set_end_cursor(aKnown->record_.end_cursor());
    // What was once said to drain does not come back in this life.
    fresh.set_draining(fresh.draining() || aKnown->record_.draining());
  }
  return fresh;
}

bool IsSame(const v1::InstanceRecord& aLeft, const v1::InstanceRecord& aRight)
{
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

} // namespace

v1::JobChanges ChangesForReport(const JobStore& aStore,
                                const InstanceReport& aReport)
{
  v1::JobChanges changes;
  const InstanceKey key = ToKey(aReport.record_);
  if (aStore.HasDeparted(key)) {
    return changes; // a late report
  }
  for (const Instance* other : aStore.InstancesOf(key.id_)) {
    if (other->key_.bornUnixMs_ > key.bornUnixMs_) {
      return {}; // a late report of a former life
    }
    if (other->key_.bornUnixMs_ < key.bornUnixMs_) {
      AddGone(changes, other->key_);
    }
  }
  const std::string& machine = aReport.record_.machine();
  if (!machine.empty()) {
    for (const Instance* other : aStore.InstancesOn(machine)) {
      const bool isFormer =
        other->key_.id_ != key.id_ && other->key_.bornUnixMs_ < key.bornUnixMs_;
      if (isFormer) {
        AddGone(changes, other->key_);
      }
    }
  }
  const Instance* known = aStore.FindInstance(key);
  v1::InstanceRecord fresh = FreshRecord(known, aReport.record_);
  if (known == nullptr || !IsSame(fresh, known->record_)) {
    *changes.add_changes()->mutable_put_instance() = std::move(fresh);
  }
  return changes;
}

v1::JobChanges ChangesForLeave(const JobStore& aStore,
                               const std::string& aInstance)
{
  v1::JobChanges changes;
  for (const Instance* instance : aStore.InstancesOf(aInstance)) {
    AddGone(changes, instance->key_);
  }
  return changes;
}

bool IsHeld(const JobStore& aStore, const InstanceReport& aReport)
{
  const Instance* known = aStore.FindInstance(ToKey(aReport.record_));
  return known != nullptr &&
         IsSame(FreshRecord(known, aReport.record_), known->record_) &&
         known->record_.draining() == aReport.record_.draining() &&
         aStore.InstancesOf(known->key_.id_).size() == 1 &&
         aStore.InstancesOn(aReport.record_.machine()).size() == 1;
}

} // namespace vanillahatch
