#include "control/control_log_peers.h"

#include "vanillahatch/shell/rpc.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kExchangeTimeout = Seconds(1);
constexpr Millis kSnapshotTimeout = Seconds(10);
constexpr Millis kForwardTimeout = Seconds(2);
constexpr size_t kMaxUnderWay = 8; // exchanges with one replica

struct ExchangeCall
{
  grpc::ClientContext context_;
  v1::PeerBatch request_;
  v1::PeerBatch reply_;
};

struct ForwardCall
{
  grpc::ClientContext context_;
  v1::Change request_;
  v1::ChangeReply reply_;
};

bool HasSnapshot(const v1::PeerBatch& aBatch)
{
  return std::any_of(aBatch.messages().begin(),
                     aBatch.messages().end(),
                     [](const auto& aM) { return aM.has_snapshot(); });
}

} // namespace

ControlLogPeers::ControlLogPeers(const NodeName& aSelf,
                                 std::span<const ControlSettings> aReplicas,
                                 Receiver aReceiver)
  : receiver_(std::move(aReceiver))
{
  for (const ControlSettings& replica : aReplicas) {
    if (replica.name_ != aSelf) {
      const auto channel = MakeChannel(replica.rpc_);
      Peer& peer = peers_[replica.name_.Str()];
      peer.log_ = v1::LogService::NewStub(channel);
      peer.control_ = v1::ControlService::NewStub(channel);
    }
  }
}

ControlLogPeers::~ControlLogPeers()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (grpc::ClientContext* context : contexts_) {
    context->TryCancel();
  }
  ended_.wait(lock, [this] { return contexts_.empty(); });
}

void ControlLogPeers::Begin(grpc::ClientContext* aContext)
{
  contexts_.push_back(aContext);
}

void ControlLogPeers::End(grpc::ClientContext* aContext, Peer* aPeer)
{
  std::lock_guard lock(mutex_);
  std::erase(contexts_, aContext);
  if (aPeer != nullptr) {
    --aPeer->underWay_;
  }
  ended_.notify_all();
}

void ControlLogPeers::Send(const std::string& aTo, v1::PeerBatch aBatch)
{
  const auto found = peers_.find(aTo);
  if (found == peers_.end()) {
    return;
  }
  Peer* peer = &found->second;
  auto call = std::make_shared<ExchangeCall>();
  {
    std::lock_guard lock(mutex_);
    if (stopping_ || peer->underWay_ >= kMaxUnderWay) {
      return;
    }
    ++peer->underWay_;
    Begin(&call->context_);
  }
  SetDeadline(call->context_,
              HasSnapshot(aBatch) ? kSnapshotTimeout : kExchangeTimeout);
  call->request_ = std::move(aBatch);
  peer->log_->async()->Exchange(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, peer](const grpc::Status& aStatus) {
      if (aStatus.ok() && call->reply_.messages_size() > 0) {
        receiver_(std::move(call->reply_));
      }
      End(&call->context_, peer);
    });
}

bool ControlLogPeers::Forward(const std::string& aTo,
                              const v1::Change& aChange,
                              Forwarded aDone)
{
  const auto found = peers_.find(aTo);
  if (found == peers_.end()) {
    return false;
  }
  auto call = std::make_shared<ForwardCall>();
  {
    std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    Begin(&call->context_);
  }
  SetDeadline(call->context_, kForwardTimeout);
  call->request_ = aChange;
  found->second.control_->async()->Propose(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, done = std::move(aDone)](const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        call->reply_.set_status(v1::CHANGE_UNAVAILABLE);
        call->reply_.set_detail(aStatus.error_message());
      }
      done(std::move(call->reply_));
      End(&call->context_, nullptr);
    });
  return true;
}

} // namespace vanillahatch
