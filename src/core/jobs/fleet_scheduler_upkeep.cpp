// Operations on machines, and waves of upkeep within the availability budgets.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Between lists of machines; operations and reports are known without them.
constexpr Millis kListEvery = Seconds(4);
constexpr Millis kListEveryWhileBusy = Millis(1200);
// Before an operation that was not answered is sent again.
constexpr Millis kOperateAgain = Millis(400);
constexpr Millis kOperateThrottled = Millis(150);
// Machines that are emptied for upkeep at the same time, while they carry
// work: few, so that the pools keep their room, but enough to come round in the
// time of a wave. Emptying one takes about two seconds, a wave about twenty.
constexpr size_t kLeastEvacuating = 3;
constexpr size_t kEvacuatingShare = 40; // one in so many machines of the wave
// Between looks at the machines of a wave; an upkeep takes seconds.
constexpr Millis kServeWavesEvery = Millis(50);
// A healthy instance answers a listing at least this often; what was listed
// longer ago may have ended since.
constexpr Millis kFreshListing = Seconds(2);

} // namespace

void FleetScheduler::OnMachines(Millis aAskedAt,
                                std::vector<MachineView> aMachines)
{
  listUnderWay_ = false;
  if (!aMachines.empty()) {
    machines_.HandleList(aAskedAt, std::move(aMachines));
  }
}

void FleetScheduler::AskForMachines(Millis aNow)
{
  const Millis every =
    machines_.Ops().empty() ? kListEvery : kListEveryWhileBusy;
  const bool isDue = !machines_.IsListed() || aNow - listAskedAt_ >= every;
  if (listUnderWay_ || !isDue || aNow - listAskedAt_ < kOperateAgain) {
    return;
  }
  listUnderWay_ = true;
  listAskedAt_ = aNow;
  actions_.push_back(MachineListOrder{});
}

InstanceView* FleetScheduler::FindOnMachine(const std::string& aMachine)
{
  const auto [first, last] = onMachine_.equal_range(aMachine);
  const auto it = std::find_if(first, last, [](const auto& aItem) {
    return !aItem.second->removalProposed_;
  });
  return it != last ? it->second : nullptr;
}

bool FleetScheduler::MayOperate(Millis aNow) const
{
  return aNow - ledSince_ >= options_.operateAfter_;
}

void FleetScheduler::Operate(Millis aNow,
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

void FleetScheduler::OnMachineAnswer(Millis aNow,
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
      op->phase_ = MachineOpPhase::kAccepted;
      op->since_ = aNow;
      if (view != nullptr) {
        ProposeGone(
          *view, GoneFor::kGood, aOrder.wave_ != 0 ? "upkeep" : "moved");
      }
      if (aOrder.wave_ != 0) {
        v1::UpkeepBegun& begun = *round_.add_changes()->mutable_upkeep_begun();
        begun.set_wave(aOrder.wave_);
        begun.set_machine(aOrder.machine_);
      }
      return;
    case MachineOrderStatus::kFenced:
      deposed_ = true;
      return;
    case MachineOrderStatus::kThrottled:
      op->phase_ = MachineOpPhase::kRetryPending;
      op->since_ = aNow - kOperateAgain + kOperateThrottled;
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
        view->avoidMoveUntil_ = aNow + kListEvery;
      }
      refusedUntil_[aOrder.machine_] = aNow + kListEveryWhileBusy;
      machines_.EndOp(aOrder.machine_);
  }
}

void FleetScheduler::RepeatUnclear(Millis aNow)
{
  for (const auto& [name, held] : machines_.Ops()) {
    const bool isDue = held.phase_ == MachineOpPhase::kRetryPending &&
                       aNow - held.since_ >= kOperateAgain;
    if (isDue) {
      MachineOp& op = *machines_.FindOp(name);
      op.phase_ = MachineOpPhase::kOrdered;
      op.since_ = aNow;
      actions_.push_back(op.order_);
    }
  }
}

// A task is at work once its instance lists it so, and nobody stops it.
bool FleetScheduler::IsAtWork(Millis aNow, const TaskRef& aTask)
{
  const Task& task = JobStore::TaskAt(aTask);
  InstanceView* view =
    task.instance_ != nullptr ? FindView(task.instance_->key_) : nullptr;
  RunView* run = view != nullptr ? view->FindRun(aTask, task.run_) : nullptr;
  return run != nullptr && run->phase_ == RunPhase::kListed &&
         run->runningSince_ && !run->stopRequested_ && !run->endProposed_ &&
         !view->removalProposed_ && aNow - view->lastReplyAt_ <= kFreshListing;
}

bool FleetScheduler::MayInterrupt(Millis aNow, const TaskRef& aTask)
{
  const v1::StepSpec& spec = JobStore::SpecOf(aTask);
  uint32_t away = 0;
  for (uint32_t i = 0; i < spec.task_count(); ++i) {
    TaskRef other = aTask;
    other.index_ = i;
    away += i != aTask.index_ && !IsAtWork(aNow, other) ? 1 : 0;
  }
  return away < std::max(spec.max_unavailable(), 1U);
}

// Takes tasks that last off an instance, as far as their budgets allow. On an
// instance that leaves anyway they are moved at once.
void FleetScheduler::Evacuate(Millis aNow, InstanceView& aView)
{
  const bool leavesAnyway = aView.StoredRecord().draining();
  for (auto& [task, run] : aView.Runs()) {
    const bool isMovable = run.isLongRunning_ &&
                           run.phase_ == RunPhase::kListed &&
                           !run.stopRequested_ && !run.endProposed_;
    if (isMovable && (leavesAnyway || MayInterrupt(aNow, task))) {
      run.stopRequested_ = true;
      run.stopRespectsBudget_ = !leavesAnyway;
    }
  }
}

void FleetScheduler::ServeWave(Millis aNow, const Wave& aWave)
{
  const uint64_t number = aWave.request_.wave();
  std::vector<InstanceView*> busy;
  size_t evacuating = 0;
  for (const std::string& machine : aWave.request_.machines()) {
    if (aWave.startedMachines_.contains(machine) ||
        machines_.FindOp(machine) != nullptr) {
      continue;
    }
    const auto refused = refusedUntil_.find(machine);
    if (refused != refusedUntil_.end() && aNow < refused->second) {
      continue;
    }
    InstanceView* view = FindOnMachine(machine);
    if (view != nullptr && view->HasRuns()) {
      busy.push_back(view);
      evacuating += view->evacuating_ ? 1 : 0;
      continue;
    }
    const auto listed = machines_.Machines().find(machine);
    const bool isUp = view != nullptr
                        ? !view->StoredRecord().draining()
                        : listed != machines_.Machines().end() &&
                            listed->second.state_ == MachineState::kUp;
    if (isUp && MayOperate(aNow) &&
        machines_.CountInMaintenance(number) <
          aWave.request_.max_concurrent()) {
      const std::string pool =
        view != nullptr ? view->StoredRecord().service() : listed->second.pool_;
      Operate(aNow, { .machine_ = machine, .wave_ = number }, pool, "upkeep");
    }
  }
  std::sort(busy.begin(), busy.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->Runs().size() < aRight->Runs().size();
  });
  const auto size = static_cast<size_t>(aWave.request_.machines_size());
  const size_t most =
    std::min<size_t>(std::max(kLeastEvacuating, size / kEvacuatingShare),
                     aWave.request_.max_concurrent());
  for (InstanceView* view : busy) {
    if (!view->evacuating_ && evacuating < most) {
      view->evacuating_ = true;
      ++evacuating;
      trace_.onInstance_(view->StoredInstance().key_, "emptied for upkeep");
    }
  }
}

void FleetScheduler::ServeWaves(Millis aNow)
{
  if (!machines_.IsListed()) {
    return; // Machines that an earlier leader took down are not known yet.
  }
  if (aNow - servedWavesAt_ >= kServeWavesEvery) {
    servedWavesAt_ = aNow;
    for (const auto& [number, wave] : store_.Waves()) {
      if (!IsWaveCompleted(number)) {
        ServeWave(aNow, wave);
      }
    }
  }
  Consolidate(aNow);
  for (InstanceView* each : eachView_) {
    InstanceView& view = *each;
    if (view.consolidating_ && view.LongRunningRunCount() == 0) {
      view.consolidating_ = false;
      view.evacuating_ = false;
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
      // One that the platform no longer lists has left the fleet.
      const bool isGone =
        machines_.IsListed() && !machines_.Machines().contains(aMachine);
      return it->second.startedMachines_.contains(aMachine) || isGone;
    });
}

} // namespace vanillahatch
