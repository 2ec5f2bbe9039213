// The gRPC face of a ledger replica.
#pragma once

#include "vanillahatch/core/claim_register.h"

#include "ledger.grpc.pb.h"

#include <mutex>

namespace vanillahatch {

class LedgerService : public v1::LedgerService::CallbackService
{
public:
  grpc::ServerUnaryReactor* Claim(grpc::CallbackServerContext* aContext,
                                  const v1::ClaimRequest* aRequest,
                                  v1::ClaimReply* aReply) override;
  grpc::ServerUnaryReactor* RecordOutcome(grpc::CallbackServerContext* aContext,
                                          const v1::OutcomeRequest* aRequest,
                                          v1::OutcomeReply* aReply) override;

private:
  std::mutex mutex_;
  ClaimRegister register_;
};

} // namespace vanillahatch
