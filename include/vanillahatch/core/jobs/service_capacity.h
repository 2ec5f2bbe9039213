// The capacity that the instances of one service have for its long-running
// tasks. Decides whether an instance can be taken out of service.
//
// Taking an instance out of service displaces its long-running tasks. They need
// capacity on the instances that stay, together with the tasks that have been
// displaced before. Tasks that find none wait until an instance returns, which
// the availability budgets of their steps have to allow. Otherwise the tasks
// would wait for the instance, and the instance for the tasks.
//
// All other work ends by itself and is not counted.
//
//   ServiceCapacity capacity;
//   capacity.AddHost(first);
//   capacity.AddHost(second);
//   if (capacity.HasOtherHost(first) &&
//       capacity.IsWithinBudgets(first, UnbudgetedSteps::kOneTaskMayWait)) {
//     capacity.Displace(first); // It can be evacuated.
//   }
#pragma once

#include "vanillahatch/core/jobs/instance_view.h"

#include <map>
#include <span>
#include <vector>

namespace vanillahatch {

// How many tasks of a step without an availability budget may wait.
enum class UnbudgetedSteps
{
  kOneTaskMayWait,
  kAllTasksMayWait,
};

class ServiceCapacity
{
public:
  // Adds an instance that takes work.
  void AddHost(const InstanceView& aView) { hosts_.push_back(&aView); }
  // Adds a long-running task that waits for capacity.
  void AddWaiting(const TaskRef& aTask) { displaced_.push_back(aTask); }
  // Records that the long-running tasks of the instance have to leave it. It is
  // a host no longer.
  void Displace(const InstanceView& aView);
  // Reverts `Displace`.
  void Restore(const InstanceView& aView);

  // True if an instance other than `aView` takes work.
  bool HasOtherHost(const InstanceView& aView) const;
  // True if no step lacks capacity for more tasks without the instance than its
  // availability budget allows, or than with the instance.
  bool IsWithinBudgets(const InstanceView& aView,
                       UnbudgetedSteps aUnbudgetedSteps) const;
  // True if the other hosts have capacity for every long-running task of the
  // instance.
  bool CanHostTasksOf(const InstanceView& aView) const;

private:
  using TaskCounts = std::map<TaskRef, uint32_t>; // by first task of the step

  // Places as many tasks as possible. Returns how many of each step find no
  // capacity.
  static TaskCounts CountUnplaced(std::span<const InstanceView* const> aHosts,
                                  std::vector<TaskRef> aTasks);
  std::vector<const InstanceView*> HostsWithout(
    const InstanceView& aView) const;
  std::vector<TaskRef> DisplacedWithout(const InstanceView& aView) const;

  std::vector<const InstanceView*> hosts_;
  std::vector<TaskRef> displaced_;
};

} // namespace vanillahatch
