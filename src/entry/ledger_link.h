// This entry's way to the ledger replicas: claims a key at a majority before
// anything is dispatched, and records how the job ended.
#pragma once

#include "vanillahatch/core/entry_core.h"
#include "vanillahatch/shell/settings.h"

#include "ledger.grpc.pb.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace vanillahatch {

class LedgerLink
{
public:
  // `aOutcome` is set when the verdict is `kRecorded`.
  using ClaimDone = std::function<void(ClaimVerdict aVerdict,
                                       const v1::RecordedOutcome& aOutcome)>;

  explicit LedgerLink(std::span<const LedgerSettings> aLedgers);

  // Calls back once, on a thread of gRPC's.
  void Claim(const v1::ClaimRequest& aRequest, ClaimDone aDone);
  void Record(const v1::OutcomeRequest& aRequest);

private:
  std::vector<std::shared_ptr<v1::LedgerService::Stub>> stubs_;
};

} // namespace vanillahatch
