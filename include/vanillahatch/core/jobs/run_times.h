// Learns how long tasks really run. Declared estimates may be far off, but
// tasks of one queue and image behave alike, so the ratio of measured to
// declared times is learned for each.
//
//   run_times.Learn("layouts", step, Millis(640));
//   Millis expected = run_times.Expect("layouts", step);
#pragma once

#include "vanillahatch/core/clock.h"

#include "jobs.pb.h"

#include <map>
#include <string>
#include <vector>

namespace vanillahatch {

class RunTimes
{
public:
  void Learn(const std::string& aQueue,
             const v1::StepSpec& aStep,
             Millis aMeasured);
  // The declared estimate until something was learned.
  Millis Expect(const std::string& aQueue, const v1::StepSpec& aStep) const;
  // The longest chain of steps that are not done; `aDone` by step.
  Millis RemainingChain(const std::string& aQueue,
                        const v1::JobSpec& aJob,
                        const std::vector<bool>& aDone) const;

private:
  struct Learned
  {
    double ratio_ = 1.0;
    uint32_t samples_ = 0;
  };

  static std::string KeyOf(const std::string& aQueue,
                           const v1::StepSpec& aStep);

  std::map<std::string, Learned> learned_;
};

} // namespace vanillahatch
