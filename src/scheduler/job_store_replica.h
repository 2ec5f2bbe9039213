// The job store as a replicated state of the control log, with access from any
// thread.
//
//   JobStoreReplica store;
//   LogReplica replica(options, store, clock);
//   store.With([](const JobStore& aStore) { return aStore.JobCount(); });
#pragma once

#include "replica/log_replica.h"
#include "vanillahatch/core/jobs/job_store.h"

#include <mutex>

namespace vanillahatch {

class JobStoreReplica : public ReplicatedState
{
public:
  std::optional<std::string> Apply(const std::string& aPayload) override;
  std::string Snapshot() const override;
  bool Restore(const std::string& aBytes) override;

  // Calls `aWork` with the store while a lock excludes changes. References into
  // the store must not outlive the call.
  template<class Work>
  auto With(Work aWork)
  {
    std::lock_guard lock(mutex_);
    return aWork(store_);
  }

private:
  mutable std::mutex mutex_;
  JobStore store_;
};

} // namespace vanillahatch
