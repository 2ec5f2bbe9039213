// One running ledger replica: the register, its store, and the storage thread
// that joins many requests into one sync.
//
// gRPC's threads put requests into a bounded ring. The storage thread takes
// what is there, applies it to the register, appends the records, syncs once
// and then finishes all of them. If the store fails, the process ends, since
// nobody knows what the disk holds.
//
//   LedgerReplica replica(options, store);
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
  bool sync_ = true; // false only for comparing figures
};

// How a replica came by its state.
enum class LedgerStart
{
  kMember,   // it remembers
  kFounded,  // the operator's marker says that the cluster is new
  kLostDisk, // it must catch up before it votes
};

class LedgerReplica
{
public:
  using Done = std::function<void()>;

  // Throws std::runtime_error if the store cannot be read or founded.
  explicit LedgerReplica(LedgerReplicaOptions aOptions);
  ~LedgerReplica();

  LedgerStart HowStarted() const { return start_; }
  bool IsMember() const { return isMember_; }

  // The messages must live until `aDone`, which runs on the storage thread
  // once the reply is durable. False if the ring is full: nothing was done.
  bool TryVote(const v1::VoteRequest* aRequest,
               v1::VoteReply* aReply,
               Done aDone);
  bool TryCopy(const v1::CopyRequest* aRequest,
               v1::CopyReply* aReply,
               Done aDone);
  // Takes over what a catch-up has collected; from then on it votes.
  void Install(v1::LedgerSnapshot aSnapshot);

  std::string RenderMetrics() const { return metrics_.Render(); }

  // An operator puts this file into the empty data folder of each replica of
  // a new cluster, and of none that has lost its disk.
  static constexpr std::string_view kBootstrapFile = "bootstrap";

private:
  struct VoteWork
  {
    const v1::VoteRequest* request_ = nullptr;
    v1::VoteReply* reply_ = nullptr;
    Done done_;
  };
  struct CopyWork
  {
    const v1::CopyRequest* request_ = nullptr;
    v1::CopyReply* reply_ = nullptr;
    Done done_;
  };
  struct InstallWork
  {
    std::unique_ptr<v1::LedgerSnapshot> snapshot_;
  };
  using Work = std::variant<VoteWork, CopyWork, InstallWork>;

  void Load();
  void RemoveMarker();
  void StorageLoop();
  void RunBatch(std::vector<Work>& aBatch);
  // Appends what is not empty; true if it did.
  bool Perform(VoteWork& aWork);
  bool Perform(CopyWork& aWork);
  bool Perform(InstallWork& aWork);
  void Maintain();
  void Compact();
  void Append(std::string_view aRecord);
  void Require(const Result<void, StoreError>& aResult);

  LedgerReplicaOptions options_;
  FileStore store_;
  ClaimRegister register_;
  LedgerStart start_ = LedgerStart::kMember;
  Metrics metrics_;
  std::atomic<bool> isMember_ = false;
  Millis nextMaintenance_;
  BoundedRing<Work> ring_;
  std::thread storage_;
};

} // namespace vanillahatch
