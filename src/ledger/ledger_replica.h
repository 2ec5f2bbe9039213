// A running ledger replica: the register, its store, and the storage thread
// that makes the records of many requests durable with one sync.
//
// gRPC threads put requests into a bounded ring. The storage thread takes up to
// `maxBatch_` of them, applies them to the register, appends the records, syncs
// once and then completes all of them. If the store fails, the process exits,
// since the contents of the disk are unknown.
//
//   LedgerReplica replica(options);
//   if (!replica.TryVote(request, reply, done)) { /* overloaded */ }
#pragma once

#include "vanillahatch/core/bounded_ring.h"
#include "vanillahatch/core/claim_register.h"
#include "vanillahatch/shell/file_store.h"
#include "vanillahatch/shell/metrics.h"

#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace vanillahatch {

struct LedgerReplicaOptions
{
  ClaimRegisterOptions register_;
  std::filesystem::path folder_;
  size_t ringSize_ = 4096;
  size_t maxBatch_ = 256; // requests that share one sync
  uint64_t maxLogBytes_ = 4U << 20U;
  bool sync_ = true; // false only in benchmarks that compare without syncs
};

// How a replica obtained its state at the start.
enum class LedgerStartMode
{
  kRestored,     // restored from its data folder
  kBootstrapped, // the bootstrap file marks the cluster as new
  kStateLost,    // it must catch up before it votes
};

class LedgerReplica
{
public:
  using DoneCallback = std::function<void()>;

  // Throws std::runtime_error if the data folder cannot be read or written.
  explicit LedgerReplica(LedgerReplicaOptions aOptions);
  ~LedgerReplica();

  LedgerStartMode StartMode() const { return startMode_; }
  bool IsMember() const { return isMember_; }

  // The messages must live until `aDone`, which is called on the storage thread
  // once the vote is durable. False if the ring is full: the request was not
  // processed.
  bool TryVote(const v1::VoteRequest* aRequest,
               v1::VoteReply* aReply,
               DoneCallback aDone);
  bool TryCopy(const v1::CopyRequest* aRequest,
               v1::CopyReply* aReply,
               DoneCallback aDone);
  // Replaces the state by the one that a catch-up has collected; the replica
  // votes from then on.
  void Install(v1::LedgerSnapshot aSnapshot);

  std::string RenderMetrics() const { return metrics_.Render(); }

  // An operator creates this file in the empty data folder of each replica of
  // a new cluster, and never in that of a replica that has lost its disk.
  static constexpr std::string_view kBootstrapFile = "bootstrap";

private:
  struct VoteWork
  {
    const v1::VoteRequest* request_ = nullptr;
    v1::VoteReply* reply_ = nullptr;
    DoneCallback done_;
  };
  struct CopyWork
  {
    const v1::CopyRequest* request_ = nullptr;
    v1::CopyReply* reply_ = nullptr;
    DoneCallback done_;
  };
  struct InstallWork
  {
    std::unique_ptr<v1::LedgerSnapshot> snapshot_;
  };
  using Work = std::variant<VoteWork, CopyWork, InstallWork>;

  void Load();
  void RemoveBootstrapFile();
  void StorageLoop();
  void RunBatch(std::vector<Work>& aBatch);
  // Applies the request to the register; true if a sync is needed.
  bool Perform(VoteWork& aWork);
  bool Perform(CopyWork& aWork);
  bool Perform(InstallWork& aWork);
  // Updates metrics, removes old keys and compacts the store.
  void Maintain();
  void Compact();
  void Append(std::string_view aRecord);
  // Logs a store error and exits the process.
  void ExitOnStoreError(const Result<void, StoreError>& aResult);

  LedgerReplicaOptions options_;
  FileStore store_;
  ClaimRegister register_;
  LedgerStartMode startMode_ = LedgerStartMode::kRestored;
  Metrics metrics_;
  std::atomic<bool> isMember_ = false;
  Millis nextMaintenanceAt_;
  BoundedRing<Work> ring_;
  std::thread storageThread_;
};

} // namespace vanillahatch
