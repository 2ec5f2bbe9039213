#include "vanillahatch/core/jobs/machine_tracker.h"

#include <algorithm>

namespace vanillahatch {

MachineTracker::MachineTracker(MachineTrackerOptions aOptions)
  : options_(aOptions)
{
}

bool MachineTracker::MayBeAvailableAgain(const MachineOp& aOp, Millis aAt) const
{
  const Millis minTime = aOp.order_.pool_.empty() ? options_.minMaintenanceTime_
                                                  : options_.minMoveTime_;
  return aOp.phase_ == MachineOpPhase::kAccepted && aAt - aOp.since_ >= minTime;
}

void MachineTracker::HandleList(Millis aRequestedAt,
                                std::vector<MachineView> aMachines)
{
  std::map<std::string, MachineView> updated;
  for (MachineView& machine : aMachines) {
    const std::string name = machine.machine_;
    const auto op = ops_.find(name);
    const bool isOutdated =
      op != ops_.end() && !MayBeAvailableAgain(op->second, aRequestedAt);
    const auto known = machines_.find(name);
    const auto reported = reportedAt_.find(name);
    const bool isOlderThanReport =
      reported != reportedAt_.end() && aRequestedAt < reported->second;
    if ((isOutdated || isOlderThanReport) && known != machines_.end()) {
      updated.emplace(name, known->second);
      continue;
    }
    updated.emplace(name, std::move(machine));
  }
  machines_ = std::move(updated);
  std::erase_if(reportedAt_,
                [&](const auto& aItem) { return aItem.second < aRequestedAt; });
  isListed_ = true;
  // The list ends accepted operations of machines that are up again, because
  // the machines of a spare pool have no instance that would report it.
  std::erase_if(ops_, [&](const auto& aItem) {
    const MachineOp& op = aItem.second;
    const auto it = machines_.find(aItem.first);
    return MayBeAvailableAgain(op, aRequestedAt) && it != machines_.end() &&
           it->second.state_ == MachineState::kUp;
  });
}

void MachineTracker::OnInstanceReport(Millis aNow,
                                      const std::string& aMachine,
                                      const std::string& aPool,
                                      const InstanceKey& aInstance)
{
  const MachineOp* op = FindOp(aMachine);
  const bool isOutdated =
    op != nullptr &&
    (op->previousInstance_ == aInstance || !MayBeAvailableAgain(*op, aNow));
  if (aMachine.empty() || isOutdated) {
    return;
  }
  MachineView& machine = machines_[aMachine];
  machine.machine_ = aMachine;
  machine.pool_ = aPool;
  machine.state_ = MachineState::kUp;
  reportedAt_[aMachine] = aNow;
  ops_.erase(aMachine);
}

void MachineTracker::BeginOp(Millis aNow,
                             MachineOrder aOrder,
                             std::string aFromPool,
                             InstanceKey aPreviousInstance)
{
  const std::string machine = aOrder.machine_;
  ops_[machine] = { .order_ = std::move(aOrder),
                    .fromPool_ = std::move(aFromPool),
                    .previousInstance_ = std::move(aPreviousInstance),
                    .since_ = aNow,
                    .orderedAt_ = aNow };
}

MachineOp* MachineTracker::FindOp(const std::string& aMachine)
{
  const auto it = ops_.find(aMachine);
  return it != ops_.end() ? &it->second : nullptr;
}

void MachineTracker::EndOp(const std::string& aMachine)
{
  ops_.erase(aMachine);
}

size_t MachineTracker::CountInMaintenance(uint64_t aWave) const
{
  size_t count = 0;
  for (const auto& [name, op] : ops_) {
    count += op.order_.wave_ == aWave ? 1 : 0;
  }
  // Maintenance started by an earlier leader counts for every wave, because its
  // wave is unknown.
  for (const auto& [name, machine] : machines_) {
    const bool isCounted = ops_.contains(name);
    count += !isCounted && machine.state_ == MachineState::kMaintenance ? 1 : 0;
  }
  return count;
}

} // namespace vanillahatch
