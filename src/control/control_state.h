// The configuration as one control replica has applied it, with the latest
// changes for entries that are a little behind. Safe from any thread.
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

  // What an entry lacks: the changes after its revision, or the whole state.
  v1::SyncReply Sync(const v1::SyncRequest& aRequest) const;

  v1::FleetState State() const;
  uint64_t Revision() const;

  // For the control log's snapshots.
  std::string Snapshot() const;
  bool RestoreSnapshot(std::string_view aBytes);

  // `aListener` is called after each new revision, on the applying thread and
  // without locks held. Subscribe before the first change is applied.
  void Subscribe(std::function<void()> aListener);

private:
  // A change that entries can lack at most before they get the whole state:
  // two hours of the changes of a day with 13,000 of them.
  static constexpr size_t kKeptChanges = 1100;

  void Notify() const;

  mutable std::mutex mutex_;
  FleetConfig config_;
  std::deque<v1::Change> recent_; // the last accepted ones, oldest first
  std::vector<std::function<void()>> listeners_;
};

} // namespace vanillahatch
