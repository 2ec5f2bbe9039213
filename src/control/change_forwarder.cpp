#include "control/change_forwarder.h"

#include "vanillahatch/shell/rpc.h"

namespace vanillahatch {

namespace {

constexpr Millis kForwardTimeout = Seconds(2);

struct ForwardCall
{
  grpc::ClientContext context_;
  v1::Change request_;
  v1::ChangeReply reply_;
};

} // namespace

ChangeForwarder::ChangeForwarder(const NodeName& aSelf,
                                 std::span<const ControlSettings> aReplicas)
{
  for (const ControlSettings& replica : aReplicas) {
    if (replica.name_ != aSelf) {
      stubs_[replica.name_.Str()] =
        v1::ControlService::NewStub(MakeChannel(replica.rpc_));
    }
  }
}

ChangeForwarder::~ChangeForwarder()
{
  Stop();
}

void ChangeForwarder::Stop()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (grpc::ClientContext* context : callContexts_) {
    context->TryCancel();
  }
  callEnded_.wait(lock, [this] { return callContexts_.empty(); });
}

void ChangeForwarder::RemoveCall(grpc::ClientContext* aContext)
{
  std::lock_guard lock(mutex_);
  std::erase(callContexts_, aContext);
  callEnded_.notify_all();
}

bool ChangeForwarder::Forward(const std::string& aReplicaName,
                              const v1::Change& aChange,
                              ReplyCallback aDone)
{
  const auto stub = stubs_.find(aReplicaName);
  if (stub == stubs_.end()) {
    return false;
  }
  auto call = std::make_shared<ForwardCall>();
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    callContexts_.push_back(&call->context_);
  }
  SetDeadline(call->context_, kForwardTimeout);
  call->request_ = aChange;
  stub->second->async()->Propose(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, done = std::move(aDone)](const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        call->reply_.set_status(v1::CHANGE_UNAVAILABLE);
        call->reply_.set_detail(aStatus.error_message());
      }
      done(call->reply_);
      RemoveCall(&call->context_);
    });
  return true;
}

} // namespace vanillahatch
