#include "scheduler/job_store_replica.h"

namespace vanillahatch {

std::optional<std::string> JobStoreReplica::Apply(const std::string& aPayload)
{
  v1::JobChanges changes;
  if (!changes.ParseFromString(aPayload)) {
    return std::nullopt;
  }
  std::lock_guard lock(mutex_);
  store_.Apply(changes);
  return std::string();
}

std::string JobStoreReplica::Snapshot() const
{
  std::lock_guard lock(mutex_);
  return store_.Snapshot();
}

bool JobStoreReplica::Restore(const std::string& aBytes)
{
  std::lock_guard lock(mutex_);
  return store_.Restore(aBytes);
}

} // namespace vanillahatch
