#include "control/control_state.h"

namespace vanillahatch {

v1::ChangeReply ControlState::ApplyCommitted(const v1::Change& aChange)
{
  std::unique_lock lock(mutex_);
  const uint64_t previousRevision = config_.Revision();
  v1::ChangeReply reply = config_.Apply(aChange);
  if (config_.Revision() == previousRevision) {
    return reply;
  }
  recentChanges_.push_back(aChange);
  if (recentChanges_.size() > kMaxRecentChanges) {
    recentChanges_.pop_front();
  }
  lock.unlock();
  Notify();
  return reply;
}

v1::SyncReply ControlState::Sync(const v1::SyncRequest& aRequest) const
{
  std::lock_guard lock(mutex_);
  v1::SyncReply reply;
  reply.set_revision(config_.Revision());
  if (aRequest.known_revision() >= config_.Revision()) {
    return reply;
  }
  const uint64_t missingCount = config_.Revision() - aRequest.known_revision();
  if (missingCount > recentChanges_.size()) {
    *reply.mutable_full() = config_.State();
    return reply;
  }
  const auto first =
    recentChanges_.end() - static_cast<std::ptrdiff_t>(missingCount);
  for (auto it = first; it != recentChanges_.end(); ++it) {
    *reply.add_deltas() = *it;
  }
  return reply;
}

v1::FleetState ControlState::State() const
{
  std::lock_guard lock(mutex_);
  return config_.State();
}

uint64_t ControlState::Revision() const
{
  std::lock_guard lock(mutex_);
  return config_.Revision();
}

std::string ControlState::Snapshot() const
{
  std::lock_guard lock(mutex_);
  return config_.Snapshot();
}

bool ControlState::RestoreSnapshot(std::string_view aBytes)
{
  std::unique_lock lock(mutex_);
  if (!config_.RestoreSnapshot(aBytes)) {
    return false;
  }
  // The changes before the snapshot are unknown.
  recentChanges_.clear();
  lock.unlock();
  Notify();
  return true;
}

void ControlState::Subscribe(std::function<void()> aListener)
{
  std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(aListener));
}

void ControlState::Notify() const
{
  for (const auto& listener : listeners_) {
    listener();
  }
}

} // namespace vanillahatch
