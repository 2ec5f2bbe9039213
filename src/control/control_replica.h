// The control log as it runs in vh-control: changes of the configuration go
// in, the applied state and the answers come out.
//
//   ControlState state;
//   ControlReplica replica({ .self_ = ..., .replicas_ = ... }, state, clock);
//   server: register replica.Service()
//   replica.Start();
//   replica.Propose(change, [](const v1::ChangeReply& aReply) { ... });
//
// For work that only one replica may do, such as planning: do it while
// `IsLeader()`, and propose its outcome with the revision it was made against.
// The answer is the commit callback; a leader that was replaced meanwhile gets
// CHANGE_NOT_LEADER or CHANGE_UNAVAILABLE, never a false acceptance.
#pragma once

#include "control/change_forwarder.h"
#include "control/control_state.h"
#include "replica/log_replica.h"

namespace vanillahatch {

struct ControlReplicaOptions
{
  NodeName self_;
  std::vector<ControlSettings> replicas_; // all of the settings, in order
  std::filesystem::path dataFolder_;
  // Called once if the disk refuses; the process must end then.
  std::function<void(const std::string&)> onDiskFailure_;
  bool sync_ = true; // false only for comparing figures in benches
};

// What proposes changes of the configuration.
class ChangeProposer
{
public:
  using Done = std::function<void(const v1::ChangeReply&)>;
  virtual ~ChangeProposer() = default;
  // Through this replica only: CHANGE_NOT_LEADER with a hint on a follower.
  // `aDone` is called once, on a thread of the proposer's choice.
  virtual void Propose(v1::Change aChange, Done aDone) = 0;
  // Through whichever replica leads; a change without an answer is sent
  // again under its change id for some seconds, then CHANGE_UNAVAILABLE.
  virtual void ProposeAnywhere(v1::Change aChange, Done aDone) = 0;
  virtual bool IsLeader() const = 0;
  virtual LogReplicaStatus Status() const = 0;
};

class ControlReplica : public ChangeProposer
{
public:
  ControlReplica(ControlReplicaOptions aOptions,
                 ControlState& aState,
                 const Clock& aClock);
  ~ControlReplica() override;
  ControlReplica(const ControlReplica&) = delete;
  ControlReplica& operator=(const ControlReplica&) = delete;

  // See LogReplica.
  bool Start() { return replica_.Start(); }
  void Stop();
  v1::LogService::CallbackService& Service() { return replica_.Service(); }

  void Propose(v1::Change aChange, Done aDone) override;
  void ProposeAnywhere(v1::Change aChange, Done aDone) override;
  bool IsLeader() const override { return replica_.IsLeader(); }
  LogReplicaStatus Status() const override { return replica_.Status(); }

private:
  class State : public ReplicatedState
  {
  public:
    explicit State(ControlState& aState)
      : state_(aState)
    {
    }
    std::string Apply(const std::string& aPayload) override;
    std::string Snapshot() const override { return state_.Snapshot(); }
    bool Restore(const std::string& aBytes) override
    {
      return state_.RestoreSnapshot(aBytes);
    }

  private:
    ControlState& state_;
  };
  // A change that looks for the leader.
  struct Route
  {
    v1::Change change_;
    Done done_;
    Millis until_;
  };

  void Attempt(const Route& aRoute);
  void TryAgain(const Route& aRoute, v1::ChangeReply aReply);

  const Clock& clock_;
  State state_;
  ChangeForwarder forwarder_;
  LogReplica replica_;
};

} // namespace vanillahatch
