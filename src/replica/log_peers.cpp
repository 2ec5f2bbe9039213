#include "replica/log_peers.h"

#include "vanillahatch/shell/rpc.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kExchangeTimeout = Seconds(1);
constexpr Millis kSnapshotTimeout = Seconds(10);
constexpr size_t kMaxInFlight = 8; // calls to one replica

struct ExchangeCall
{
  grpc::ClientContext context_;
  v1::PeerBatch request_;
  v1::PeerBatch reply_;
};

bool HasSnapshot(const v1::PeerBatch& aBatch)
{
  return std::any_of(
    aBatch.messages().begin(),
    aBatch.messages().end(),
    [](const auto& aMessage) { return aMessage.has_snapshot(); });
}

} // namespace

LogPeers::LogPeers(Resolver aResolver, Receiver aReceiver)
  : resolver_(std::move(aResolver))
  , receiver_(std::move(aReceiver))
{
}

LogPeers::~LogPeers()
{
  std::unique_lock lock(mutex_);
  stopping_ = true;
  for (grpc::ClientContext* context : activeContexts_) {
    context->TryCancel();
  }
  callFinished_.wait(lock, [this] { return activeContexts_.empty(); });
}

LogPeers::Peer* LogPeers::FindOrConnect(const std::string& aTo)
{
  Peer& peer = peers_[aTo];
  if (!peer.stub_) {
    const std::optional<Endpoint> endpoint = resolver_(aTo);
    if (!endpoint) {
      return nullptr;
    }
    peer.stub_ = v1::LogService::NewStub(MakeChannel(*endpoint));
  }
  return &peer;
}

void LogPeers::FinishCall(grpc::ClientContext* aContext, Peer* aPeer)
{
  std::lock_guard lock(mutex_);
  std::erase(activeContexts_, aContext);
  --aPeer->inFlight_;
  callFinished_.notify_all();
}

void LogPeers::Send(const std::string& aTo, v1::PeerBatch aBatch)
{
  auto call = std::make_shared<ExchangeCall>();
  Peer* peer = nullptr;
  {
    std::lock_guard lock(mutex_);
    peer = FindOrConnect(aTo);
    if (stopping_ || peer == nullptr || peer->inFlight_ >= kMaxInFlight) {
      return;
    }
    ++peer->inFlight_;
    activeContexts_.push_back(&call->context_);
  }
  SetDeadline(call->context_,
              HasSnapshot(aBatch) ? kSnapshotTimeout : kExchangeTimeout);
  call->request_ = std::move(aBatch);
  peer->stub_->async()->Exchange(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, peer](const grpc::Status& aStatus) {
      if (aStatus.ok() && call->reply_.messages_size() > 0) {
        receiver_(std::move(call->reply_));
      }
      FinishCall(&call->context_, peer);
    });
}

} // namespace vanillahatch
