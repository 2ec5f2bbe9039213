// Brings back a ledger replica that has lost its disk: takes a new identity,
// has a majority of replicas that still remember void the votes of the old
// one, and then collects their whole state.
//
// A deterministic state machine; the shell sends what it returns and passes
// replies in. When `Result()` is set, the shell stores it and installs it in
// the register, which from then on votes.
//
//   ClaimCatchUp catchUp({ .replica_ = 0, .replicas_ = 3 });
//   Send(catchUp.Start(now)); Send(catchUp.OnReply(1, reply, now)); ...
#pragma once

#include "vanillahatch/core/claim_quorum.h"
#include "vanillahatch/core/clock.h"

#include "ledger.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillahatch {

struct ClaimCatchUpOptions
{
  uint32_t replica_ = 0;
  uint32_t replicas_ = 3;
  Millis retryEvery_ = Millis(500);
};

struct SendCopy
{
  size_t replica_ = 0;
  v1::CopyRequest request_;
};

class ClaimCatchUp
{
public:
  explicit ClaimCatchUp(ClaimCatchUpOptions aOptions);

  std::vector<SendCopy> Start(Millis aNow);
  // `aRequest` is the request that the reply answers.
  std::vector<SendCopy> OnReply(size_t aReplica,
                                const v1::CopyRequest& aRequest,
                                const v1::CopyReply& aReply,
                                Millis aNow);
  // Sends again to the replicas that have not answered.
  std::vector<SendCopy> OnTick(Millis aNow);

  const std::optional<v1::LedgerSnapshot>& Result() const { return result_; }
  uint64_t Identity() const { return identity_; }

private:
  struct Source
  {
    bool asked_ = false;    // has said which identities it knows
    bool complete_ = false; // has sent its last page
    uint64_t known_ = 0;    // the newest identity of ours that it knew
    std::string afterKey_;
    std::vector<uint64_t> identities_;
    int64_t floor_ = 0;
    std::map<std::string, v1::KeyState> keys_;
  };

  v1::CopyRequest RequestFor(const Source& aSource) const;
  std::vector<SendCopy> SendToOthers(Millis aNow);
  void ChooseIdentity();
  void Merge();
  v1::KeyState MergeKey(const std::string& aKey) const;

  ClaimCatchUpOptions options_;
  ClaimQuorum quorum_;
  uint64_t identity_ = 0; // zero: not chosen yet
  std::vector<Source> sources_;
  Millis wakeAt_;
  std::optional<v1::LedgerSnapshot> result_;
};

} // namespace vanillahatch
