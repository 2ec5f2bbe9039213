// Restores a ledger replica that has lost its state: chooses a new identity,
// has a majority of the other replicas void the votes of the earlier
// identities, and collects the state of a majority.
//
// A deterministic state machine without I/O. The caller sends the requests
// that it returns and passes the replies in. Lost requests are repeated by
// `OnTick`. Once `Result()` is set, the caller installs it in the register and
// stores it; only then may the replica vote.
//
//   ClaimCatchUp catchUp({ .replicaIndex_ = 0, .replicaCount_ = 3 });
//   Send(catchUp.Start(now)); Send(catchUp.OnReply(1, request, reply, now));
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
  uint32_t replicaIndex_ = 0; // index of this replica in the settings
  uint32_t replicaCount_ = 3;
  Millis retryInterval_ = Millis(500);
};

struct OutgoingCopyRequest
{
  size_t replicaIndex_ = 0; // index of the replica that the request goes to
  v1::CopyRequest request_;
};

class ClaimCatchUp
{
public:
  explicit ClaimCatchUp(ClaimCatchUpOptions aOptions);

  std::vector<OutgoingCopyRequest> Start(Millis aNow);
  // `aRequest` is the request that the reply answers.
  std::vector<OutgoingCopyRequest> OnReply(size_t aReplicaIndex,
                                           const v1::CopyRequest& aRequest,
                                           const v1::CopyReply& aReply,
                                           Millis aNow);
  // Repeats the requests to the replicas that have not answered.
  std::vector<OutgoingCopyRequest> OnTick(Millis aNow);

  const std::optional<v1::LedgerSnapshot>& Result() const { return result_; }
  // Zero until a majority has reported the identities that it knows.
  uint64_t Identity() const { return identity_; }

private:
  // What has been received from one of the other replicas.
  struct Source
  {
    bool hasReportedIdentities_ = false;
    bool isComplete_ = false;          // the last page has been received
    uint64_t knownOwnIdentity_ = 0;    // newest own identity that it knows of
    std::string lastKey_;              // the next page starts after it
    std::vector<uint64_t> identities_; // by replica index
    int64_t floorUnixMs_ = 0;
    std::map<std::string, v1::KeyState> keys_;
  };

  v1::CopyRequest MakeRequest(const Source& aSource) const;
  std::vector<OutgoingCopyRequest> MakePendingRequests(Millis aNow);
  void ChooseIdentity();
  // Sets the result once a majority of sources is complete.
  void TryMerge();
  v1::KeyState MergeKey(const std::string& aKey) const;

  ClaimCatchUpOptions options_;
  ClaimQuorum quorum_;
  uint64_t identity_ = 0;       // zero: not chosen yet
  std::vector<Source> sources_; // by replica index
  Millis retryAt_;
  std::optional<v1::LedgerSnapshot> result_;
};

} // namespace vanillahatch
