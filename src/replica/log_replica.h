// One replica of a control log as a program hosts it: a thread that decides
// and stores, with gRPC on one side and the applied state on the other.
//
// One thread does both, since what is decided may leave only once it is
// stored: it takes every event that waits in the ring, lets the state machine
// decide on them, and syncs once for all of them (group commit).
//
//   LogReplica replica({ .self_ = "a", .replicas_ = { "a", "b", "c" }, ... },
//                      state, clock);
//   server: register replica.Service()
//   replica.Start();
//   replica.Propose(payload, [](const ProposalResult& aResult) { ... });
//
// For work that only one replica may do: do it while `IsLeader()`. A leader
// that was replaced meanwhile gets kNotLeader or kUnknown, never kCommitted.
#pragma once

#include "replica/log_peers.h"
#include "vanillahatch/core/bounded_ring.h"
#include "vanillahatch/core/control_log.h"
#include "vanillahatch/shell/file_store.h"

#include <atomic>
#include <thread>
#include <variant>

namespace vanillahatch {

// What a log replicates. Called on the replica's thread only.
class ReplicatedState
{
public:
  virtual ~ReplicatedState() = default;
  // Applies one committed payload, in log order; the result goes to the
  // proposer.
  virtual std::string Apply(const std::string& aPayload) = 0;
  virtual std::string Snapshot() const = 0;
  // False if the bytes cannot be read.
  virtual bool Restore(const std::string& aBytes) = 0;
};

enum class ProposalStatus
{
  kCommitted,
  kNotLeader,  // nothing was or will be committed; `leader_` may know
  kOverloaded, // nothing was or will be committed
  kUnknown,    // it may have been committed
};

struct ProposalResult
{
  ProposalStatus status_ = ProposalStatus::kUnknown;
  std::string reply_; // of `Apply`, if committed
  std::string leader_;
};

struct LogReplicaOptions
{
  std::string self_;
  std::vector<std::string> replicas_; // that found the cluster, in order
  LogPeers::Resolver resolver_;       // from names of replicas to addresses
  std::filesystem::path dataFolder_;
  // True if a blank replica may found a cluster with the others.
  bool mayFound_ = true;
  // True if replicas of other names than `replicas_` may join.
  bool openMembership_ = false;
  // Called once if the disk refuses; the process must end then.
  std::function<void(const std::string&)> onDiskFailure_;
  // Called on the replica's thread when it starts or ceases to lead.
  std::function<void()> onLeadership_;
  LogTiming timing_;
  bool tellCommitAtOnce_ = true; // see ControlLogOptions
  // The log is folded into a snapshot beyond this. A replica that is further
  // behind than the log reaches back gets the whole snapshot.
  uint64_t compactEntries_ = 4096;
  uint64_t compactBytes_ = 4U << 20U;
  bool sync_ = true;      // false only for comparing figures in benches
  size_t maxBatch_ = 512; // events for one sync
};

struct LogReplicaStatus
{
  std::string role_; // "leader", "follower", "candidate", "joining"
  std::string leader_;
  uint64_t term_ = 0;
  uint64_t commitIndex_ = 0;
  uint64_t snapshotIndex_ = 0;
  uint64_t incarnation_ = 0;
  std::vector<std::string> members_; // as "name/incarnation"

  // Names of the members but for `aSelf`.
  std::vector<std::string> OtherMembers(const std::string& aSelf) const;
};

class LogReplica
{
public:
  using Done = std::function<void(const ProposalResult&)>;

  LogReplica(LogReplicaOptions aOptions,
             ReplicatedState& aState,
             const Clock& aClock);
  ~LogReplica();
  LogReplica(const LogReplica&) = delete;
  LogReplica& operator=(const LogReplica&) = delete;

  // Reads the store and starts the thread. False if the disk refuses or the
  // data folder belongs to another replica; the reason is logged.
  bool Start();
  // Refuses what is still waiting and ends the thread.
  void Stop();

  v1::LogService::CallbackService& Service() { return service_; }

  // `aDone` is called once, on a thread of the replica's choice.
  void Propose(std::string aPayload, const Done& aDone);
  // Runs on the replica's thread, or here with `aRefused` if it is stopping.
  void RunAt(Millis aDueAt,
             std::function<void()> aWork,
             const std::function<void()>& aRefused);

  // The names that a replica which is no member yet asks to be let in.
  void SetReplicas(std::vector<std::string> aNames);

  bool IsLeader() const { return isLeader_; }
  // The term in which this replica leads; 0 while it does not.
  uint64_t LeaderTerm() const { return leaderTerm_; }
  // True while no other replica can have been permitted to act outside the
  // log. Asked right before an order leaves that nobody else checks: a process
  // that stood still reads the time afterwards.
  bool MayActNow() const { return clock_.Now().Count() < permittedUntil_; }
  LogReplicaStatus Status() const;

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
    std::string payload_;
    Done done_;
  };
  struct WorkEvent
  {
    Millis dueAt_;
    std::function<void()> work_;
    std::function<void()> refused_;
  };
  using Input = std::variant<PeerEvent, ProposalEvent, WorkEvent>;

  struct Waiting
  {
    uint64_t term_ = 0;
    Millis until_;
    Done done_;
  };

  class LogService : public v1::LogService::CallbackService
  {
  public:
    explicit LogService(LogReplica& aReplica)
      : replica_(aReplica)
    {
    }
    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* aContext,
                                       const v1::PeerBatch* aRequest,
                                       v1::PeerBatch* aReply) override;

  private:
    LogReplica& replica_;
  };

  bool Open();
  void Run();
  void TakeInputs();
  void RefuseRest();
  void Handle(PeerEvent& aEvent);
  void Handle(ProposalEvent& aEvent);
  void Handle(WorkEvent& aEvent);
  void RunDueWork();
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

  LogReplicaOptions options_;
  ReplicatedState& state_;
  const Clock& clock_;
  LogService service_{ *this };
  BoundedRing<Input> ring_;
  FileStore store_;
  std::unique_ptr<ControlLog> log_;
  std::unique_ptr<LogPeers> peers_;
  std::multimap<std::string, PeerReply> peerReplies_; // by replica
  std::map<uint64_t, Waiting> waiting_;               // by index
  std::vector<WorkEvent> work_;
  std::atomic<bool> isLeader_ = false;
  std::atomic<uint64_t> leaderTerm_ = 0;
  std::atomic<int64_t> permittedUntil_ = 0; // on `clock_`
  std::atomic<bool> stopping_ = false;
  mutable std::mutex statusMutex_;
  LogReplicaStatus status_;
  std::thread thread_;
};

} // namespace vanillahatch
