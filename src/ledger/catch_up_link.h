// Runs a catch-up of this replica against the others, on a thread of its own,
// and installs the result. Ends when that is done or when destroyed.
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

class CatchUpLink
{
public:
  CatchUpLink(LedgerReplica& aReplica,
              std::span<const LedgerSettings> aLedgers,
              uint32_t aSelf);
  ~CatchUpLink();

private:
  void Loop();
  // Asks one replica and feeds the answer in; what to send next.
  std::vector<SendCopy> Ask(ClaimCatchUp& aCatchUp, const SendCopy& aSend);

  LedgerReplica& replica_;
  uint32_t self_;
  std::vector<std::unique_ptr<v1::LedgerService::Stub>> stubs_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
