// Choice of an instance for each waiting task.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <iterator>

namespace vanillahatch {

namespace {

// More starts in one round would delay replies to callers.
constexpr size_t kMaxStartsPerRound = 200;
// CPU kept free of other work on instances with long-running tasks, so that a
// long-running task lost elsewhere fits there and ties up no other machine.
constexpr uint32_t kReservedMilliCpus = 2000;

// True if a task of the step takes longer on that rack. Without a rack that is
// unknown.
bool IsFarFromData(const v1::StepSpec& aStep, std::string_view aRack)
{
  return !aStep.data_rack().empty() && !aRack.empty() &&
         aRack != aStep.data_rack();
}

// True if the gang takes longer than near its data on one rack.
bool IsFarGang(
  const v1::StepSpec& aStep,
  const std::vector<std::pair<InstanceView*, TaskRef>>& aPlacements)
{
  std::set<std::string_view> racks;
  for (const auto& [view, task] : aPlacements) {
    racks.insert(view->StoredRecord().rack());
  }
  racks.erase("");
  const bool isSpread = aStep.same_rack() && racks.size() > 1;
  return isSpread || std::any_of(racks.begin(), racks.end(), [&](auto aRack) {
           return IsFarFromData(aStep, aRack);
         });
}

} // namespace

bool FleetScheduler::UsableInstances::IsKnownNotToFit(
  const Resources& aNeed) const
{
  return std::any_of(refusedNeeds_.begin(),
                     refusedNeeds_.end(),
                     [&](auto& aRefused) { return aRefused.FitsInto(aNeed); });
}

Resources FleetScheduler::RequiredCapacity(const InstanceView& aView,
                                           const Resources& aNeed,
                                           bool aIsLongRunning)
{
  Resources required = aNeed;
  if (!aIsLongRunning && aView.LongRunningRunCount() > 0) {
    required.milliCpus_ += kReservedMilliCpus;
  }
  return required;
}

// Best fit: chooses the instance with the least remaining CPU, so that large
// tasks still find free capacity and other instances become idle. Long-running
// tasks are packed onto few instances, since a machine that runs one cannot be
// moved.
InstanceView* FleetScheduler::ChooseInstance(Millis aNow,
                                             UsableInstances& aUsable,
                                             const Candidate& aCandidate,
                                             const TaskRef& aTask,
                                             std::string_view aRack)
{
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  const Resources& need = aCandidate.need_;
  const bool isLongRunning = step.lasting();
  if (aUsable.IsKnownNotToFit(need)) {
    return nullptr;
  }
  InstanceView* best = nullptr;
  int64_t bestMilliCpusLeft = 0;
  uint32_t bestLongRunning = 0;
  bool fitsAnywhere = false;
  for (InstanceView* candidate : aUsable.views_) {
    const InstanceView& view = *candidate;
    if (!view.HasCapacityFor(RequiredCapacity(view, need, isLongRunning))) {
      continue;
    }
    fitsAnywhere = true;
    if (!aRack.empty() && view.StoredRecord().rack() != aRack) {
      continue;
    }
    const bool isBelowMaxPerInstance =
      step.max_per_instance() == 0 ||
      view.CountRunsOfStep(aTask) < step.max_per_instance();
    const bool hasAdvice =
      !aCandidate.needsAdvice_ ||
      advice_.TicketFor(aNow, ToAdviceStep(aTask), view.StoredInstance().key_);
    if (!HasRequiredLabel(view, step) || !isBelowMaxPerInstance || !hasAdvice) {
      continue;
    }
    const int64_t milliCpusLeft =
      view.Capacity().milliCpus_ - view.Used().milliCpus_ - need.milliCpus_;
    const uint32_t longRunning = isLongRunning ? view.LongRunningRunCount() : 0;
    const bool isBetter =
      best == nullptr || longRunning > bestLongRunning ||
      (longRunning == bestLongRunning &&
       (isLongRunning && longRunning == 0 ? milliCpusLeft > bestMilliCpusLeft
                                          : milliCpusLeft < bestMilliCpusLeft));
    if (isBetter) {
      best = candidate;
      bestMilliCpusLeft = milliCpusLeft;
      bestLongRunning = longRunning;
    }
  }
  if (!fitsAnywhere) {
    aUsable.refusedNeeds_.push_back(need);
  }
  return best;
}

void FleetScheduler::CollectUsableInstances(Millis aNow)
{
  usableInstances_.clear();
  for (const auto& [service, views] : viewsByService_) {
    UsableInstances& usable = usableInstances_[service];
    std::copy_if(
      views.begin(),
      views.end(),
      std::back_inserter(usable.views_),
      [&](const InstanceView* aView) { return aView->IsUsable(aNow); });
    if (usable.views_.empty()) {
      usableInstances_.erase(service);
    }
  }
}

void FleetScheduler::ProposeStart(Millis aNow,
                                  InstanceView& aView,
                                  const TaskRef& aTask,
                                  uint32_t aRun)
{
  if (!aView.HasRuns()) {
    aView.busySince_ = aNow;
  }
  aView.AddRun(aTask,
               { .run_ = aRun,
                 .phase_ = RunPhase::kProposed,
                 .since_ = aNow,
                 .placedAt_ = aNow });
  v1::RunStart& start = *nextChanges_.add_changes()->mutable_run_start();
  *start.mutable_task() = JobStore::NameOf(aTask);
  start.set_run(aRun);
  *start.mutable_instance() = ToMessage(aView.StoredInstance().key_);
  proposedStarts_.insert(aTask);
  nextPending_.starts_.push_back(
    { .instance_ = aView.StoredInstance().key_, .task_ = aTask, .run_ = aRun });
  ++startsInRound_;
}

void FleetScheduler::RecordWaiting(const Candidate& aCandidate, uint32_t aTasks)
{
  const uint32_t allowedTasks = ledger_.RecordWaiting(
    aCandidate.customer_, aCandidate.declaredNeed_, aTasks);
  if (allowedTasks == 0) {
    return;
  }
  const auto it = waitingWork_.find(aCandidate.service_);
  WaitingWork& waiting = it != waitingWork_.end()
                           ? it->second
                           : waitingWork_[std::string(aCandidate.service_)];
  const double cores =
    allowedTasks * OccupiedCores(aCandidate.need_, machineCapacity_);
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.firstTask_);
  if (spec.lasting()) {
    waiting.longRunningCores_ += cores;
    const uint32_t perInstance = std::max(spec.max_per_instance(), 1U);
    waiting.minInstances_ =
      std::max(waiting.minInstances_,
               spec.max_per_instance() > 0 ? allowedTasks / perInstance : 1U);
    return;
  }
  waiting.cores_ += cores;
  waiting.coreMillis_ +=
    cores * static_cast<double>(aCandidate.expectedOccupancy_.Count());
}

bool FleetScheduler::PlaceStep(Millis aNow,
                               const Candidate& aCandidate,
                               UsableInstances& aUsable,
                               size_t aMaxStarts)
{
  Job& job = *aCandidate.firstTask_.job_;
  const Occurrence* occurrence =
    JobStore::FindOccurrence(job, aCandidate.firstTask_.occurrence_);
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.firstTask_);
  const std::string& dataRack = spec.data_rack();
  bool isRackFull = dataRack.empty();
  bool mayWait = MayWaitForNearPlace(aCandidate);
  InstanceView* elsewhere = nullptr; // suits the tasks that wait
  NearWaits::Round round;
  // A visit places all tasks of a step that names a rack, because the waits of
  // its tasks are counted once in a round.
  const bool isLimited = dataRack.empty();
  size_t starts = 0;
  for (uint32_t i = 0; i < spec.task_count(); ++i) {
    TaskRef task = aCandidate.firstTask_;
    task.index_ = i;
    const Task* known = occurrence != nullptr
                          ? &occurrence->steps_[task.step_].tasks_[i]
                          : nullptr;
    const bool isPending =
      known == nullptr || known->phase_ == TaskPhase::kPending;
    if (!isPending || proposedStarts_.contains(task)) {
      continue;
    }
    if (isLimited && starts == aMaxStarts) {
      return true;
    }
    if (IsHeldByCap(aCandidate)) {
      break;
    }
    InstanceView* view = nullptr;
    if (startsInRound_ < kMaxStartsPerRound) {
      view = isRackFull
               ? nullptr
               : ChooseInstance(aNow, aUsable, aCandidate, task, dataRack);
      isRackFull = view == nullptr;
      view = view != nullptr ? view : std::exchange(elsewhere, nullptr);
      view = view != nullptr
               ? view
               : ChooseInstance(aNow, aUsable, aCandidate, task, {});
    }
    if (view == nullptr) {
      RequestAdvice(aNow, aCandidate, aUsable);
      RecordWaiting(aCandidate, spec.task_count() - i);
      break;
    }
    // Later tasks of the step would wait longer.
    mayWait =
      mayWait &&
      (!isRackFull ||
       WaitsForRack(aNow, aCandidate, aUsable, std::span(&dataRack, 1), 1));
    if (mayWait && isRackFull) {
      ++round.waiting_;
      elsewhere = view;
      continue;
    }
    const uint32_t run = (known != nullptr ? known->run_ : 0) + 1;
    const bool isFar = IsFarFromData(spec, view->StoredRecord().rack());
    ProposeStart(aNow, *view, task, run);
    RecordPlacement(aNow, *view, task, run, isFar);
    round.startedNear_ += isRackFull ? 0 : 1;
    ++starts;
  }
  RecordNearRound(aNow, aCandidate, round);
  return false;
}

// Starts all tasks of the gang under one run number, or none; on one rack if
// the step requests it and a rack has the free capacity.
void FleetScheduler::PlaceGang(Millis aNow,
                               const Candidate& aCandidate,
                               UsableInstances& aUsable)
{
  Job& job = *aCandidate.firstTask_.job_;
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.firstTask_);
  const Occurrence* occurrence =
    JobStore::FindOccurrence(job, aCandidate.firstTask_.occurrence_);
  uint32_t run = 1;
  if (occurrence != nullptr) {
    const Step& step = occurrence->steps_[aCandidate.firstTask_.step_];
    if (step.pending_ < spec.task_count()) {
      return; // Some tasks of the previous run have not ended.
    }
    for (const Task& task : step.tasks_) {
      run = std::max(run, task.run_ + 1);
    }
  }
  if (proposedStarts_.contains(aCandidate.firstTask_)) {
    return;
  }
  std::set<std::string> racks = { {} };
  if (spec.same_rack()) {
    for (const auto& [key, view] : views_) {
      racks.insert(view.StoredRecord().rack());
    }
  }
  NearWaits::Round round;
  // In descending order, so that the empty name, which means any rack, is last.
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<std::pair<InstanceView*, TaskRef>> placements;
    for (uint32_t i = 0; i < spec.task_count(); ++i) {
      TaskRef task = aCandidate.firstTask_;
      task.index_ = i;
      InstanceView* view =
        ChooseInstance(aNow, aUsable, aCandidate, task, *rack);
      if (view == nullptr) {
        break;
      }
      view->AddRun(task, { .run_ = run });
      placements.emplace_back(view, task);
    }
    for (const auto& [view, task] : placements) {
      view->RemoveRun(task);
      aUsable.refusedNeeds_.clear();
    }
    if (placements.size() < spec.task_count()) {
      continue;
    }
    const bool isFar = IsFarGang(spec, placements);
    bool waits = false;
    if (isFar && rack->empty() && MayWaitForNearPlace(aCandidate)) {
      const std::vector<std::string> named(std::next(racks.begin()),
                                           racks.end());
      waits = WaitsForRack(aNow, aCandidate, aUsable, named, spec.task_count());
    }
    if (waits) {
      round.waiting_ = spec.task_count();
    } else {
      for (const auto& [view, task] : placements) {
        ProposeStart(aNow, *view, task, run);
        RecordPlacement(aNow, *view, task, run, isFar);
      }
      round.startedNear_ = isFar ? 0 : spec.task_count();
    }
    RecordNearRound(aNow, aCandidate, round);
    return;
  }
  RecordNearRound(aNow, aCandidate, round);
  RequestAdvice(aNow, aCandidate, aUsable);
  RecordWaiting(aCandidate, spec.task_count());
}

void FleetScheduler::RequestAdvice(Millis aNow,
                                   const Candidate& aCandidate,
                                   const UsableInstances& aUsable)
{
  if (!aCandidate.needsAdvice_) {
    return;
  }
  std::vector<const InstanceKey*> fitting;
  for (const InstanceView* view : aUsable.views_) {
    if (view->HasCapacityFor(aCandidate.need_)) {
      fitting.push_back(&view->StoredInstance().key_);
    }
  }
  const AdviceStep step = ToAdviceStep(aCandidate.firstTask_);
  std::vector<InstanceKey> asked =
    advice_.ChooseInstancesToQuery(aNow, step, fitting);
  if (asked.empty()) {
    return;
  }
  advice_.OnCallSent(step);
  actions_.push_back(
    AdviceOrder{ .advisedStep_ = step,
                 .name_ = JobStore::NameOf(aCandidate.firstTask_),
                 .queried_ = std::move(asked) });
}

void FleetScheduler::OnAdvice(Millis aNow,
                              const AdviceOrder& aOrder,
                              const AdviceReply& aReply)
{
  advice_.OnReply(aNow, aOrder.advisedStep_, aOrder.queried_, aReply);
}

void FleetScheduler::PlaceTasks(Millis aNow)
{
  startsInRound_ = 0;
  waitingWork_.clear();
  RefreshLedger();
  RankBacklog(aNow);
  if (backlog_.empty()) {
    return;
  }
  // Without the leader lease no instance is usable: the starts would be
  // withheld.
  usableInstances_.clear();
  if (MayGrantLeases(aNow)) {
    CollectUsableInstances(aNow);
    MeasureServices();
  }
  PlaceFairly(aNow);
}

bool FleetScheduler::PlaceCandidate(Millis aNow,
                                    const Candidate& aCandidate,
                                    size_t aMaxStarts)
{
  const TaskRef& firstTask = aCandidate.firstTask_;
  if (!firstTask.job_->IsOpen()) {
    return false; // The job was closed after the backlog was ranked.
  }
  const Occurrence* occurrence =
    JobStore::FindOccurrence(*firstTask.job_, firstTask.occurrence_);
  const v1::StepSpec& spec = JobStore::SpecOf(firstTask);
  const uint32_t pending = occurrence != nullptr
                             ? occurrence->steps_[firstTask.step_].pending_
                             : spec.task_count();
  if (pending == 0 || IsHeldByCap(aCandidate)) {
    return false;
  }
  const auto usable = usableInstances_.find(aCandidate.service_);
  if (usable == usableInstances_.end() ||
      usable->second.IsKnownNotToFit(aCandidate.need_)) {
    RecordWaiting(aCandidate,
                  ledger_.HasCustomers() ? CountUnplaced(firstTask) : pending);
  } else if (spec.gang()) {
    PlaceGang(aNow, aCandidate, usable->second);
  } else {
    return PlaceStep(aNow, aCandidate, usable->second, aMaxStarts);
  }
  return false;
}

} // namespace vanillahatch
