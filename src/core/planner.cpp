#include "vanillahatch/core/planner.h"

#include "plan_draft.h"

#include <array>
#include <cmath>

namespace vanillahatch {

namespace {

constexpr std::array<std::string_view, 5> kKindNames = { "begin-drain",
                                                         "move",
                                                         "maintain",
                                                         "return",
                                                         "hold" };

constexpr std::array<std::string_view, 22> kReasonNames = {
  "demand",
  "below-floor",
  "borrow-for-maintenance",
  "surplus",
  "maintenance-due",
  "version-changed",
  "drained",
  "healthy",
  "version-failed",
  "roll-out-stopped",
  "went-down",
  "guard-refused",
  "guard-silent",
  "reboot-failed",
  "no-spare-instance",
  "at-ceiling",
  "availability-budget",
  "floor-reached",
  "spread",
  "demand-peak",
  "demand-needs-all",
  "probation",
};

constexpr std::array<std::string_view, 5> kPurposeNames = { "none",
                                                            "move",
                                                            "periodic",
                                                            "roll-out",
                                                            "roll-back" };

} // namespace

std::string_view NameOf(StepKind aKind)
{
  return kKindNames[static_cast<size_t>(aKind)];
}

std::string_view NameOf(StepReason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

std::string_view NameOf(Purpose aPurpose)
{
  return kPurposeNames[static_cast<size_t>(aPurpose)];
}

std::string Step::ChangeId(const FleetView& aView) const
{
  if (kind_ == StepKind::kHold) {
    return {};
  }
  const InstanceView& instance = aView.instances_[At(instance_)];
  std::string id = "planner/" + instance.name_.Str();
  id += "/e" + std::to_string(instance.epoch_);
  id += "/s" + std::to_string(instance.step_);
  id += "/";
  id += NameOf(kind_);
  return id;
}

uint32_t InstancesFor(double aSlots,
                      uint32_t aSlotsPerInstance,
                      double aHeadroom)
{
  const double slots = std::max(0.0, aSlots);
  const double slotsWithHeadroom = slots + aHeadroom * std::sqrt(slots);
  return static_cast<uint32_t>(
    std::ceil(slotsWithHeadroom / aSlotsPerInstance));
}

Plan Planner::MakePlan(const FleetView& aView,
                       std::span<const DemandOutlook> aOutlooks,
                       Millis aNow) const
{
  PlanDraft draft(aView, aOutlooks, options_, objective_, aNow);
  draft.ContinueSteps();
  if (objective_.IsRollOutFirst()) {
    draft.RollOut();
    // Pools borrow for their roll-outs before the spare pool starts its own.
    draft.Grow();
    draft.RollOutSpare();
    draft.Shrink();
  } else {
    draft.Grow();
    draft.Shrink();
    draft.RollOut();
    draft.RollOutSpare();
  }
  draft.MaintainDue();
  return draft.Finish();
}

} // namespace vanillahatch
