// One ledger replica's record of claims on idempotency keys.
//
// The first claimant that a replica hears of keeps the key at that replica for
// good. A claimant may dispatch once it holds a key at a majority of replicas;
// two majorities share a replica, so two claimants never both hold one.
//
// Pure state; the shell makes each change durable before it answers.
#pragma once

#include "ledger.pb.h"

#include <string>
#include <unordered_map>

namespace vanillahatch {

class ClaimRegister
{
public:
  // Takes a claim in and says who holds the key here. `aChanged` tells the
  // shell that the register changed and must be synced before the answer.
  v1::ClaimReply Claim(const v1::ClaimRequest& aRequest, bool& aChanged);

  // Records how the holder's job ended. False if the claimant does not hold
  // the key here.
  bool Record(const v1::OutcomeRequest& aRequest);

  size_t Size() const { return claims_.size(); }

private:
  struct Held
  {
    std::string holder_;
    bool ended_ = false;
    v1::RecordedOutcome outcome_;
  };

  std::unordered_map<std::string, Held> claims_;
};

} // namespace vanillahatch
