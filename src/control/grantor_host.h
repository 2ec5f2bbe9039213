// Runs the grantors of the data centres that this control replica is
// responsible for, and proposes the changes that they return, on a thread of
// its own.
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
  // Proposes a change and returns its result; may block until then.
  using ProposeFunction = std::function<v1::ChangeReply(const v1::Change&)>;

  GrantorHost(const Settings& aSettings,
              const ControlSettings& aSelf,
              ControlState& aState,
              ProposeFunction aPropose);
  ~GrantorHost();
  GrantorHost(const GrantorHost&) = delete;
  GrantorHost& operator=(const GrantorHost&) = delete;

  // Returns false if this replica is not the grantor of the data centre.
  bool Renew(const v1::GrantRequest& aRequest, v1::GrantReply& aReply);
  void ReportMetrics(Metrics& aMetrics) const;

private:
  // Requests for more data centres are rejected, since upstreams choose the
  // names.
  static constexpr size_t kMaxDataCentres = 64;

  // Returns nullptr if this replica is not responsible for the data centre.
  Grantor* FindOrCreate(const DataCentreName& aDataCentre);
  void Run();
  // Passes the applied state to every grantor.
  void UpdateGrantors();

  Settings settings_;
  ControlSettings self_;
  ControlState& state_;
  ProposeFunction propose_;
  SystemClock clock_;
  std::string incarnation_;

  mutable std::mutex mutex_; // guards grantors_
  std::map<DataCentreName, std::unique_ptr<Grantor>> grantors_;
  std::mutex wakeMutex_; // guards stateChanged_ and stopping_
  std::condition_variable wake_;
  bool stateChanged_ = true;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
