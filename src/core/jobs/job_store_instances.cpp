// The instances in the job store.
#include "vanillahatch/core/jobs/job_store.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace vanillahatch {

namespace {

// Enough ended incarnations to recognize reports that arrive seconds late: a
// thousand machines that follow the demand end about 150 instances per second.
constexpr size_t kMaxDeparted = 4000;
// Sufficient because readers poll several times per second.
constexpr size_t kMaxRecordedChanges = 1000;

} // namespace

InstanceKey ToKey(const v1::InstanceKey& aKey)
{
  return { .id_ = aKey.id(), .startedUnixMs_ = aKey.born_unix_ms() };
}

InstanceKey ToKey(const v1::InstanceRecord& aRecord)
{
  return { .id_ = aRecord.id(), .startedUnixMs_ = aRecord.born_unix_ms() };
}

v1::InstanceKey ToMessage(const InstanceKey& aKey)
{
  v1::InstanceKey key;
  key.set_id(aKey.id_);
  key.set_born_unix_ms(aKey.startedUnixMs_);
  return key;
}

Instance* JobStore::FindInstance(const InstanceKey& aKey) const
{
  const auto it = instances_.find(aKey);
  return it != instances_.end() ? it->second.get() : nullptr;
}

void JobStore::PutInstance(const v1::InstanceRecord& aRecord)
{
  const InstanceKey key = ToKey(aRecord);
  if (HasDeparted(key)) {
    return;
  }
  auto [it, isNew] = instances_.try_emplace(key);
  if (isNew) {
    it->second = std::make_unique<Instance>();
    it->second->key_ = key;
    it->second->serial_ = instanceChangeCount_ + 1;
    it->second->mayHoldFormerLease_ = HasEarlierIncarnation(key);
  }
  RecordInstanceChange(key);
  Instance& instance = *it->second;
  RemoveFromMachineIndex(instance);
  const uint64_t cursor = instance.record_.end_cursor();
  instance.record_ = aRecord;
  instance.record_.set_end_cursor(std::max(cursor, aRecord.end_cursor()));
  instancesByMachine_.emplace(instance.record_.machine(), &instance);
}

void JobStore::RecordInstanceChange(const InstanceKey& aKey)
{
  ++instanceChangeCount_;
  changedInstances_.push_back(aKey);
  if (changedInstances_.size() > kMaxRecordedChanges) {
    changedInstances_.pop_front();
  }
}

std::optional<std::vector<InstanceKey>> JobStore::InstancesChangedSince(
  uint64_t aSince) const
{
  const uint64_t count = instanceChangeCount_ - aSince;
  if (count > changedInstances_.size()) {
    return std::nullopt;
  }
  return std::vector<InstanceKey>(changedInstances_.end() -
                                    static_cast<std::ptrdiff_t>(count),
                                  changedInstances_.end());
}

void JobStore::RemoveFromMachineIndex(const Instance& aInstance)
{
  const auto [first, last] =
    instancesByMachine_.equal_range(aInstance.record_.machine());
  const auto it = std::find_if(
    first, last, [&](const auto& aItem) { return aItem.second == &aInstance; });
  if (it != last) {
    instancesByMachine_.erase(it);
  }
}

std::vector<const Instance*> JobStore::FindInstancesById(
  const std::string& aId) const
{
  std::vector<const Instance*> found;
  constexpr int64_t kEarliest = std::numeric_limits<int64_t>::min();
  auto it = instances_.lower_bound({ .id_ = aId, .startedUnixMs_ = kEarliest });
  for (; it != instances_.end() && it->first.id_ == aId; ++it) {
    found.push_back(it->second.get());
  }
  return found;
}

std::vector<const Instance*> JobStore::FindInstancesOnMachine(
  const std::string& aMachine) const
{
  std::vector<const Instance*> found;
  const auto [first, last] = instancesByMachine_.equal_range(aMachine);
  std::transform(first, last, std::back_inserter(found), [](const auto& aItem) {
    return aItem.second;
  });
  return found;
}

bool JobStore::HasDeparted(const InstanceKey& aKey) const
{
  return departedSet_.contains(aKey);
}

bool JobStore::HasEarlierIncarnation(const InstanceKey& aKey) const
{
  constexpr int64_t kEarliest = std::numeric_limits<int64_t>::min();
  const InstanceKey first{ .id_ = aKey.id_, .startedUnixMs_ = kEarliest };
  return instances_.lower_bound(first) != instances_.lower_bound(aKey) ||
         departedSet_.lower_bound(first) != departedSet_.lower_bound(aKey);
}

void JobStore::RecordDeparted(const InstanceKey& aKey)
{
  if (departedSet_.insert(aKey).second) {
    departed_.push_back(aKey);
  }
  if (departed_.size() > kMaxDeparted) {
    departedSet_.erase(departed_.front());
    departed_.pop_front();
  }
}

Instance* JobStore::FindNextIncarnation(const InstanceKey& aKey) const
{
  const auto it = instances_.upper_bound(aKey);
  return it != instances_.end() && it->first.id_ == aKey.id_ ? it->second.get()
                                                             : nullptr;
}

// Instances do not check which incarnation an order is for, so a start may have
// been executed by the next one. Its tasks stay assigned until a listing of
// that incarnation shows where they are.
void JobStore::RemoveInstance(const v1::InstanceGone& aGone)
{
  const InstanceKey key = ToKey(aGone.key());
  if (aGone.final()) {
    RecordDeparted(key);
  }
  const auto it = instances_.find(key);
  if (it == instances_.end()) {
    if (aGone.mistaken() && departedSet_.erase(key) > 0) {
      std::erase(departed_, key);
    }
    return;
  }
  const std::set<TaskRef> assigned = it->second->assigned_;
  Instance* next = aGone.final() ? FindNextIncarnation(key) : nullptr;
  for (const TaskRef& task : assigned) {
    if (next != nullptr) {
      TaskAt(task).instance_ = next;
      next->assigned_.insert(task);
    } else if (TaskAt(task).phase_ == TaskPhase::kDone) {
      Unassign(task);
    } else {
      FinishRun(task, v1::RUN_STOPPED, {});
    }
  }
  RemoveFromMachineIndex(*it->second);
  instances_.erase(it);
  RecordInstanceChange(key);
  if (next != nullptr) {
    RecordInstanceChange(next->key_);
  }
}

void JobStore::EndFormerLease(const v1::FormerLeaseEnded& aEnded)
{
  if (Instance* instance = FindInstance(ToKey(aEnded.key()))) {
    instance->mayHoldFormerLease_ = false;
  }
}

} // namespace vanillahatch
