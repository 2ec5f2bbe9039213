#include "ledger/ledger_service.h"

namespace vanillahatch {

grpc::ServerUnaryReactor* LedgerService::Claim(
  grpc::CallbackServerContext* aContext,
  const v1::ClaimRequest* aRequest,
  v1::ClaimReply* aReply)
{
  {
    std::lock_guard lock(mutex_);
    bool changed = false;
    *aReply = register_.Claim(*aRequest, changed);
  }
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* LedgerService::RecordOutcome(
  grpc::CallbackServerContext* aContext,
  const v1::OutcomeRequest* aRequest,
  v1::OutcomeReply* aReply)
{
  {
    std::lock_guard lock(mutex_);
    aReply->set_recorded(register_.Record(*aRequest));
  }
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace vanillahatch
