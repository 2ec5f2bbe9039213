// The gRPC face of a control replica.
#pragma once

#include "vanillahatch/core/fleet_config.h"

#include "control.grpc.pb.h"

#include <deque>
#include <mutex>

namespace vanillahatch {

// Holds the configuration and the latest changes, safe from any thread.
class ControlState
{
public:
  v1::ChangeReply Propose(const v1::Change& aChange);
  v1::SyncReply Sync(const v1::SyncRequest& aRequest) const;
  v1::FleetState State() const;

private:
  static constexpr size_t kKeptChanges = 1000;

  mutable std::mutex mutex_;
  FleetConfig config_;
  std::deque<v1::Change> recent_; // the last accepted ones, oldest first
};

class ControlService : public v1::ControlService::CallbackService
{
public:
  explicit ControlService(ControlState& aState);

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* aContext,
                                 const v1::SyncRequest* aRequest,
                                 v1::SyncReply* aReply) override;
  grpc::ServerUnaryReactor* Propose(grpc::CallbackServerContext* aContext,
                                    const v1::Change* aRequest,
                                    v1::ChangeReply* aReply) override;

private:
  ControlState& state_;
};

} // namespace vanillahatch
