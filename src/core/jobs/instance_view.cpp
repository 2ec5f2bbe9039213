#include "vanillahatch/core/jobs/instance_view.h"

#include <algorithm>

namespace vanillahatch {

v1::Resources OccupiedBy(const v1::StepSpec& aStep)
{
  v1::Resources need = aStep.need();
  if (aStep.best_effort()) {
    need.set_cpu_millis(0);
  }
  return need;
}

InstanceView::InstanceView(Instance& aInstance,
                           Millis aLongestLease,
                           Millis aNow)
  : lastBusyAt_(aNow)
  , lastAnswerAt_(aNow)
  , reportedAt_(aNow)
  , confirmedCursor_(0)
  , proposedCursor_(aInstance.record_.end_cursor())
  , instance_(&aInstance)
  , lease_(aLongestLease, aNow)
{
}

RunView* InstanceView::FindRun(const TaskRef& aTask, uint32_t aRun)
{
  const auto it = runs_.find(aTask);
  return it != runs_.end() && it->second.run_ == aRun ? &it->second : nullptr;
}

RunView& InstanceView::AddRun(const TaskRef& aTask, RunView aRun)
{
  RemoveRun(aTask);
  used_.set_cpu_millis(used_.cpu_millis() + aRun.need_.cpu_millis());
  used_.set_memory_mb(used_.memory_mb() + aRun.need_.memory_mb());
  used_.set_gpus(used_.gpus() + aRun.need_.gpus());
  return runs_.emplace(aTask, std::move(aRun)).first->second;
}

void InstanceView::RemoveRun(const TaskRef& aTask)
{
  const auto it = runs_.find(aTask);
  if (it == runs_.end()) {
    return;
  }
  const v1::Resources& need = it->second.need_;
  used_.set_cpu_millis(used_.cpu_millis() - need.cpu_millis());
  used_.set_memory_mb(used_.memory_mb() - need.memory_mb());
  used_.set_gpus(used_.gpus() - need.gpus());
  runs_.erase(it);
}

bool InstanceView::HasRoomFor(const v1::Resources& aNeed) const
{
  const v1::Resources& capacity = Facts().capacity();
  return used_.cpu_millis() + aNeed.cpu_millis() <= capacity.cpu_millis() &&
         used_.memory_mb() + aNeed.memory_mb() <= capacity.memory_mb() &&
         used_.gpus() + aNeed.gpus() <= capacity.gpus();
}

uint32_t InstanceView::LastingRuns() const
{
  return static_cast<uint32_t>(
    std::count_if(runs_.begin(), runs_.end(), [](const auto& aItem) {
      return JobStore::SpecOf(aItem.first).lasting();
    }));
}

uint32_t InstanceView::CountOf(const TaskRef& aAnyOfStep) const
{
  TaskRef first = aAnyOfStep;
  first.index_ = 0;
  uint32_t count = 0;
  for (auto it = runs_.lower_bound(first); it != runs_.end(); ++it) {
    const TaskRef& task = it->first;
    if (task.job_ != first.job_ || task.occurrence_ != first.occurrence_ ||
        task.step_ != first.step_) {
      break;
    }
    ++count;
  }
  return count;
}

bool InstanceView::IsUsable(Millis aNow) const
{
  return contacted_ && !reserved_ && !evacuating_ && !closed_ &&
         !goneProposed_ && !Facts().draining() && lease_.IsClockKnown() &&
         aNow >= avoidUntil_;
}

} // namespace vanillahatch
