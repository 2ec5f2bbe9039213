// Collection and ranking of the steps that wait for capacity.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Arrivals of closed jobs are kept up to about this number.
constexpr size_t kMaxClosedArrivals = 256;
// Of one job, the oldest due ones. Bounds the candidates of a job that was due
// many times before it was submitted.
constexpr uint32_t kMaxOpenOccurrences = 1024;
// Ranking costs about 1 us per candidate. The interval grows with the backlog,
// so that ranking takes about a twentieth of a core until the interval reaches
// its maximum.
constexpr int64_t kCandidatesPerMilli = 50;
constexpr Millis kMaxRankInterval = Millis(60);

// Returns how many occurrences of the job are due.
uint32_t DueOccurrences(const Job& aJob, Millis aUnixNow)
{
  if (aJob.spec_.repeat_count() == 0) {
    return 1;
  }
  const int64_t sinceFirst = aUnixNow.Count() - aJob.spec_.first_due_unix_ms();
  if (sinceFirst < 0) {
    return 0;
  }
  const int64_t interval =
    std::max<int64_t>(aJob.spec_.repeat_interval_ms(), 1);
  const int64_t due = sinceFirst / interval + 1;
  return static_cast<uint32_t>(
    std::min<int64_t>(due, aJob.spec_.repeat_count()));
}

} // namespace

void FleetScheduler::RecordArrival(Millis aNow, const Job& aJob)
{
  if (aJob.acceptanceIndex_ < firstOwnAcceptanceIndex_) {
    return; // It arrived under an earlier leader.
  }
  const v1::StepSpec& first = aJob.spec_.steps(0);
  const uint32_t allowedTasks =
    ledger_.RecordArrival(ledger_.FindOrAdd(aJob.customer_),
                          DeclaredNeedOf(first),
                          first.task_count());
  if (allowedTasks == 0) {
    return; // Work beyond a cap needs no capacity.
  }
  double coreMillis = 0;
  for (const v1::StepSpec& step : aJob.spec_.steps()) {
    if (!step.lasting()) {
      coreMillis += static_cast<double>(step.task_count()) *
                    OccupiedCores(OccupiedBy(step), machineCapacity_) *
                    static_cast<double>(EstimateOccupancy(aJob, step).Count());
    }
  }
  demandForecasters_[store_.ServiceOf(aJob)].RecordArrival(aNow, coreMillis);
}

Millis FleetScheduler::EstimateOccupancy(const Job& aJob,
                                         const v1::StepSpec& aStep) const
{
  return runTimes_.EstimateOccupancy(aJob.queueAddress_, aStep) +
         runTimes_.Delay();
}

CriticalPath FleetScheduler::RemainingPath(const Job& aJob,
                                           const Occurrence* aOccurrence) const
{
  std::vector<bool> done(static_cast<size_t>(aJob.spec_.steps_size()), false);
  for (size_t i = 0; aOccurrence != nullptr && i < done.size(); ++i) {
    done[i] = aOccurrence->steps_[i].IsDone();
  }
  return runTimes_.RemainingPath(aJob.queueAddress_, aJob.spec_, done);
}

// A time of day that is ahead or behind only changes the order of jobs that
// were accepted by another leader.
Millis FleetScheduler::AgeOf(const Job& aJob) const
{
  const bool isDueLater = aJob.spec_.repeat_count() != 0;
  return isDueLater || aJob.submittedUnixMs_ == 0
           ? Millis()
           : std::max(unixNow_ - Millis(aJob.submittedUnixMs_), Millis());
}

JobUrgency FleetScheduler::UrgencyOf(Millis aNow,
                                     const Job& aJob,
                                     const Occurrence* aOccurrence)
{
  const auto [it, isNew] = arrivals_.try_emplace(aJob.acceptanceIndex_);
  Arrival& arrival = it->second;
  const v1::QueueSpec* queue = JobStore::QueueOf(aJob);
  if (isNew) {
    RecordArrival(aNow, aJob);
    const double stretch = queue != nullptr ? queue->stretch() : 1.0;
    const Millis target(queue != nullptr ? queue->target_latency_ms() : 0);
    const CriticalPath path = RemainingPath(aJob, nullptr);
    arrival.arrivedAt_ = aNow - AgeOf(aJob);
    arrival.objective_ =
      target + Millis(static_cast<int64_t>(
                 stretch * static_cast<double>(path.runTime_.Count())));
    arrival.remaining_ = path;
  }
  const uint32_t stepsDone =
    aOccurrence != nullptr ? aOccurrence->stepsDone_ : 0;
  if (stepsDone != arrival.stepsDone_) {
    arrival.stepsDone_ = stepsDone;
    arrival.remaining_ = RemainingPath(aJob, aOccurrence);
  }
  return RankJob(aNow,
                 { .isLongRunning_ = aJob.spec_.steps(0).lasting(),
                   .isStarted_ = aOccurrence != nullptr,
                   .priority_ = queue != nullptr ? queue->priority() : 0,
                   .arrivedAt_ = arrival.arrivedAt_,
                   .objective_ = arrival.objective_,
                   .remainingChain_ = arrival.remaining_.runTime_,
                   .delay_ = runTimes_.Delay() * arrival.remaining_.steps_,
                   .acceptanceIndex_ = aJob.acceptanceIndex_ });
}

void FleetScheduler::CollectCandidates(Millis aNow,
                                       Job& aJob,
                                       uint32_t aOccurrence,
                                       std::vector<Candidate>& aOut)
{
  const Occurrence* occurrence = JobStore::FindOccurrence(aJob, aOccurrence);
  if (occurrence != nullptr && occurrence->IsDone()) {
    return;
  }
  const v1::QueueSpec* queue = JobStore::QueueOf(aJob);
  for (int i = 0; i < aJob.spec_.steps_size(); ++i) {
    const auto step = static_cast<uint32_t>(i);
    const bool hasPending =
      occurrence == nullptr || occurrence->steps_[step].pending_ > 0;
    if (!hasPending || !JobStore::IsStepReady(aJob, occurrence, step)) {
      continue;
    }
    const v1::StepSpec& spec = aJob.spec_.steps(i);
    aOut.push_back(
      { .firstTask_ = { .job_ = &aJob,
                        .occurrence_ = aOccurrence,
                        .step_ = step },
        .urgency_ = UrgencyOf(aNow, aJob, occurrence),
        .service_ = store_.ServiceOf(aJob),
        .need_ = OccupiedBy(spec),
        .expectedOccupancy_ = EstimateOccupancy(aJob, spec),
        .customer_ = ledger_.FindOrAdd(aJob.customer_),
        .declaredNeed_ = DeclaredNeedOf(spec),
        .needsAdvice_ = queue != nullptr && queue->needs_advice() });
  }
}

void FleetScheduler::RankBacklog(Millis aNow)
{
  const auto length = static_cast<int64_t>(backlog_.size());
  const Millis interval =
    std::min(Millis(length / kCandidatesPerMilli), kMaxRankInterval);
  if (aNow - rankedAt_ < interval &&
      rankedConfigVersion_ == store_.Config().version()) {
    return;
  }
  rankedAt_ = aNow;
  rankedConfigVersion_ = store_.Config().version();
  const auto& open = store_.OpenJobs();
  if (arrivals_.size() > 2 * open.size() + kMaxClosedArrivals) {
    std::erase_if(arrivals_, [&](const auto& aItem) {
      return !open.contains(aItem.first);
    });
    advice_.RetainJobs(open);
  }
  backlog_.clear();
  for (const auto& [order, job] : open) {
    const uint32_t due = DueOccurrences(*job, unixNow_);
    uint32_t open = 0;
    for (uint32_t number = 0; number < due && open < kMaxOpenOccurrences;
         ++number) {
      const Occurrence* occurrence = JobStore::FindOccurrence(*job, number);
      open += occurrence == nullptr || !occurrence->IsDone() ? 1 : 0;
      CollectCandidates(aNow, *job, number, backlog_);
    }
  }
  std::sort(backlog_.begin(),
            backlog_.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return ComesBefore(aLeft.urgency_, aRight.urgency_);
            });
  AssignFairBacklog();
}

} // namespace vanillahatch
