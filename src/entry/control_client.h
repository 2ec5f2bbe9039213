// Keeps this entry's configuration up to date. Long-polls one control replica
// for revisions above the one held, preferring replicas of its own data centre;
// each call has a deadline, so that a dead connection is detected. Every two
// seconds it also asks another replica, in case the first one lags behind.
#pragma once

#include "vanillahatch/core/fleet_config_view.h"
#include "vanillahatch/shell/metrics.h"
#include "vanillahatch/shell/settings.h"
#include "vanillahatch/shell/system_clock.h"

#include "control.grpc.pb.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace vanillahatch {

class ControlClient
{
public:
  using AppliedCallback = std::function<void(const v1::FleetState&)>;

  // `aOnApplied` is called on this class's thread after each new revision.
  ControlClient(const EntrySettings& aSelf,
                std::span<const ControlSettings> aControls,
                AppliedCallback aOnApplied);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  uint64_t Revision() const;
  bool Ready() const;
  // The current configuration; safe to call from any thread.
  std::shared_ptr<const v1::FleetState> State() const;

  // JSON members for /readyz: the revision held, the highest one observed,
  // whether the held one is stale, and the milliseconds since it was applied
  // and since a control replica last replied.
  std::string StatusJson() const;
  void Report(Metrics& aMetrics) const;

private:
  struct Control
  {
    std::string name_;
    std::unique_ptr<v1::ControlService::Stub> stub_;
  };

  void Run();
  // Syncs with every replica in turn, without long polls, until the entry is
  // ready, so that a restarted entry knows the highest revision before it
  // reports ready.
  void SyncUntilReady();
  // Makes one call, which waits up to `aWait` for a new revision. Returns
  // whether the replica replied.
  bool SyncOnce(size_t aControl, Millis aWait);
  // Syncs with the next replica and switches to it if it has a newer revision.
  void SyncWithNextControl();
  void RecordReachable(bool aIsReachable);

  NodeName self_;
  SystemClock clock_;
  std::vector<Control> controls_;
  size_t current_ = 0;    // index of the replica that is polled
  size_t lastProbed_ = 0; // index of the last replica asked besides
  bool isReachable_ = true;
  AppliedCallback onApplied_;
  mutable std::mutex mutex_; // guards `view_` and `state_`
  FleetConfigView view_;
  std::shared_ptr<const v1::FleetState> state_;
  std::atomic<bool> stopping_ = false;
  std::mutex callMutex_; // guards `call_`
  grpc::ClientContext* call_ = nullptr;
  std::thread thread_;
};

} // namespace vanillahatch
