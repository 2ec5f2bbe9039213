// The gRPC service of a ledger replica. A full storage ring is answered by
// VOTE_OVERLOADED or RESOURCE_EXHAUSTED.
#pragma once

#include "ledger/ledger_replica.h"

#include "ledger.grpc.pb.h"

namespace vanillahatch {

class LedgerService : public v1::LedgerService::CallbackService
{
public:
  explicit LedgerService(LedgerReplica& aReplica)
    : replica_(aReplica)
  {
  }

  grpc::ServerUnaryReactor* Vote(grpc::CallbackServerContext* aContext,
                                 const v1::VoteRequest* aRequest,
                                 v1::VoteReply* aReply) override;
  grpc::ServerUnaryReactor* Copy(grpc::CallbackServerContext* aContext,
                                 const v1::CopyRequest* aRequest,
                                 v1::CopyReply* aReply) override;

private:
  LedgerReplica& replica_;
};

} // namespace vanillahatch
