// Serves the job calls of gateways on the scheduler replica that leads. Any
// other replica replies JOB_CALL_NOT_LEADER with the leader's name.
//
// A reply that something does not exist is sent only after a round through the
// log, because a leader that has been replaced may lack recent jobs. Where the
// configuration checks keys, each decision about a key is made under the leader
// lease or after such a round, because a leader that was replaced long ago may
// lack the configuration that removed the key.
//
// JOB_CALL_UNKNOWN: the change may or may not be committed. JOB_CALL_REFUSED:
// it is not; the caller may retry.
#pragma once

#include "scheduler/job_store_replica.h"
#include "scheduler/read_barrier.h"
#include "vanillahatch/shell/metrics.h"

#include "jobs.grpc.pb.h"

#include <functional>
#include <limits>

namespace vanillahatch {

class JobServiceImpl : public v1::JobService::CallbackService
{
public:
  // Calls `aOnJobsChanged` after each accepted or cancelled job, on any thread.
  // Refuses jobs beyond `aMaxJobBytes` of stored ones; a quarter of them is
  // kept for small jobs.
  JobServiceImpl(JobStoreReplica& aStore,
                 LogReplica& aReplica,
                 Metrics& aMetrics,
                 const Clock& aClock,
                 std::function<void()> aOnJobsChanged,
                 size_t aMaxJobBytes = std::numeric_limits<size_t>::max());

  grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* aContext,
                                   const v1::SubmitRequest* aRequest,
                                   v1::JobReply* aReply) override;
  grpc::ServerUnaryReactor* Show(grpc::CallbackServerContext* aContext,
                                 const v1::JobRequest* aRequest,
                                 v1::JobReply* aReply) override;
  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* aContext,
                                   const v1::JobRequest* aRequest,
                                   v1::JobReply* aReply) override;
  grpc::ServerUnaryReactor* Members(grpc::CallbackServerContext* aContext,
                                    const v1::MembersRequest* aRequest,
                                    v1::MembersReply* aReply) override;

private:
  // What a call changes, on behalf of whom.
  struct Decision
  {
    Caller caller_;
    v1::JobChanges changes_;
  };

  // Passes the result of `aDecide` to `aCarryOut`. `aDecide` may fill the
  // reply; it is called again, with a cleared reply, if the configuration that
  // it read may have been replaced.
  void Decide(grpc::ServerUnaryReactor* aReactor,
              v1::JobReply* aReply,
              const std::function<Decision(const JobStore&)>& aDecide,
              const std::function<void(Decision)>& aCarryOut);
  // True if this replica was the leader in force in `aTerm` and still holds the
  // leader lease of that term. A configuration that the state lacked in between
  // was confirmed by a successor, and no longer ago than the lease lasts.
  bool HasLedSince(uint64_t aTerm) const;
  void Finish(grpc::ServerUnaryReactor* aReactor, const v1::JobReply& aReply);
  // Commits the changes, then calls `aFillReply` to fill the reply from the
  // store. If there are no changes, confirms that this replica leads instead.
  void Commit(const v1::JobChanges& aChanges,
              grpc::ServerUnaryReactor* aReactor,
              v1::JobReply* aReply,
              std::function<void(const JobStore&, v1::JobReply&)> aFillReply);

  void FillAcceptance(const JobStore& aStore,
                      const v1::SubmitRequest& aRequest,
                      const Caller& aCaller,
                      v1::JobReply& aReply);

  JobStoreReplica& store_;
  LogReplica& replica_;
  Metrics& metrics_;
  const Clock& clock_;
  std::function<void()> onJobsChanged_;
  const size_t maxJobBytes_;
  ReadBarrier readBarrier_;
};

} // namespace vanillahatch
