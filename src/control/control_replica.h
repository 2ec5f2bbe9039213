// A replica of the control log in vh-control: replicates configuration changes,
// applies committed ones to a `ControlState` and returns their results.
//
//   ControlState state;
//   ControlReplica replica({ .self_ = ..., .replicas_ = ... }, state, clock);
//   server: register replica.Service()
//   replica.Start();
//   replica.Propose(change, [](const v1::ChangeReply& aReply) { ... });
//
// Work that only one replica may do, such as planning, is done while
// `IsLeader()`, and its result proposed with the revision it is based on. The
// callback tells whether the change was committed; a leader that was replaced
// gets CHANGE_NOT_LEADER or CHANGE_UNAVAILABLE, never a false acceptance.
#pragma once

#include "control/change_forwarder.h"
#include "control/control_state.h"
#include "replica/log_replica.h"

namespace vanillahatch {

struct ControlReplicaOptions
{
  NodeName self_;
  std::vector<ControlSettings> replicas_; // all, in the order of the settings
  std::filesystem::path dataFolder_;
  // Called once if a disk operation fails; the process must then end.
  std::function<void(const std::string&)> onDiskFailure_;
  bool sync_ = true; // false only to measure the cost of syncs in benchmarks
};

// Proposes configuration changes to the control log.
class ChangeProposer
{
public:
  using Done = std::function<void(const v1::ChangeReply&)>;
  virtual ~ChangeProposer() = default;
  // Proposes through this replica only; a follower replies CHANGE_NOT_LEADER
  // with the leader's name. `aDone` is called once, on any thread.
  virtual void Propose(v1::Change aChange, Done aDone) = 0;
  // Proposes through the leader, whichever replica that is. A change without a
  // result is sent again under its change id for 5 s, then the reply is
  // CHANGE_UNAVAILABLE.
  virtual void ProposeViaLeader(v1::Change aChange, Done aDone) = 0;
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
  void ProposeViaLeader(v1::Change aChange, Done aDone) override;
  bool IsLeader() const override { return replica_.IsLeader(); }
  LogReplicaStatus Status() const override { return replica_.Status(); }

private:
  class StateAdapter : public ReplicatedState
  {
  public:
    explicit StateAdapter(ControlState& aState)
      : state_(aState)
    {
    }
    std::optional<std::string> Apply(const std::string& aPayload) override;
    std::string Snapshot() const override { return state_.Snapshot(); }
    bool Restore(const std::string& aBytes) override
    {
      return state_.RestoreSnapshot(aBytes);
    }

  private:
    ControlState& state_;
  };
  // A change that is sent to the leader until the deadline.
  struct RoutedChange
  {
    v1::Change change_;
    Done done_;
    Millis deadline_;
  };

  void SendToLeader(const RoutedChange& aRouted);
  void OnLeaderReply(const RoutedChange& aRouted, v1::ChangeReply aReply);

  const Clock& clock_;
  StateAdapter stateAdapter_;
  ChangeForwarder forwarder_;
  LogReplica replica_;
};

} // namespace vanillahatch
