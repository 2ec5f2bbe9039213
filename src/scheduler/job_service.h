// The calls of entries, answered by the replica that leads.
//
// An answer that something does not exist is given only after a round through
// the log, so that a leader that was replaced meanwhile cannot give it.
#pragma once

#include "scheduler/confirmed_reads.h"
#include "scheduler/job_store_host.h"
#include "vanillahatch/shell/metrics.h"

#include "jobs.grpc.pb.h"

#include <functional>

namespace vanillahatch {

class JobServiceHost : public v1::JobService::CallbackService
{
public:
  // `aWake` is called after each accepted or cancelled job, on any thread.
  JobServiceHost(JobStoreHost& aStore,
                 LogReplica& aReplica,
                 Metrics& aMetrics,
                 std::function<void()> aWake);

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
  // Commits the changes, then lets `aAnswer` fill the reply from the store.
  void Commit(const v1::JobChanges& aChanges,
              grpc::ServerUnaryReactor* aReactor,
              v1::JobReply* aReply,
              std::function<void(const JobStore&, v1::JobReply&)> aAnswer);

  JobStoreHost& store_;
  LogReplica& replica_;
  Metrics& metrics_;
  std::function<void()> wake_;
  ConfirmedReads reads_;
};

} // namespace vanillahatch
