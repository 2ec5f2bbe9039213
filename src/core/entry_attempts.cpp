// The parts of EntryCore that handle ends of attempts and timers.
#include "vanillahatch/core/entry_core.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr uint32_t kFirstServerError = 500; // HTTP status
constexpr Millis kMinStallTimeout = Millis(300);
// Stall timeout in halves of the run time's `kHigh` quantile. It is shorter on
// an upstream that has just failed than on a healthy one.
constexpr int64_t kStallFactorHalves = 3;
constexpr int64_t kSuspectStallFactorHalves = 1;
constexpr Millis kInitialBackoff = Millis(10);

} // namespace

void EntryCore::On(const AttemptEnded& aEvent, Millis aNow)
{
  if (abandoned_.contains(aEvent.attempt_)) {
    EndAbandoned(aEvent, aNow);
    return;
  }
  Job* job = jobs_.Find(aEvent.job_);
  if (job == nullptr || job->state_ != JobState::kRunning ||
      job->attempt_ != aEvent.attempt_) {
    return;
  }
  EndAttempt(*job, aEvent, aNow);
}

void EntryCore::EndAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow)
{
  const ServiceName service = aJob.request_.service_;
  const InstanceName instance = aJob.instance_;
  const bool answered = aEvent.result_ == AttemptResult::kAnswered;
  const bool serverError = answered && aEvent.httpStatus_ >= kFirstServerError;
  RecordAttemptOutcome(instance,
                       answered && !serverError ? AttemptOutcome::kSuccess
                                                : AttemptOutcome::kFailure,
                       aNow);
  aJob.state_ = JobState::kBackoff;
  aJob.mayHaveRun_ |= aEvent.result_ != AttemptResult::kNotSent;
  if (answered && !serverError) {
    ServiceOf(service).runTimes_.Add(aNow - aJob.dispatchedAt_);
    AnswerJob(aJob);
  } else {
    HandleFailedAttempt(aJob, aEvent, aNow);
  }
  ReleaseSlot(instance, aNow);
}

// Releases the slot of an abandoned attempt: at once if the upstream answered
// or did not receive the job, else after `abandonedSlotHold_`.
void EntryCore::EndAbandoned(const AttemptEnded& aEvent, Millis aNow)
{
  const auto it = abandoned_.find(aEvent.attempt_);
  const InstanceName instance = it->second;
  abandoned_.erase(it);
  if (aEvent.result_ == AttemptResult::kUnknown) {
    timers_.push({ .at_ = aNow + options_.abandonedSlotHold_,
                   .kind_ = Timer::Kind::kRelease,
                   .instance_ = instance });
    return;
  }
  slots_.EndAbandonedAttempt(instance);
  sharing_->OnAttemptEnded(instance, aNow);
}

void EntryCore::AnswerJob(Job& aJob)
{
  const JobNumber number = aJob.request_.number_;
  if (aJob.request_.repeatability_ == Repeatability::kAtMostOnce) {
    actions_.push_back(RecordOutcome{
      .job_ = number, .attempt_ = aJob.attempt_, .key_ = aJob.request_.key_ });
  }
  actions_.push_back(Answer{ .job_ = number, .attempt_ = aJob.attempt_ });
  jobs_.Remove(number);
}

void EntryCore::HandleFailedAttempt(Job& aJob,
                                    const AttemptEnded& aEvent,
                                    Millis aNow)
{
  aJob.tried_.push_back(aJob.instance_);
  const bool sent = aEvent.result_ != AttemptResult::kNotSent;
  if (TryRetry(aJob, sent, aNow)) {
    return;
  }
  if (aEvent.result_ == AttemptResult::kAnswered) {
    // The caller gets the upstream's error response.
    AnswerJob(aJob);
    return;
  }
  RefuseJob(aJob.request_.number_,
            RefusalCode::kUpstreamFailed,
            "the upstream did not answer");
}

bool EntryCore::TryRetry(Job& aJob, bool aSent, Millis aNow)
{
  Service& service = ServiceOf(aJob.request_.service_);
  const bool mayRepeat =
    !aSent || aJob.request_.repeatability_ == Repeatability::kRepeatable;
  const Millis minRunTime = service.runTimes_.Quantile(RunTimeQuantile::kLow);
  if (!mayRepeat || aJob.attempts_ >= options_.maxAttempts_ ||
      aNow + minRunTime >= aJob.request_.deadline_) {
    return false;
  }
  if (slots_.LiveCount(aJob.request_.service_) <= aJob.tried_.size()) {
    return false;
  }
  if (aSent && !service.budget_.TrySpend()) {
    return false;
  }
  if (!aSent) {
    Requeue(aJob);
    return true;
  }
  aJob.state_ = JobState::kBackoff;
  timers_.push({ .at_ = aNow + Backoff(aJob.attempts_),
                 .kind_ = Timer::Kind::kRetry,
                 .job_ = aJob.request_.number_ });
  return true;
}

Millis EntryCore::Backoff(uint32_t aAttempts)
{
  const int64_t maxBackoff = kInitialBackoff.Count() << (aAttempts - 1);
  std::uniform_int_distribution<int64_t> jitter(maxBackoff / 2, maxBackoff);
  return Millis(jitter(random_));
}

void EntryCore::Abandon(Job& aJob)
{
  actions_.push_back(
    AbandonAttempt{ .job_ = aJob.request_.number_, .attempt_ = aJob.attempt_ });
  abandoned_[aJob.attempt_] = aJob.instance_;
  slots_.AbandonAttempt(aJob.instance_);
  aJob.mayHaveRun_ = true;
  aJob.state_ = JobState::kBackoff;
}

void EntryCore::ReleaseSlot(const InstanceName& aInstance, Millis aNow)
{
  slots_.EndAttempt(aInstance);
  sharing_->OnAttemptEnded(aInstance, aNow);
  DispatchWaiting(slots_.Find(aInstance)->fact_.service_, aNow);
}

void EntryCore::RecordAttemptOutcome(const InstanceName& aInstance,
                                     AttemptOutcome aOutcome,
                                     Millis aNow)
{
  if (health_.RecordOutcome(aInstance, aOutcome, aNow)) {
    ApplyHealth(aInstance);
  }
}

void EntryCore::ApplyHealth(const InstanceName& aInstance)
{
  const HealthState state = health_.State(aInstance);
  const UpstreamSlots* upstream = slots_.Find(aInstance);
  if (upstream != nullptr && upstream->health_ != state) {
    actions_.push_back(
      HealthChanged{ .instance_ = aInstance, .state_ = state });
  }
  slots_.SetHealth(aInstance, state, health_.AttemptLimit(aInstance));
  sharing_->SetEjected(aInstance, state == HealthState::kEjected);
}

void EntryCore::ExpireUpstreams(Millis aNow)
{
  for (const InstanceName& instance : directory_.Expire(aNow)) {
    actions_.push_back(UpstreamRemoved{ .instance_ = instance });
    sharing_->RemoveUpstream(instance);
    slots_.Remove(instance);
    health_.Remove(instance);
  }
}

void EntryCore::RefuseOverdueJobs(Millis aNow)
{
  for (const JobNumber number : jobs_.Overdue(aNow)) {
    Job& job = *jobs_.Find(number);
    const ServiceName name = job.request_.service_;
    if (job.state_ == JobState::kRunning) {
      const RunTimeEstimator& runTimes = ServiceOf(name).runTimes_;
      const bool countsAsStall =
        runTimes.Ready() &&
        aNow - job.dispatchedAt_ >= runTimes.Quantile(RunTimeQuantile::kHigh);
      if (countsAsStall) {
        RecordAttemptOutcome(job.instance_, AttemptOutcome::kStall, aNow);
      }
      Abandon(job);
    }
    RefuseJob(
      number, RefusalCode::kDeadlineExceeded, "no answer by the deadline");
    UpdateDemand(name, ServiceOf(name), aNow);
  }
}

void EntryCore::RunTimers(Millis aNow)
{
  while (!timers_.empty() && timers_.top().at_ <= aNow) {
    const Timer timer = timers_.top();
    timers_.pop();
    RunTimer(timer, aNow);
  }
}

void EntryCore::RunTimer(const Timer& aTimer, Millis aNow)
{
  if (aTimer.kind_ == Timer::Kind::kStall) {
    HandleStall(aTimer, aNow);
    return;
  }
  if (aTimer.kind_ == Timer::Kind::kRelease) {
    slots_.EndAbandonedAttempt(aTimer.instance_);
    sharing_->OnAttemptEnded(aTimer.instance_, aNow);
    DispatchWaiting(slots_.Find(aTimer.instance_)->fact_.service_, aNow);
    return;
  }
  Job* job = jobs_.Find(aTimer.job_);
  if (job != nullptr && job->state_ == JobState::kBackoff) {
    const ServiceName service = job->request_.service_;
    Requeue(*job);
    DispatchWaiting(service, aNow);
  }
}

// Counts a stall against the upstream's health. Abandons the attempt if its job
// can be retried on another upstream.
void EntryCore::HandleStall(const Timer& aTimer, Millis aNow)
{
  Job* job = jobs_.Find(aTimer.job_);
  if (job == nullptr || job->state_ != JobState::kRunning ||
      job->attempt_ != aTimer.attempt_) {
    return;
  }
  RecordAttemptOutcome(job->instance_, AttemptOutcome::kStall, aNow);
  job->tried_.push_back(job->instance_);
  if (!TryRetry(*job, true, aNow)) {
    job->tried_.pop_back();
    return;
  }
  Abandon(*job);
}

Millis EntryCore::StallTimeout(const Job& aJob,
                               const Service& aService,
                               Millis aNow) const
{
  if (!aService.runTimes_.Ready()) {
    return (aJob.request_.deadline_ - aNow) / 2;
  }
  const Millis highRunTime =
    aService.runTimes_.Quantile(RunTimeQuantile::kHigh);
  const int64_t factorHalves = health_.IsSuspect(aJob.instance_)
                                 ? kSuspectStallFactorHalves
                                 : kStallFactorHalves;
  return std::max(highRunTime * factorHalves / 2, kMinStallTimeout);
}

} // namespace vanillahatch
