#include "scheduler/job_service_impl.h"

#include "vanillahatch/shell/log.h"

#include <google/protobuf/util/message_differencer.h>

namespace vanillahatch {

using google::protobuf::util::MessageDifferencer;

namespace {

// Limits the memory of a replica; far above the number of jobs of one day.
constexpr size_t kMaxJobs = 60000;
// A quarter of the bytes is open to jobs of up to this size only.
constexpr size_t kSmallJobBytes = size_t(16) << 10U;
constexpr uint32_t kRetryAfterFullMs = 2000;
constexpr uint32_t kRetryAfterUnavailableMs = 1000;

// Also the reply to a caller that may not know who has the job.
constexpr const char* kIdTaken = "another job has this id";
constexpr const char* kJobOfAnother = "the job is of another customer";

struct ResolvedPlace
{
  const v1::QueueSpec* queue_ = nullptr; // null: no queue has this path
  std::string id_; // of the job; empty: the place is the queue itself
  Caller caller_;  // as the queue admits it
};

ResolvedPlace ResolvePlace(const JobStore& aStore,
                           const v1::JobPlace& aPlace,
                           const CallKey& aKey)
{
  const v1::QueueSpec* queue =
    aStore.FindQueueFor(aPlace.host(), aPlace.path());
  if (queue == nullptr) {
    return {};
  }
  return { .queue_ = queue,
           .id_ = aPlace.path().substr(queue->path_prefix().size()),
           .caller_ = aStore.Customers().Identify(*queue, aKey) };
}

template<class Request>
CallKey KeyOf(const Request& aRequest)
{
  return { .text_ = aRequest.key(), .isMalformed_ = aRequest.malformed_key() };
}

void SetStatus(v1::JobReply& aReply,
               v1::JobCallStatus aStatus,
               std::string aDetail)
{
  aReply.set_status(aStatus);
  aReply.set_detail(std::move(aDetail));
}

void SetUnauthorized(v1::JobReply& aReply)
{
  SetStatus(
    aReply, v1::JOB_CALL_UNAUTHORIZED, "the call needs the key of a customer");
}

// Whether a submission may be answered as if it had stored the job. A customer
// must not be told so of a job of no customer that has another specification.
bool IsSubmissionOf(const Job& aJob,
                    const Caller& aCaller,
                    const v1::JobSpec& aSpec)
{
  return aCaller.MayAccess(aJob.customer_) &&
         (aJob.customer_ == aCaller.customer_ ||
          aCaller.kind_ == CallerKind::kUnchecked ||
          MessageDifferencer::Equals(aJob.spec_, aSpec));
}

void FillResolvedState(const JobStore& aStore,
                       const v1::JobPlace& aJobPlace,
                       const ResolvedPlace& aResolved,
                       v1::JobReply& aReply)
{
  if (aResolved.queue_ == nullptr) {
    SetStatus(aReply, v1::JOB_CALL_NO_QUEUE, "no queue has this path");
    return;
  }
  if (aResolved.caller_.IsUnauthorized()) {
    SetUnauthorized(aReply);
    return;
  }
  if (aResolved.id_.empty()) {
    aReply.set_status(v1::JOB_CALL_OK);
    aReply.set_is_count(true);
    aReply.set_waiting(aStore.CountWaitingJobs(AddressOf(*aResolved.queue_)));
    return;
  }
  const Job* job = aStore.FindJobAt(aJobPlace.host(), aJobPlace.path());
  if (job == nullptr) {
    SetStatus(aReply, v1::JOB_CALL_NO_JOB, "no such job");
    return;
  }
  if (!aResolved.caller_.MayAccess(job->customer_)) {
    SetStatus(aReply, v1::JOB_CALL_FORBIDDEN, kJobOfAnother);
    return;
  }
  aReply.set_status(v1::JOB_CALL_OK);
  aReply.set_phase(aStore.PhaseOf(*job));
}

// Returns the caller that the state was shown to.
Caller FillState(const JobStore& aStore,
                 const v1::JobPlace& aJobPlace,
                 const CallKey& aKey,
                 v1::JobReply& aReply)
{
  const ResolvedPlace place = ResolvePlace(aStore, aJobPlace, aKey);
  FillResolvedState(aStore, aJobPlace, place, aReply);
  return place.caller_;
}

// Whether the call can have no effect on any job.
bool IsRejected(const v1::JobReply& aReply)
{
  return aReply.status() == v1::JOB_CALL_NO_QUEUE ||
         aReply.status() == v1::JOB_CALL_UNAUTHORIZED;
}

// For a change whose target had not been found, so that nothing was proposed,
// but which exists by now. This replica may have just begun to lead.
void RefuseUnproposedChange(v1::JobReply& aReply)
{
  aReply.Clear();
  SetStatus(aReply, v1::JOB_CALL_REFUSED, "the queue or job has just appeared");
  aReply.set_retry_after_ms(kRetryAfterUnavailableMs);
}

// `aCaller` proposed the cancellation; its key may have been removed since.
void FillCancellation(const JobStore& aStore,
                      const v1::JobPlace& aJobPlace,
                      const Caller& aCaller,
                      v1::JobReply& aReply)
{
  ResolvedPlace place = ResolvePlace(aStore, aJobPlace, {});
  place.caller_ = aCaller;
  FillResolvedState(aStore, aJobPlace, place, aReply);
  const Job* job = aStore.FindJobAt(aJobPlace.host(), aJobPlace.path());
  const bool isOpen = job != nullptr && job->IsOpen();
  if (aReply.status() == v1::JOB_CALL_OK && isOpen) {
    RefuseUnproposedChange(aReply); // It has another owner than expected.
  }
}

void FillFailure(const ProposalResult& aResult, v1::JobReply& aReply)
{
  switch (aResult.status_) {
    case ProposalStatus::kCommitted:
      break;
    case ProposalStatus::kNotLeader:
      SetStatus(aReply, v1::JOB_CALL_NOT_LEADER, "another replica leads");
      aReply.set_leader(aResult.leader_);
      aReply.set_retry_after_ms(kRetryAfterUnavailableMs);
      break;
    case ProposalStatus::kOverloaded:
      SetStatus(aReply, v1::JOB_CALL_REFUSED, "too many changes wait");
      aReply.set_retry_after_ms(kRetryAfterUnavailableMs);
      break;
    case ProposalStatus::kUnreadable:
      SetStatus(aReply, v1::JOB_CALL_INVALID, "the job cannot be stored");
      break;
    case ProposalStatus::kUnknown:
      SetStatus(aReply, v1::JOB_CALL_UNKNOWN, "no quorum answered in time");
      break;
  }
}

// For a round that proposed no change, so that its outcome is in no doubt.
void FillRoundFailure(const ProposalResult& aResult, v1::JobReply& aReply)
{
  FillFailure(aResult, aReply);
  if (aResult.status_ == ProposalStatus::kUnknown) {
    aReply.set_status(v1::JOB_CALL_NOT_LEADER);
    aReply.set_retry_after_ms(kRetryAfterUnavailableMs);
  }
}

} // namespace

JobServiceImpl::JobServiceImpl(JobStoreReplica& aStore,
                               LogReplica& aReplica,
                               Metrics& aMetrics,
                               const Clock& aClock,
                               std::function<void()> aOnJobsChanged,
                               size_t aMaxJobBytes)
  : store_(aStore)
  , replica_(aReplica)
  , metrics_(aMetrics)
  , clock_(aClock)
  , onJobsChanged_(std::move(aOnJobsChanged))
  , maxJobBytes_(aMaxJobBytes)
  , readBarrier_(
      [this](const LogReplica::Done& aDone) { replica_.Propose({}, aDone); })
{
}

void JobServiceImpl::Finish(grpc::ServerUnaryReactor* aReactor,
                            const v1::JobReply& aReply)
{
  if (aReply.status() == v1::JOB_CALL_UNAUTHORIZED) {
    metrics_.Count("vh_calls_unauthorized_total");
  }
  aReactor->Finish(grpc::Status::OK);
}

// The lease is read first: it may be one of a later term, which is published
// after the end of `aTerm`.
bool JobServiceImpl::HasLedSince(uint64_t aTerm) const
{
  return aTerm != 0 && replica_.HoldsLeaderLease() &&
         replica_.LeaderTerm() == aTerm;
}

void JobServiceImpl::Decide(
  grpc::ServerUnaryReactor* aReactor,
  v1::JobReply* aReply,
  const std::function<Decision(const JobStore&)>& aDecide,
  const std::function<void(Decision)>& aCarryOut)
{
  const uint64_t term = replica_.LeaderTerm();
  Decision decision = store_.With(aDecide);
  const bool dependsOnKeys = decision.caller_.kind_ != CallerKind::kUnchecked;
  if (!dependsOnKeys || HasLedSince(term)) {
    aCarryOut(std::move(decision));
    return;
  }
  aReply->Clear();
  readBarrier_.Confirm([=, this](const ProposalResult& aResult) {
    if (aResult.status_ == ProposalStatus::kCommitted) {
      aCarryOut(store_.With(aDecide));
      return;
    }
    FillRoundFailure(aResult, *aReply);
    Finish(aReactor, *aReply);
  });
}

void JobServiceImpl::Commit(
  const v1::JobChanges& aChanges,
  grpc::ServerUnaryReactor* aReactor,
  v1::JobReply* aReply,
  std::function<void(const JobStore&, v1::JobReply&)> aFillReply)
{
  const bool isRound = aChanges.changes().empty();
  auto done =
    [this, aReactor, aReply, isRound, fillReply = std::move(aFillReply)](
      const ProposalResult& aResult) {
      if (aResult.status_ == ProposalStatus::kCommitted) {
        store_.With(
          [&](const JobStore& aStore) { fillReply(aStore, *aReply); });
      } else if (isRound) {
        FillRoundFailure(aResult, *aReply);
      } else {
        FillFailure(aResult, *aReply);
      }
      Finish(aReactor, *aReply);
    };
  if (isRound) {
    readBarrier_.Confirm(std::move(done));
    return;
  }
  replica_.Propose(aChanges.SerializeAsString(), std::move(done));
}

grpc::ServerUnaryReactor* JobServiceImpl::Submit(
  grpc::CallbackServerContext* aContext,
  const v1::SubmitRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const auto decide = [this, aRequest, aReply](const JobStore& aStore) {
    const v1::JobPlace& requested = aRequest->place();
    const ResolvedPlace place =
      ResolvePlace(aStore, requested, KeyOf(*aRequest));
    Decision decision{ .caller_ = place.caller_ };
    if (place.queue_ == nullptr) {
      return decision; // The commit below confirms that there is no queue.
    }
    if (place.caller_.IsUnauthorized()) {
      SetUnauthorized(*aReply);
      return decision;
    }
    if (place.id_.empty()) {
      SetStatus(*aReply, v1::JOB_CALL_INVALID, "the path names no job");
      return decision;
    }
    if (const Job* job = aStore.FindJobAt(requested.host(), requested.path())) {
      if (IsSubmissionOf(*job, place.caller_, aRequest->spec())) {
        aReply->set_status(v1::JOB_CALL_OK);
      } else {
        SetStatus(*aReply, v1::JOB_CALL_INVALID, kIdTaken);
      }
      return decision;
    }
    if (aStore.FindJob(place.id_) != nullptr) {
      SetStatus(*aReply, v1::JOB_CALL_INVALID, kIdTaken);
      return decision;
    }
    const bool isSmall = aRequest->spec().ByteSizeLong() <= kSmallJobBytes;
    const size_t maxBytes = maxJobBytes_ - (isSmall ? 0 : maxJobBytes_ / 4);
    if (aStore.JobCount() >= kMaxJobs || aStore.JobBytes() >= maxBytes) {
      SetStatus(*aReply, v1::JOB_CALL_REFUSED, "too many jobs are held");
      aReply->set_retry_after_ms(kRetryAfterFullMs);
      return decision;
    }
    v1::AcceptJob& job = *decision.changes_.add_changes()->mutable_accept_job();
    job.set_id(place.id_);
    job.set_queue(place.queue_->name());
    job.set_host(place.queue_->host());
    job.set_path_prefix(place.queue_->path_prefix());
    job.set_service(place.queue_->service());
    job.set_customer(place.caller_.customer_);
    job.set_submitted_unix_ms(clock_.UnixNow().Count());
    *job.mutable_spec() = aRequest->spec();
    return decision;
  };
  Decide(reactor, aReply, decide, [=, this](const Decision& aDecision) {
    if (aReply->status() != v1::JOB_CALL_UNSPECIFIED) {
      Finish(reactor, *aReply);
      return;
    }
    const bool isNew = aDecision.changes_.changes_size() > 0;
    Commit(aDecision.changes_,
           reactor,
           aReply,
           [=, this, caller = aDecision.caller_](const JobStore& aStore,
                                                 v1::JobReply& aOut) {
             if (isNew) {
               FillAcceptance(aStore, *aRequest, caller, aOut);
               return;
             }
             FillState(aStore, aRequest->place(), KeyOf(*aRequest), aOut);
             const bool isStored =
               aOut.status() == v1::JOB_CALL_OK && !aOut.is_count();
             if (!isStored && !IsRejected(aOut)) {
               RefuseUnproposedChange(aOut);
             }
           });
  });
  return reactor;
}

void JobServiceImpl::FillAcceptance(const JobStore& aStore,
                                    const v1::SubmitRequest& aRequest,
                                    const Caller& aCaller,
                                    v1::JobReply& aReply)
{
  const v1::JobPlace& place = aRequest.place();
  const Job* job = aStore.FindJobAt(place.host(), place.path());
  if (job == nullptr || !IsSubmissionOf(*job, aCaller, aRequest.spec())) {
    SetStatus(aReply, v1::JOB_CALL_INVALID, kIdTaken);
    return;
  }
  aReply.set_status(v1::JOB_CALL_OK);
  metrics_.Count("vh_jobs_accepted_total");
  LogInfo(Event::kJobAccepted,
          { { "job", job->id_ },
            { "queue", job->queue_ },
            { "customer", job->customer_ },
            { "config", aStore.Config().version() } });
  onJobsChanged_();
}

grpc::ServerUnaryReactor* JobServiceImpl::Show(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const uint64_t term = replica_.LeaderTerm();
  if (replica_.IsLeader()) {
    const Caller caller = store_.With([&](const JobStore& aStore) {
      return FillState(aStore, aRequest->place(), KeyOf(*aRequest), *aReply);
    });
    const bool showsJob =
      aReply->status() == v1::JOB_CALL_OK && !aReply->is_count();
    const bool mayAnswer = caller.kind_ == CallerKind::kUnchecked
                             ? showsJob
                             : (showsJob || caller.IsUnauthorized() ||
                                aReply->status() == v1::JOB_CALL_FORBIDDEN) &&
                                 HasLedSince(term);
    if (mayAnswer) {
      Finish(reactor, *aReply);
      return reactor;
    }
    aReply->Clear();
  }
  Commit({},
         reactor,
         aReply,
         [aRequest](const JobStore& aStore, v1::JobReply& aOut) {
           FillState(aStore, aRequest->place(), KeyOf(*aRequest), aOut);
         });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceImpl::Cancel(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const auto decide = [aRequest, aReply](const JobStore& aStore) {
    const v1::JobPlace& requested = aRequest->place();
    const ResolvedPlace place =
      ResolvePlace(aStore, requested, KeyOf(*aRequest));
    Decision decision{ .caller_ = place.caller_ };
    if (place.queue_ == nullptr) {
      return decision;
    }
    if (place.caller_.IsUnauthorized()) {
      SetUnauthorized(*aReply);
      return decision;
    }
    if (place.id_.empty()) {
      return decision;
    }
    const Job* job = aStore.FindJobAt(requested.host(), requested.path());
    if (job != nullptr && !place.caller_.MayAccess(job->customer_)) {
      SetStatus(*aReply, v1::JOB_CALL_FORBIDDEN, kJobOfAnother);
      return decision;
    }
    v1::CancelJob& cancel =
      *decision.changes_.add_changes()->mutable_cancel_job();
    cancel.set_id(place.id_);
    cancel.set_queue(place.queue_->name());
    cancel.set_host(requested.host());
    cancel.set_path(requested.path());
    cancel.set_customer(job != nullptr ? job->customer_
                                       : place.caller_.customer_);
    cancel.set_checked_owner(place.caller_.kind_ != CallerKind::kUnchecked);
    return decision;
  };
  Decide(reactor, aReply, decide, [=, this](const Decision& aDecision) {
    if (aReply->status() != v1::JOB_CALL_UNSPECIFIED) {
      Finish(reactor, *aReply);
      return;
    }
    const bool isProposed = aDecision.changes_.changes_size() > 0;
    Commit(aDecision.changes_,
           reactor,
           aReply,
           [=, this, caller = aDecision.caller_](const JobStore& aStore,
                                                 v1::JobReply& aOut) {
             if (isProposed) {
               FillCancellation(aStore, aRequest->place(), caller, aOut);
             } else {
               FillState(aStore, aRequest->place(), KeyOf(*aRequest), aOut);
               if (!aOut.is_count() && !IsRejected(aOut)) {
                 RefuseUnproposedChange(aOut);
               }
             }
             LogInfo(Event::kJobCancelled,
                     { { "path", aRequest->place().path() },
                       { "status", static_cast<int>(aOut.status()) } });
             onJobsChanged_();
           });
  });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceImpl::Members(
  grpc::CallbackServerContext* aContext,
  const v1::MembersRequest* /*aRequest*/,
  v1::MembersReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const LogReplicaStatus status = replica_.Status();
  aReply->set_leader(status.leader_);
  aReply->set_in_force(replica_.IsLeader());
  for (const std::string& member : status.members_) {
    aReply->add_members(member.substr(0, member.rfind('/')));
  }
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace vanillahatch
