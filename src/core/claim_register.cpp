#include "vanillahatch/core/claim_register.h"

namespace vanillahatch {

v1::ClaimReply ClaimRegister::Claim(const v1::ClaimRequest& aRequest,
                                    bool& aChanged)
{
  auto [it, isNew] = claims_.try_emplace(aRequest.key());
  Held& held = it->second;
  aChanged = isNew;
  if (isNew) {
    held.holder_ = aRequest.claimant();
  }
  v1::ClaimReply reply;
  reply.set_holder(held.holder_);
  if (held.ended_) {
    reply.set_status(v1::CLAIM_RECORDED);
    *reply.mutable_outcome() = held.outcome_;
    return reply;
  }
  const bool mine = held.holder_ == aRequest.claimant();
  reply.set_status(mine ? v1::CLAIM_GRANTED : v1::CLAIM_HELD);
  return reply;
}

bool ClaimRegister::Record(const v1::OutcomeRequest& aRequest)
{
  const auto it = claims_.find(aRequest.key());
  if (it == claims_.end() || it->second.holder_ != aRequest.claimant()) {
    return false;
  }
  it->second.ended_ = true;
  it->second.outcome_ = aRequest.outcome();
  return true;
}

} // namespace vanillahatch
