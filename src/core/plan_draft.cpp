// The needs of the pools, and the steps that continue what is in progress.
#include "plan_draft.h"

#include <algorithm>

namespace vanillahatch {

PlanDraft::PlanDraft(const FleetView& aView,
                     std::span<const DemandOutlook> aOutlooks,
                     const PlannerOptions& aOptions,
                     const Objective& aObjective,
                     Millis aNow)
  : view_(aView)
  , options_(aOptions)
  , objective_(aObjective)
  , now_(aNow)
  , census_(aView, aOptions.probation_, aNow)
  , needs_(aView.pools_.size())
  , members_(aView.pools_.size())
  , hasStep_(aView.instances_.size())
{
  for (size_t i = 0; i < view_.pools_.size() && !spare_; ++i) {
    if (view_.pools_[i].contract_.spare_) {
      spare_ = static_cast<PoolIndex>(i);
    }
  }
  CountVersions();
  ComputeNeeds(aOutlooks);
  SizeSharedBuffer();
  CollectSpares();
}

const InstanceView& PlanDraft::View(InstanceIndex aInstance) const
{
  return view_.instances_[At(aInstance)];
}

const PoolContract& PlanDraft::Contract(PoolIndex aPool) const
{
  return view_.pools_[At(aPool)].contract_;
}

bool PlanDraft::IsFree(const InstanceView& aInstance) const
{
  return aInstance.state_ == InstanceState::kServing && !aInstance.isPending_ &&
         aInstance.holdUntil_ <= now_;
}

bool PlanDraft::IsDue(const InstanceView& aInstance) const
{
  const Millis own = view_.pools_[At(aInstance.pool_)].maintenancePeriod_;
  const Millis period = own > Millis(0) ? own : options_.maintenancePeriod_;
  const Millis lead = period * options_.duePercent_ / 100;
  return aInstance.isRequested_ ||
         now_ - aInstance.lastMaintained_ >= period - lead;
}

bool PlanDraft::NeedsRollOut(const InstanceView& aInstance) const
{
  const Version target = view_.pools_[At(aInstance.pool_)].version_;
  return aInstance.version_ != target && aInstance.failedVersion_ != target;
}

void PlanDraft::CountVersions()
{
  std::vector<uint32_t> failures(view_.pools_.size());
  for (size_t i = 0; i < view_.instances_.size(); ++i) {
    const InstanceView& instance = view_.instances_[i];
    const Version target = view_.pools_[At(instance.pool_)].version_;
    const bool isJoining = instance.state_ == InstanceState::kJoining;
    const bool fails = instance.failed_ && instance.version_ == target &&
                       instance.purpose_ != Purpose::kPeriodic;
    const bool hasFailed =
      target != Version{} && instance.failedVersion_ == target;
    Need(instance.pool_).trialCount_ +=
      isJoining && instance.version_ == target ? 1 : 0;
    failures[At(instance.pool_)] += fails || hasFailed ? 1 : 0;
    const bool serves = instance.state_ == InstanceState::kServing;
    Need(instance.pool_).isConfirmed_ |= serves && instance.version_ == target;
    if (IsFree(instance)) {
      members_[At(instance.pool_)].push_back(static_cast<InstanceIndex>(i));
      Need(instance.pool_).isRollingOut_ |= NeedsRollOut(instance);
    }
  }
  for (size_t i = 0; i < failures.size(); ++i) {
    needs_[i].trialCount_ += failures[i];
    if (failures[i] >= options_.rollOutFailureLimit_) {
      needs_[i].isRollOutStopped_ = true;
      needs_[i].isRollingOut_ = false;
    }
  }
}

void PlanDraft::ComputeNeeds(std::span<const DemandOutlook> aOutlooks)
{
  for (size_t i = 0; i < needs_.size(); ++i) {
    const PoolContract& contract = view_.pools_[i].contract_;
    const DemandOutlook& outlook = aOutlooks[i];
    PoolNeed& need = needs_[i];
    const auto instances = [&](double aSlots) {
      const uint32_t needed =
        InstancesFor(aSlots, contract.slotsPerInstance_, options_.headroom_);
      return std::clamp(needed, contract.floor_, contract.ceiling_);
    };
    need.now_ = instances(outlook.now_);
    need.ahead_ = instances(outlook.ahead_);
    need.keep_ = instances(outlook.recent_);
    need.inPeak_ = outlook.inPeak_;
    if (need.isRollingOut_ && !contract.spare_) {
      const uint32_t allowed = contract.budget_.Allowed(
        census_.Of(static_cast<PoolIndex>(i)).members_);
      need.borrowed_ = objective_.BorrowsForRollOut() ? allowed : 1;
    }
  }
  for (const auto& members : members_) {
    for (const InstanceIndex index : members) {
      const InstanceView& instance = View(index);
      PoolNeed& need = Need(instance.pool_);
      if (IsDue(instance) && !Contract(instance.pool_).spare_) {
        need.borrowed_ = std::max(need.borrowed_, 1U);
      }
    }
  }
}

void PlanDraft::SizeSharedBuffer()
{
  // One rack may fail at any time, so all pools share one buffer. It covers the
  // loss of the worst rack, less the surplus of the pools themselves.
  std::vector<uint32_t> needed;
  for (const PoolNeed& need : needs_) {
    needed.push_back(std::max(need.now_, need.ahead_));
  }
  plan_.sharedBuffer_ = census_.LargestLoss(needed);
}

void PlanDraft::ContinueSteps()
{
  for (size_t i = 0; i < view_.instances_.size(); ++i) {
    const InstanceView& instance = view_.instances_[i];
    if (instance.isPending_) {
      continue;
    }
    if (instance.state_ == InstanceState::kDraining) {
      ContinueDrain(static_cast<InstanceIndex>(i));
    } else if (instance.state_ == InstanceState::kMaintenance) {
      ContinueMaintenance(static_cast<InstanceIndex>(i));
    } else if (instance.state_ == InstanceState::kDown && instance.failed_ &&
               instance.version_ == view_.pools_[At(instance.pool_)].version_) {
      RollBack(static_cast<InstanceIndex>(i)); // It did not start.
    } else if (instance.state_ == InstanceState::kDown &&
               instance.purpose_ == Purpose::kMove) {
      // The target pool gets another instance sooner than this one recovers.
      plan_.steps_.push_back(MakeStep(static_cast<InstanceIndex>(i),
                                      StepKind::kReturnToService,
                                      StepReason::kWentDown));
    }
  }
}

void PlanDraft::ContinueDrain(InstanceIndex aInstance)
{
  const InstanceView& instance = View(aInstance);
  if (instance.purpose_ == Purpose::kNone) {
    return; // An operator drained it and ends the drain.
  }
  if (instance.guard_ == GuardAnswer::kRefuses) {
    Step step = MakeStep(
      aInstance, StepKind::kReturnToService, StepReason::kGuardRefused);
    step.holdUntil_ = now_ + options_.guardRetry_;
    plan_.steps_.push_back(step);
    return;
  }
  const bool isStopped = instance.purpose_ == Purpose::kRollOut &&
                         Need(instance.pool_).isRollOutStopped_;
  if (isStopped) {
    plan_.steps_.push_back(MakeStep(
      aInstance, StepKind::kReturnToService, StepReason::kRollOutStopped));
    return;
  }
  if (!instance.drained_) {
    return;
  }
  if (instance.guard_ == GuardAnswer::kNone) {
    Hold(instance.pool_, instance.purpose_, StepReason::kGuardSilent);
    return;
  }
  const bool isMove = instance.purpose_ == Purpose::kMove;
  Step step =
    MakeStep(aInstance,
             isMove ? StepKind::kMoveInstance : StepKind::kStartMaintenance,
             StepReason::kDrained);
  const PoolIndex pool = isMove ? instance.target_ : instance.pool_;
  if (isMove) {
    step.version_ = ChooseJoiningVersion(pool);
  } else if (instance.purpose_ == Purpose::kRollOut) {
    step.version_ = view_.pools_[At(pool)].version_;
  }
  plan_.steps_.push_back(step);
}

Version PlanDraft::ChooseJoiningVersion(PoolIndex aPool)
{
  const PoolView& pool = view_.pools_[At(aPool)];
  PoolNeed& need = Need(aPool);
  if (need.isRollOutStopped_) {
    return pool.previousVersion_;
  }
  if (need.isConfirmed_) {
    return pool.version_;
  }
  // A joining instance that current demand does not need may try a new version
  // first: its failure costs the pool no capacity.
  const bool isNeededNow = census_.Of(aPool).serving_ < need.now_;
  if (isNeededNow || need.trialCount_ >= options_.rollOutFailureLimit_) {
    return pool.previousVersion_;
  }
  ++need.trialCount_;
  return pool.version_;
}

void PlanDraft::RollBack(InstanceIndex aInstance)
{
  Step step = MakeStep(
    aInstance, StepKind::kStartMaintenance, StepReason::kVersionFailed);
  step.purpose_ = Purpose::kRollBack;
  step.version_ = view_.pools_[At(View(aInstance).pool_)].previousVersion_;
  plan_.steps_.push_back(step);
}

void PlanDraft::ContinueMaintenance(InstanceIndex aInstance)
{
  const InstanceView& instance = View(aInstance);
  if (instance.healthy_) {
    plan_.steps_.push_back(
      MakeStep(aInstance, StepKind::kReturnToService, StepReason::kHealthy));
    return;
  }
  if (!instance.failed_) {
    return;
  }
  if (instance.purpose_ != Purpose::kRollOut) {
    Hold(instance.pool_, instance.purpose_, StepReason::kRebootFailed);
    return;
  }
  RollBack(aInstance);
}

Step PlanDraft::MakeStep(InstanceIndex aInstance,
                         StepKind aKind,
                         StepReason aReason)
{
  const InstanceView& instance = View(aInstance);
  hasStep_[At(aInstance)] = true;
  return Step{ .kind_ = aKind,
               .reason_ = aReason,
               .pool_ = instance.pool_,
               .instance_ = aInstance,
               .purpose_ = instance.purpose_,
               .target_ = instance.target_,
               .version_ = instance.version_ };
}

void PlanDraft::Drain(InstanceIndex aInstance,
                      Purpose aPurpose,
                      PoolIndex aTarget,
                      StepReason aReason)
{
  Step step = MakeStep(aInstance, StepKind::kBeginDrain, aReason);
  step.purpose_ = aPurpose;
  step.target_ = aTarget;
  plan_.steps_.push_back(step);
  census_.CountDrain(aInstance, aPurpose, aTarget);
  ++drainCount_;
}

void PlanDraft::Hold(PoolIndex aPool, Purpose aPurpose, StepReason aReason)
{
  for (const Step& step : plan_.steps_) {
    if (step.kind_ == StepKind::kHold && step.pool_ == aPool &&
        step.purpose_ == aPurpose && step.reason_ == aReason) {
      return; // Reported once for each pool.
    }
  }
  plan_.steps_.push_back({ .kind_ = StepKind::kHold,
                           .reason_ = aReason,
                           .pool_ = aPool,
                           .purpose_ = aPurpose });
}

Plan PlanDraft::Finish()
{
  if (spare_) {
    const uint32_t reserved = Need(*spare_).keep_ + plan_.sharedBuffer_;
    const uint32_t serving = census_.Of(*spare_).serving_;
    plan_.releasable_ = serving > reserved ? serving - reserved : 0;
  }
  return std::move(plan_);
}

} // namespace vanillahatch
