#include "vanillahatch/core/jobs/report_changes.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kMinContradiction = Seconds(10);
// Instances report every one or two seconds.
constexpr Millis kMaxReportGap = Seconds(5);

void AddRemoval(v1::JobChanges& aChanges, const InstanceKey& aKey)
{
  v1::InstanceGone& removal = *aChanges.add_changes()->mutable_instance_gone();
  *removal.mutable_key() = ToMessage(aKey);
  removal.set_final(true);
}

// The record to store after the report.
v1::InstanceRecord MergedRecord(const Instance* aKnown,
                                const v1::InstanceRecord& aReported)
{
  v1::InstanceRecord merged = aReported;
  if (aKnown != nullptr) {
    merged.set_end_cursor(aKnown->record_.end_cursor());
    // Draining is final within one incarnation.
    merged.set_draining(merged.draining() || aKnown->record_.draining());
  }
  return merged;
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
  const std::vector<const Instance*> incarnations =
    aStore.FindInstancesById(key.id_);
  const Instance* known = aStore.FindInstance(key);
  if (known == nullptr && !incarnations.empty() &&
      incarnations.back()->key_.startedUnixMs_ > key.startedUnixMs_) {
    return changes; // a late report of an earlier incarnation
  }
  v1::InstanceRecord merged = MergedRecord(known, aReport.record_);
  if (known == nullptr || !IsSame(merged, known->record_)) {
    *changes.add_changes()->mutable_put_instance() = std::move(merged);
  }
  // After the new record, which takes over their tasks.
  for (const Instance* other : incarnations) {
    if (other->key_.startedUnixMs_ < key.startedUnixMs_) {
      AddRemoval(changes, other->key_);
    }
  }
  return changes;
}

bool ContradictsFinalState(const JobStore& aStore,
                           const InstanceReport& aReport)
{
  const InstanceKey key = ToKey(aReport.record_);
  const Instance* known = aStore.FindInstance(key);
  return !aReport.record_.draining() &&
         (aStore.HasDeparted(key) ||
          (known != nullptr && known->record_.draining()));
}

v1::JobChanges ChangesForReturn(const JobStore& aStore,
                                const InstanceReport& aReport)
{
  v1::JobChanges changes;
  const InstanceKey key = ToKey(aReport.record_);
  if (aStore.HasDeparted(key)) {
    v1::InstanceGone& gone = *changes.add_changes()->mutable_instance_gone();
    *gone.mutable_key() = ToMessage(key);
    gone.set_mistaken(true);
  }
  v1::InstanceRecord& record = *changes.add_changes()->mutable_put_instance();
  record = aReport.record_;
  if (const Instance* known = aStore.FindInstance(key)) {
    record.set_end_cursor(known->record_.end_cursor());
  }
  return changes;
}

bool ContradictionTracker::Add(const InstanceKey& aInstance,
                               uint64_t aSequence,
                               Millis aNow)
{
  std::erase_if(spans_, [&](const auto& aItem) {
    return aNow - aItem.second.lastAt_ > kMaxReportGap;
  });
  const auto [it, isNew] =
    spans_.try_emplace(aInstance, Span{ aNow, aNow, aSequence });
  Span& span = it->second;
  if (isNew || aSequence <= span.lastSequence_) {
    return false;
  }
  span.lastAt_ = aNow;
  span.lastSequence_ = aSequence;
  const bool isLasting = aNow - span.firstAt_ >= kMinContradiction;
  if (isLasting) {
    spans_.erase(it);
  }
  return isLasting;
}

bool IsPlausibleStart(int64_t aStartedUnixMs, Millis aUnixNow)
{
  return Millis(aStartedUnixMs) <= aUnixNow + kMaxClockDifference;
}

bool IsConsistent(const JobStore& aStore, const InstanceReport& aReport)
{
  const v1::InstanceRecord& reported = aReport.record_;
  const Instance* known = aStore.FindInstance(ToKey(reported));
  const bool isNewService =
    known == nullptr || known->record_.service() != reported.service();
  const bool isConfigured = aStore.Config().version() == 0 ||
                            aStore.FindService(reported.service()) != nullptr;
  if (isNewService && !isConfigured) {
    return false;
  }
  if (known == nullptr) {
    return true;
  }
  const bool isOtherMachine = known->record_.machine() != reported.machine();
  if (isOtherMachine &&
      (reported.machine().empty() ||
       !aStore.FindInstancesOnMachine(reported.machine()).empty())) {
    return false;
  }
  const auto isAt = [](const v1::InstanceRecord& aRecord,
                       const v1::InstanceRecord& aOther) {
    return aRecord.address() == aOther.address() &&
           aRecord.port() == aOther.port();
  };
  return isAt(known->record_, reported) ||
         std::none_of(aStore.Instances().begin(),
                      aStore.Instances().end(),
                      [&](const auto& aItem) {
                        return isAt(aItem.second->record_, reported);
                      });
}

v1::JobChanges ChangesForLeave(const JobStore& aStore,
                               const InstanceKey& aInstance)
{
  v1::JobChanges changes;
  for (const InstanceKey& key : FindLeaving(aStore, aInstance)) {
    AddRemoval(changes, key);
  }
  return changes;
}

std::vector<InstanceKey> FindLeaving(const JobStore& aStore,
                                     const InstanceKey& aInstance)
{
  std::vector<InstanceKey> leaving;
  for (const Instance* instance : aStore.FindInstancesById(aInstance.id_)) {
    const bool isLater =
      aInstance.startedUnixMs_ != 0 &&
      instance->key_.startedUnixMs_ > aInstance.startedUnixMs_;
    if (!isLater) {
      leaving.push_back(instance->key_);
    }
  }
  return leaving;
}

bool MayRunTasks(const JobStore& aStore,
                 std::span<const InstanceKey> aInstances)
{
  return std::any_of(
    aInstances.begin(), aInstances.end(), [&](const InstanceKey& aKey) {
      const Instance* instance = aStore.FindInstance(aKey);
      return instance != nullptr && !instance->assigned_.empty();
    });
}

bool IsRecorded(const JobStore& aStore, const InstanceReport& aReport)
{
  const Instance* known = aStore.FindInstance(ToKey(aReport.record_));
  return known != nullptr &&
         IsSame(MergedRecord(known, aReport.record_), known->record_) &&
         known->record_.draining() == aReport.record_.draining() &&
         aStore.FindInstancesById(known->key_.id_).size() == 1 &&
         aStore.FindInstancesOnMachine(aReport.record_.machine()).size() == 1;
}

} // namespace vanillahatch
