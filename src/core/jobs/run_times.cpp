#include "vanillahatch/core/jobs/run_times.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Weight of the newest sample once enough were seen: an average over about
// the last twenty tasks follows a change of an image within one turn.
constexpr double kNewestWeight = 0.05;

} // namespace

std::string RunTimes::KeyOf(const std::string& aQueue,
                            const v1::StepSpec& aStep)
{
  return aQueue + '\n' + aStep.image();
}

void RunTimes::Learn(const std::string& aQueue,
                     const v1::StepSpec& aStep,
                     Millis aMeasured)
{
  if (aStep.estimated_run_ms() == 0) {
    return;
  }
  Learned& learned = learned_[KeyOf(aQueue, aStep)];
  const double ratio = static_cast<double>(aMeasured.Count()) /
                       static_cast<double>(aStep.estimated_run_ms());
  ++learned.samples_;
  const double weight = std::max(kNewestWeight, 1.0 / learned.samples_);
  learned.ratio_ += weight * (ratio - learned.ratio_);
}

Millis RunTimes::Expect(const std::string& aQueue,
                        const v1::StepSpec& aStep) const
{
  const auto it = learned_.find(KeyOf(aQueue, aStep));
  const double ratio = it != learned_.end() ? it->second.ratio_ : 1.0;
  return Millis(static_cast<int64_t>(ratio * aStep.estimated_run_ms()));
}

Millis RunTimes::RemainingChain(const std::string& aQueue,
                                const v1::JobSpec& aJob,
                                const std::vector<bool>& aDone) const
{
  std::vector<Millis> endsAt(aDone.size());
  Millis longest;
  for (int i = 0; i < aJob.steps_size(); ++i) {
    Millis begins;
    for (const uint32_t earlier : aJob.steps(i).after_steps()) {
      begins = std::max(begins, endsAt[earlier]);
    }
    const bool isDone = aDone[static_cast<size_t>(i)];
    endsAt[i] = begins + (isDone ? Millis() : Expect(aQueue, aJob.steps(i)));
    longest = std::max(longest, endsAt[i]);
  }
  return longest;
}

} // namespace vanillahatch
