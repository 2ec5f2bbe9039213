#include "control/control_service.h"

namespace vanillahatch {

ControlService::ControlService(ControlState& aState,
                               ChangeProposer& aProposer,
                               GrantorHost& aGrantors)
  : state_(aState)
  , proposer_(aProposer)
  , grantors_(aGrantors)
  , waiters_(aState)
{
}

grpc::ServerUnaryReactor* ControlService::Sync(
  grpc::CallbackServerContext* aContext,
  const v1::SyncRequest* aRequest,
  v1::SyncReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  waiters_.Add(reactor, aRequest, aReply);
  return reactor;
}

grpc::ServerUnaryReactor* ControlService::Propose(
  grpc::CallbackServerContext* aContext,
  const v1::Change* aRequest,
  v1::ChangeReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  proposer_.Propose(*aRequest,
                    [reactor, aReply](const v1::ChangeReply& aResult) {
                      *aReply = aResult;
                      reactor->Finish(grpc::Status::OK);
                    });
  return reactor;
}

grpc::ServerUnaryReactor* ControlService::Renew(
  grpc::CallbackServerContext* aContext,
  const v1::GrantRequest* aRequest,
  v1::GrantReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  if (grantors_.Renew(*aRequest, *aReply)) {
    reactor->Finish(grpc::Status::OK);
  } else {
    reactor->Finish(
      grpc::Status(grpc::StatusCode::FAILED_PRECONDITION,
                   "this replica is not the grantor of that data centre"));
  }
  return reactor;
}

} // namespace vanillahatch
