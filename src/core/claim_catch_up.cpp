#include "vanillahatch/core/claim_catch_up.h"

#include <algorithm>
#include <set>

namespace vanillahatch {

ClaimCatchUp::ClaimCatchUp(ClaimCatchUpOptions aOptions)
  : options_(aOptions)
  , quorum_(aOptions.replicaCount_)
  , sources_(aOptions.replicaCount_)
{
}

std::vector<OutgoingCopyRequest> ClaimCatchUp::Start(Millis aNow)
{
  return MakePendingRequests(aNow);
}

std::vector<OutgoingCopyRequest> ClaimCatchUp::OnTick(Millis aNow)
{
  if (result_ || aNow < retryAt_) {
    return {};
  }
  return MakePendingRequests(aNow);
}

std::vector<OutgoingCopyRequest> ClaimCatchUp::MakePendingRequests(Millis aNow)
{
  retryAt_ = aNow + options_.retryInterval_;
  std::vector<OutgoingCopyRequest> requests;
  for (size_t i = 0; i < sources_.size(); ++i) {
    const Source& source = sources_[i];
    const bool isPending =
      identity_ == 0 ? !source.hasReportedIdentities_ : !source.isComplete_;
    if (i != options_.replicaIndex_ && isPending) {
      requests.push_back(
        { .replicaIndex_ = i, .request_ = MakeRequest(source) });
    }
  }
  return requests;
}

v1::CopyRequest ClaimCatchUp::MakeRequest(const Source& aSource) const
{
  v1::CopyRequest request;
  request.set_replica(options_.replicaIndex_);
  request.set_identity(identity_);
  request.set_after_key(aSource.lastKey_);
  return request;
}

std::vector<OutgoingCopyRequest> ClaimCatchUp::OnReply(
  size_t aReplicaIndex,
  const v1::CopyRequest& aRequest,
  const v1::CopyReply& aReply,
  Millis aNow)
{
  const bool isCurrent =
    !result_ && aReply.member() && aReplicaIndex != options_.replicaIndex_ &&
    aRequest.identity() == identity_ &&
    aReply.identities_size() == static_cast<int>(options_.replicaCount_);
  if (!isCurrent) {
    return {};
  }
  Source& source = sources_[aReplicaIndex];
  if (identity_ == 0) {
    source.hasReportedIdentities_ = true;
    source.knownOwnIdentity_ =
      aReply.identities(static_cast<int>(options_.replicaIndex_));
    ChooseIdentity();
    return identity_ != 0 ? MakePendingRequests(aNow)
                          : std::vector<OutgoingCopyRequest>();
  }
  if (source.isComplete_ || aRequest.after_key() != source.lastKey_) {
    return {};
  }
  const auto sourceIndex = static_cast<int>(aReplicaIndex);
  if (!source.identities_.empty() &&
      source.identities_[aReplicaIndex] != aReply.identities(sourceIndex)) {
    // The source lost its own state between two pages: its copy restarts.
    source = Source{ .hasReportedIdentities_ = true };
    return { OutgoingCopyRequest{ .replicaIndex_ = aReplicaIndex,
                                  .request_ = MakeRequest(source) } };
  }
  for (const v1::KeyState& state : aReply.keys()) {
    source.keys_[state.key()] = state;
    source.lastKey_ = state.key();
  }
  source.identities_.assign(aReply.identities().begin(),
                            aReply.identities().end());
  source.floorUnixMs_ = aReply.floor_unix_ms();
  if (aReply.more()) {
    return { OutgoingCopyRequest{ .replicaIndex_ = aReplicaIndex,
                                  .request_ = MakeRequest(source) } };
  }
  source.isComplete_ = true;
  TryMerge();
  return {};
}

void ClaimCatchUp::ChooseIdentity()
{
  size_t reported = 0;
  uint64_t newestIdentity = 0;
  for (const Source& source : sources_) {
    reported += source.hasReportedIdentities_ ? 1 : 0;
    newestIdentity = std::max(newestIdentity, source.knownOwnIdentity_);
  }
  if (reported >= quorum_.Majority()) {
    identity_ = newestIdentity + 1;
  }
}

void ClaimCatchUp::TryMerge()
{
  const auto completeSources = static_cast<size_t>(
    std::count_if(sources_.begin(), sources_.end(), [](const Source& aSource) {
      return aSource.isComplete_;
    }));
  if (completeSources < quorum_.Majority()) {
    return;
  }
  v1::LedgerSnapshot snapshot;
  snapshot.set_replica(options_.replicaIndex_);
  std::vector<uint64_t> identities(options_.replicaCount_);
  std::set<std::string> keys;
  int64_t floorUnixMs = 0;
  for (const Source& source : sources_) {
    if (!source.isComplete_) {
      continue;
    }
    for (size_t i = 0; i < identities.size(); ++i) {
      identities[i] = std::max(identities[i], source.identities_[i]);
    }
    floorUnixMs = std::max(floorUnixMs, source.floorUnixMs_);
    for (const auto& [key, state] : source.keys_) {
      keys.insert(key);
    }
  }
  identities[options_.replicaIndex_] = identity_;
  snapshot.mutable_identities()->Assign(identities.begin(), identities.end());
  snapshot.set_floor_unix_ms(floorUnixMs);
  for (const std::string& key : keys) {
    v1::KeyState merged = MergeKey(key);
    if (merged.issued_at_unix_ms() >= floorUnixMs) {
      *snapshot.add_keys() = std::move(merged);
    }
  }
  result_ = std::move(snapshot);
}

v1::KeyState ClaimCatchUp::MergeKey(const std::string& aKey) const
{
  static const v1::KeyState kEmptyState;
  std::vector<const v1::KeyState*> states;
  v1::KeyState merged;
  for (const Source& source : sources_) {
    if (!source.isComplete_) {
      continue;
    }
    const auto it = source.keys_.find(aKey);
    const v1::KeyState& state =
      it != source.keys_.end() ? it->second : kEmptyState;
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
  if (const v1::KeyState* candidate = quorum_.Candidate(states)) {
    merged.set_issued_at_unix_ms(candidate->issued_at_unix_ms());
    *merged.mutable_accepted() = candidate->accepted();
    *merged.mutable_value() = candidate->value();
  }
  return merged;
}

} // namespace vanillahatch
