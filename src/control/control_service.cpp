#include "control/control_service.h"

namespace vanillahatch {

ControlService::ControlService(ControlState& aState)
  : state_(aState)
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
  *aReply = state_.Propose(*aRequest);
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace vanillahatch
