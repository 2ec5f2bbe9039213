// Takes changes of the configuration to the replica that leads, by gRPC.
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
  // Status CHANGE_UNAVAILABLE if the call failed: the outcome is not known.
  using Forwarded = std::function<void(const v1::ChangeReply&)>;

  ChangeForwarder(const NodeName& aSelf,
                  std::span<const ControlSettings> aReplicas);
  ~ChangeForwarder();
  ChangeForwarder(const ChangeForwarder&) = delete;
  ChangeForwarder& operator=(const ChangeForwarder&) = delete;

  // Cancels the calls under way and waits for their ends; later ones are
  // refused.
  void Stop();
  // False if there is no replica of that name; `aDone` is not called then.
  bool Forward(const std::string& aTo,
               const v1::Change& aChange,
               Forwarded aDone);

private:
  void End(grpc::ClientContext* aContext);

  std::map<std::string, std::unique_ptr<v1::ControlService::Stub>> stubs_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::vector<grpc::ClientContext*> contexts_;
  bool stopping_ = false;
};

} // namespace vanillahatch
