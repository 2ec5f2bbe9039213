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
  for (grpc::ClientContext* context : contexts_) {
    context->TryCancel();
  }
  ended_.wait(lock, [this] { return contexts_.empty(); });
}

void ChangeForwarder::End(grpc::ClientContext* aContext)
{
  std::lock_guard lock(mutex_);
  std::erase(contexts_, aContext);
  ended_.notify_all();
}

bool ChangeForwarder::Forward(const std::string& aTo,
                              const v1::Change& aChange,
                              Forwarded aDone)
{
  const auto found = stubs_.find(aTo);
  if (found == stubs_.end()) {
    return false;
  }
  auto call = std::make_shared<ForwardCall>();
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    contexts_.push_back(&call->context_);
  }
  SetDeadline(call->context_, kForwardTimeout);
  call->request_ = aChange;
  found->second->async()->Propose(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, done = std::move(aDone)](const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        call->reply_.set_status(v1::CHANGE_UNAVAILABLE);
        call->reply_.set_detail(aStatus.error_message());
      }
      done(call->reply_);
      End(&call->context_);
    });
  return true;
}

} // namespace vanillahatch
