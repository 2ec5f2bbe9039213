#include "vanillahatch/core/claim_catch_up.h"

#include <algorithm>
#include <set>

namespace vanillahatch {

ClaimCatchUp::ClaimCatchUp(ClaimCatchUpOptions aOptions)
  : options_(aOptions)
  , quorum_(aOptions.replicas_)
  , sources_(aOptions.replicas_)
{
}

std::vector<SendCopy> ClaimCatchUp::Start(Millis aNow)
{
  return SendToOthers(aNow);
}

std::vector<SendCopy> ClaimCatchUp::OnTick(Millis aNow)
{
  if (result_ || aNow < wakeAt_) {
    return {};
  }
  return SendToOthers(aNow);
}

std::vector<SendCopy> ClaimCatchUp::SendToOthers(Millis aNow)
{
  wakeAt_ = aNow + options_.retryEvery_;
  std::vector<SendCopy> sends;
  for (size_t i = 0; i < sources_.size(); ++i) {
    const Source& source = sources_[i];
    const bool isNeeded = identity_ == 0 ? !source.asked_ : !source.complete_;
    if (i != options_.replica_ && isNeeded) {
      sends.push_back({ .replica_ = i, .request_ = RequestFor(source) });
    }
  }
  return sends;
}

v1::CopyRequest ClaimCatchUp::RequestFor(const Source& aSource) const
{
  v1::CopyRequest request;
  request.set_replica(options_.replica_);
  request.set_identity(identity_);
  request.set_after_key(aSource.afterKey_);
  return request;
}

std::vector<SendCopy> ClaimCatchUp::OnReply(size_t aReplica,
                                            const v1::CopyRequest& aRequest,
                                            const v1::CopyReply& aReply,
                                            Millis aNow)
{
  const bool isCurrent =
    !result_ && aReply.member() && aReplica != options_.replica_ &&
    aRequest.identity() == identity_ &&
    aReply.identities_size() == static_cast<int>(options_.replicas_);
  if (!isCurrent) {
    return {};
  }
  Source& source = sources_[aReplica];
  if (identity_ == 0) {
    source.asked_ = true;
    source.known_ = aReply.identities(static_cast<int>(options_.replica_));
    ChooseIdentity();
    return identity_ != 0 ? SendToOthers(aNow) : std::vector<SendCopy>();
  }
  if (source.complete_ || aRequest.after_key() != source.afterKey_) {
    return {};
  }
  const auto own = static_cast<int>(aReplica);
  if (!source.identities_.empty() &&
      source.identities_[aReplica] != aReply.identities(own)) {
    // The source itself lost its disk between two pages: begin again.
    source = Source{ .asked_ = true };
    return { SendCopy{ .replica_ = aReplica, .request_ = RequestFor(source) } };
  }
  for (const v1::KeyState& state : aReply.keys()) {
    source.keys_[state.key()] = state;
    source.afterKey_ = state.key();
  }
  source.identities_.assign(aReply.identities().begin(),
                            aReply.identities().end());
  source.floor_ = aReply.floor_unix_ms();
  if (aReply.more()) {
    return { SendCopy{ .replica_ = aReplica, .request_ = RequestFor(source) } };
  }
  source.complete_ = true;
  Merge();
  return {};
}

void ClaimCatchUp::ChooseIdentity()
{
  size_t asked = 0;
  uint64_t newest = 0;
  for (const Source& source : sources_) {
    asked += source.asked_ ? 1 : 0;
    newest = std::max(newest, source.known_);
  }
  if (asked >= quorum_.Majority()) {
    identity_ = newest + 1;
  }
}

void ClaimCatchUp::Merge()
{
  const auto complete = static_cast<size_t>(
    std::count_if(sources_.begin(), sources_.end(), [](const Source& aSource) {
      return aSource.complete_;
    }));
  if (complete < quorum_.Majority()) {
    return;
  }
  v1::LedgerSnapshot snapshot;
  snapshot.set_replica(options_.replica_);
  std::vector<uint64_t> identities(options_.replicas_);
  std::set<std::string> keys;
  int64_t floor = 0;
  for (const Source& source : sources_) {
    if (!source.complete_) {
      continue;
    }
    for (size_t i = 0; i < identities.size(); ++i) {
      identities[i] = std::max(identities[i], source.identities_[i]);
    }
    floor = std::max(floor, source.floor_);
    for (const auto& [key, state] : source.keys_) {
      keys.insert(key);
    }
  }
  identities[options_.replica_] = identity_;
  snapshot.mutable_identities()->Assign(identities.begin(), identities.end());
  snapshot.set_floor_unix_ms(floor);
  for (const std::string& key : keys) {
    v1::KeyState merged = MergeKey(key);
    if (merged.issued_at_unix_ms() >= floor) {
      *snapshot.add_keys() = std::move(merged);
    }
  }
  result_ = std::move(snapshot);
}

v1::KeyState ClaimCatchUp::MergeKey(const std::string& aKey) const
{
  static const v1::KeyState kNothing;
  std::vector<const v1::KeyState*> states;
  v1::KeyState merged;
  for (const Source& source : sources_) {
    if (!source.complete_) {
      continue;
    }
    const auto it = source.keys_.find(aKey);
    const v1::KeyState& state =
      it != source.keys_.end() ? it->second : kNothing;
    states.push_back(&state);
    if (it == source.keys_.end()) {
      continue;
    }
    merged.set_issued_at_unix_ms(state.issued_at_unix_ms());
    if (IsLess(merged.promised(), state.promised())) {
      *merged.mutable_promised() = state.promised();
    }
  }
  merged.set_key(aKey);
  if (const v1::KeyState* held = quorum_.Candidate(states)) {
    merged.set_issued_at_unix_ms(held->issued_at_unix_ms());
    *merged.mutable_accepted() = held->accepted();
    *merged.mutable_value() = held->value();
  }
  return merged;
}

} // namespace vanillahatch
