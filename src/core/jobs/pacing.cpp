#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Thresholds of the tail latency, in percent of its target.
constexpr uint64_t kHalveAtPercent = 80;
constexpr uint64_t kRaiseBelowPercent = 55;
// Pace of best-effort tasks, in percent of full speed.
constexpr uint32_t kRaiseStep = 10;
constexpr uint32_t kMinPace = 10;
constexpr uint32_t kFullPercent = 100;

// Returns the highest tail latency of any task, in percent of its target.
uint64_t WorstTailPercent(const InstanceView& aView)
{
  uint64_t worstPercent = 0;
  for (const auto& [task, run] : aView.Runs()) {
    const uint64_t target = JobStore::SpecOf(task).tail_target_ms();
    if (target > 0 && run.phase_ == RunPhase::kListed) {
      worstPercent =
        std::max(worstPercent, run.load_ * uint64_t(kFullPercent) / target);
    }
  }
  return worstPercent;
}

uint32_t NextPace(uint32_t aPace, uint64_t aTailPercent)
{
  if (aTailPercent >= kFullPercent) {
    return 0;
  }
  if (aTailPercent >= kHalveAtPercent) {
    return aPace / 2 < kMinPace ? 0 : aPace / 2;
  }
  return aTailPercent < kRaiseBelowPercent
           ? std::min(kFullPercent, aPace + kRaiseStep)
           : aPace;
}

} // namespace

bool NeedsPacing(const InstanceView& aView)
{
  return aView.MixesBestEffortAndLatencySensitive();
}

std::vector<PaceChange> PaceBestEffortTasks(const InstanceView& aView)
{
  std::vector<PaceChange> changes;
  if (!NeedsPacing(aView)) {
    return changes;
  }
  const uint64_t tailPercent = WorstTailPercent(aView);
  for (const auto& [task, run] : aView.Runs()) {
    const bool isAdjustable = JobStore::SpecOf(task).best_effort() &&
                              run.phase_ == RunPhase::kListed &&
                              !run.paceInFlight_;
    if (!isAdjustable) {
      continue;
    }
    const uint32_t pace = NextPace(run.orderedPercent_, tailPercent);
    if (pace != run.orderedPercent_) {
      changes.push_back({ .task_ = task, .run_ = run.run_, .percent_ = pace });
    }
  }
  return changes;
}

} // namespace vanillahatch
