#include "vanillahatch/core/placement.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace vanillahatch {

namespace {

constexpr std::array<std::string_view, 6> kActionNames = {
  "start", "checkpoint", "throttle", "stop", "refuse", "quarantine"
};

constexpr std::array<std::string_view, 9> kReasonNames = {
  "placed",           "urgent",     "memory-pressure",
  "cpu-pressure",     "never-fits", "over-quota",
  "fails-everywhere", "duplicate",  "worker-fails-tasks"
};

} // namespace

std::string_view NameOf(PlacementActionKind aKind)
{
  return kActionNames[static_cast<size_t>(aKind)];
}

std::string_view NameOf(PlacementReason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

Placement::WaitKey Placement::KeyOf(const Task& aTask)
{
  return { .isOrdinary_ = !aTask.spec_.urgent_,
           .submissionIndex_ = aTask.submissionIndex_ };
}

void Placement::AddWorker(const WorkerSpec& aWorker)
{
  const auto [it, isNew] = workers_.try_emplace(
    aWorker.name_, Worker{ .spec_ = aWorker, .free_ = aWorker.capacity_ });
  if (!isNew) {
    return;
  }
  const Resources& capacity = aWorker.capacity_;
  largestCapacity_.milliCpus_ =
    std::max(largestCapacity_.milliCpus_, capacity.milliCpus_);
  largestCapacity_.memoryMb_ =
    std::max(largestCapacity_.memoryMb_, capacity.memoryMb_);
  largestCapacity_.accelerators_ =
    std::max(largestCapacity_.accelerators_, capacity.accelerators_);
}

void Placement::SetQuota(const TeamName& aTeam, const Resources& aQuota)
{
  quotas_[aTeam] = aQuota;
}

void Placement::Submit(const TaskSpec& aTask, Millis aNow)
{
  const auto [it, isNew] =
    tasks_.try_emplace(aTask.name_,
                       Task{ .spec_ = aTask,
                             .submittedAt_ = aNow,
                             .submissionIndex_ = submissionIndex_++ });
  if (!isNew) {
    actions_.push_back({ .kind_ = PlacementActionKind::kRefuse,
                         .reason_ = PlacementReason::kDuplicate,
                         .task_ = aTask.name_ });
    return;
  }
  if (!RefuseImpossible(it->second)) {
    waiting_.emplace(KeyOf(it->second), aTask.name_);
  }
}

bool Placement::RefuseImpossible(const Task& aTask)
{
  // Declared sizes are often wrong, so the estimate is used once available.
  const Resources size =
    sizes_[aTask.spec_.kind_].ReservationFor(aTask.spec_.declared_);
  const bool fitsSomewhere =
    std::any_of(workers_.begin(), workers_.end(), [&](const auto& aItem) {
      return size.FitsInto(aItem.second.spec_.capacity_);
    });
  const auto quota = quotas_.find(aTask.spec_.team_);
  const bool fitsQuota = quota == quotas_.end() || size.FitsInto(quota->second);
  if ((fitsSomewhere || workers_.empty()) && fitsQuota) {
    return false;
  }
  AddAction(PlacementActionKind::kRefuse,
            fitsQuota ? PlacementReason::kNeverFits
                      : PlacementReason::kOverQuota,
            aTask);
  tasks_.erase(TaskName(aTask.spec_.name_));
  return true;
}

void Placement::AddAction(PlacementActionKind aKind,
                          PlacementReason aReason,
                          const Task& aTask)
{
  actions_.push_back({ .kind_ = aKind,
                       .reason_ = aReason,
                       .task_ = aTask.spec_.name_,
                       .worker_ = aTask.worker_,
                       .attempt_ = aTask.attempt_,
                       .reserved_ = aTask.reserved_,
                       .leaseUntil_ = aTask.leaseUntil_ });
}

void Placement::Release(Task& aTask)
{
  Worker& worker = workers_.at(aTask.worker_);
  worker.free_ = worker.free_ + aTask.reserved_;
  worker.tasks_.erase(aTask.spec_.name_);
  Resources& used = usedByTeam_[aTask.spec_.team_];
  used = used - aTask.reserved_;
  --runningInRack_[{ aTask.spec_.kind_, worker.spec_.rack_ }];
  --running_;
  aTask.worker_ = WorkerName();
  aTask.isStopping_ = false;
}

void Placement::Remove(const TaskName& aTask)
{
  const auto it = tasks_.find(aTask);
  waiting_.erase(KeyOf(it->second));
  tasks_.erase(it);
}

void Placement::End(const TaskName& aTask, uint64_t aAttempt, TaskEnd aEnd)
{
  const auto it = tasks_.find(aTask);
  if (it == tasks_.end() || it->second.attempt_ != aAttempt ||
      it->second.worker_.Empty()) {
    return;
  }
  Task& task = it->second;
  Worker& worker = workers_.at(task.worker_);
  if (aEnd == TaskEnd::kSucceeded) {
    worker.failures_ = 0;
    worker.failedKinds_.clear();
    if (task.peak_ != Resources{}) {
      sizes_[task.spec_.kind_].Record(task.peak_);
    }
  } else if (aEnd == TaskEnd::kFailed) {
    RecordFailure(task);
  }
  const bool isAbandoned = task.failedOn_.size() >= options_.maxFailedWorkers_;
  Release(task);
  if (isAbandoned && aEnd == TaskEnd::kFailed) {
    AddAction(
      PlacementActionKind::kRefuse, PlacementReason::kFailsEverywhere, task);
  }
  if (aEnd == TaskEnd::kSucceeded || isAbandoned || task.isCancelled_) {
    Remove(aTask);
    return;
  }
  waiting_.emplace(KeyOf(task), aTask);
}

void Placement::RecordFailure(Task& aTask)
{
  Worker& worker = workers_.at(aTask.worker_);
  aTask.failedOn_.insert(aTask.worker_);
  ++worker.failures_;
  worker.failedKinds_.insert(aTask.spec_.kind_);
  // If only one kind fails, the tasks may be at fault rather than the worker.
  const bool isFaulty = worker.failures_ >= options_.failuresToQuarantine_ &&
                        worker.failedKinds_.size() > 1 &&
                        !worker.isQuarantined_;
  const auto quarantined =
    std::count_if(workers_.begin(), workers_.end(), [](const auto& aItem) {
      return aItem.second.isQuarantined_;
    });
  const size_t allowed =
    std::max<size_t>(1, workers_.size() * options_.quarantinePercent_ / 100);
  if (!isFaulty || static_cast<size_t>(quarantined) >= allowed) {
    return;
  }
  worker.isQuarantined_ = true;
  actions_.push_back({ .kind_ = PlacementActionKind::kQuarantine,
                       .reason_ = PlacementReason::kWorkerFailsTasks,
                       .worker_ = worker.spec_.name_ });
}

void Placement::EndQuarantine(const WorkerName& aWorker)
{
  const auto it = workers_.find(aWorker);
  if (it != workers_.end()) {
    it->second.isQuarantined_ = false;
    it->second.failures_ = 0;
    it->second.failedKinds_.clear();
  }
}

bool Placement::IsQuarantined(const WorkerName& aWorker) const
{
  const auto it = workers_.find(aWorker);
  return it != workers_.end() && it->second.isQuarantined_;
}

void Placement::Cancel(const TaskName& aTask)
{
  const auto it = tasks_.find(aTask);
  if (it == tasks_.end()) {
    return;
  }
  if (it->second.worker_.Empty()) {
    Remove(aTask);
    return;
  }
  it->second.isCancelled_ = true;
  Stop(it->second, PlacementReason::kPlaced);
}

void Placement::ExpireLeases(Millis aNow)
{
  std::vector<TaskName> expired;
  for (const auto& [name, task] : tasks_) {
    if (!task.worker_.Empty() && task.leaseUntil_ <= aNow) {
      expired.push_back(name);
    }
  }
  for (const TaskName& name : expired) {
    // The worker stopped the task when the lease expired, even if unreachable.
    End(name, tasks_.at(name).attempt_, TaskEnd::kStopped);
  }
}

bool Placement::FitsQuota(const Task& aTask, const Resources& aSize) const
{
  const auto quota = quotas_.find(aTask.spec_.team_);
  if (quota == quotas_.end()) {
    return true;
  }
  const auto used = usedByTeam_.find(aTask.spec_.team_);
  const Resources before =
    used != usedByTeam_.end() ? used->second : Resources{};
  return (before + aSize).FitsInto(quota->second);
}

Placement::Worker* Placement::ChooseWorker(const Task& aTask,
                                           const Resources& aSize)
{
  Worker* best = nullptr;
  std::tuple<bool, uint32_t, int64_t, int64_t> bestCost;
  for (auto& [name, worker] : workers_) {
    if (worker.isQuarantined_ || !aSize.FitsInto(worker.free_)) {
      continue;
    }
    const auto rack =
      runningInRack_.find({ aTask.spec_.kind_, worker.spec_.rack_ });
    const uint32_t sameKind = rack != runningInRack_.end() ? rack->second : 0;
    const Resources left = worker.free_ - aSize;
    // In order of weight: avoid workers on which the task failed, spread the
    // kind over racks, keep accelerators for tasks that need them, and choose
    // the tightest fit in memory.
    const std::tuple cost(aTask.failedOn_.contains(name),
                          sameKind,
                          left.accelerators_,
                          left.memoryMb_);
    if (best == nullptr || cost < bestCost) {
      best = &worker;
      bestCost = cost;
    }
  }
  return best;
}

void Placement::Start(Task& aTask,
                      Worker& aWorker,
                      const Resources& aSize,
                      Millis aNow)
{
  waiting_.erase(KeyOf(aTask));
  ++aTask.attempt_;
  aTask.worker_ = aWorker.spec_.name_;
  aTask.reserved_ = aSize;
  aTask.use_ = aSize;
  aTask.peak_ = {};
  aTask.leaseUntil_ = aNow + options_.lease_;
  aTask.isCheckpointed_ = false;
  aWorker.free_ = aWorker.free_ - aSize;
  aWorker.tasks_.insert(aTask.spec_.name_);
  Resources& used = usedByTeam_[aTask.spec_.team_];
  used = used + aSize;
  ++runningInRack_[{ aTask.spec_.kind_, aWorker.spec_.rack_ }];
  ++running_;
  AddAction(PlacementActionKind::kStart, PlacementReason::kPlaced, aTask);
}

void Placement::PlaceWaiting(Millis aNow)
{
  std::vector<TaskName> names;
  for (const auto& [key, name] : waiting_) {
    names.push_back(name);
  }
  std::vector<Resources> unplaceable; // sizes that fit no worker in this call
  for (const TaskName& name : names) {
    Task& task = tasks_.at(name);
    const Resources size =
      sizes_[task.spec_.kind_].ReservationFor(task.spec_.declared_);
    const bool isKnownNotToFit =
      std::any_of(unplaceable.begin(),
                  unplaceable.end(),
                  [&](const auto& aOther) { return aOther.FitsInto(size); });
    if (!FitsQuota(task, size) || (isKnownNotToFit && !task.spec_.urgent_)) {
      continue;
    }
    Worker* worker = isKnownNotToFit ? nullptr : ChooseWorker(task, size);
    if (worker == nullptr && !isKnownNotToFit) {
      unplaceable.push_back(size);
    }
    if (worker != nullptr) {
      Start(task, *worker, size, aNow);
    } else if (task.spec_.urgent_) {
      Preempt(task, size, aNow);
    }
  }
}

std::vector<PlacementAction> Placement::Decide(Millis aNow)
{
  ExpireLeases(aNow);
  PlaceWaiting(aNow);
  return std::exchange(actions_, {});
}

} // namespace vanillahatch
