// Obtains and renews this entry's grants: has a `GrantHolder` for each data
// centre with upstreams, calls the data centre's grantor, and delivers the
// grants to the decision thread.
//
// The revocation of a grant is acknowledged to the grantor only after the
// decision thread has applied it (`OnGrantsApplied`), so that no job is
// dispatched under the grant afterwards.
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

class GrantClient
{
public:
  // Delivers grants to the decision thread. Returns false if its ring is full.
  using GrantsCallback = std::function<bool(const std::vector<Grant>&)>;

  GrantClient(const Settings& aSettings,
              const EntrySettings& aSelf,
              const std::string& aSession,
              GrantsCallback aDeliver);
  ~GrantClient();
  GrantClient(const GrantClient&) = delete;
  GrantClient& operator=(const GrantClient&) = delete;

  // To be called by the decision thread when an upstream is announced or
  // removed, an attempt starts or ends, and a delivered batch of grants has
  // been applied.
  void PutUpstream(const UpstreamFact& aFact);
  void RemoveUpstream(const InstanceName& aInstance);
  void OnAttemptStarted(const InstanceName& aInstance);
  void OnAttemptEnded(const InstanceName& aInstance);
  void OnGrantsApplied();

  void Report(Metrics& aMetrics) const;

private:
  struct Call
  {
    grpc::ClientContext context_;
    v1::GrantRequest request_;
    v1::GrantReply reply_;
  };

  // The grants of one data centre and the connection to its grantor.
  struct Grantor
  {
    GrantHolder holder_;
    std::unique_ptr<v1::ControlService::Stub> stub_;
    GrantHolder::InFlight attemptsInFlight_; // by instance
    // Changes that the decision thread has not taken, since its ring was full.
    std::vector<Grant> undelivered_;
  };

  void Run();
  void TickAll();
  void Send(const DataCentreName& aDataCentre,
            Grantor& aGrantor,
            v1::GrantRequest aRequest);
  void OnReply(const DataCentreName& aDataCentre, const v1::GrantReply& aReply);
  // Delivers the undelivered changes unless the ring is full.
  void DeliverChanges(Grantor& aGrantor);
  // Null if the instance is unknown.
  Grantor* FindGrantor(const InstanceName& aInstance);

  Settings settings_;
  NodeName self_;
  std::string session_;
  GrantsCallback deliver_;
  SystemClock clock_;
  mutable std::mutex mutex_; // guards everything below
  std::map<DataCentreName, Grantor> grantors_;
  std::map<InstanceName, DataCentreName> dataCentreByInstance_;
  uint64_t deliveredBatches_ = 0; // to the decision thread
  uint64_t appliedBatches_ = 0;   // by the decision thread
  size_t callsInFlight_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
