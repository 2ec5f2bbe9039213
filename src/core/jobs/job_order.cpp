#include "vanillahatch/core/jobs/job_order.h"

#include <tuple>

namespace vanillahatch {

namespace {

// A late result keeps some value up to this multiple of the objective.
constexpr int64_t kLateObjectiveMultiple = 3;
// A job expected to finish just in time is mostly late: its tasks do not all
// start at once, and the slowest one determines its end.
constexpr int64_t kChainTimePercent = 110;
constexpr Millis kStartMargin = Millis(60);

UrgencyClass Classify(Millis aNow, const JobProgress& aJob)
{
  if (aJob.isLongRunning_) {
    return UrgencyClass::kLongRunning;
  }
  const Millis endsAt =
    aNow + ExpectedTimeToEnd(aJob.remainingChain_, aJob.delay_);
  if (endsAt <= aJob.arrivedAt_ + aJob.objective_) {
    return aJob.isStarted_ ? UrgencyClass::kStarted : UrgencyClass::kInTime;
  }
  return endsAt <= aJob.arrivedAt_ + aJob.objective_ * kLateObjectiveMultiple
           ? UrgencyClass::kLate
           : UrgencyClass::kOverdue;
}

} // namespace

Millis ExpectedTimeToEnd(Millis aRemainingChain, Millis aDelay)
{
  return aRemainingChain * kChainTimePercent / 100 + aDelay + kStartMargin;
}

JobUrgency RankJob(Millis aNow, const JobProgress& aJob)
{
  return { .class_ = Classify(aNow, aJob),
           .priority_ = aJob.priority_,
           .dueAt_ = aJob.arrivedAt_ + aJob.objective_,
           .acceptanceIndex_ = aJob.acceptanceIndex_ };
}

bool ComesBefore(const JobUrgency& aLeft, const JobUrgency& aRight)
{
  const auto rank = [](const JobUrgency& aJob) {
    return std::tuple(
      aJob.class_, aJob.priority_, aJob.dueAt_, aJob.acceptanceIndex_);
  };
  return rank(aLeft) < rank(aRight);
}

} // namespace vanillahatch
