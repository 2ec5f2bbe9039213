#include "control/control_service.h"

namespace vanillahatch {

ControlService::ControlService(ControlState& aState, ChangeProposer& aProposer)
  : state_(aState)
  , proposer_(aProposer)
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
                    [reactor, aReply](const v1::ChangeReply& aDecided) {
                      *aReply = aDecided;
                      reactor->Finish(grpc::Status::OK);
                    });
  return reactor;
}

} // namespace vanillahatch
