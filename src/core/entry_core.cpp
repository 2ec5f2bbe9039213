#include "vanillahatch/core/entry_core.h"

#include <algorithm>
#include <utility>

namespace vanillahatch {

namespace {

constexpr Millis kExpiryCheckInterval = Millis(200);
// Number of jobs without a suitable upstream after which a pass over a queue
// ends, which bounds its cost.
constexpr size_t kMaxPassedOver = 8;

} // namespace

EntryCore::EntryCore(EntryCoreOptions aOptions,
                     std::unique_ptr<RoutingStrategy> aStrategy,
                     const SharingFactory& aMakeSharing)
  : options_(std::move(aOptions))
  , routingReason_(aStrategy->Reason())
  , slots_(options_.dataCentre_, std::move(aStrategy), options_.requireGrants_)
  , sharing_(aMakeSharing(slots_))
  , health_(options_.seed_)
  , random_(options_.seed_)
{
}

std::vector<EntryAction> EntryCore::Handle(const EntryEvent& aEvent,
                                           Millis aNow)
{
  actions_.clear();
  std::visit([&](const auto& aTyped) { On(aTyped, aNow); }, aEvent);
  Flush(aNow);
  return std::exchange(actions_, {});
}

// Dispatches to allowances that have grown before the slot sharing sends its
// messages, because it returns slots that are idle by then.
void EntryCore::Flush(Millis aNow)
{
  DispatchToGrownAllowances(aNow);
  // A broker in this entry answers at once, which can raise allowances again.
  constexpr int kMaxRounds = 4;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (OutgoingMessage& message : sharing_->Flush(aNow)) {
      actions_.push_back(SendToPeer{ .to_ = std::move(message.to_),
                                     .message_ = std::move(message.message_) });
    }
    if (!DispatchToGrownAllowances(aNow)) {
      return;
    }
  }
}

bool EntryCore::DispatchToGrownAllowances(Millis aNow)
{
  std::vector<ServiceName> services = sharing_->TakeRaisedServices();
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
  for (const ServiceName& service : services) {
    DispatchWaiting(service, aNow);
  }
  return !services.empty();
}

Millis EntryCore::NextWake() const
{
  Millis wake = std::min(jobs_.NextDeadline(), health_.NextEjectionEnd());
  wake = std::min(wake, sharing_->NextWake());
  if (!timers_.empty()) {
    wake = std::min(wake, timers_.top().at_);
  }
  return std::min(wake, nextExpiryCheck_);
}

void EntryCore::On(const JobArrived& aEvent, Millis aNow)
{
  const JobNumber number = aEvent.request_.number_;
  Job& job = jobs_.Add(aEvent.request_);
  if (stopping_) {
    RefuseJob(number, RefusalCode::kStopping, "planned stop");
    return;
  }
  const ServiceName name = job.request_.service_;
  if (!directory_.HasService(name)) {
    RefuseJob(number,
              RefusalCode::kNoSuchService,
              "no upstream has announced this service");
    return;
  }
  Service& service = ServiceOf(name);
  const WaitingJob waiting{ .number_ = number,
                            .member_ = job.request_.member_,
                            .priority_ = job.request_.priority_,
                            .arrivedAt_ = job.request_.arrivedAt_,
                            .deadline_ = job.request_.deadline_ };
  switch (service.queue_.Check(
    waiting, service.runTimes_.Quantile(RunTimeQuantile::kLow), aNow)) {
    case AdmissionResult::kQueueFull:
      RefuseJob(
        number, RefusalCode::kQueueFull, "too many jobs wait for this service");
      return;
    case AdmissionResult::kMemberLimit:
      RefuseJob(
        number, RefusalCode::kMemberLimit, "the member has too many waiting");
      return;
    case AdmissionResult::kDeadlineUnreachable:
      RefuseJob(number,
                RefusalCode::kDeadlineUnreachable,
                "the jobs ahead take longer than the deadline allows");
      return;
    case AdmissionResult::kAdmitted:
      break;
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
  DispatchWaiting(name, aNow);
}

void EntryCore::On(const JobCancelled& aEvent, Millis /*aNow*/)
{
  Job* job = jobs_.Find(aEvent.job_);
  if (job == nullptr) {
    return;
  }
  if (job->state_ == JobState::kRunning) {
    Abandon(*job);
  }
  RefuseJob(aEvent.job_, RefusalCode::kCancelled, "cancelled by the caller");
}

void EntryCore::On(const ClaimEnded& aEvent, Millis aNow)
{
  Job* job = jobs_.Find(aEvent.job_);
  if (job == nullptr || job->state_ != JobState::kClaiming) {
    return;
  }
  switch (aEvent.result_) {
    case KeyClaimResult::kGranted: {
      job->hasClaim_ = true;
      const ServiceName service = job->request_.service_;
      Enqueue(*job);
      DispatchWaiting(service, aNow);
      break;
    }
    case KeyClaimResult::kRecorded:
      actions_.push_back(Answer{ .job_ = aEvent.job_, .fromRecord_ = true });
      jobs_.Remove(aEvent.job_);
      break;
    case KeyClaimResult::kHeld:
      // Another request with this key may have run the job.
      job->mayHaveRun_ = true;
      RefuseJob(aEvent.job_,
                RefusalCode::kClaimHeld,
                "another request with this key has no outcome yet");
      break;
    case KeyClaimResult::kExpired:
      job->mayHaveRun_ = true;
      RefuseJob(aEvent.job_,
                RefusalCode::kKeyExpired,
                "the key is older than the ledger remembers");
      break;
    case KeyClaimResult::kUnavailable:
      RefuseJob(aEvent.job_,
                RefusalCode::kLedgerUnavailable,
                "no quorum of the ledger answered");
      break;
  }
}

void EntryCore::On(const FactArrived& aEvent, Millis aNow)
{
  if (!directory_.Apply(aEvent.fact_, aNow)) {
    return;
  }
  if (!aEvent.fromPeer_) {
    actions_.push_back(ShareFact{ .fact_ = aEvent.fact_ });
  }
  const InstanceName& instance = aEvent.fact_.instance_;
  slots_.Put(aEvent.fact_, aNow + aEvent.fact_.lease_);
  if (aEvent.fact_.departed_) {
    sharing_->RemoveUpstream(instance);
    health_.Remove(instance);
    return;
  }
  health_.Add(instance, aEvent.fact_.service_);
  sharing_->PutUpstream(aEvent.fact_, aNow);
  ApplyHealth(instance);
  DispatchWaiting(aEvent.fact_.service_, aNow);
}

void EntryCore::On(const GrantsArrived& aEvent, Millis aNow)
{
  for (const Grant& grant : aEvent.grants_) {
    slots_.SetGrant(grant);
  }
  DispatchAllWaiting(aNow);
}

void EntryCore::On(const DrainChanged& aEvent, Millis aNow)
{
  slots_.SetDraining(aEvent.instance_, aEvent.draining_);
  if (!aEvent.draining_) {
    DispatchAllWaiting(aNow);
  }
}

void EntryCore::On(const MemberLimitsChanged& aEvent, Millis /*aNow*/)
{
  memberLimits_ = aEvent.limits_;
  for (auto& [name, service] : services_) {
    service.queue_.SetLimits(memberLimits_);
  }
}

void EntryCore::On(const PeerMessageArrived& aEvent, Millis aNow)
{
  sharing_->HandleMessage(aEvent.from_, aEvent.message_, aNow);
}

void EntryCore::On(const LatencyMeasured& aEvent, Millis /*aNow*/)
{
  slots_.SetLatency(aEvent.dataCentre_, aEvent.roundTrip_);
}

void EntryCore::On(const StopRequested& /*aEvent*/, Millis /*aNow*/)
{
  stopping_ = true;
}

void EntryCore::On(const TimerTick& /*aEvent*/, Millis aNow)
{
  if (aNow >= nextExpiryCheck_) {
    nextExpiryCheck_ = aNow + kExpiryCheckInterval;
    ExpireUpstreams(aNow);
  }
  for (const InstanceName& instance : health_.EndEjections(aNow)) {
    ApplyHealth(instance);
    if (const UpstreamSlots* upstream = slots_.Find(instance)) {
      DispatchWaiting(upstream->fact_.service_, aNow);
    }
  }
  RefuseOverdueJobs(aNow);
  RunTimers(aNow);
}

EntryCore::Service& EntryCore::ServiceOf(const ServiceName& aService)
{
  const auto known = services_.find(aService);
  if (known != services_.end()) {
    return known->second;
  }
  const AdmissionOptions admission{ .maxWaiting_ = options_.maxQueued_ };
  Service& service =
    services_
      .try_emplace(aService, Service{ AdmissionQueue(admission), {}, {} })
      .first->second;
  service.queue_.SetLimits(memberLimits_);
  return service;
}

size_t EntryCore::WaitingCount(const ServiceName& aService) const
{
  const auto it = services_.find(aService);
  return it != services_.end() ? it->second.queue_.Size() : 0;
}

void EntryCore::Enqueue(Job& aJob)
{
  aJob.state_ = JobState::kWaiting;
  ServiceOf(aJob.request_.service_)
    .queue_.Push({ .number_ = aJob.request_.number_,
                   .member_ = aJob.request_.member_,
                   .priority_ = aJob.request_.priority_,
                   .arrivedAt_ = aJob.request_.arrivedAt_,
                   .deadline_ = aJob.request_.deadline_ });
}

void EntryCore::Requeue(Job& aJob)
{
  aJob.state_ = JobState::kWaiting;
  ServiceOf(aJob.request_.service_)
    .queue_.Requeue({ .number_ = aJob.request_.number_,
                      .member_ = aJob.request_.member_,
                      .priority_ = aJob.request_.priority_,
                      .arrivedAt_ = aJob.request_.arrivedAt_,
                      .deadline_ = aJob.request_.deadline_ });
}

void EntryCore::RemoveFromQueue(const Job& aJob)
{
  if (aJob.state_ == JobState::kWaiting) {
    ServiceOf(aJob.request_.service_).queue_.Remove(aJob.request_.number_);
  }
}

void EntryCore::DispatchAllWaiting(Millis aNow)
{
  for (auto& [name, service] : services_) {
    DispatchWaiting(name, aNow);
  }
}

void EntryCore::DispatchWaiting(const ServiceName& aName, Millis aNow)
{
  Service& service = ServiceOf(aName);
  std::vector<JobNumber> dropped;
  service.queue_.VisitInOrder(
    kMaxPassedOver,
    [&](const WaitingJob& aWaiting) {
      const VisitResult result = TryDispatch(aWaiting, service, aNow);
      if (result == VisitResult::kDrop) {
        dropped.push_back(aWaiting.number_);
      }
      return result;
    },
    aNow);
  for (const JobNumber number : dropped) {
    RefuseJob(number,
              RefusalCode::kDeadlineUnreachable,
              "too little time is left for a job of this service");
  }
  UpdateDemand(aName, service, aNow);
}

void EntryCore::UpdateDemand(const ServiceName& aName,
                             Service& aService,
                             Millis aNow)
{
  const AdmissionQueue& queue = aService.queue_;
  sharing_->SetDemand(
    aName,
    { .waiting_ = static_cast<uint32_t>(queue.Size()),
      .urgent_ = static_cast<uint32_t>(queue.UrgentCount()),
      .oldestArrivedAt_ = queue.Size() > 0 ? queue.OldestArrival() : aNow },
    aNow);
}

VisitResult EntryCore::TryDispatch(const WaitingJob& aWaiting,
                                   Service& aService,
                                   Millis aNow)
{
  const Millis minRunTime = aService.runTimes_.Quantile(RunTimeQuantile::kLow);
  Job& job = *jobs_.Find(aWaiting.number_);
  if (aNow + minRunTime >= aWaiting.deadline_) {
    job.state_ = JobState::kBackoff; // the queue removes it
    return VisitResult::kDrop;
  }
  if (slots_.UsableCount(job.request_.service_) == 0) {
    return VisitResult::kKeep;
  }
  const bool repeatable =
    job.request_.repeatability_ == Repeatability::kRepeatable;
  const std::optional<SlotChoice> choice =
    slots_.Choose({ .service_ = job.request_.service_,
                    .tried_ = job.tried_,
                    .repeatable_ = repeatable },
                  aNow);
  if (!choice) {
    return VisitResult::kKeep;
  }
  DispatchTo(job, *choice, aService, aNow);
  return VisitResult::kDispatched;
}

void EntryCore::DispatchTo(Job& aJob,
                           const SlotChoice& aChoice,
                           Service& aService,
                           Millis aNow)
{
  const UpstreamFact& upstream = aChoice.upstream_->fact_;
  const JobNumber number = aJob.request_.number_;
  aJob.state_ = JobState::kRunning;
  aJob.attempt_ = AttemptNumber(nextAttempt_++);
  aJob.instance_ = upstream.instance_;
  aJob.dispatchedAt_ = aNow;
  if (++aJob.attempts_ == 1) {
    aService.budget_.RecordFirstAttempt();
  }
  actions_.push_back(Dispatch{
    .job_ = number,
    .attempt_ = aJob.attempt_,
    .instance_ = upstream.instance_,
    .endpoint_ = upstream.endpoint_,
    .timeLeft_ = aJob.request_.deadline_ - aNow,
    .sendBy_ = options_.requireGrants_
                 ? aChoice.upstream_->grant_->expiresAt_ - Millis(1)
                 : Millis::Max(),
    .candidates_ = aChoice.candidates_,
    .reason_ = aJob.attempts_ > 1 ? "retry" : std::string(routingReason_) });
  timers_.push({ .at_ = aNow + StallTimeout(aJob, aService, aNow),
                 .kind_ = Timer::Kind::kStall,
                 .job_ = number,
                 .attempt_ = aJob.attempt_ });
  slots_.StartAttempt(aJob.instance_);
  sharing_->OnAttemptStarted(aJob.instance_);
}

void EntryCore::RefuseJob(JobNumber aNumber,
                          RefusalCode aCode,
                          std::string aDetail)
{
  Job* job = jobs_.Find(aNumber);
  // An earlier request with the same key may have run through another entry.
  // Only a granted claim excludes that.
  const bool claimUnresolved =
    job->request_.repeatability_ == Repeatability::kAtMostOnce &&
    !job->hasClaim_;
  const bool mayHaveRun =
    claimUnresolved || job->mayHaveRun_ || job->state_ == JobState::kRunning;
  actions_.push_back(Refuse{
    .job_ = aNumber,
    .refusal_ = { .code_ = aCode,
                  .executionStatus_ = mayHaveRun ? ExecutionStatus::kUnknown
                                                 : ExecutionStatus::kNotRun,
                  .detail_ = std::move(aDetail) } });
  RemoveFromQueue(*job);
  jobs_.Remove(aNumber);
}

} // namespace vanillahatch
