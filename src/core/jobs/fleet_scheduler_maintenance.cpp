// Machine orders, and maintenance waves within the availability budgets.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Interval between lists of machines. It may be long: replies to orders and
// reports of instances show most changes.
constexpr Millis kListInterval = Seconds(4);
constexpr Millis kBusyListInterval = Millis(1200);
// Delay before an order without a reply, or a throttled one, is sent again.
constexpr Millis kResendDelay = Millis(400);
constexpr Millis kThrottledResendDelay = Millis(150);
// Limits the machines with running tasks that are evacuated for maintenance at
// the same time: few, so that the pools keep their capacity, but enough to
// finish the wave in time. An evacuation takes about 2 s, a wave about 20 s.
constexpr size_t kMinEvacuating = 3;
constexpr size_t kMachinesPerEvacuation = 40; // of the wave
// Interval between checks of waves and of instances that have to become empty;
// maintenance of a machine takes seconds.
constexpr Millis kWaveCheckInterval = Millis(50);
// A healthy instance replies to a listing at least this often; tasks in an
// older listing may have ended since.
constexpr Millis kMaxListingAge = Seconds(2);
// How long an instance that its service needs waits for another machine before
// it is evacuated all the same: a move takes about 2 s.
constexpr Millis kMaxReplacementWait = Seconds(4);
// How long a request for another machine lasts; it is renewed at each check.
constexpr Millis kReplacementRequestTime = Millis(200);
// Number of instances of a service that are found to be needed before the
// others are not considered any more, per wave and check.
constexpr size_t kMaxRefusedEvacuations = 8;

} // namespace

void FleetScheduler::OnMachines(Millis aRequestedAt,
                                std::vector<MachineView> aMachines)
{
  machineListInFlight_ = false;
  if (!aMachines.empty()) {
    machines_.HandleList(aRequestedAt, std::move(aMachines));
  }
}

void FleetScheduler::RequestMachineList(Millis aNow)
{
  const Millis interval =
    machines_.Ops().empty() ? kListInterval : kBusyListInterval;
  const bool isDue =
    !machines_.IsListed() || aNow - machineListRequestedAt_ >= interval;
  if (machineListInFlight_ || !isDue ||
      aNow - machineListRequestedAt_ < kResendDelay) {
    return;
  }
  machineListInFlight_ = true;
  machineListRequestedAt_ = aNow;
  actions_.push_back(MachineListOrder{});
}

InstanceView* FleetScheduler::FindOnMachine(const std::string& aMachine)
{
  const auto [first, last] = viewsByMachine_.equal_range(aMachine);
  const auto it = std::find_if(first, last, [](const auto& aItem) {
    return !aItem.second->removalProposed_;
  });
  return it != last ? it->second : nullptr;
}

bool FleetScheduler::MayOrderMachines(Millis aNow) const
{
  return aNow - leaderSince_ >= options_.machineOrderDelay_;
}

void FleetScheduler::SendMachineOrder(Millis aNow,
                                      MachineOrder aOrder,
                                      std::string aFromPool,
                                      std::string_view aReason)
{
  aOrder.fencingToken_ = options_.fencingToken_;
  InstanceKey former;
  if (InstanceView* view = FindOnMachine(aOrder.machine_)) {
    view->reserved_ = true;
    former = view->StoredInstance().key_;
  }
  trace_.onMachine_(aOrder, aReason);
  actions_.push_back(aOrder);
  machines_.BeginOp(
    aNow, std::move(aOrder), std::move(aFromPool), std::move(former));
}

void FleetScheduler::OnMachineOrderAccepted(Millis aNow,
                                            const MachineOrder& aOrder,
                                            MachineOp& aOp)
{
  aOp.phase_ = MachineOpPhase::kAccepted;
  aOp.since_ = aNow;
  if (aOrder.wave_ != 0) {
    v1::UpkeepBegun& begun =
      *nextChanges_.add_changes()->mutable_upkeep_begun();
    begun.set_wave(aOrder.wave_);
    begun.set_machine(aOrder.machine_);
  }
  InstanceView* view = FindView(aOp.previousInstance_);
  if (view == nullptr) {
    return;
  }
  const bool hasLeftPool =
    aOrder.wave_ == 0 && view->StoredRecord().service() != aOrder.pool_;
  if (hasLeftPool) {
    ProposeRemoval(*view, RemovalKind::kFinal, "moved");
  } else if (!view->HasRuns()) {
    // If it started after the operation, it reports again.
    RemoveIdle(*view, aOrder.wave_ != 0 ? "upkeep" : "moved before");
  } else {
    view->reserved_ = false;
    view->CancelEvacuation();
  }
}

void FleetScheduler::OnMachineOrderResult(Millis aNow,
                                          const MachineOrder& aOrder,
                                          MachineOrderStatus aStatus)
{
  SyncViews(aNow);
  MachineOp* op = machines_.FindOp(aOrder.machine_);
  if (op == nullptr || op->order_.pool_ != aOrder.pool_ ||
      op->order_.wave_ != aOrder.wave_) {
    return;
  }
  InstanceView* view = FindOnMachine(aOrder.machine_);
  switch (aStatus) {
    case MachineOrderStatus::kAccepted:
      OnMachineOrderAccepted(aNow, aOrder, *op);
      return;
    case MachineOrderStatus::kFenced:
      deposed_ = true;
      return;
    case MachineOrderStatus::kThrottled:
      op->phase_ = MachineOpPhase::kRetryPending;
      op->since_ = aNow - kResendDelay + kThrottledResendDelay;
      return;
    case MachineOrderStatus::kUnknown:
      op->phase_ = MachineOpPhase::kRetryPending;
      op->since_ = aNow;
      return;
    case MachineOrderStatus::kBusy:
    case MachineOrderStatus::kNotOfWave:
    case MachineOrderStatus::kRefused:
      if (view != nullptr) {
        view->reserved_ = false;
        view->CancelEvacuation();
        view->avoidMoveUntil_ = aNow + kListInterval;
      }
      avoidMachineUntil_[aOrder.machine_] = aNow + kBusyListInterval;
      machines_.EndOp(aOrder.machine_);
  }
}

void FleetScheduler::ResendUnansweredOrders(Millis aNow)
{
  for (const auto& [name, op] : machines_.Ops()) {
    const bool isDue = op.phase_ == MachineOpPhase::kRetryPending &&
                       aNow - op.since_ >= kResendDelay;
    if (isDue) {
      MachineOp& resent = *machines_.FindOp(name);
      resent.phase_ = MachineOpPhase::kOrdered;
      resent.since_ = aNow;
      actions_.push_back(resent.order_);
    }
  }
}

// True if the instance of the task lists it as running and no stop is
// requested.
bool FleetScheduler::IsRunning(Millis aNow, const TaskRef& aTask)
{
  const Task& task = JobStore::TaskAt(aTask);
  InstanceView* view =
    task.instance_ != nullptr ? FindView(task.instance_->key_) : nullptr;
  RunView* run = view != nullptr ? view->FindRun(aTask, task.run_) : nullptr;
  return run != nullptr && run->phase_ == RunPhase::kListed &&
         run->runningSince_ && !run->stopRequested_ && !run->endProposed_ &&
         !view->removalProposed_ && aNow - view->lastReplyAt_ <= kMaxListingAge;
}

bool FleetScheduler::IsWaiting(const TaskRef& aTask) const
{
  const Occurrence* occurrence =
    JobStore::FindOccurrence(*aTask.job_, aTask.occurrence_);
  const bool isPending = occurrence == nullptr ||
                         JobStore::TaskAt(aTask).phase_ == TaskPhase::kPending;
  return isPending && !proposedStarts_.contains(aTask);
}

bool FleetScheduler::MayInterrupt(Millis aNow, const TaskRef& aTask)
{
  const v1::StepSpec& spec = JobStore::SpecOf(aTask);
  uint32_t unavailable = 0;
  for (uint32_t i = 0; i < spec.task_count(); ++i) {
    TaskRef other = aTask;
    other.index_ = i;
    unavailable += i != aTask.index_ && !IsRunning(aNow, other) ? 1 : 0;
  }
  return unavailable < std::max(spec.max_unavailable(), 1U);
}

// Requests stops for the long-running tasks of an instance, as far as the
// availability budgets of their steps allow. On a draining instance they are
// stopped at once. Without a replacement, so are those without a budget.
void FleetScheduler::Evacuate(Millis aNow, InstanceView& aView)
{
  const bool isDraining = aView.StoredRecord().draining();
  for (auto& [task, run] : aView.Runs()) {
    const bool canStop = run.isLongRunning_ &&
                         run.phase_ == RunPhase::kListed &&
                         !run.stopRequested_ && !run.endProposed_;
    const bool ignoresBudget =
      isDraining || (aView.isEvacuatedWithoutReplacement_ &&
                     JobStore::SpecOf(task).max_unavailable() == 0);
    if (canStop && (ignoresBudget || MayInterrupt(aNow, task))) {
      run.stopRequested_ = true;
      run.stopRespectsBudget_ = !ignoresBudget;
    }
  }
}

void FleetScheduler::MeasureServiceCapacities(Millis aNow)
{
  serviceCapacities_.clear();
  for (const InstanceView* view : allViews_) {
    ServiceCapacity& capacity =
      serviceCapacities_[view->StoredRecord().service()];
    const bool isSilent =
      view->isUnresponsive_ && aNow - view->lastReplyAt_ > options_.lease_ / 2;
    if (view->IsInService() && !isSilent) {
      capacity.AddHost(*view);
    } else {
      capacity.Displace(*view);
    }
  }
  for (const Candidate& candidate : backlog_) {
    const v1::StepSpec& spec = JobStore::SpecOf(candidate.firstTask_);
    if (!spec.lasting() || !candidate.firstTask_.job_->IsOpen() ||
        !ledger_.MayStart(candidate.customer_, candidate.declaredNeed_)) {
      continue;
    }
    const auto capacity = serviceCapacities_.find(candidate.service_);
    for (uint32_t i = 0;
         capacity != serviceCapacities_.end() && i < spec.task_count();
         ++i) {
      TaskRef task = candidate.firstTask_;
      task.index_ = i;
      if (IsWaiting(task)) {
        capacity->second.AddWaiting(task);
      }
    }
  }
}

// True if an operation on another machine of the service is under way, so that
// it pays to wait for its end. An earlier leader may have ordered it.
bool FleetScheduler::HasOtherOperation(const InstanceView& aView) const
{
  const std::string& service = aView.StoredRecord().service();
  const auto views = viewsByService_.find(service);
  const bool isAnyEmptied =
    views != viewsByService_.end() &&
    std::any_of(views->second.begin(),
                views->second.end(),
                [&](const InstanceView* aOther) {
                  return aOther != &aView &&
                         (aOther->evacuating_ || aOther->reserved_);
                });
  const auto& ops = machines_.Ops();
  const bool isAnyOrdered =
    std::any_of(ops.begin(), ops.end(), [&](const auto& aItem) {
      return aItem.second.DestinationPool() == service;
    });
  const auto& machines = machines_.Machines();
  return isAnyEmptied || isAnyOrdered ||
         std::any_of(machines.begin(), machines.end(), [&](const auto& aItem) {
           const MachineView& machine = aItem.second;
           return machine.pool_ == service &&
                  (machine.state_ == MachineState::kMoving ||
                   machine.state_ == MachineState::kMaintenance);
         });
}

bool FleetScheduler::IsReplacementOverdue(Millis aNow,
                                          const InstanceView& aView)
{
  return aView.isEvacuatedWithoutReplacement_ ||
         (aNow < aView.replacementRequestedUntil_ &&
          aNow - aView.replacementRequestedAt_ >= kMaxReplacementWait);
}

bool FleetScheduler::CanSpare(Millis aNow, const InstanceView& aView)
{
  const ServiceCapacity& capacity =
    serviceCapacities_[aView.StoredRecord().service()];
  const bool isOverdue = IsReplacementOverdue(aNow, aView);
  const bool canServiceGoOn =
    capacity.HasOtherHost(aView) ||
    ((isOverdue || !aView.HasRuns()) && !HasOtherOperation(aView));
  return canServiceGoOn &&
         capacity.IsWithinBudgets(aView,
                                  isOverdue ? UnbudgetedSteps::kAllTasksMayWait
                                            : UnbudgetedSteps::kOneTaskMayWait);
}

void FleetScheduler::RequestReplacement(Millis aNow, InstanceView& aView)
{
  const auto views = viewsByService_.find(aView.StoredRecord().service());
  const bool isOtherRequested =
    views != viewsByService_.end() &&
    std::any_of(views->second.begin(),
                views->second.end(),
                [&](const InstanceView* aOther) {
                  return aOther != &aView &&
                         aNow < aOther->replacementRequestedUntil_;
                });
  if (isOtherRequested || HasOtherOperation(aView)) {
    return;
  }
  if (aNow >= aView.replacementRequestedUntil_) {
    aView.replacementRequestedAt_ = aNow;
    trace_.onInstance_(aView.StoredInstance().key_,
                       "its tasks need another machine before maintenance");
  }
  aView.replacementRequestedUntil_ = aNow + kReplacementRequestTime;
}

// Cancels evacuations that leave tasks without a place, as other instances have
// been lost since: the tasks would wait for the instance, and the instance for
// the tasks.
void FleetScheduler::ReviewEvacuations(Millis aNow)
{
  for (InstanceView* view : allViews_) {
    if (!view->evacuating_ || view->reserved_) {
      continue;
    }
    ServiceCapacity& capacity =
      serviceCapacities_[view->StoredRecord().service()];
    const bool hasPlaces =
      view->consolidating_
        ? capacity.CanHostTasksOf(*view)
        : capacity.HasOtherHost(*view) || view->isEvacuatedWithoutReplacement_;
    if (hasPlaces && CanSpare(aNow, *view)) {
      continue;
    }
    view->CancelEvacuation();
    if (view->IsInService()) {
      capacity.Restore(*view);
    }
    trace_.onInstance_(view->StoredInstance().key_,
                       "evacuation cancelled: its tasks need its capacity");
  }
}

void FleetScheduler::StartEvacuations(Millis aNow,
                                      std::vector<InstanceView*> aBusy,
                                      size_t aMaxEvacuating)
{
  std::sort(aBusy.begin(), aBusy.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->Runs().size() < aRight->Runs().size();
  });
  auto evacuating = static_cast<size_t>(
    std::count_if(aBusy.begin(), aBusy.end(), [](const InstanceView* aView) {
      return aView->evacuating_;
    }));
  std::map<std::string_view, size_t> refused; // by service
  for (InstanceView* view : aBusy) {
    if (evacuating >= aMaxEvacuating) {
      return;
    }
    size_t& refusedOfService = refused[view->StoredRecord().service()];
    if (view->evacuating_ || refusedOfService >= kMaxRefusedEvacuations) {
      continue;
    }
    if (!CanSpare(aNow, *view)) {
      RequestReplacement(aNow, *view);
      ++refusedOfService;
      continue;
    }
    ServiceCapacity& capacity =
      serviceCapacities_[view->StoredRecord().service()];
    view->isEvacuatedWithoutReplacement_ = IsReplacementOverdue(aNow, *view);
    view->evacuating_ = true;
    capacity.Displace(*view);
    ++evacuating;
    trace_.onInstance_(view->StoredInstance().key_,
                       "evacuated for maintenance");
  }
}

void FleetScheduler::AdvanceWave(Millis aNow, const Wave& aWave)
{
  const uint64_t number = aWave.request_.wave();
  std::vector<InstanceView*> busy;
  for (const std::string& machine : aWave.request_.machines()) {
    if (aWave.startedMachines_.contains(machine) ||
        machines_.FindOp(machine) != nullptr) {
      continue;
    }
    const auto refused = avoidMachineUntil_.find(machine);
    if (refused != avoidMachineUntil_.end() && aNow < refused->second) {
      continue;
    }
    InstanceView* view = FindOnMachine(machine);
    if (view != nullptr && view->HasRuns()) {
      busy.push_back(view);
      continue;
    }
    const auto listed = machines_.Machines().find(machine);
    const bool isUp = view != nullptr
                        ? !view->StoredRecord().draining()
                        : listed != machines_.Machines().end() &&
                            listed->second.state_ == MachineState::kUp;
    const bool mayBegin =
      isUp && MayOrderMachines(aNow) &&
      machines_.CountInMaintenance(number) < aWave.request_.max_concurrent();
    if (mayBegin && (view == nullptr || CanSpare(aNow, *view))) {
      const std::string pool =
        view != nullptr ? view->StoredRecord().service() : listed->second.pool_;
      SendMachineOrder(
        aNow, { .machine_ = machine, .wave_ = number }, pool, "upkeep");
      if (view != nullptr) {
        serviceCapacities_[pool].Displace(*view);
      }
    }
  }
  const auto size = static_cast<size_t>(aWave.request_.machines_size());
  StartEvacuations(
    aNow,
    std::move(busy),
    std::min<size_t>(std::max(kMinEvacuating, size / kMachinesPerEvacuation),
                     aWave.request_.max_concurrent()));
}

void FleetScheduler::AdvanceWaves(Millis aNow)
{
  if (!machines_.IsListed()) {
    return; // Machines that an earlier leader took down are unknown until then.
  }
  if (aNow - wavesAdvancedAt_ < kWaveCheckInterval) {
    return;
  }
  wavesAdvancedAt_ = aNow;
  std::vector<const Wave*> openWaves;
  for (const auto& [number, wave] : store_.Waves()) {
    if (!IsWaveCompleted(number)) {
      openWaves.push_back(&wave);
    }
  }
  const bool isAnyEvacuating =
    std::any_of(allViews_.begin(), allViews_.end(), [](const auto* aView) {
      return aView->evacuating_;
    });
  if (!openWaves.empty() || isAnyEvacuating) {
    MeasureServiceCapacities(aNow);
    ReviewEvacuations(aNow);
  }
  for (const Wave* wave : openWaves) {
    AdvanceWave(aNow, *wave);
  }
  serviceCapacities_.clear(); // It refers to views.
  ConsolidateLongRunning(aNow);
  for (InstanceView* each : allViews_) {
    InstanceView& view = *each;
    if (view.consolidating_ && view.LongRunningRunCount() == 0) {
      view.CancelEvacuation();
    }
    if (view.contacted_ &&
        (view.evacuating_ || view.StoredRecord().draining())) {
      Evacuate(aNow, view);
    }
  }
}

bool FleetScheduler::IsWaveCompleted(uint64_t aWave) const
{
  const auto it = store_.Waves().find(aWave);
  if (it == store_.Waves().end()) {
    return false;
  }
  const auto& machines = it->second.request_.machines();
  return std::all_of(
    machines.begin(), machines.end(), [&](const std::string& aMachine) {
      // A machine that the platform does not list has left the fleet.
      const bool hasLeftFleet =
        machines_.IsListed() && !machines_.Machines().contains(aMachine);
      return it->second.startedMachines_.contains(aMachine) || hasLeftFleet;
    });
}

} // namespace vanillahatch
