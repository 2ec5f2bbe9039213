// Simulates the fleet in virtual time: applies the planner's steps as the
// replicated log would, completes drains, joins and maintenance after their
// durations, and counts every violated invariant. Used by tests and by the
// capacity experiment.
#pragma once

#include "vanillahatch/core/planner.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace vanillahatch {

struct FakeFleetOptions
{
  Millis drainDuration_ = Seconds(2); // until every grant has expired
  Millis joinDuration_ =
    Seconds(1); // from the assignment to the first announcement
  Millis maintenanceDuration_ = Seconds(10);
  Millis healthTimeout_ = Seconds(15); // for an instance that does not start
  Version badVersion_{};               // never becomes healthy; 0: none
};

// Counts violated invariants; each violation is a bug in the planner.
struct InvariantViolations
{
  uint32_t budget_ = 0;           // a drain beyond budget, floor or ceiling
  uint32_t doubleMembership_ = 0; // a move while grants were outstanding
  uint32_t doubleStart_ = 0;      // a change id applied twice
  uint32_t wrongState_ = 0;       // a step that its instance's state forbids

  uint32_t Sum() const
  {
    return budget_ + doubleMembership_ + doubleStart_ + wrongState_;
  }
};

class FakeFleet
{
public:
  FakeFleet(FakeFleetOptions aOptions, FleetView aView)
    : options_(aOptions)
    , view_(std::move(aView))
    , machines_(view_.instances_.size())
  {
  }

  // Returns whether an instance has nothing in flight; by default always true.
  std::function<bool(InstanceIndex)> isIdle_ = [](InstanceIndex) {
    return true;
  };

  const FleetView& View() const { return view_; }
  FleetView& Edit() { return view_; }
  const InvariantViolations& Violations() const { return violations_; }
  uint32_t Moves() const { return moves_; }

  void Apply(const Step& aStep, Millis aNow)
  {
    if (aStep.kind_ == StepKind::kHold) {
      return;
    }
    InstanceView& instance = view_.instances_[At(aStep.instance_)];
    if (!applied_.insert(aStep.ChangeId(view_)).second) {
      ++violations_.doubleStart_;
      return;
    }
    switch (aStep.kind_) {
      case StepKind::kBeginDrain:
        BeginDrain(instance, aStep, aNow);
        break;
      case StepKind::kMoveInstance:
        Move(instance, aStep, aNow);
        break;
      case StepKind::kStartMaintenance:
        StartMaintenance(instance, aStep, aNow);
        break;
      case StepKind::kReturnToService:
        Return(instance, aStep, aNow);
        break;
      case StepKind::kHold:
        break;
    }
    ++instance.step_;
  }

  // Advances the virtual time to `aNow`.
  void Advance(Millis aNow)
  {
    for (size_t i = 0; i < machines_.size(); ++i) {
      AdvanceOne(static_cast<InstanceIndex>(i), aNow);
    }
  }

  void FailInstance(InstanceIndex aInstance)
  {
    machines_[At(aInstance)].isDown_ = true;
    UpdateView(aInstance);
  }

  void Repair(InstanceIndex aInstance, Millis aNow)
  {
    Machine& machine = machines_[At(aInstance)];
    if (!machine.isDown_) {
      return;
    }
    machine.isDown_ = false;
    view_.instances_[At(aInstance)].repairedAt_ = aNow;
    UpdateView(aInstance);
  }

  void FailRack(RackIndex aRack)
  {
    ForEach([&](InstanceIndex aIndex, const InstanceView& aInstance) {
      if (aInstance.rack_ == aRack) {
        FailInstance(aIndex);
      }
    });
  }

  void RepairRack(RackIndex aRack, Millis aNow)
  {
    ForEach([&](InstanceIndex aIndex, const InstanceView& aInstance) {
      if (aInstance.rack_ == aRack) {
        Repair(aIndex, aNow);
      }
    });
  }

  void SetDisconnected(DataCentreIndex aDataCentre, bool aIsDisconnected)
  {
    ForEach([&](InstanceIndex aIndex, const InstanceView& aInstance) {
      if (aInstance.dataCentre_ == aDataCentre) {
        machines_[At(aIndex)].isDisconnected_ = aIsDisconnected;
        UpdateView(aIndex);
      }
    });
  }

  // Whether the instance serves callers of its data centre, even if
  // disconnected.
  bool CanServe(InstanceIndex aInstance) const
  {
    const Machine& machine = machines_[At(aInstance)];
    return machine.state_ == InstanceState::kServing && !machine.isDown_;
  }

  uint32_t Count(PoolIndex aPool, InstanceState aState) const
  {
    uint32_t count = 0;
    for (const InstanceView& instance : view_.instances_) {
      count += instance.pool_ == aPool && instance.state_ == aState ? 1 : 0;
    }
    return count;
  }

private:
  // The true state of an instance; the view holds what control knows.
  struct Machine
  {
    InstanceState state_ = InstanceState::kServing; // if up and connected
    bool isDown_ = false;
    bool isDisconnected_ = false;
    Millis since_; // start of its state
  };

  template<class Visit>
  void ForEach(const Visit& aVisit)
  {
    for (size_t i = 0; i < view_.instances_.size(); ++i) {
      aVisit(static_cast<InstanceIndex>(i), view_.instances_[i]);
    }
  }

  Machine& MachineOf(const InstanceView& aInstance)
  {
    return machines_[static_cast<size_t>(&aInstance - view_.instances_.data())];
  }

  void EnterState(InstanceView& aInstance, InstanceState aState, Millis aNow)
  {
    Machine& machine = MachineOf(aInstance);
    machine.state_ = aState;
    machine.since_ = aNow;
    aInstance.drained_ = false;
    aInstance.healthy_ = false;
    aInstance.failed_ = false;
    aInstance.guard_ = GuardAnswer::kNone;
    UpdateView(static_cast<InstanceIndex>(&machine - machines_.data()));
  }

  void UpdateView(InstanceIndex aInstance)
  {
    const Machine& machine = machines_[At(aInstance)];
    InstanceView& instance = view_.instances_[At(aInstance)];
    instance.state_ = machine.state_;
    if (machine.isDown_ && machine.state_ != InstanceState::kMaintenance) {
      instance.state_ = InstanceState::kDown;
    }
    if (machine.isDisconnected_) {
      instance.state_ = InstanceState::kCutOff;
    }
  }

  void BeginDrain(InstanceView& aInstance, const Step& aStep, Millis aNow)
  {
    if (aInstance.state_ != InstanceState::kServing) {
      ++violations_.wrongState_;
      return;
    }
    aInstance.purpose_ = aStep.purpose_;
    aInstance.target_ = aStep.target_;
    EnterState(aInstance, InstanceState::kDraining, aNow);
    CheckBudget(aInstance.pool_);
  }

  // Counts from the view and not with the planner's own code, so that the check
  // is independent. A move makes the pool smaller; the remaining members must
  // satisfy the budget and the floor.
  void CheckBudget(PoolIndex aPool)
  {
    uint32_t members = 0;
    uint32_t unavailable = 0;
    for (const InstanceView& instance : view_.instances_) {
      const bool isLeaving = instance.state_ == InstanceState::kDraining &&
                             instance.purpose_ == Purpose::kMove;
      const bool isMember = instance.pool_ == aPool && !isLeaving &&
                            instance.state_ != InstanceState::kJoining;
      members += isMember ? 1 : 0;
      unavailable +=
        isMember && instance.state_ != InstanceState::kServing ? 1 : 0;
    }
    const PoolContract& contract = view_.pools_[At(aPool)].contract_;
    const bool isBelowFloor = members - unavailable < contract.floor_;
    const bool isOverBudget = unavailable > contract.budget_.Allowed(members);
    violations_.budget_ += isBelowFloor || isOverBudget ? 1 : 0;
  }

  void Move(InstanceView& aInstance, const Step& aStep, Millis aNow)
  {
    if (aInstance.state_ != InstanceState::kDraining) {
      ++violations_.wrongState_;
      return;
    }
    if (!aInstance.drained_) {
      ++violations_.doubleMembership_;
    }
    aInstance.pool_ = aStep.target_;
    aInstance.version_ = aStep.version_;
    aInstance.purpose_ = Purpose::kNone;
    ++aInstance.epoch_;
    ++moves_;
    EnterState(aInstance, InstanceState::kJoining, aNow);
  }

  void StartMaintenance(InstanceView& aInstance, const Step& aStep, Millis aNow)
  {
    const bool isRollBack = aStep.purpose_ == Purpose::kRollBack;
    const bool mayStart = isRollBack
                            ? aInstance.failed_
                            : aInstance.state_ == InstanceState::kDraining &&
                                aInstance.drained_ &&
                                aInstance.guard_ == GuardAnswer::kConsents;
    if (!mayStart) {
      ++violations_.wrongState_;
      return;
    }
    if (isRollBack) {
      aInstance.failedVersion_ = aInstance.version_;
    }
    aInstance.purpose_ = aStep.purpose_;
    aInstance.version_ = aStep.version_;
    EnterState(aInstance, InstanceState::kMaintenance, aNow);
  }

  void Return(InstanceView& aInstance, const Step& aStep, Millis aNow)
  {
    if (aInstance.state_ == InstanceState::kMaintenance) {
      if (!aInstance.healthy_) {
        ++violations_.wrongState_;
      }
      aInstance.lastMaintained_ = aNow;
    }
    aInstance.purpose_ = Purpose::kNone;
    aInstance.holdUntil_ = aStep.holdUntil_;
    EnterState(aInstance, InstanceState::kServing, aNow);
  }

  void AdvanceOne(InstanceIndex aInstance, Millis aNow)
  {
    Machine& machine = machines_[At(aInstance)];
    InstanceView& instance = view_.instances_[At(aInstance)];
    const Millis age = aNow - machine.since_;
    if (machine.isDisconnected_) {
      return;
    }
    if (machine.state_ == InstanceState::kDraining &&
        age >= options_.drainDuration_ &&
        (isIdle_(aInstance) || machine.isDown_)) {
      instance.drained_ = true;
      if (instance.guard_ == GuardAnswer::kNone) {
        instance.guard_ = GuardAnswer::kConsents;
      }
    }
    if (machine.isDown_) {
      return;
    }
    const bool isBad = instance.version_ != Version{} &&
                       instance.version_ == options_.badVersion_;
    if (machine.state_ == InstanceState::kJoining && isBad) {
      if (age >= options_.healthTimeout_) {
        EnterState(instance, InstanceState::kDown, aNow);
        instance.failed_ = true;
      }
      return;
    }
    if (machine.state_ == InstanceState::kJoining &&
        age >= options_.joinDuration_) {
      EnterState(instance, InstanceState::kServing, aNow);
    }
    if (machine.state_ != InstanceState::kMaintenance) {
      return;
    }
    instance.healthy_ = !isBad && age >= options_.maintenanceDuration_;
    instance.failed_ = isBad && age >= options_.healthTimeout_;
  }

  FakeFleetOptions options_;
  FleetView view_;
  std::vector<Machine> machines_;
  std::set<std::string> applied_;
  InvariantViolations violations_;
  uint32_t moves_ = 0;
};

// Layout of a fleet of equal pools.
struct FleetLayout
{
  uint32_t pools_ = 5;
  uint32_t instances_ = 50;
  uint32_t rackSize_ = 4;
  uint32_t dataCentres_ = 3;
  uint32_t floor_ = 2;
  AvailabilityBudget budget_{ .percent_ = 25 };
  uint32_t sparePercent_ =
    50; // budget of the spare pool, which lends instances
  bool yieldToPeak_ = false;
};

// The last pool is the spare pool. Instances are assigned to pools round-robin.
inline FleetView MakeFleet(const FleetLayout& aLayout)
{
  FleetView view;
  for (uint32_t i = 0; i < aLayout.pools_; ++i) {
    const bool isSpare = i + 1 == aLayout.pools_;
    const std::string name =
      isSpare ? "billing" : "service-" + std::to_string(i + 1);
    PoolContract contract{ .name_ = PoolName(name),
                           .service_ = ServiceName(name),
                           .floor_ = aLayout.floor_,
                           .budget_ = aLayout.budget_,
                           .spare_ = isSpare,
                           .priority_ = isSpare ? 0U : 1U,
                           .yieldToPeak_ = aLayout.yieldToPeak_ };
    if (isSpare) {
      contract.budget_ = { .percent_ = aLayout.sparePercent_ };
    }
    view.pools_.push_back({ .contract_ = contract,
                            .version_ = Version{ 1 },
                            .previousVersion_ = Version{ 1 } });
  }
  view.rackCount_ =
    (aLayout.instances_ + aLayout.rackSize_ - 1) / aLayout.rackSize_;
  view.dataCentreCount_ = aLayout.dataCentres_;
  for (uint32_t i = 0; i < aLayout.instances_; ++i) {
    const uint32_t rack = i / aLayout.rackSize_;
    view.instances_.push_back(
      { .name_ = InstanceName("i" + std::to_string(i)),
        .pool_ = PoolIndex{ i % aLayout.pools_ },
        .rack_ = RackIndex{ rack },
        .dataCentre_ = DataCentreIndex{ rack % aLayout.dataCentres_ },
        .version_ = Version{ 1 } });
  }
  return view;
}

} // namespace vanillahatch
