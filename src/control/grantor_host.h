// Runs the grantors of the data centres that this control replica answers for,
// on a thread of its own, and proposes what they find due.
#pragma once

#include "control/control_state.h"
#include "vanillahatch/core/grantor.h"
#include "vanillahatch/shell/metrics.h"
#include "vanillahatch/shell/settings.h"
#include "vanillahatch/shell/system_clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace vanillahatch {

class GrantorHost
{
public:
  // May block for as long as a proposal takes.
  using Propose = std::function<v1::ChangeReply(const v1::Change&)>;

  GrantorHost(const Settings& aSettings,
              const ControlSettings& aSelf,
              ControlState& aState,
              Propose aPropose);
  ~GrantorHost();
  GrantorHost(const GrantorHost&) = delete;
  GrantorHost& operator=(const GrantorHost&) = delete;

  // False if this replica is not the grantor of that data centre.
  bool Renew(const v1::GrantRequest& aRequest, v1::GrantReply& aReply);
  void Report(Metrics& aMetrics) const;

private:
  // Data centres that upstreams may name; more are refused.
  static constexpr size_t kMaxDataCentres = 64;

  Grantor* FindOrMake(const DataCentreName& aDataCentre);
  void Run();
  void TakeState();

  Settings settings_;
  ControlSettings self_;
  ControlState& state_;
  Propose propose_;
  SystemClock clock_;
  Millis startedAt_;
  std::string incarnation_;

  mutable std::mutex mutex_; // guards the grantors
  std::map<DataCentreName, std::unique_ptr<Grantor>> grantors_;
  std::mutex wakeMutex_; // guards the two below
  std::condition_variable wake_;
  bool changed_ = true;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
