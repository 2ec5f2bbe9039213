// The other replicas of the control log, reached by gRPC.
//
// Messages may be lost: a call that fails, and a message beyond the bound on
// calls under way, is dropped, since the log repeats what matters. Answers go
// to the receiver on a gRPC thread.
#pragma once

#include "vanillahatch/shell/settings.h"

#include "control.grpc.pb.h"
#include "log.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>
#include <span>

namespace vanillahatch {

class ControlLogPeers
{
public:
  using Receiver = std::function<void(v1::PeerBatch)>;
  // Status CHANGE_UNAVAILABLE if the call failed: the outcome is not known.
  using Forwarded = std::function<void(v1::ChangeReply)>;

  ControlLogPeers(const NodeName& aSelf,
                  std::span<const ControlSettings> aReplicas,
                  Receiver aReceiver);
  // Cancels the calls under way and waits for their ends.
  ~ControlLogPeers();
  ControlLogPeers(const ControlLogPeers&) = delete;
  ControlLogPeers& operator=(const ControlLogPeers&) = delete;

  void Send(const std::string& aTo, v1::PeerBatch aBatch);
  // False if there is no replica of that name.
  bool Forward(const std::string& aTo,
               const v1::Change& aChange,
               Forwarded aDone);

private:
  struct Peer
  {
    std::unique_ptr<v1::LogService::Stub> log_;
    std::unique_ptr<v1::ControlService::Stub> control_;
    size_t underWay_ = 0;
  };

  void Begin(grpc::ClientContext* aContext);
  void End(grpc::ClientContext* aContext, Peer* aPeer);

  Receiver receiver_;
  std::map<std::string, Peer> peers_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::vector<grpc::ClientContext*> contexts_;
  bool stopping_ = false;
};

} // namespace vanillahatch
