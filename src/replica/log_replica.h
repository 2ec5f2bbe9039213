// Runs a ControlLog on a thread of its own, with a FileStore, gRPC peers and
// the state that the committed entries are applied to.
//
// One thread makes decisions and writes them, because a decision may be sent
// only once it is durable: it passes all events that wait in the ring to the
// state machine, then syncs once for all of them (group commit).
//
//   LogReplica replica({ .self_ = "a", .replicas_ = { "a", "b", "c" }, ... },
//                      state, clock);
//   server: register replica.Service()
//   replica.Start();
//   replica.Propose(payload, [](const ProposalResult& aResult) { ... });
//
// Work that only one replica may do must be done while `IsLeader()`. Proposals
// of a leader that has been replaced get kNotLeader or kUnknown, never
// kCommitted.
#pragma once

#include "replica/log_peers.h"
#include "vanillahatch/core/bounded_ring.h"
#include "vanillahatch/core/control_log.h"
#include "vanillahatch/shell/file_store.h"

#include <atomic>
#include <thread>
#include <variant>

namespace vanillahatch {

// The state that a log replicates. Called on the replica's thread only.
class ReplicatedState
{
public:
  virtual ~ReplicatedState() = default;
  // Applies one committed payload, in log order; the result is passed to the
  // proposer. `nullopt`, with the state unchanged, if the payload cannot be
  // parsed.
  virtual std::optional<std::string> Apply(const std::string& aPayload) = 0;
  // The serialized state, as `Restore` reads it.
  virtual std::string Snapshot() const = 0;
  // Replaces the state. False if the bytes cannot be parsed.
  virtual bool Restore(const std::string& aBytes) = 0;
};

enum class ProposalStatus
{
  kCommitted,
  // It will not be committed: this replica does not lead, or is stopping.
  // `leader_` may name the leader.
  kNotLeader,
  kOverloaded, // it will not be committed
  kUnknown,    // it may have been committed
  kUnreadable, // no replica can read it, or it is too large to send: no effect
};

struct ProposalResult
{
  ProposalStatus status_ = ProposalStatus::kUnknown;
  std::string reply_;  // result of `Apply`, if committed
  std::string leader_; // empty: not known
};

struct LogReplicaOptions
{
  std::string self_;
  std::vector<std::string> replicas_; // initial members, in order
  LogPeers::Resolver resolver_;       // finds the address of a replica by name
  std::filesystem::path dataFolder_;
  // True if a replica without contents may bootstrap a cluster.
  bool mayBootstrap_ = true;
  // True if replicas with names not in `replicas_` may join.
  bool openMembership_ = false;
  size_t toleratedLosses_ = 1; // see ControlLogOptions
  // Called with the reason if a disk operation fails; the process must then
  // exit.
  std::function<void(const std::string&)> onDiskFailure_;
  // Called on the replica's thread when it starts or stops being the leader.
  std::function<void()> onLeadershipChange_;
  LogTiming timing_;
  bool sendCommitImmediately_ = true; // see ControlLogOptions
  // Sizes of the log beyond which it is compacted into a snapshot. A replica
  // that lacks entries before the snapshot is sent the whole snapshot.
  uint64_t compactEntries_ = 4096;
  uint64_t compactBytes_ = 4U << 20U;
  bool sync_ = true;      // false only to measure the cost of syncs in benches
  size_t maxBatch_ = 512; // maximum number of events per sync
};

struct LogReplicaStatus
{
  std::string role_; // "leader", "follower", "candidate", "joining"
  std::string leader_;
  uint64_t term_ = 0;
  uint64_t commitIndex_ = 0;
  uint64_t snapshotIndex_ = 0;
  uint64_t incarnation_ = 0;
  std::vector<std::string> members_;     // as "name/incarnation"
  std::vector<std::string> lostMembers_; // those whose records are known lost

  // Names of the members except `aSelf`.
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

  // Loads the store and starts the thread. False if a disk operation fails, the
  // contents cannot be parsed or the data folder belongs to another replica;
  // the reason is logged.
  bool Start();
  // Fails pending proposals, rejects queued events and joins the thread.
  void Stop();

  v1::LogService::CallbackService& Service() { return service_; }

  // Calls `aDone` once, on the replica's thread or on the caller's.
  void Propose(std::string aPayload, const Done& aDone);
  // Runs `aWork` on the replica's thread once `aDueAt` is reached. Calls
  // `aOnRejected` instead if the ring is full or the replica stops first.
  void RunAt(Millis aDueAt,
             std::function<void()> aWork,
             const std::function<void()>& aOnRejected);

  // Sets the replicas that this replica asks to join while it is not a member.
  void SetReplicas(std::vector<std::string> aNames);

  // Asks to be replaced, because the process is about to stop for good. Calls
  // `aMayStop` once, on the replica's thread or on the caller's, when it is or
  // cannot be; never if the replica is stopped before.
  void Leave(const std::function<void()>& aMayStop);

  bool IsLeader() const { return isLeader_; }
  // The term in which this replica is the leader; 0 if it is not.
  uint64_t LeaderTerm() const { return leaderTerm_; }
  // True while this replica holds the leader lease, so no other replica may act
  // outside the log. Call it immediately before sending an order that no other
  // replica checks, so that a process that was suspended reads the time after
  // it resumed.
  bool HoldsLeaderLease() const
  {
    return clock_.Now().Count() < leaseExpiresAtMs_;
  }
  // When the leader lease expires, on the clock of the replica; zero without
  // one. An act is covered by it if its time was read before.
  Millis LeaderLeaseExpiresAt() const { return Millis(leaseExpiresAtMs_); }
  LogReplicaStatus Status() const;

private:
  struct PendingReply
  {
    grpc::ServerUnaryReactor* reactor_ = nullptr; // null: the event is a reply
    v1::PeerBatch* reply_ = nullptr;
  };
  struct PeerEvent
  {
    v1::PeerBatch batch_;
    PendingReply pendingReply_;
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
    std::function<void()> onRejected_;
  };
  using Input = std::variant<PeerEvent, ProposalEvent, WorkEvent>;

  struct PendingProposal
  {
    uint64_t term_ = 0;
    Millis timeoutAt_;
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
  void ProcessInputs();
  void RejectRemainingInputs();
  void Handle(PeerEvent& aEvent);
  void Handle(ProposalEvent& aEvent);
  void Handle(WorkEvent& aEvent);
  void RunDueWork();
  Millis NextWait() const;

  bool PerformActions();
  bool Store(const LogActions& aActions);
  void SendAll(std::vector<v1::PeerMessage> aMessages);
  void FinishPendingReplies();
  bool Apply(const LogActions& aActions);
  void FailPendingProposals(bool aAll);
  // False if the store fails.
  bool MaybeCompact();
  void ReportMayStop();
  void PublishLeaderLease();
  void PublishStatus();
  void ReportDiskFailure(const StoreError& aError);

  LogReplicaOptions options_;
  ReplicatedState& state_;
  const Clock& clock_;
  LogService service_{ *this };
  BoundedRing<Input> ring_;
  FileStore store_;
  std::unique_ptr<ControlLog> log_;
  std::unique_ptr<LogPeers> peers_;
  std::multimap<std::string, PendingReply> pendingReplies_; // by caller's name
  std::map<uint64_t, PendingProposal> pendingProposals_;    // by index
  std::vector<WorkEvent> scheduledWork_;
  std::function<void()> onMayStop_; // set while the replica leaves
  std::atomic<bool> isLeader_ = false;
  std::atomic<uint64_t> leaderTerm_ = 0;
  std::atomic<int64_t> leaseExpiresAtMs_ = 0; // on `clock_`
  std::atomic<bool> stopping_ = false;
  mutable std::mutex statusMutex_;
  LogReplicaStatus status_;
  std::thread thread_;
};

} // namespace vanillahatch
