#include "vanillahatch/core/jobs/service_capacity.h"

#include <algorithm>
#include <limits>

namespace vanillahatch {

namespace {

// An instance with the tasks that the plan places there.
struct Host
{
  const InstanceView* view_ = nullptr;
  Resources freeCapacity_;
  std::map<TaskRef, uint32_t> placed_; // by first task of the step

  bool CanTake(const TaskRef& aFirstTask, const v1::StepSpec& aSpec) const
  {
    if (!HasRequiredLabel(*view_, aSpec) ||
        !OccupiedBy(aSpec).FitsInto(freeCapacity_)) {
      return false;
    }
    if (aSpec.max_per_instance() == 0) {
      return true;
    }
    const auto placed = placed_.find(aFirstTask);
    const uint32_t count = view_->CountRunsOfStep(aFirstTask) +
                           (placed != placed_.end() ? placed->second : 0);
    return count < aSpec.max_per_instance();
  }
};

TaskRef FirstTaskOfStep(TaskRef aTask)
{
  aTask.index_ = 0;
  return aTask;
}

std::vector<TaskRef> LongRunningTasksOf(const InstanceView& aView)
{
  std::vector<TaskRef> tasks;
  if (aView.LongRunningRunCount() == 0) {
    return tasks;
  }
  for (const auto& [task, run] : aView.Runs()) {
    if (run.isLongRunning_ && !run.isReleased_ && task.job_->IsOpen()) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

} // namespace

void ServiceCapacity::Displace(const InstanceView& aView)
{
  std::erase(hosts_, &aView);
  const std::vector<TaskRef> tasks = LongRunningTasksOf(aView);
  displaced_.insert(displaced_.end(), tasks.begin(), tasks.end());
}

void ServiceCapacity::Restore(const InstanceView& aView)
{
  displaced_ = DisplacedWithout(aView);
  hosts_.push_back(&aView);
}

std::vector<const InstanceView*> ServiceCapacity::HostsWithout(
  const InstanceView& aView) const
{
  std::vector<const InstanceView*> hosts = hosts_;
  std::erase(hosts, &aView);
  return hosts;
}

std::vector<TaskRef> ServiceCapacity::DisplacedWithout(
  const InstanceView& aView) const
{
  std::vector<TaskRef> tasks = displaced_;
  std::erase_if(
    tasks, [&](const TaskRef& aTask) { return aView.Runs().contains(aTask); });
  return tasks;
}

bool ServiceCapacity::HasOtherHost(const InstanceView& aView) const
{
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto* aHost) {
    return aHost != &aView;
  });
}

bool ServiceCapacity::IsWithinBudgets(const InstanceView& aView,
                                      UnbudgetedSteps aUnbudgetedSteps) const
{
  const std::vector<TaskRef> others = DisplacedWithout(aView);
  std::vector<TaskRef> displaced = LongRunningTasksOf(aView);
  displaced.insert(displaced.end(), others.begin(), others.end());
  if (displaced.empty()) {
    return true;
  }
  const uint32_t maxWaitingWithoutBudget =
    aUnbudgetedSteps == UnbudgetedSteps::kAllTasksMayWait
      ? std::numeric_limits<uint32_t>::max()
      : 1;
  std::vector<const InstanceView*> hosts = HostsWithout(aView);
  TaskCounts unplaced = CountUnplaced(hosts, std::move(displaced));
  std::erase_if(unplaced, [&](const auto& aItem) {
    const uint32_t budget = JobStore::SpecOf(aItem.first).max_unavailable();
    return aItem.second <= (budget > 0 ? budget : maxWaitingWithoutBudget);
  });
  if (unplaced.empty()) {
    return true;
  }
  // Tasks that find no capacity with the instance either do not depend on it.
  hosts.push_back(&aView);
  const TaskCounts unplacedWithIt = CountUnplaced(hosts, others);
  return std::all_of(unplaced.begin(), unplaced.end(), [&](const auto& aItem) {
    const auto it = unplacedWithIt.find(aItem.first);
    return it != unplacedWithIt.end() && aItem.second <= it->second;
  });
}

bool ServiceCapacity::CanHostTasksOf(const InstanceView& aView) const
{
  return CountUnplaced(HostsWithout(aView), LongRunningTasksOf(aView)).empty();
}

ServiceCapacity::TaskCounts ServiceCapacity::CountUnplaced(
  std::span<const InstanceView* const> aHosts,
  std::vector<TaskRef> aTasks)
{
  std::vector<Host> hosts;
  hosts.reserve(aHosts.size());
  for (const InstanceView* view : aHosts) {
    hosts.push_back(
      { .view_ = view,
        .freeCapacity_ = view->Capacity() - view->UsedByLongRunning() });
  }
  // Large tasks first, since small ones fit into the rest.
  std::stable_sort(
    aTasks.begin(), aTasks.end(), [](const auto& aLeft, const auto& aRight) {
      return JobStore::SpecOf(aLeft).need().cpu_millis() >
             JobStore::SpecOf(aRight).need().cpu_millis();
    });
  TaskCounts unplaced;
  for (const TaskRef& task : aTasks) {
    const TaskRef firstTask = FirstTaskOfStep(task);
    const v1::StepSpec& spec = JobStore::SpecOf(task);
    const auto host =
      std::find_if(hosts.begin(), hosts.end(), [&](const Host& aHost) {
        return aHost.CanTake(firstTask, spec);
      });
    if (host == hosts.end()) {
      ++unplaced[firstTask];
      continue;
    }
    host->freeCapacity_ = host->freeCapacity_ - OccupiedBy(spec);
    ++host->placed_[firstTask];
  }
  return unplaced;
}

} // namespace vanillahatch
