#include "vanillahatch/core/jobs/instance_view.h"

#include <algorithm>

namespace vanillahatch {

namespace {

Resources FromMessage(const v1::Resources& aAmount)
{
  return { .milliCpus_ = aAmount.cpu_millis(),
           .memoryMb_ = aAmount.memory_mb(),
           .accelerators_ = aAmount.gpus() };
}

RunCharge ChargeFor(CustomerLedger& aLedger,
                    const TaskRef& aTask,
                    ServiceId aService,
                    const Resources& aOccupied)
{
  return { .customer_ = aLedger.FindOrAdd(aTask.job_->customer_),
           .service_ = aService,
           .need_ = DeclaredNeedOf(JobStore::SpecOf(aTask)),
           .occupied_ = aOccupied };
}

} // namespace

Resources DeclaredNeedOf(const v1::StepSpec& aStep)
{
  return FromMessage(aStep.need());
}

Resources OccupiedBy(const v1::StepSpec& aStep)
{
  Resources need = DeclaredNeedOf(aStep);
  if (aStep.best_effort()) {
    need.milliCpus_ = 0;
  }
  return need;
}

bool HasRequiredLabel(const InstanceView& aView, const v1::StepSpec& aStep)
{
  const auto& labels = aView.StoredRecord().labels();
  return aStep.required_label().empty() ||
         std::find(labels.begin(), labels.end(), aStep.required_label()) !=
           labels.end();
}

InstanceView::InstanceView(Instance& aInstance,
                           Millis aLongestLease,
                           Millis aLastGrantAt,
                           Millis aNow)
  : lastBusyAt_(aNow)
  , lastReplyAt_(aNow)
  , lastGrantAt_(aLastGrantAt)
  , confirmedCursor_(0)
  , proposedCursor_(aInstance.record_.end_cursor())
  , instance_(&aInstance)
  , serial_(aInstance.serial_)
  , lease_(aLongestLease, aLastGrantAt)
  , capacity_(FromMessage(aInstance.record_.capacity()))
{
}

void InstanceView::RefreshCapacity()
{
  capacity_ = FromMessage(StoredRecord().capacity());
}

RunView* InstanceView::FindRun(const TaskRef& aTask, uint32_t aRun)
{
  const auto it = runs_.find(aTask);
  if (it == runs_.end() || it->second.run_ != aRun) {
    return nullptr;
  }
  isSummaryValid_ = false;
  return &it->second;
}

RunView& InstanceView::AddRun(const TaskRef& aTask, RunView aRun)
{
  RemoveRun(aTask);
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  aRun.need_ = OccupiedBy(step);
  aRun.isLongRunning_ = step.lasting();
  aRun.isLatencySensitive_ = step.tail_target_ms() > 0;
  aRun.isBestEffort_ = step.best_effort();
  used_ = used_ + aRun.need_;
  if (aRun.isLongRunning_) {
    usedByLongRunning_ = usedByLongRunning_ + aRun.need_;
  }
  longRunningRuns_ += aRun.isLongRunning_ ? 1 : 0;
  latencySensitiveRuns_ += aRun.isLatencySensitive_ ? 1 : 0;
  bestEffortRuns_ += aRun.isBestEffort_ ? 1 : 0;
  if (ledger_ != nullptr) {
    aRun.charge_ =
      ledger_->Charge(ChargeFor(*ledger_, aTask, ChargedService(), aRun.need_));
  }
  isSummaryValid_ = false;
  return runs_.emplace(aTask, std::move(aRun)).first->second;
}

void InstanceView::ReleaseCapacityOf(RunView& aRun)
{
  if (aRun.isReleased_) {
    return;
  }
  aRun.isReleased_ = true;
  used_ = used_ - aRun.need_;
  if (aRun.isLongRunning_) {
    usedByLongRunning_ = usedByLongRunning_ - aRun.need_;
  }
  longRunningRuns_ -= aRun.isLongRunning_ ? 1 : 0;
  latencySensitiveRuns_ -= aRun.isLatencySensitive_ ? 1 : 0;
  bestEffortRuns_ -= aRun.isBestEffort_ ? 1 : 0;
  if (ledger_ != nullptr) {
    ledger_->Release(aRun.charge_);
  }
}

void InstanceView::RemoveRun(const TaskRef& aTask)
{
  const auto it = runs_.find(aTask);
  if (it == runs_.end()) {
    return;
  }
  ReleaseCapacityOf(it->second);
  isSummaryValid_ = false;
  runs_.erase(it);
}

ServiceId InstanceView::ChargedService() const
{
  return ledger_->FindOrAddService(StoredRecord().service());
}

void InstanceView::RemoveAllRuns()
{
  for (auto& [task, run] : runs_) {
    ReleaseCapacityOf(run);
  }
  runs_.clear();
  isSummaryValid_ = false;
  ClearUnassignedRuns();
}

void InstanceView::ClearUnassignedRuns()
{
  for (const RunCharge& charge : unassignedRuns_) {
    ledger_->Release(charge);
  }
  unassignedRuns_.clear();
}

void InstanceView::AddUnassignedRun(const TaskRef& aTask)
{
  if (ledger_ != nullptr && !aTask.job_->customer_.empty()) {
    unassignedRuns_.push_back(
      ledger_->Charge(ChargeFor(*ledger_, aTask, ChargedService(), {})));
  }
}

void InstanceView::Recount(CustomerLedger& aLedger) const
{
  for (const auto& [task, run] : runs_) {
    if (!run.isReleased_) {
      aLedger.Charge(ChargeFor(aLedger, task, run.charge_.service_, run.need_));
    }
  }
  for (const RunCharge& charge : unassignedRuns_) {
    aLedger.Charge(charge);
  }
}

bool InstanceView::HasCapacityFor(const Resources& aNeed) const
{
  return (used_ + aNeed).FitsInto(capacity_);
}

const RunSummary& InstanceView::Summary(uint64_t aInterruptedJobCount) const
{
  if (isSummaryValid_ && summarizedInterruptedJobs_ == aInterruptedJobCount) {
    return summary_;
  }
  isSummaryValid_ = true;
  summarizedInterruptedJobs_ = aInterruptedJobCount;
  summary_ = {};
  for (const auto& [task, run] : runs_) {
    const bool awaitsListing =
      run.phase_ == RunPhase::kInDoubt && !run.stopRequested_;
    const bool needsListing =
      !run.endProposed_ && (awaitsListing || run.stoppedAt_);
    summary_.needsListing_ |= needsListing;
    summary_.hasRunsToStop_ |= run.stopRequested_ || !task.job_->IsOpen();
  }
  return summary_;
}

uint32_t InstanceView::CountRunsOfStep(const TaskRef& aTaskOfStep) const
{
  TaskRef first = aTaskOfStep;
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

bool InstanceView::IsInService() const
{
  return contacted_ && !isReplaced_ && !isLeaving_ && !reserved_ &&
         !evacuating_ && !removalProposed_ && !StoredRecord().draining() &&
         lease_.IsClockKnown();
}

bool InstanceView::IsUsable(Millis aNow) const
{
  return IsInService() && !isClosedToNewWork_ && aNow >= avoidUntil_;
}

void InstanceView::CancelEvacuation()
{
  evacuating_ = false;
  consolidating_ = false;
  isEvacuatedWithoutReplacement_ = false;
  isSummaryValid_ = false;
  for (auto& [task, run] : runs_) {
    const bool isUnsent = run.stopRequested_ && run.stopRespectsBudget_ &&
                          !run.stopInFlight_ && !run.stoppedAt_;
    if (isUnsent) {
      run.stopRequested_ = false;
      run.stopRespectsBudget_ = false;
    }
  }
}

} // namespace vanillahatch
