#include "vanillahatch/core/jobs/task_run_time_estimator.h"

#include <algorithm>
#include <tuple>

namespace vanillahatch {

namespace {

// Weights of the newest sample, once enough samples were recorded. An average
// over about the last 20 tasks follows a change of an image within one demand
// peak.
constexpr double kNewestRunWeight = 0.05;
// About a thousand tasks end in each second of a demand peak, so the mean delay
// follows the load of the leader within 100 ms.
constexpr double kNewestDelayWeight = 0.01;

} // namespace

void TaskRunTimeEstimator::Record(const QueueAddress& aQueue,
                                  const v1::StepSpec& aStep,
                                  Millis aMeasured,
                                  double aSlowdown)
{
  if (aStep.estimated_run_ms() == 0) {
    return;
  }
  Estimate& estimate = estimates_[aQueue][aStep.image()];
  const double ratio = static_cast<double>(aMeasured.Count()) /
                       static_cast<double>(aStep.estimated_run_ms());
  ++estimate.samples_;
  const double weight = std::max(kNewestRunWeight, 1.0 / estimate.samples_);
  estimate.ratio_ += weight * (ratio / aSlowdown - estimate.ratio_);
  estimate.occupancyRatio_ += weight * (ratio - estimate.occupancyRatio_);
}

const TaskRunTimeEstimator::Estimate* TaskRunTimeEstimator::Find(
  const QueueAddress& aQueue,
  const v1::StepSpec& aStep) const
{
  const auto ofQueue = estimates_.find(aQueue);
  if (ofQueue == estimates_.end()) {
    return nullptr;
  }
  const auto it = ofQueue->second.find(aStep.image());
  return it != ofQueue->second.end() ? &it->second : nullptr;
}

Millis TaskRunTimeEstimator::EstimateRun(const QueueAddress& aQueue,
                                         const v1::StepSpec& aStep) const
{
  const Estimate* estimate = Find(aQueue, aStep);
  const double ratio = estimate != nullptr ? estimate->ratio_ : 1.0;
  return Millis(static_cast<int64_t>(ratio * aStep.estimated_run_ms()));
}

Millis TaskRunTimeEstimator::EstimateOccupancy(const QueueAddress& aQueue,
                                               const v1::StepSpec& aStep) const
{
  const Estimate* estimate = Find(aQueue, aStep);
  const double ratio = estimate != nullptr ? estimate->occupancyRatio_ : 1.0;
  return Millis(static_cast<int64_t>(ratio * aStep.estimated_run_ms()));
}

bool TaskRunTimeEstimator::HasSamples(const QueueAddress& aQueue,
                                      const v1::StepSpec& aStep) const
{
  return Find(aQueue, aStep) != nullptr;
}

void TaskRunTimeEstimator::RecordDelay(Millis aMeasured)
{
  const auto measured = static_cast<double>(aMeasured.Count());
  ++delaySamples_;
  const double weight = std::max(kNewestDelayWeight, 1.0 / delaySamples_);
  delayMillis_ += weight * (measured - delayMillis_);
}

Millis TaskRunTimeEstimator::Delay() const
{
  return Millis(static_cast<int64_t>(delayMillis_));
}

CriticalPath TaskRunTimeEstimator::RemainingPath(
  const QueueAddress& aQueue,
  const v1::JobSpec& aJob,
  const std::vector<bool>& aDone) const
{
  std::vector<CriticalPath> pathTo(aDone.size());
  CriticalPath longestPath;
  const auto isShorter = [](const CriticalPath& aLeft,
                            const CriticalPath& aRight) {
    return std::tie(aLeft.runTime_, aLeft.steps_) <
           std::tie(aRight.runTime_, aRight.steps_);
  };
  for (int i = 0; i < aJob.steps_size(); ++i) {
    CriticalPath path;
    for (const uint32_t earlier : aJob.steps(i).after_steps()) {
      path = std::max(path, pathTo[earlier], isShorter);
    }
    const auto step = static_cast<size_t>(i);
    if (!aDone[step]) {
      path.runTime_ = path.runTime_ + EstimateRun(aQueue, aJob.steps(i));
      ++path.steps_;
    }
    pathTo[step] = path;
    longestPath = std::max(longestPath, path, isShorter);
  }
  return longestPath;
}

} // namespace vanillahatch
