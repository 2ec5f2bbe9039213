// Forwards configuration changes to another control replica by gRPC, such as
// the leader. Safe from any thread.
#pragma once

#include "vanillahatch/shell/settings.h"

#include "control.grpc.pb.h"

#include <condition_variable>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

namespace vanillahatch {

class ChangeForwarder
{
public:
  // Called with status CHANGE_UNAVAILABLE if the call failed: the outcome is
  // unknown.
  using ReplyCallback = std::function<void(const v1::ChangeReply&)>;

  ChangeForwarder(const NodeName& aSelf,
                  std::span<const ControlSettings> aReplicas);
  ~ChangeForwarder();
  ChangeForwarder(const ChangeForwarder&) = delete;
  ChangeForwarder& operator=(const ChangeForwarder&) = delete;

  // Cancels the calls in flight and waits until they have ended; rejects later
  // ones.
  void Stop();
  // Returns false, without calling `aDone`, if there is no other replica of
  // that name or the forwarder is stopped.
  bool Forward(const std::string& aReplicaName,
               const v1::Change& aChange,
               ReplyCallback aDone);

private:
  void RemoveCall(grpc::ClientContext* aContext);

  std::map<std::string, std::unique_ptr<v1::ControlService::Stub>> stubs_;
  std::mutex mutex_;
  std::condition_variable callEnded_;
  std::vector<grpc::ClientContext*> callContexts_; // of the calls in flight
  bool stopping_ = false;
};

} // namespace vanillahatch
