// Keeps this entry's configuration up to date: waits at one control replica,
// the own data centre's first, for what comes after the held revision (long
// poll with a deadline, so that a silent connection is found), and now and
// then asks another one, in case the first lags behind the rest.
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

class ControlLink
{
public:
  using Applied = std::function<void(const v1::FleetState&)>;

  // `aApplied` is called on the link's thread after each new revision.
  ControlLink(const EntrySettings& aSelf,
              std::span<const ControlSettings> aControls,
              Applied aApplied);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  uint64_t Revision() const;
  bool Ready() const;
  // The configuration in force, for readers on other threads.
  std::shared_ptr<const v1::FleetState> State() const;

  // JSON members for /readyz: revision, highest seen, stale, seconds held and
  // seconds since a control replica answered.
  std::string StatusJson() const;
  void Report(Metrics& aMetrics) const;

private:
  struct Control
  {
    std::string name_;
    std::unique_ptr<v1::ControlService::Stub> stub_;
  };

  void Run();
  // Asks every replica once, without waiting, so that a restarted entry hears
  // of the highest revision before it reports ready.
  void AskAll();
  bool SyncOnce(size_t aControl, Millis aWait);
  // Asks the next replica in turn and moves to it if it knows more.
  void Probe();
  void NoteReached(bool aReached);

  NodeName self_;
  SystemClock clock_;
  std::vector<Control> controls_;
  size_t current_ = 0;
  size_t probed_ = 0;
  bool reached_ = true;
  Applied applied_;
  mutable std::mutex mutex_; // guards the two below
  FleetConfigView view_;
  std::shared_ptr<const v1::FleetState> state_;
  std::atomic<bool> stopping_ = false;
  std::mutex callMutex_; // guards `call_`
  grpc::ClientContext* call_ = nullptr;
  std::thread thread_;
};

} // namespace vanillahatch
