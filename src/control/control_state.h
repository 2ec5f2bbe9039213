// The configuration that a control replica has applied, with its latest changes
// for entries that are a few revisions behind. Safe from any thread.
#pragma once

#include "vanillahatch/core/fleet_config.h"

#include "control.pb.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch {

class ControlState
{
public:
  // Applies a change that the control log has committed, in log order.
  v1::ChangeReply ApplyCommitted(const v1::Change& aChange);

  // Returns the changes after the entry's revision, or the whole state if they
  // are not kept.
  v1::SyncReply Sync(const v1::SyncRequest& aRequest) const;

  v1::FleetState State() const;
  uint64_t Revision() const;

  // Snapshots for the control log. `RestoreSnapshot` returns false, and changes
  // nothing, if the bytes cannot be parsed.
  std::string Snapshot() const;
  bool RestoreSnapshot(std::string_view aBytes);

  // `aListener` is called after each new revision, on the thread that applies
  // it, without locks held. Subscribe before the first change is applied.
  void Subscribe(std::function<void()> aListener);

private:
  // An entry that is further behind gets the whole state. Two hours of changes
  // at 13,000 a day.
  static constexpr size_t kMaxRecentChanges = 1100;

  void Notify() const;

  mutable std::mutex mutex_;
  FleetConfig config_;
  std::deque<v1::Change> recentChanges_; // accepted, oldest first
  std::vector<std::function<void()>> listeners_;
};

} // namespace vanillahatch
