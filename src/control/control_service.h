// The gRPC service of a control replica: sends configuration changes to entries
// as soon as they are applied, accepts proposals and renews grants.
#pragma once

#include "control/control_replica.h"
#include "control/control_state.h"
#include "control/grantor_host.h"
#include "control/sync_waiters.h"

#include "control.grpc.pb.h"

namespace vanillahatch {

class ControlService : public v1::ControlService::CallbackService
{
public:
  ControlService(ControlState& aState,
                 ChangeProposer& aProposer,
                 GrantorHost& aGrantors);

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* aContext,
                                 const v1::SyncRequest* aRequest,
                                 v1::SyncReply* aReply) override;
  grpc::ServerUnaryReactor* Propose(grpc::CallbackServerContext* aContext,
                                    const v1::Change* aRequest,
                                    v1::ChangeReply* aReply) override;
  grpc::ServerUnaryReactor* Renew(grpc::CallbackServerContext* aContext,
                                  const v1::GrantRequest* aRequest,
                                  v1::GrantReply* aReply) override;

private:
  ControlState& state_;
  ChangeProposer& proposer_;
  GrantorHost& grantors_;
  SyncWaiters waiters_;
};

} // namespace vanillahatch
