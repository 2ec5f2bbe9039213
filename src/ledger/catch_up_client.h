// Runs the catch-up of a ledger replica that has lost its state: fetches the
// state from the other replicas over gRPC, on a thread of its own, and installs
// the result in the replica. Failed requests are repeated until then or until
// destruction.
#pragma once

#include "ledger/ledger_replica.h"
#include "vanillahatch/core/claim_catch_up.h"
#include "vanillahatch/shell/settings.h"

#include "ledger.grpc.pb.h"

#include <atomic>
#include <memory>
#include <span>
#include <thread>
#include <vector>

namespace vanillahatch {

class CatchUpClient
{
public:
  CatchUpClient(LedgerReplica& aReplica,
                std::span<const LedgerSettings> aLedgers,
                uint32_t aSelfIndex);
  ~CatchUpClient();

private:
  void RunCatchUp();
  // Sends one request and passes the reply in; returns the next requests.
  std::vector<OutgoingCopyRequest> SendRequest(
    ClaimCatchUp& aCatchUp,
    const OutgoingCopyRequest& aOutgoing);

  LedgerReplica& replica_;
  uint32_t selfIndex_;
  std::vector<std::unique_ptr<v1::LedgerService::Stub>> stubs_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
