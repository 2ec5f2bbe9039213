// The part of Placement that handles running tasks: reports, resource pressure
// and preemption by urgent tasks.
#include "vanillahatch/core/placement.h"

#include <algorithm>

namespace vanillahatch {

namespace {

void UpdateMaximum(Resources& aPeak, const Resources& aUse)
{
  aPeak.milliCpus_ = std::max(aPeak.milliCpus_, aUse.milliCpus_);
  aPeak.memoryMb_ = std::max(aPeak.memoryMb_, aUse.memoryMb_);
  aPeak.accelerators_ = std::max(aPeak.accelerators_, aUse.accelerators_);
}

} // namespace

void Placement::Report(const WorkerReport& aReport, Millis aNow)
{
  const auto worker = workers_.find(aReport.worker_);
  if (worker == workers_.end()) {
    return;
  }
  for (const TaskUse& taskUse : aReport.tasks_) {
    const auto it = tasks_.find(taskUse.task_);
    if (it == tasks_.end() || it->second.worker_ != aReport.worker_) {
      continue;
    }
    Task& task = it->second;
    task.use_ = taskUse.use_;
    UpdateMaximum(task.peak_, taskUse.use_);
    // The lease runs from the sample time, not from the report's arrival.
    task.leaseUntil_ =
      std::max(task.leaseUntil_, aReport.sampledAt_ + options_.lease_);
  }
  RelievePressure(worker->second, aReport.sampledAt_, aNow);
}

std::vector<Placement::Task*> Placement::Victims(const Worker& aWorker,
                                                 Millis aNow)
{
  std::vector<Task*> victims;
  for (const TaskName& name : aWorker.tasks_) {
    Task& task = tasks_.at(name);
    const bool isProtected = task.spec_.urgent_ || task.protectedUntil_ > aNow;
    if (!isProtected && !task.isStopping_) {
      victims.push_back(&task);
    }
  }
  // Sorted by memory use beyond the reservation, largest first, then newest.
  std::sort(victims.begin(), victims.end(), [](auto* aLeft, auto* aRight) {
    const auto excess = [](const Task& aTask) {
      return aTask.use_.memoryMb_ - aTask.reserved_.memoryMb_;
    };
    const int64_t left = excess(*aLeft);
    const int64_t right = excess(*aRight);
    return left != right ? left > right
                         : aLeft->submissionIndex_ > aRight->submissionIndex_;
  });
  return victims;
}

void Placement::RelievePressure(Worker& aWorker, Millis aSampledAt, Millis aNow)
{
  Resources use;
  for (const TaskName& name : aWorker.tasks_) {
    const Task& task = tasks_.at(name);
    // An ordered stop will release this task's resources. A report sampled
    // before a checkpoint or throttle does not show its effect.
    if (task.isStopping_) {
      continue;
    }
    if (task.lastOrderAt_ >= aSampledAt) {
      return;
    }
    use = use + task.use_;
  }
  const Resources& capacity = aWorker.spec_.capacity_;
  const std::vector<Task*> victims = Victims(aWorker, aNow);
  if (victims.empty()) {
    return;
  }
  Task& victim = *victims.front();
  const int64_t memoryPercent = use.memoryMb_ * 100 / capacity.memoryMb_;
  const bool isUrgent = memoryPercent >= options_.stopPercent_;
  if (isUrgent) {
    Stop(victim, PlacementReason::kMemoryPressure);
    return;
  }
  if (memoryPercent >= options_.checkpointPercent_ &&
      victim.spec_.canCheckpoint_ && !victim.isCheckpointed_) {
    victim.isCheckpointed_ = true;
    victim.lastOrderAt_ = aNow;
    AddAction(PlacementActionKind::kCheckpoint,
              PlacementReason::kMemoryPressure,
              victim);
  }
  if (use.milliCpus_ > capacity.milliCpus_) {
    const auto worst =
      std::max_element(victims.begin(), victims.end(), [](auto* aL, auto* aR) {
        return aL->use_.milliCpus_ - aL->reserved_.milliCpus_ <
               aR->use_.milliCpus_ - aR->reserved_.milliCpus_;
      });
    (*worst)->lastOrderAt_ = aNow;
    AddAction(
      PlacementActionKind::kThrottle, PlacementReason::kCpuPressure, **worst);
  }
}

void Placement::Stop(Task& aTask, PlacementReason aReason)
{
  if (aTask.isStopping_) {
    return;
  }
  aTask.isStopping_ = true;
  if (aTask.spec_.canCheckpoint_ && !aTask.isCheckpointed_ &&
      !aTask.isCancelled_) {
    aTask.isCheckpointed_ = true;
    AddAction(PlacementActionKind::kCheckpoint, aReason, aTask);
  }
  AddAction(PlacementActionKind::kStop, aReason, aTask);
}

void Placement::RefuseStop(const TaskName& aTask, Millis aNow)
{
  const auto it = tasks_.find(aTask);
  if (it == tasks_.end() || !it->second.isStopping_) {
    return;
  }
  it->second.isStopping_ = false;
  it->second.protectedUntil_ = aNow + options_.guardRetry_;
}

void Placement::Preempt(const Task& aTask, const Resources& aSize, Millis aNow)
{
  std::vector<Task*> toStop;
  bool isFound = false;
  for (auto& [name, worker] : workers_) {
    if (worker.isQuarantined_ || !aSize.FitsInto(worker.spec_.capacity_) ||
        aTask.failedOn_.contains(name)) {
      continue;
    }
    Resources available = worker.free_;
    for (const TaskName& stopping : worker.tasks_) {
      const Task& task = tasks_.at(stopping);
      available = task.isStopping_ ? available + task.reserved_ : available;
    }
    std::vector<Task*> chosen;
    for (Task* victim : Victims(worker, aNow)) {
      if (aSize.FitsInto(available)) {
        break;
      }
      available = available + victim->reserved_;
      chosen.push_back(victim);
    }
    const bool isBetter = !isFound || chosen.size() < toStop.size();
    if (aSize.FitsInto(available) && isBetter) {
      toStop = chosen;
      isFound = true;
    }
  }
  for (Task* victim : toStop) {
    Stop(*victim, PlacementReason::kUrgent);
  }
}

} // namespace vanillahatch
