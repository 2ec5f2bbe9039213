#include "ledger/ledger_service.h"

#include "vanillahatch/shell/log.h"

namespace vanillahatch {

grpc::ServerUnaryReactor* LedgerService::Vote(
  grpc::CallbackServerContext* aContext,
  const v1::VoteRequest* aRequest,
  v1::VoteReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const bool isAccepted = replica_.TryVote(
    aRequest, aReply, [reactor] { reactor->Finish(grpc::Status::OK); });
  if (!isAccepted) {
    LogWarning(Event::kOverloaded, { { "ring", "ledger-storage" } });
    aReply->set_status(v1::VOTE_OVERLOADED);
    reactor->Finish(grpc::Status::OK);
  }
  return reactor;
}

grpc::ServerUnaryReactor* LedgerService::Copy(
  grpc::CallbackServerContext* aContext,
  const v1::CopyRequest* aRequest,
  v1::CopyReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  const bool isAccepted = replica_.TryCopy(
    aRequest, aReply, [reactor] { reactor->Finish(grpc::Status::OK); });
  if (!isAccepted) {
    reactor->Finish({ grpc::StatusCode::RESOURCE_EXHAUSTED, "ring is full" });
  }
  return reactor;
}

} // namespace vanillahatch
