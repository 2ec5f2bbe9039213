// Estimates how long tasks run, from the run times of earlier tasks.
//
// Declared estimates may be far off, but tasks of one queue and image behave
// alike, so the mean ratio of measured to declared run time is kept for each.
//
// The delay of orders and replies is estimated apart from the run time: it
// grows with the load of the leader, and an objective that grew with it would
// count jobs as in time that are late for their callers.
//
// Run times are those near the data of a task. A run known to have been slower
// by a factor, because it was elsewhere, counts with its run time divided by
// that factor; how long tasks occupy capacity includes it.
//
//   estimator.Record(job.queueAddress_, step, Millis(640));
//   estimator.RecordDelay(Millis(40));
//   Millis expected = estimator.EstimateRun(job.queueAddress_, step);
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/jobs/job_store.h"

#include <map>
#include <string>
#include <vector>

namespace vanillahatch {

// The chain of dependent steps of a job that takes the longest.
struct CriticalPath
{
  Millis runTime_; // sum over its steps, without delays
  uint32_t steps_ = 0;
};

class TaskRunTimeEstimator
{
public:
  // `aSlowdown`: by what factor the run was slower than near its data. Ignored
  // if the step declares no estimate.
  void Record(const QueueAddress& aQueue,
              const v1::StepSpec& aStep,
              Millis aMeasured,
              double aSlowdown = 1.0);
  // Records the time from the placement of a task to the receipt of its end,
  // less its run time.
  void RecordDelay(Millis aMeasured);
  Millis Delay() const;
  // Both return the declared estimate until a run was recorded.
  Millis EstimateRun(const QueueAddress& aQueue,
                     const v1::StepSpec& aStep) const;
  // As run so far, near and elsewhere.
  Millis EstimateOccupancy(const QueueAddress& aQueue,
                           const v1::StepSpec& aStep) const;
  bool HasSamples(const QueueAddress& aQueue, const v1::StepSpec& aStep) const;
  // The critical path over the steps that are not done; `aDone` is indexed by
  // step.
  CriticalPath RemainingPath(const QueueAddress& aQueue,
                             const v1::JobSpec& aJob,
                             const std::vector<bool>& aDone) const;

private:
  struct Estimate
  {
    double ratio_ = 1.0;          // measured near the data to declared
    double occupancyRatio_ = 1.0; // measured to declared
    uint32_t samples_ = 0;
  };

  // Null if no run was recorded.
  const Estimate* Find(const QueueAddress& aQueue,
                       const v1::StepSpec& aStep) const;

  using EstimatesByImage = std::map<std::string, Estimate>;

  std::map<QueueAddress, EstimatesByImage> estimates_;
  double delayMillis_ = 0;
  uint32_t delaySamples_ = 0;
};

} // namespace vanillahatch
