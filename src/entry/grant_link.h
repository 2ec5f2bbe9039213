// This entry's grants: a holder for each data centre that has upstreams, the
// calls to their grantors, and the way of the grants to the decisions.
//
// What a grantor revokes is acknowledged only after the decision thread has
// taken it in (`OnHandled`), so that no job goes out under it afterwards.
#pragma once

#include "vanillahatch/core/grant_holder.h"
#include "vanillahatch/shell/metrics.h"
#include "vanillahatch/shell/settings.h"
#include "vanillahatch/shell/system_clock.h"

#include "control.grpc.pb.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillahatch {

class GrantLink
{
public:
  // Hands grants to the decision thread; false if its ring is full.
  using Sink = std::function<bool(const std::vector<Grant>&)>;

  GrantLink(const Settings& aSettings,
            const EntrySettings& aSelf,
            const std::string& aSession,
            Sink aSink);
  ~GrantLink();
  GrantLink(const GrantLink&) = delete;
  GrantLink& operator=(const GrantLink&) = delete;

  // From the decision thread: an upstream is live or gone; an attempt has
  // begun or ended; a batch of grants is in force.
  void PutUpstream(const UpstreamFact& aFact);
  void RemoveUpstream(const InstanceName& aInstance);
  void Begun(const InstanceName& aInstance);
  void Ended(const InstanceName& aInstance);
  void OnHandled();

  void Report(Metrics& aMetrics) const;

private:
  struct Call
  {
    grpc::ClientContext context_;
    v1::GrantRequest request_;
    v1::GrantReply reply_;
  };

  // One data centre's grants.
  struct Line
  {
    GrantHolder holder_;
    std::unique_ptr<v1::ControlService::Stub> stub_;
    GrantHolder::InFlight inFlight_;
    std::vector<Grant> unsent_; // the ring was full
  };

  void Run();
  void TickAll();
  void Send(const DataCentreName& aDataCentre,
            Line& aLine,
            v1::GrantRequest aRequest);
  void OnReply(const DataCentreName& aDataCentre, const v1::GrantReply& aReply);
  void PassOn(Line& aLine);
  Line* LineOf(const InstanceName& aInstance);

  Settings settings_;
  NodeName self_;
  std::string session_;
  Sink sink_;
  SystemClock clock_;
  mutable std::mutex mutex_; // guards everything below
  std::map<DataCentreName, Line> lines_;
  std::map<InstanceName, DataCentreName> dataCentres_;
  uint64_t passedOn_ = 0;
  uint64_t handled_ = 0;
  size_t calls_ = 0; // under way
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
