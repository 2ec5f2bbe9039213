#include "scheduler/job_service.h"

#include "vanillahatch/shell/log.h"

namespace vanillahatch {

namespace {

// Bounds the memory of a replica; far above a day's jobs of today.
constexpr size_t kMaxJobs = 60000;
constexpr uint32_t kRetryWhenFullMs = 2000;
constexpr uint32_t kRetryWhenNotLeadingMs = 1000;

struct Place
{
  const v1::QueueSpec* queue_ = nullptr; // null: none there
  std::string id_;                       // empty: the queue itself
};

Place Resolve(const JobStore& aStore, const v1::JobPlace& aPlace)
{
  const v1::QueueSpec* queue =
    aStore.FindQueueFor(aPlace.host(), aPlace.path());
  if (queue == nullptr) {
    return {};
  }
  return { .queue_ = queue,
           .id_ = aPlace.path().substr(queue->path_prefix().size()) };
}

Job* FindIn(const JobStore& aStore, const Place& aPlace)
{
  Job* job = aStore.FindJob(aPlace.id_);
  return job != nullptr && job->queue_ == aPlace.queue_->name() ? job : nullptr;
}

void Refuse(v1::JobReply& aReply,
            v1::JobCallStatus aStatus,
            std::string aDetail)
{
  aReply.set_status(aStatus);
  aReply.set_detail(std::move(aDetail));
}

void AnswerState(const JobStore& aStore,
                 const v1::JobPlace& aWhere,
                 v1::JobReply& aReply)
{
  const Place place = Resolve(aStore, aWhere);
  if (place.queue_ == nullptr) {
    Refuse(aReply, v1::JOB_CALL_NO_QUEUE, "no queue has this path");
    return;
  }
  if (place.id_.empty()) {
    aReply.set_status(v1::JOB_CALL_OK);
    aReply.set_is_count(true);
    aReply.set_waiting(aStore.CountWaitingJobs(place.queue_->name()));
    return;
  }
  const Job* job = FindIn(aStore, place);
  if (job == nullptr) {
    Refuse(aReply, v1::JOB_CALL_NO_JOB, "no such job");
    return;
  }
  aReply.set_status(v1::JOB_CALL_OK);
  aReply.set_phase(aStore.PhaseOf(*job));
}

} // namespace

JobServiceHost::JobServiceHost(JobStoreHost& aStore,
                               LogReplica& aReplica,
                               Metrics& aMetrics,
                               std::function<void()> aWake)
  : store_(aStore)
  , replica_(aReplica)
  , metrics_(aMetrics)
  , wake_(std::move(aWake))
  , reads_(
      [this](const LogReplica::Done& aDone) { replica_.Propose({}, aDone); })
{
}

void JobServiceHost::Commit(
  const v1::JobChanges& aChanges,
  grpc::ServerUnaryReactor* aReactor,
  v1::JobReply* aReply,
  std::function<void(const JobStore&, v1::JobReply&)> aAnswer)
{
  auto done = [this, aReactor, aReply, answer = std::move(aAnswer)](
                const ProposalResult& aResult) {
    switch (aResult.status_) {
      case ProposalStatus::kCommitted:
        store_.With([&](const JobStore& aStore) { answer(aStore, *aReply); });
        break;
      case ProposalStatus::kNotLeader:
        Refuse(*aReply, v1::JOB_CALL_NOT_LEADER, "another replica leads");
        aReply->set_leader(aResult.leader_);
        aReply->set_retry_after_ms(kRetryWhenNotLeadingMs);
        break;
      case ProposalStatus::kOverloaded:
        Refuse(*aReply, v1::JOB_CALL_REFUSED, "too many changes wait");
        aReply->set_retry_after_ms(kRetryWhenNotLeadingMs);
        break;
      case ProposalStatus::kUnknown:
        Refuse(*aReply, v1::JOB_CALL_UNKNOWN, "no quorum answered in time");
        break;
    }
    aReactor->Finish(grpc::Status::OK);
  };
  if (aChanges.changes().empty()) {
    reads_.Confirm(std::move(done));
    return;
  }
  replica_.Propose(aChanges.SerializeAsString(), std::move(done));
}

grpc::ServerUnaryReactor* JobServiceHost::Submit(
  grpc::CallbackServerContext* aContext,
  const v1::SubmitRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  v1::JobChanges changes;
  bool isKnown = false;
  store_.With([&](const JobStore& aStore) {
    const Place place = Resolve(aStore, aRequest->place());
    if (place.queue_ == nullptr) {
      return; // confirmed below
    }
    if (place.id_.empty()) {
      Refuse(*aReply, v1::JOB_CALL_INVALID, "the path names no job");
      return;
    }
    if (aStore.FindJob(place.id_) != nullptr) {
      isKnown = FindIn(aStore, place) != nullptr;
      Refuse(*aReply,
             isKnown ? v1::JOB_CALL_OK : v1::JOB_CALL_INVALID,
             isKnown ? "" : "another queue has a job of this id");
      return;
    }
    if (aStore.JobCount() >= kMaxJobs) {
      Refuse(*aReply, v1::JOB_CALL_REFUSED, "too many jobs are held");
      aReply->set_retry_after_ms(kRetryWhenFullMs);
      return;
    }
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id(place.id_);
    job.set_queue(place.queue_->name());
    job.set_service(place.queue_->service());
    *job.mutable_spec() = aRequest->spec();
  });
  if (aReply->status() != v1::JOB_CALL_UNSPECIFIED) {
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
  const bool isNew = changes.changes_size() > 0;
  const std::string id = isNew ? changes.changes(0).accept_job().id() : "";
  Commit(changes,
         reactor,
         aReply,
         [this, isNew, id, where = aRequest->place()](const JobStore& aStore,
                                                      v1::JobReply& aOut) {
           if (!isNew) {
             AnswerState(aStore, where, aOut);
             return;
           }
           aOut.set_status(v1::JOB_CALL_OK);
           metrics_.Count("vh_jobs_accepted_total");
           LogInfo(Event::kJobAccepted,
                   { { "job", id },
                     { "queue", aStore.FindJob(id)->queue_ },
                     { "config", aStore.Config().version() } });
           wake_();
         });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceHost::Show(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const v1::JobPlace& place = aRequest->place();
  if (replica_.IsLeader()) {
    store_.With(
      [&](const JobStore& aStore) { AnswerState(aStore, place, *aReply); });
    const bool isPositive =
      aReply->status() == v1::JOB_CALL_OK && !aReply->is_count();
    if (isPositive) {
      reactor->Finish(grpc::Status::OK);
      return reactor;
    }
    aReply->Clear();
  }
  Commit(
    {}, reactor, aReply, [place](const JobStore& aStore, v1::JobReply& aOut) {
      AnswerState(aStore, place, aOut);
    });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceHost::Cancel(
  grpc::CallbackServerContext* aContext,
  const v1::JobRequest* aRequest,
  v1::JobReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  v1::JobChanges changes;
  store_.With([&](const JobStore& aStore) {
    const Place place = Resolve(aStore, aRequest->place());
    if (place.queue_ != nullptr && FindIn(aStore, place) != nullptr) {
      changes.add_changes()->mutable_cancel_job()->set_id(place.id_);
    }
  });
  Commit(changes,
         reactor,
         aReply,
         [this, place = aRequest->place()](const JobStore& aStore,
                                           v1::JobReply& aOut) {
           AnswerState(aStore, place, aOut);
           LogInfo(Event::kJobCancelled,
                   { { "path", place.path() },
                     { "status", static_cast<int>(aOut.status()) } });
           wake_();
         });
  return reactor;
}

grpc::ServerUnaryReactor* JobServiceHost::Members(
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
