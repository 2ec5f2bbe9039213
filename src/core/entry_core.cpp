#include "vanillahatch/core/entry_core.h"

#include <algorithm>
#include <utility>

namespace vanillahatch {

EntryCore::EntryCore(EntryCoreOptions aOptions,
                     std::unique_ptr<RoutingStrategy> aStrategy)
  : options_(std::move(aOptions))
  , strategy_(std::move(aStrategy))
{
}

std::vector<EntryAction> EntryCore::Handle(const EntryEvent& aEvent,
                                           Millis aNow)
{
  actions_.clear();
  std::visit([&](const auto& aTyped) { On(aTyped, aNow); }, aEvent);
  return std::exchange(actions_, {});
}

void EntryCore::On(const JobArrived& aEvent, Millis aNow)
{
  const JobNumber number = aEvent.request_.number_;
  Job& job = jobs_[number];
  job.request_ = aEvent.request_;
  if (stopping_) {
    RefuseJob(number, RefusalCode::kStopping, RanVerdict::kNo, "planned stop");
    return;
  }
  if (!directory_.HasService(job.request_.service_)) {
    RefuseJob(number,
              RefusalCode::kNoSuchService,
              RanVerdict::kNo,
              "no upstream has announced this service");
    return;
  }
  if (job.request_.repeatability_ == Repeatability::kAtMostOnce) {
    job.state_ = JobState::kClaiming;
    actions_.push_back(StartClaim{ .job_ = number,
                                   .key_ = job.request_.key_,
                                   .issuedAt_ = job.request_.issuedAt_,
                                   .deadline_ = job.request_.deadline_ });
    return;
  }
  Enqueue(job);
  DrainQueue(job.request_.service_, aNow);
}

void EntryCore::On(const JobCancelled& aEvent, Millis /*aNow*/)
{
  const auto it = jobs_.find(aEvent.job_);
  if (it == jobs_.end()) {
    return;
  }
  const bool dispatched = it->second.attempts_ > 0;
  if (it->second.state_ == JobState::kRunning) {
    actions_.push_back(
      AbandonAttempt{ .job_ = aEvent.job_, .attempt_ = it->second.attempt_ });
  }
  RefuseJob(aEvent.job_,
            RefusalCode::kCancelled,
            dispatched ? RanVerdict::kUnknown : RanVerdict::kNo,
            "cancelled by the caller");
}

void EntryCore::On(const ClaimEnded& aEvent, Millis aNow)
{
  const auto it = jobs_.find(aEvent.job_);
  if (it == jobs_.end() || it->second.state_ != JobState::kClaiming) {
    return;
  }
  switch (aEvent.verdict_) {
    case ClaimVerdict::kGranted: {
      it->second.hasClaim_ = true;
      const ServiceName service = it->second.request_.service_;
      Enqueue(it->second);
      DrainQueue(service, aNow);
      break;
    }
    case ClaimVerdict::kRecorded:
      actions_.push_back(Answer{ .job_ = aEvent.job_, .fromRecord_ = true });
      End(aEvent.job_);
      break;
    case ClaimVerdict::kHeld:
      RefuseJob(aEvent.job_,
                RefusalCode::kClaimHeld,
                RanVerdict::kUnknown,
                "another request with this key has no outcome yet");
      break;
    case ClaimVerdict::kExpired:
      RefuseJob(aEvent.job_,
                RefusalCode::kKeyExpired,
                RanVerdict::kUnknown,
                "the key is older than the ledger remembers");
      break;
    case ClaimVerdict::kUnavailable:
      RefuseJob(aEvent.job_,
                RefusalCode::kLedgerUnavailable,
                RanVerdict::kUnknown,
                "no quorum of the ledger answered");
      break;
  }
}

void EntryCore::On(const AttemptEnded& aEvent, Millis aNow)
{
  const auto it = jobs_.find(aEvent.job_);
  const bool known = it != jobs_.end() &&
                     it->second.state_ == JobState::kRunning &&
                     it->second.attempt_ == aEvent.attempt_;
  if (!known) {
    // The answer of an abandoned attempt; the shell discards it.
    return;
  }
  Job& job = it->second;
  const ServiceName service = job.request_.service_;
  --inFlight_[job.instance_];
  if (aEvent.verdict_ == AttemptVerdict::kAnswered) {
    if (job.request_.repeatability_ == Repeatability::kAtMostOnce) {
      actions_.push_back(RecordOutcome{ .job_ = aEvent.job_,
                                        .attempt_ = aEvent.attempt_,
                                        .key_ = job.request_.key_ });
    }
    actions_.push_back(
      Answer{ .job_ = aEvent.job_, .attempt_ = aEvent.attempt_ });
    job.state_ = JobState::kWaiting;
    End(aEvent.job_);
    DrainQueue(service, aNow);
    return;
  }
  const bool mayRetry =
    aEvent.verdict_ == AttemptVerdict::kNotSent ||
    job.request_.repeatability_ == Repeatability::kRepeatable;
  if (mayRetry && job.attempts_ < options_.maxAttempts_ &&
      aNow < job.request_.deadline_) {
    job.tried_.push_back(job.instance_);
    Enqueue(job);
  } else {
    job.state_ = JobState::kWaiting;
    const bool neverSent =
      aEvent.verdict_ == AttemptVerdict::kNotSent &&
      job.request_.repeatability_ == Repeatability::kAtMostOnce;
    RefuseJob(aEvent.job_,
              RefusalCode::kUpstreamFailed,
              neverSent ? RanVerdict::kNo : RanVerdict::kUnknown,
              "the upstream did not answer");
  }
  DrainQueue(service, aNow);
}

void EntryCore::On(const FactArrived& aEvent, Millis aNow)
{
  if (!directory_.Apply(aEvent.fact_, aNow)) {
    return;
  }
  if (!aEvent.fromPeer_) {
    actions_.push_back(ShareFact{ .fact_ = aEvent.fact_ });
  }
  DrainQueue(aEvent.fact_.service_, aNow);
}

void EntryCore::On(const GrantsArrived& aEvent, Millis aNow)
{
  for (const Grant& grant : aEvent.grants_) {
    const auto [it, isNew] = grants_.try_emplace(grant.instance_, grant);
    if (!isNew && grant.epoch_ >= it->second.epoch_) {
      it->second = grant;
    }
  }
  DrainAllQueues(aNow);
}

void EntryCore::On(const DrainChanged& aEvent, Millis aNow)
{
  if (aEvent.draining_) {
    draining_.insert(aEvent.instance_);
    return;
  }
  draining_.erase(aEvent.instance_);
  DrainAllQueues(aNow);
}

void EntryCore::On(const StopRequested& /*aEvent*/, Millis /*aNow*/)
{
  stopping_ = true;
}

void EntryCore::On(const TimerTick& /*aEvent*/, Millis aNow)
{
  for (const InstanceName& instance : directory_.Expire(aNow)) {
    actions_.push_back(UpstreamGone{ .instance_ = instance });
  }
  std::vector<JobNumber> late;
  for (const auto& [number, job] : jobs_) {
    if (aNow >= job.request_.deadline_) {
      late.push_back(number);
    }
  }
  for (JobNumber number : late) {
    const Job& job = jobs_.at(number);
    const bool dispatched = job.attempts_ > 0;
    if (job.state_ == JobState::kRunning) {
      actions_.push_back(
        AbandonAttempt{ .job_ = number, .attempt_ = job.attempt_ });
    }
    RefuseJob(number,
              RefusalCode::kDeadlineExceeded,
              dispatched ? RanVerdict::kUnknown : RanVerdict::kNo,
              "no answer by the deadline");
  }
  DrainAllQueues(aNow);
}

void EntryCore::DrainAllQueues(Millis aNow)
{
  for (auto& [service, queue] : queues_) {
    DrainQueue(service, aNow);
  }
}

bool EntryCore::MayUse(const InstanceName& aInstance, Millis aNow) const
{
  if (draining_.contains(aInstance)) {
    return false;
  }
  if (!options_.requireGrants_) {
    return true;
  }
  const auto grant = grants_.find(aInstance);
  if (grant == grants_.end() || aNow >= grant->second.expiresAt_) {
    return false;
  }
  const auto used = inFlight_.find(aInstance);
  const uint32_t inFlight = used != inFlight_.end() ? used->second : 0;
  return inFlight < std::min(grant->second.slots_, grant->second.connections_);
}

void EntryCore::Enqueue(Job& aJob)
{
  auto& queue = queues_[aJob.request_.service_];
  aJob.state_ = JobState::kWaiting;
  if (queue.size() >= options_.maxQueued_) {
    RefuseJob(aJob.request_.number_,
              RefusalCode::kQueueFull,
              aJob.attempts_ > 0 ? RanVerdict::kUnknown : RanVerdict::kNo,
              "too many jobs wait for this service");
    return;
  }
  queue.push_back(aJob.request_.number_);
}

void EntryCore::DrainQueue(const ServiceName& aService, Millis aNow)
{
  auto& queue = queues_[aService];
  while (!queue.empty()) {
    const auto it = jobs_.find(queue.front());
    const bool gone =
      it == jobs_.end() || it->second.state_ != JobState::kWaiting;
    if (!gone && !TryDispatch(it->second, aNow)) {
      return;
    }
    queue.pop_front();
  }
}

bool EntryCore::TryDispatch(Job& aJob, Millis aNow)
{
  std::vector<Candidate> candidates;
  for (const UpstreamFact* upstream :
       directory_.Live(aJob.request_.service_, aNow)) {
    if (!MayUse(upstream->instance_, aNow)) {
      continue;
    }
    const bool tried =
      std::find(aJob.tried_.begin(), aJob.tried_.end(), upstream->instance_) !=
      aJob.tried_.end();
    candidates.push_back(Candidate{ .upstream_ = upstream,
                                    .inFlight_ = inFlight_[upstream->instance_],
                                    .sameDataCentre_ = upstream->dataCentre_ ==
                                                       options_.dataCentre_,
                                    .triedBefore_ = tried });
  }
  const std::optional<size_t> chosen = strategy_->Choose(candidates, aNow);
  if (!chosen) {
    return false;
  }
  const UpstreamFact& upstream = *candidates[*chosen].upstream_;
  aJob.state_ = JobState::kRunning;
  aJob.attempt_ = AttemptNumber(nextAttempt_++);
  aJob.instance_ = upstream.instance_;
  ++aJob.attempts_;
  ++inFlight_[upstream.instance_];
  actions_.push_back(
    Dispatch{ .job_ = aJob.request_.number_,
              .attempt_ = aJob.attempt_,
              .instance_ = upstream.instance_,
              .endpoint_ = upstream.endpoint_,
              .timeLeft_ = aJob.request_.deadline_ - aNow,
              .candidates_ = static_cast<uint32_t>(candidates.size()),
              .reason_ = aJob.attempts_ > 1 ? "retry" : "fewest in flight" });
  return true;
}

void EntryCore::End(JobNumber aNumber)
{
  const auto it = jobs_.find(aNumber);
  if (it == jobs_.end()) {
    return;
  }
  if (it->second.state_ == JobState::kRunning) {
    --inFlight_[it->second.instance_];
  }
  jobs_.erase(it);
}

void EntryCore::RefuseJob(JobNumber aNumber,
                          RefusalCode aCode,
                          RanVerdict aRan,
                          std::string aDetail)
{
  // An earlier request with the same key may have run through another entry.
  // Only the holder of the claim knows that none did.
  const auto it = jobs_.find(aNumber);
  const bool isOpen =
    it != jobs_.end() && !it->second.hasClaim_ &&
    it->second.request_.repeatability_ == Repeatability::kAtMostOnce;
  aRan = isOpen ? RanVerdict::kUnknown : aRan;
  actions_.push_back(Refuse{ .job_ = aNumber,
                             .refusal_ = { .code_ = aCode,
                                           .ran_ = aRan,
                                           .detail_ = std::move(aDetail) } });
  End(aNumber);
}

} // namespace vanillahatch
