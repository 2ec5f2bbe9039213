#include "scheduler/job_store_host.h"

namespace vanillahatch {

std::string JobStoreHost::Apply(const std::string& aPayload)
{
  v1::JobChanges changes;
  changes.ParseFromString(aPayload);
  std::lock_guard lock(mutex_);
  store_.Apply(changes);
  return {};
}

std::string JobStoreHost::Snapshot() const
{
  std::lock_guard lock(mutex_);
  return store_.Snapshot();
}

bool JobStoreHost::Restore(const std::string& aBytes)
{
  std::lock_guard lock(mutex_);
  return store_.Restore(aBytes);
}

} // namespace vanillahatch
