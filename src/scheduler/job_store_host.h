// The job store as the replica of its log applies it, readable from other
// threads.
#pragma once

#include "replica/log_replica.h"
#include "vanillahatch/core/jobs/job_store.h"

#include <mutex>

namespace vanillahatch {

class JobStoreHost : public ReplicatedState
{
public:
  std::string Apply(const std::string& aPayload) override;
  std::string Snapshot() const override;
  bool Restore(const std::string& aBytes) override;

  // Calls `aWork` with the store, which does not change meanwhile. References
  // into it must not be kept.
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
