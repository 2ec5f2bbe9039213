// One ledger replica's votes: for each idempotency key the highest promised
// ballot and the last accepted value.
//
// Pure state. The shell appends `record_` of a result to its store and syncs
// before it sends the reply; many results may share one sync.
//
//   ClaimRegister reg({ .replica_ = 0, .replicas_ = 3 });
//   reg.Found();                      // or Restore(contents)
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
  uint32_t replica_ = 0; // this replica's place in the settings
  uint32_t replicas_ = 3;
  // Keys issued longer ago than this are forgotten.
  Millis retention_ = Seconds(86'400);
  // Above this many bytes the oldest keys are forgotten early, but none that
  // is younger than `minRetention_`; then new keys are refused instead.
  size_t maxBytes_ = 12U << 20U;
  Millis minRetention_ = Seconds(120);
};

struct VoteResult
{
  v1::VoteReply reply_;
  std::string record_; // empty: nothing to make durable
};

struct CopyResult
{
  v1::CopyReply reply_;
  std::string record_;
};

enum class RestoreVerdict
{
  kMember, // the replica may vote
  kNew,    // nothing was held: a first start or a lost disk
  kTorn,   // records may be missing; the same as a lost disk
};

class ClaimRegister
{
public:
  explicit ClaimRegister(ClaimRegisterOptions aOptions);

  // Makes this replica a founding member of a new cluster.
  void Found();
  // Takes over what the store held. Only `kMember` leaves a register that
  // votes; otherwise it stays empty.
  RestoreVerdict Restore(const StoreContents& aContents);
  // Takes over the state that a catch-up has collected.
  void Install(const v1::LedgerSnapshot& aSnapshot);

  VoteResult Vote(const v1::VoteRequest& aRequest);
  CopyResult Copy(const v1::CopyRequest& aRequest);

  // Raises the floor and forgets the keys below it. True if it rose; the
  // shell then compacts its store.
  bool Expire(Millis aUnixNow);

  // The whole state for `StableStore::Compact`.
  std::string Snapshot() const;

  bool IsMember() const { return !identities_.empty(); }
  uint64_t Identity() const;
  Millis Floor() const { return floor_; }
  size_t KeyCount() const { return keys_.size(); }
  // Bytes of keys and states, with an estimate of the containers' own.
  size_t Bytes() const { return bytes_; }

  static constexpr size_t kPageBytes = 1U << 20U;

private:
  using Keys = std::map<std::string, std::string>; // key to its KeyState

  v1::KeyState Load(const v1::VoteRequest& aRequest) const;
  void Save(const v1::KeyState& aState);
  void Fill(v1::VoteReply& aReply,
            v1::VoteStatus aStatus,
            const v1::KeyState& aState) const;
  static bool Permits(const v1::VoteRequest& aRequest,
                      const v1::KeyState& aState);
  void Apply(const v1::LedgerRecord& aRecord);

  ClaimRegisterOptions options_;
  std::vector<uint64_t> identities_; // empty: not a member
  Millis floor_;
  Keys keys_;
  size_t bytes_ = 0;
};

} // namespace vanillahatch
