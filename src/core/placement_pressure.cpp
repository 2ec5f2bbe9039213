// What placement does with tasks that run: reports, pressure and room for
// urgent tasks.
#include "vanillahatch/core/placement.h"

#include <algorithm>

namespace vanillahatch {

namespace {

void TakeMost(Resources& aPeak, const Resources& aUse)
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
    TakeMost(task.peak_, taskUse.use_);
    // The lease counts from when the worker measured, not from the arrival.
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
    const bool isKept = task.spec_.urgent_ || task.keepUntil_ > aNow;
    if (!isKept && !task.isStopping_) {
      victims.push_back(&task);
    }
  }
  // Those furthest over what they reserved first, then the youngest.
  std::sort(victims.begin(), victims.end(), [](auto* aLeft, auto* aRight) {
    const auto over = [](const Task& aTask) {
      return aTask.use_.memoryMb_ - aTask.reserved_.memoryMb_;
    };
    const int64_t left = over(*aLeft);
    const int64_t right = over(*aRight);
    return left != right ? left > right : aLeft->order_ > aRight->order_;
  });
  return victims;
}

void Placement::RelievePressure(Worker& aWorker, Millis aSampledAt, Millis aNow)
{
  Resources use;
  for (const TaskName& name : aWorker.tasks_) {
    const Task& task = tasks_.at(name);
    // A stop on its way will free this; a report from before a checkpoint or
    // throttle does not show its effect yet.
    if (task.isStopping_) {
      continue;
    }
    if (task.toldAt_ >= aSampledAt) {
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
    victim.toldAt_ = aNow;
    Act(PlacementActionKind::kCheckpoint,
        PlacementReason::kMemoryPressure,
        victim);
  }
  if (use.milliCpus_ > capacity.milliCpus_) {
    const auto most =
      std::max_element(victims.begin(), victims.end(), [](auto* aL, auto* aR) {
        return aL->use_.milliCpus_ - aL->reserved_.milliCpus_ <
               aR->use_.milliCpus_ - aR->reserved_.milliCpus_;
      });
    (*most)->toldAt_ = aNow;
    Act(PlacementActionKind::kThrottle, PlacementReason::kCpuPressure, **most);
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
    Act(PlacementActionKind::kCheckpoint, aReason, aTask);
  }
  Act(PlacementActionKind::kStop, aReason, aTask);
}

void Placement::RefuseStop(const TaskName& aTask, Millis aNow)
{
  const auto it = tasks_.find(aTask);
  if (it == tasks_.end() || !it->second.isStopping_) {
    return;
  }
  it->second.isStopping_ = false;
  it->second.keepUntil_ = aNow + options_.guardRetry_;
}

void Placement::MakeRoom(const Task& aTask, const Resources& aSize, Millis aNow)
{
  std::vector<Task*> fewest;
  bool isFound = false;
  for (auto& [name, worker] : workers_) {
    if (worker.isQuarantined_ || !aSize.FitsInto(worker.spec_.capacity_) ||
        aTask.failedOn_.contains(name)) {
      continue;
    }
    Resources room = worker.free_;
    for (const TaskName& stopping : worker.tasks_) {
      const Task& task = tasks_.at(stopping);
      room = task.isStopping_ ? room + task.reserved_ : room;
    }
    std::vector<Task*> stopped;
    for (Task* victim : Victims(worker, aNow)) {
      if (aSize.FitsInto(room)) {
        break;
      }
      room = room + victim->reserved_;
      stopped.push_back(victim);
    }
    const bool isBetter = !isFound || stopped.size() < fewest.size();
    if (aSize.FitsInto(room) && isBetter) {
      fewest = stopped;
      isFound = true;
    }
  }
  for (Task* victim : fewest) {
    Stop(*victim, PlacementReason::kUrgent);
  }
}

} // namespace vanillahatch
