// One replica of the control log as it runs in vh-control: a thread that
// decides and stores, with gRPC on one side and the applied state on the
// other.
//
// One thread does both, since what is decided may leave only once it is
// stored: it takes every event that waits in the ring, lets the state machine
// decide on them, and syncs once for all of them (group commit).
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

#include "control/control_log_peers.h"
#include "control/control_state.h"
#include "vanillahatch/core/bounded_ring.h"
#include "vanillahatch/core/control_log.h"
#include "vanillahatch/shell/file_store.h"

#include <atomic>
#include <thread>
#include <variant>

namespace vanillahatch {

struct ControlReplicaOptions
{
  NodeName self_;
  std::vector<ControlSettings> replicas_; // all of the settings, in order
  std::filesystem::path dataFolder_;
  // Called once if the disk refuses; the process must end then.
  std::function<void(const std::string&)> onDiskFailure_;
  bool sync_ = true;      // false only for comparing figures in benches
  size_t maxBatch_ = 512; // events for one sync
};

struct ControlReplicaStatus
{
  std::string role_; // "leader", "follower", "candidate", "joining"
  std::string leader_;
  uint64_t term_ = 0;
  uint64_t commitIndex_ = 0;
  uint64_t snapshotIndex_ = 0;
  uint64_t incarnation_ = 0;
  std::vector<std::string> members_;
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
  virtual ControlReplicaStatus Status() const = 0;
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

  // Reads the store and starts the thread. False if the disk refuses or the
  // data folder belongs to another replica; the reason is logged.
  bool Start();
  // Refuses what is still waiting and ends the thread.
  void Stop();

  v1::LogService::CallbackService& Service() { return service_; }

  void Propose(v1::Change aChange, Done aDone) override;
  void ProposeAnywhere(v1::Change aChange, Done aDone) override;
  bool IsLeader() const override { return isLeader_; }
  ControlReplicaStatus Status() const override;

private:
  struct PeerReply
  {
    grpc::ServerUnaryReactor* reactor_ = nullptr; // null: a reply to ours
    v1::PeerBatch* reply_ = nullptr;
  };
  struct PeerEvent
  {
    v1::PeerBatch batch_;
    PeerReply answer_;
  };
  struct ProposalEvent
  {
    v1::Change change_;
    Done done_;
  };
  // A change that looks for the leader.
  struct RouteEvent
  {
    v1::Change change_;
    Done done_;
    Millis until_;
    v1::ChangeReply last_;
    Millis dueAt_;
  };
  using Input = std::variant<PeerEvent, ProposalEvent, RouteEvent>;

  struct Waiting
  {
    uint64_t term_ = 0;
    Millis until_;
    Done done_;
  };

  class LogService : public v1::LogService::CallbackService
  {
  public:
    explicit LogService(ControlReplica& aReplica)
      : replica_(aReplica)
    {
    }
    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                       const v1::PeerBatch* aRequest,
                                       v1::PeerBatch* aReply) override;

  private:
    ControlReplica& replica_;
  };

  bool Open();
  void Run();
  void TakeInputs();
  void RefuseRest();
  void Handle(PeerEvent& aEvent);
  void Handle(ProposalEvent& aEvent);
  void Handle(RouteEvent& aEvent);
  void RetryRoutes();
  Millis NextWake() const;

  bool Perform();
  bool Store(const LogActions& aActions);
  void SendAll(std::vector<v1::PeerMessage> aMessages);
  void FinishPeerReplies();
  bool Apply(const LogActions& aActions);
  void FailWaiting(bool aAll);
  void MaybeCompact();
  void Publish();
  void StopForDisk(const StoreError& aError);

  ControlReplicaOptions options_;
  ControlState& state_;
  const Clock& clock_;
  LogService service_{ *this };
  BoundedRing<Input> ring_;
  FileStore store_;
  std::unique_ptr<ControlLog> log_;
  std::unique_ptr<ControlLogPeers> peers_;
  std::multimap<std::string, PeerReply> peerReplies_; // by replica
  std::map<uint64_t, Waiting> waiting_;               // by index
  std::vector<RouteEvent> routes_;
  std::atomic<bool> isLeader_ = false;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex statusMutex_;
  ControlReplicaStatus status_;
  std::thread thread_;
};

} // namespace vanillahatch
