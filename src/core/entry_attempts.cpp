// Attempts that end, stall or are given up, and what becomes due with time.
#include "vanillahatch/core/entry_core.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr uint32_t kFirstServerError = 500; // HTTP status
constexpr Millis kLeastStall = Millis(300);
// An attempt stalls after this many halves of the slowest hundredth's run time:
// sooner on an upstream that has just failed than on a healthy one.
constexpr int64_t kStallHalves = 3;
constexpr int64_t kSuspectStallHalves = 1;
constexpr Millis kFirstBackoff = Millis(10);

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
  const bool answered = aEvent.verdict_ == AttemptVerdict::kAnswered;
  const bool serverError = answered && aEvent.httpStatus_ >= kFirstServerError;
  NoteOutcome(instance,
              answered && !serverError ? AttemptOutcome::kSuccess
                                       : AttemptOutcome::kFailure,
              aNow);
  aJob.state_ = JobState::kBackoff;
  aJob.maybeRan_ |= aEvent.verdict_ != AttemptVerdict::kNotSent;
  if (answered && !serverError) {
    ServiceOf(service).runTimes_.Add(aNow - aJob.dispatchedAt_);
    AnswerJob(aJob);
  } else {
    FailAttempt(aJob, aEvent, aNow);
  }
  ReleaseSlot(instance, aNow);
}

// The slot of an attempt that was given up: free at once if the upstream
// answered or never got the job, else after a while.
void EntryCore::EndAbandoned(const AttemptEnded& aEvent, Millis aNow)
{
  const auto it = abandoned_.find(aEvent.attempt_);
  const InstanceName instance = it->second;
  abandoned_.erase(it);
  if (aEvent.verdict_ == AttemptVerdict::kUnknown) {
    timers_.push({ .at_ = aNow + options_.abandonedSpan_,
                   .kind_ = Timer::Kind::kRelease,
                   .instance_ = instance });
    return;
  }
  slots_.EndAbandoned(instance);
  sharing_->Ended(instance, aNow);
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

void EntryCore::FailAttempt(Job& aJob, const AttemptEnded& aEvent, Millis aNow)
{
  aJob.tried_.push_back(aJob.instance_);
  const bool sent = aEvent.verdict_ != AttemptVerdict::kNotSent;
  if (TryRetry(aJob, sent, aNow)) {
    return;
  }
  if (aEvent.verdict_ == AttemptVerdict::kAnswered) {
    // The upstream's own error is the answer.
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
  const bool allowed =
    !aSent || aJob.request_.repeatability_ == Repeatability::kRepeatable;
  const Millis least = service.runTimes_.Quantile(RunTimeQuantile::kLow);
  if (!allowed || aJob.attempts_ >= options_.maxAttempts_ ||
      aNow + least >= aJob.request_.deadline_) {
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
  const int64_t longest = kFirstBackoff.Count() << (aAttempts - 1);
  std::uniform_int_distribution<int64_t> spread(longest / 2, longest);
  return Millis(spread(random_));
}

void EntryCore::Abandon(Job& aJob)
{
  actions_.push_back(
    AbandonAttempt{ .job_ = aJob.request_.number_, .attempt_ = aJob.attempt_ });
  abandoned_[aJob.attempt_] = aJob.instance_;
  slots_.Abandon(aJob.instance_);
  aJob.maybeRan_ = true;
  aJob.state_ = JobState::kBackoff;
}

void EntryCore::ReleaseSlot(const InstanceName& aInstance, Millis aNow)
{
  slots_.End(aInstance);
  sharing_->Ended(aInstance, aNow);
  DrainQueue(slots_.Find(aInstance)->fact_.service_, aNow);
}

void EntryCore::NoteOutcome(const InstanceName& aInstance,
                            AttemptOutcome aOutcome,
                            Millis aNow)
{
  if (health_.Note(aInstance, aOutcome, aNow)) {
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
  slots_.SetHealth(aInstance, state, health_.Limit(aInstance));
  sharing_->SetEjected(aInstance, state == HealthState::kEjected);
}

void EntryCore::ExpireUpstreams(Millis aNow)
{
  for (const InstanceName& instance : directory_.Expire(aNow)) {
    actions_.push_back(UpstreamGone{ .instance_ = instance });
    sharing_->RemoveUpstream(instance);
    slots_.Remove(instance);
    health_.Remove(instance);
  }
}

void EntryCore::RefuseLateJobs(Millis aNow)
{
  for (const JobNumber number : jobs_.Late(aNow)) {
    Job& job = *jobs_.Find(number);
    const ServiceName name = job.request_.service_;
    if (job.state_ == JobState::kRunning) {
      const RunTimeEstimator& runTimes = ServiceOf(name).runTimes_;
      const bool slow =
        runTimes.Ready() &&
        aNow - job.dispatchedAt_ >= runTimes.Quantile(RunTimeQuantile::kHigh);
      if (slow) {
        NoteOutcome(job.instance_, AttemptOutcome::kStall, aNow);
      }
      Abandon(job);
    }
    RefuseJob(
      number, RefusalCode::kDeadlineExceeded, "no answer by the deadline");
    ShareDemand(name, ServiceOf(name), aNow);
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
    OnStall(aTimer, aNow);
    return;
  }
  if (aTimer.kind_ == Timer::Kind::kRelease) {
    slots_.EndAbandoned(aTimer.instance_);
    sharing_->Ended(aTimer.instance_, aNow);
    DrainQueue(slots_.Find(aTimer.instance_)->fact_.service_, aNow);
    return;
  }
  Job* job = jobs_.Find(aTimer.job_);
  if (job != nullptr && job->state_ == JobState::kBackoff) {
    const ServiceName service = job->request_.service_;
    Requeue(*job);
    DrainQueue(service, aNow);
  }
}

// An attempt that runs for longer than nearly all jobs do counts against its
// upstream; a repeatable job is tried elsewhere if the budget allows it.
void EntryCore::OnStall(const Timer& aTimer, Millis aNow)
{
  Job* job = jobs_.Find(aTimer.job_);
  if (job == nullptr || job->state_ != JobState::kRunning ||
      job->attempt_ != aTimer.attempt_) {
    return;
  }
  NoteOutcome(job->instance_, AttemptOutcome::kStall, aNow);
  job->tried_.push_back(job->instance_);
  if (!TryRetry(*job, true, aNow)) {
    job->tried_.pop_back();
    return;
  }
  Abandon(*job);
}

Millis EntryCore::StallSpan(const Job& aJob,
                            const Service& aService,
                            Millis aNow) const
{
  if (!aService.runTimes_.Ready()) {
    return (aJob.request_.deadline_ - aNow) / 2;
  }
  const Millis high = aService.runTimes_.Quantile(RunTimeQuantile::kHigh);
  const int64_t halves =
    health_.IsSuspect(aJob.instance_) ? kSuspectStallHalves : kStallHalves;
  return std::max(high * halves / 2, kLeastStall);
}

} // namespace vanillahatch
