// Sends control log messages to the other replicas by gRPC.
//
// Delivery is not guaranteed: messages are dropped if the call fails, the
// address is unknown or too many calls are in flight; ControlLog sends them
// again where needed. Replies are passed to the receiver on a gRPC thread.
#pragma once

#include "vanillahatch/core/upstream.h"

#include "log.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace vanillahatch {

class LogPeers
{
public:
  using Receiver = std::function<void(v1::PeerBatch)>;
  // The address of the replica of that name; nullopt if it is not known.
  using Resolver = std::function<std::optional<Endpoint>(const std::string&)>;

  LogPeers(Resolver aResolver, Receiver aReceiver);
  // Cancels the calls in flight and waits until they have finished.
  ~LogPeers();
  LogPeers(const LogPeers&) = delete;
  LogPeers& operator=(const LogPeers&) = delete;

  // Returns immediately. Callable from any thread.
  void Send(const std::string& aTo, v1::PeerBatch aBatch);

private:
  struct Peer
  {
    std::unique_ptr<v1::LogService::Stub> stub_;
    size_t inFlight_ = 0;
  };

  Peer* FindOrConnect(const std::string& aTo);
  void FinishCall(grpc::ClientContext* aContext, Peer* aPeer);

  Resolver resolver_;
  Receiver receiver_;
  std::mutex mutex_;
  std::condition_variable callFinished_;
  std::map<std::string, Peer> peers_;
  std::vector<grpc::ClientContext*> activeContexts_;
  bool stopping_ = false;
};

} // namespace vanillahatch
