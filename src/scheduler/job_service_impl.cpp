#include "scheduler/job_service_impl.h"

#include "vanillahatch/shell/log.h"

namespace vanillahatch {

namespace {

// Limits the memory of a replica; far above the number of jobs of one day.
constexpr size_t kMaxJobs = 60000;
constexpr uint32_t kRetryAfterFullMs = 2000;
constexpr uint32_t kRetryAfterUnavailableMs = 1000;
constexpr const char* kIdOfAnotherQueue = "another queue has a job of this id";

struct ResolvedPlace
{
  const v1::QueueSpec* queue_ = nullptr; // null: no queue has this path
  std::string id_; // of the job; empty: the place is the queue itself
};

ResolvedPlace ResolvePlace(const JobStore& aStore, const v1::JobPlace& aPlace)
{
  const v1::QueueSpec* queue =
    aStore.FindQueueFor(aPlace.host(), aPlace.path());
  if (queue == nullptr) {
    return {};
  }
  return { .queue_ = queue,
           .id_ = aPlace.path().substr(queue->path_prefix().size()) };
}

void SetStatus(v1::JobReply& aReply,
               v1::JobCallStatus aStatus,
               std::string aDetail)
{
  aReply.set_status(aStatus);
  aReply.set_detail(std::move(aDetail));
}

void FillState(const JobStore& aStore,
               const v1::JobPlace& aJobPlace,
               v1::JobReply& aReply)
{
  const ResolvedPlace place = ResolvePlace(aStore, aJobPlace);
  if (place.queue_ == nullptr) {
    SetStatus(aReply, v1::JOB_CALL_NO_QUEUE, "no queue has this path");
    return;
  }
  if (place.id_.empty()) {
    aReply.set_status(v1::JOB_CALL_OK);
    aReply.set_is_count(true);
    aReply.set_waiting(aStore.CountWaitingJobs(AddressOf(*place.queue_)));
    return;
  }
  const Job* job = aStore.FindJobAt(aJobPlace.host(), aJobPlace.path());
  if (job == nullptr) {
    SetStatus(aReply, v1::JOB_CALL_NO_JOB, "no such job");
    return;
  }
  aReply.set_status(v1::JOB_CALL_OK);
  aReply.set_phase(aStore.PhaseOf(*job));
}

// For a change whose target had not been found, so that nothing was proposed,
// but which exists by now. This replica may have just begun to lead.
void RefuseUnproposedChange(v1::JobReply& aReply)
{
  aReply.Clear();
  SetStatus(aReply, v1::JOB_CALL_REFUSED, "the queue or job has just appeared");
  aReply.set_retry_after_ms(kRetryAfterUnavailableMs);
}

} // namespace

JobServiceImpl::JobServiceImpl(JobStoreReplica& aStore,
                               LogReplica& aReplica,
                               Metrics& aMetrics,
                               std::function<void()> aOnJobsChanged)
  : store_(aStore)
  , replica_(aReplica)
  , metrics_(aMetrics)
  , onJobsChanged_(std::move(aOnJobsChanged))
  , readBarrier_(
      [this](const LogReplica::Done& aDone) { replica_.Propose({}, aDone); })
{
}

void JobServiceImpl::Commit(
  const v1::JobChanges& aChanges,
  grpc::ServerUnaryReactor* aReactor,
  v1::JobReply* aReply,
  std::function<void(const JobStore&, v1::JobReply&)> aFillReply)
{
  auto done = [this, aReactor, aReply, fillReply = std::move(aFillReply)](
                const ProposalResult& aResult) {
    switch (aResult.status_) {
      case ProposalStatus::kCommitted:
        store_.With(
          [&](const JobStore& aStore) { fillReply(aStore, *aReply); });
        break;
      case ProposalStatus::kNotLeader:
        SetStatus(*aReply, v1::JOB_CALL_NOT_LEADER, "another replica leads");
        aReply->set_leader(aResult.leader_);
        aReply->set_retry_after_ms(kRetryAfterUnavailableMs);
        break;
      case ProposalStatus::kOverloaded:
        SetStatus(*aReply, v1::JOB_CALL_REFUSED, "too many changes wait");
        aReply->set_retry_after_ms(kRetryAfterUnavailableMs);
        break;
      case ProposalStatus::kUnreadable:
        SetStatus(*aReply, v1::JOB_CALL_INVALID, "the job cannot be stored");
        break;
      case ProposalStatus::kUnknown:
        SetStatus(*aReply, v1::JOB_CALL_UNKNOWN, "no quorum answered in time");
        break;
    }
    aReactor->Finish(grpc::Status::OK);
  };
  if (aChanges.changes().empty()) {
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
  v1::JobChanges changes;
  store_.With([&](const JobStore& aStore) {
    const ResolvedPlace place = ResolvePlace(aStore, aRequest->place());
    if (place.queue_ == nullptr) {
      return; // The commit below confirms that there is no queue.
    }
    if (place.id_.empty()) {
      SetStatus(*aReply, v1::JOB_CALL_INVALID, "the path names no job");
      return;
    }
    const v1::JobPlace& requested = aRequest->place();
    if (aStore.FindJobAt(requested.host(), requested.path()) != nullptr) {
      aReply->set_status(v1::JOB_CALL_OK);
      return;
    }
    if (aStore.FindJob(place.id_) != nullptr) {
      SetStatus(*aReply, v1::JOB_CALL_INVALID, kIdOfAnotherQueue);
      return;
    }
    if (aStore.JobCount() >= kMaxJobs) {
      SetStatus(*aReply, v1::JOB_CALL_REFUSED, "too many jobs are held");
      aReply->set_retry_after_ms(kRetryAfterFullMs);
      return;
    }
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id(place.id_);
    job.set_queue(place.queue_->name());
    job.set_host(place.queue_->host());
    job.set_path_prefix(place.queue_->path_prefix());
    job.set_service(place.queue_->service());
    *job.mutable_spec() = aRequest->spec();
  });
  if (aReply->status() != v1::JOB_CALL_UNSPECIFIED) {
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
  const bool isNew = changes.changes_size() > 0;
  Commit(changes,
         reactor,
         aReply,
         [this, isNew, place = aRequest->place()](const JobStore& aStore,
                                                  v1::JobReply& aOut) {
           if (!isNew) {
             FillState(aStore, place, aOut);
             const bool isStored =
               aOut.status() == v1::JOB_CALL_OK && !aOut.is_count();
             if (!isStored && aOut.status() != v1::JOB_CALL_NO_QUEUE) {
               RefuseUnproposedChange(aOut);
             }
             return;
           }
           const Job* job = aStore.FindJobAt(place.host(), place.path());
           if (job == nullptr) {
             SetStatus(aOut, v1::JOB_CALL_INVALID, kIdOfAnotherQueue);
             return;
           }
           aOut.set_status(v1::JOB_CALL_OK);
           metrics_.Count("vh_jobs_accepted_total");
           LogInfo(Event::kJobAccepted,
                   { { "job", job->id_ },
                     { "queue", job->queue_ },
                     { "config", aStore.Config().version() } });
           onJobsChanged_();
         });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceImpl::Show(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const v1::JobPlace& place = aRequest->place();
  if (replica_.IsLeader()) {
    store_.With(
      [&](const JobStore& aStore) { FillState(aStore, place, *aReply); });
    const bool showsJob =
      aReply->status() == v1::JOB_CALL_OK && !aReply->is_count();
    if (showsJob) {
      reactor->Finish(grpc::Status::OK);
      return reactor;
    }
    aReply->Clear();
  }
  Commit(
    {}, reactor, aReply, [place](const JobStore& aStore, v1::JobReply& aOut) {
      FillState(aStore, place, aOut);
    });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceImpl::Cancel(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  v1::JobChanges changes;
  store_.With([&](const JobStore& aStore) {
    const ResolvedPlace place = ResolvePlace(aStore, aRequest->place());
    if (place.queue_ != nullptr && !place.id_.empty()) {
      v1::CancelJob& cancel = *changes.add_changes()->mutable_cancel_job();
      cancel.set_id(place.id_);
      cancel.set_queue(place.queue_->name());
      cancel.set_host(aRequest->place().host());
      cancel.set_path(aRequest->place().path());
    }
  });
  const bool isProposed = changes.changes_size() > 0;
  Commit(changes,
         reactor,
         aReply,
         [this, isProposed, place = aRequest->place()](const JobStore& aStore,
                                                       v1::JobReply& aOut) {
           FillState(aStore, place, aOut);
           const bool isInQueue =
             aOut.status() != v1::JOB_CALL_NO_QUEUE && !aOut.is_count();
           if (!isProposed && isInQueue) {
             RefuseUnproposedChange(aOut);
           }
           LogInfo(Event::kJobCancelled,
                   { { "path", place.path() },
                     { "status", static_cast<int>(aOut.status()) } });
           onJobsChanged_();
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
