// The votes of one ledger replica (a Paxos acceptor for each idempotency key):
// the highest promised ballot and the last accepted value.
//
// Holds state without I/O. The caller appends `record_` of a result to its
// store and syncs before it sends the reply; many results may share one sync.
//
//   ClaimRegister reg({ .replicaIndex_ = 0, .replicaCount_ = 3 });
//   reg.Bootstrap();                  // or Restore(contents)
//   VoteResult voted = reg.Vote(request);
//   store.Append(voted.record_); store.Sync(); Send(voted.reply_);
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/stable_store.h"

#include "ledger.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillahatch {

struct ClaimRegisterOptions
{
  uint32_t replicaIndex_ = 0; // index of this replica in the settings
  uint32_t replicaCount_ = 3;
  // Keys issued longer ago than this are removed.
  Millis retention_ = Seconds(86'400);
  // From this many bytes on, new keys are refused and `Expire` removes the
  // oldest quarter of the keys, but none that is younger than `minRetention_`.
  size_t maxBytes_ = 12U << 20U;
  Millis minRetention_ = Seconds(120);
};

struct VoteResult
{
  v1::VoteReply reply_;
  std::string record_; // to append and sync; empty if nothing changed
};

struct CopyResult
{
  v1::CopyReply reply_;
  std::string record_; // as above
};

enum class RestoreResult
{
  kRestored, // the replica may vote
  kEmpty,    // the store is empty: a first start or a lost disk
  kUnusable, // records may be missing: treated as a lost disk
};

class ClaimRegister
{
public:
  explicit ClaimRegister(ClaimRegisterOptions aOptions);

  // Makes this replica a voting member of a new cluster.
  void Bootstrap();
  // Restores the contents of the store. Unless the result is `kRestored`, the
  // register stays empty and does not vote.
  RestoreResult Restore(const StoreContents& aContents);
  // Replaces the state by the one that a catch-up has collected.
  void Install(const v1::LedgerSnapshot& aSnapshot);

  VoteResult Vote(const v1::VoteRequest& aRequest);
  // Returns one page of the state to a replica that has lost its own.
  CopyResult Copy(const v1::CopyRequest& aRequest);

  // Raises the issue-time floor and removes the keys issued before it. True if
  // the floor rose; compacting the store then frees their space.
  bool Expire(Millis aUnixNow);

  // The serialized state for `StableStore::Compact`.
  std::string Snapshot() const;

  // Whether this replica votes.
  bool IsMember() const { return !identities_.empty(); }
  // Zero if the replica is not a member.
  uint64_t Identity() const;
  // The issue-time floor in Unix time: unknown keys that were issued before it
  // are refused as expired.
  Millis Floor() const { return floor_; }
  size_t KeyCount() const { return keys_.size(); }
  // Bytes of keys and states, with an estimate of the container overhead.
  size_t Bytes() const { return bytes_; }

  // A page of a copy ends with the key that reaches this size.
  static constexpr size_t kCopyPageBytes = 1U << 20U;

private:
  // From the idempotency key to its serialized KeyState.
  using Keys = std::map<std::string, std::string>;

  v1::KeyState GetOrMakeState(const v1::VoteRequest& aRequest) const;
  void PutState(const v1::KeyState& aState);
  void FillReply(v1::VoteReply& aReply,
                 v1::VoteStatus aStatus,
                 const v1::KeyState& aState) const;
  static bool Permits(const v1::VoteRequest& aRequest,
                      const v1::KeyState& aState);
  void ApplyRecord(const v1::LedgerRecord& aRecord);

  ClaimRegisterOptions options_;
  std::vector<uint64_t> identities_; // by replica; empty: not a member
  Millis floor_;                     // issue-time floor, Unix time
  Keys keys_;
  size_t bytes_ = 0;
};

} // namespace vanillahatch
