// The other replicas of a control log, reached by gRPC.
//
// Messages may be lost: a call that fails, and a message beyond the bound on
// calls under way, is dropped, since the log repeats what matters. Answers go
// to the receiver on a gRPC thread.
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
  // Where the replica of that name listens; nothing if it is not known.
  using Resolver = std::function<std::optional<Endpoint>(const std::string&)>;

  LogPeers(Resolver aResolver, Receiver aReceiver);
  // Cancels the calls under way and waits for their ends.
  ~LogPeers();
  LogPeers(const LogPeers&) = delete;
  LogPeers& operator=(const LogPeers&) = delete;

  void Send(const std::string& aTo, v1::PeerBatch aBatch);

private:
  struct Peer
  {
    std::unique_ptr<v1::LogService::Stub> stub_;
    size_t underWay_ = 0;
  };

  Peer* FindOrConnect(const std::string& aTo);
  void End(grpc::ClientContext* aContext, Peer* aPeer);

  Resolver resolver_;
  Receiver receiver_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::map<std::string, Peer> peers_;
  std::vector<grpc::ClientContext*> contexts_;
  bool stopping_ = false;
};

} // namespace vanillahatch
