#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Of the target of a serving task's tail, in percent.
constexpr uint64_t kSlowDownAt = 80;
constexpr uint64_t kLetGoBelow = 55;
// Steps of the share of work, in percent.
constexpr uint32_t kRaiseBy = 10;
constexpr uint32_t kStopBelow = 10;
constexpr uint32_t kFull = 100;

// The tightest serving task: its tail in percent of its target.
uint64_t Strain(const InstanceView& aView)
{
  uint64_t worst = 0;
  for (const auto& [task, run] : aView.Runs()) {
    const uint64_t target = JobStore::SpecOf(task).tail_target_ms();
    if (target > 0 && run.phase_ == RunPhase::kListed) {
      worst = std::max(worst, run.load_ * uint64_t(kFull) / target);
    }
  }
  return worst;
}

uint32_t NextShare(uint32_t aShare, uint64_t aStrain)
{
  if (aStrain >= kFull) {
    return 0;
  }
  if (aStrain >= kSlowDownAt) {
    return aShare / 2 < kStopBelow ? 0 : aShare / 2;
  }
  return aStrain < kLetGoBelow ? std::min(kFull, aShare + kRaiseBy) : aShare;
}

} // namespace

bool NeedsPacing(const InstanceView& aView)
{
  return aView.MixesBestEffortAndLatencySensitive();
}

std::vector<PaceChange> PaceFillers(const InstanceView& aView)
{
  std::vector<PaceChange> changes;
  if (!NeedsPacing(aView)) {
    return changes;
  }
  const uint64_t strain = Strain(aView);
  for (const auto& [task, run] : aView.Runs()) {
    const bool isFiller = JobStore::SpecOf(task).best_effort() &&
                          run.phase_ == RunPhase::kListed && !run.paceInFlight_;
    if (!isFiller) {
      continue;
    }
    const uint32_t share = NextShare(run.orderedPercent_, strain);
    if (share != run.orderedPercent_) {
      changes.push_back({ .task_ = task, .run_ = run.run_, .percent_ = share });
    }
  }
  return changes;
}

} // namespace vanillahatch
