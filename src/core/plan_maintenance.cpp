// Roll-outs of changed versions, and maintenance that is due.
#include "plan_draft.h"

#include <algorithm>

namespace vanillahatch {

namespace {

StepReason ReasonOf(Obstacle aObstacle)
{
  switch (aObstacle) {
    case Obstacle::kBudget:
      return StepReason::kBudget;
    case Obstacle::kFloor:
      return StepReason::kFloorReached;
    case Obstacle::kSpread:
      return StepReason::kSpread;
    case Obstacle::kPeak:
      return StepReason::kPeak;
    case Obstacle::kDemand:
      return StepReason::kDemandNeedsAll;
    case Obstacle::kProbation:
      return StepReason::kProbation;
  }
  return StepReason::kBudget;
}

} // namespace

bool PlanDraft::Maintain(InstanceIndex aInstance,
                         Purpose aPurpose,
                         StepReason aReason)
{
  const PoolIndex pool = View(aInstance).pool_;
  const PoolNeed& need = Need(pool);
  std::optional<Obstacle> obstacle = census_.ObstacleTo(aInstance, aPurpose);
  const bool canWait =
    aPurpose == Purpose::kPeriodic || !objective_.IsRollOutFirst();
  if (need.inPeak_ && Contract(pool).yieldToPeak_) {
    obstacle = Obstacle::kPeak;
  } else if (!obstacle && canWait && census_.Of(pool).serving_ <= need.ahead_) {
    obstacle = Obstacle::kDemand;
  }
  if (obstacle) {
    Hold(pool, aPurpose, ReasonOf(*obstacle));
    return false;
  }
  Drain(aInstance, aPurpose, pool, aReason);
  return true;
}

void PlanDraft::RollOut()
{
  for (size_t i = 0; i < needs_.size(); ++i) {
    if (spare_ != static_cast<PoolIndex>(i)) {
      RollOutPool(static_cast<PoolIndex>(i), 0);
    }
  }
}

void PlanDraft::RollOutSpare()
{
  if (!spare_) {
    return;
  }
  // Instances that other pools will borrow for their roll-outs do not count as
  // members, so that the remaining ones stay within the budget.
  uint32_t lent = 0;
  for (const PoolNeed& need : needs_) {
    lent += need.isRollingOut_ ? need.borrowed_ : 0;
  }
  const uint32_t serving = census_.Of(*spare_).serving_;
  const uint32_t reserved = Need(*spare_).keep_ + plan_.sharedBuffer_;
  const uint32_t lendable = serving > reserved ? serving - reserved : 0;
  RollOutPool(*spare_, std::min(lent, lendable));
}

void PlanDraft::RollOutPool(PoolIndex aPool, uint32_t aReserve)
{
  if (Need(aPool).isRollOutStopped_) {
    Hold(aPool, Purpose::kRollOut, StepReason::kRollOutStopped);
  }
  if (!Need(aPool).isRollingOut_) {
    return;
  }
  std::vector<InstanceIndex> members = members_[At(aPool)];
  // Sorted by rack, so that few racks are affected at a time.
  std::stable_sort(members.begin(), members.end(), [&](auto aL, auto aR) {
    return View(aL).rack_ < View(aR).rack_;
  });
  for (const InstanceIndex member : members) {
    if (hasStep_[At(member)] || !NeedsRollOut(View(member))) {
      continue;
    }
    const PoolCount& count = census_.Of(aPool);
    const uint32_t members =
      count.members_ > aReserve ? count.members_ - aReserve : 0;
    if (count.unavailable_ >= Contract(aPool).budget_.Allowed(members)) {
      Hold(aPool, Purpose::kRollOut, StepReason::kBudget);
      return;
    }
    Maintain(member, Purpose::kRollOut, StepReason::kVersionChanged);
  }
}

void PlanDraft::MaintainDue()
{
  std::vector<InstanceIndex> due;
  std::vector<std::optional<RackIndex>> racks(view_.dataCentreCount_);
  for (size_t i = 0; i < view_.instances_.size(); ++i) {
    const InstanceView& instance = view_.instances_[i];
    const bool isInProgress = instance.purpose_ == Purpose::kPeriodic &&
                              (instance.state_ == InstanceState::kDraining ||
                               instance.state_ == InstanceState::kMaintenance);
    if (isInProgress) {
      racks[At(instance.dataCentre_)] = instance.rack_;
    }
    if (IsFree(instance) && !hasStep_[i] && IsDue(instance)) {
      due.push_back(static_cast<InstanceIndex>(i));
    }
  }
  std::stable_sort(due.begin(), due.end(), [&](auto aL, auto aR) {
    return View(aL).lastMaintained_ < View(aR).lastMaintained_;
  });
  // One rack at a time in each data centre, longest without maintenance first.
  for (const InstanceIndex index : due) {
    std::optional<RackIndex>& rack = racks[At(View(index).dataCentre_)];
    if (rack && *rack != View(index).rack_) {
      continue;
    }
    if (Maintain(index, Purpose::kPeriodic, StepReason::kMaintenanceDue)) {
      rack = View(index).rack_;
    }
  }
}

} // namespace vanillahatch
