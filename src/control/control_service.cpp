#include "control/control_service.h"

namespace vanillahatch {

v1::ChangeReply ControlState::Propose(const v1::Change& aChange)
{
  std::lock_guard lock(mutex_);
  const uint64_t before = config_.Revision();
  v1::ChangeReply reply = config_.Apply(aChange);
  if (config_.Revision() != before) {
    recent_.push_back(aChange);
    if (recent_.size() > kKeptChanges) {
      recent_.pop_front();
    }
  }
  return reply;
}

v1::SyncReply ControlState::Sync(const v1::SyncRequest& aRequest) const
{
  std::lock_guard lock(mutex_);
  v1::SyncReply reply;
  reply.set_revision(config_.Revision());
  if (aRequest.known_revision() >= config_.Revision()) {
    return reply;
  }
  const uint64_t missing = config_.Revision() - aRequest.known_revision();
  if (missing > recent_.size()) {
    *reply.mutable_full() = config_.State();
    return reply;
  }
  const auto first = recent_.end() - static_cast<std::ptrdiff_t>(missing);
  for (auto it = first; it != recent_.end(); ++it) {
    *reply.add_deltas() = *it;
  }
  return reply;
}

v1::FleetState ControlState::State() const
{
  std::lock_guard lock(mutex_);
  return config_.State();
}

ControlService::ControlService(ControlState& aState)
  : state_(aState)
{
}

grpc::ServerUnaryReactor* ControlService::Sync(
  grpc::CallbackServerContext* aContext,
  const v1::SyncRequest* aRequest,
  v1::SyncReply* aReply)
{
  *aReply = state_.Sync(*aRequest);
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
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
