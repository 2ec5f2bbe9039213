#include "vanillahatch/core/claim_register.h"

#include "vanillahatch/core/claim_quorum.h"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>
#include <utility>

namespace vanillahatch {

namespace {

// Memory of a map node and its two strings besides their bytes.
constexpr size_t kKeyOverheadBytes = 144;

constexpr uint64_t kFirstIdentity = 1;

size_t EstimateBytes(const std::string& aKey, const std::string& aState)
{
  return aKey.size() + aState.size() + kKeyOverheadBytes;
}

// Parses everything but the keys, for which it returns views of their bytes:
// parsed messages would take several times the memory. False if `aBytes` is
// malformed.
bool SplitSnapshot(const std::string& aBytes,
                   v1::LedgerSnapshot& aHeader,
                   std::vector<std::string_view>& aStates)
{
  using google::protobuf::internal::WireFormatLite;
  constexpr uint32_t kKeysTag =
    WireFormatLite::MakeTag(v1::LedgerSnapshot::kKeysFieldNumber,
                            WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
  // CodedInputStream reads uint8_t.
  const auto* const begin = reinterpret_cast<const uint8_t*>(aBytes.data());
  google::protobuf::io::CodedInputStream in(begin,
                                            static_cast<int>(aBytes.size()));
  int keysOffset = 0;
  for (uint32_t tag = in.ReadTag(); tag != 0; tag = in.ReadTag()) {
    if (tag != kKeysTag) {
      if (!aStates.empty() || !WireFormatLite::SkipField(&in, tag)) {
        return false;
      }
      keysOffset = in.CurrentPosition();
      continue;
    }
    uint32_t size = 0;
    if (!in.ReadVarint32(&size)) {
      return false;
    }
    const int offset = in.CurrentPosition();
    if (!in.Skip(static_cast<int>(size))) {
      return false;
    }
    aStates.emplace_back(aBytes.data() + offset, size);
  }
  return in.ConsumedEntireMessage() &&
         aHeader.ParseFromArray(aBytes.data(), keysOffset);
}

v1::KeyState ParseKeyState(const std::string& aBytes)
{
  v1::KeyState state;
  state.ParseFromString(aBytes);
  return state;
}

} // namespace

ClaimRegister::ClaimRegister(ClaimRegisterOptions aOptions)
  : options_(aOptions)
{
}

void ClaimRegister::Bootstrap()
{
  identities_.assign(options_.replicaCount_, kFirstIdentity);
}

RestoreResult ClaimRegister::Restore(const StoreContents& aContents)
{
  if (aContents.tornTail_) {
    return RestoreResult::kUnusable;
  }
  if (aContents.snapshot_.empty()) {
    // A member stores a snapshot with its identity before it votes.
    return RestoreResult::kEmpty;
  }
  v1::LedgerSnapshot snapshot;
  std::vector<std::string_view> states;
  if (!SplitSnapshot(aContents.snapshot_, snapshot, states) ||
      snapshot.replica() != options_.replicaIndex_ ||
      snapshot.identities_size() != static_cast<int>(options_.replicaCount_)) {
    return RestoreResult::kUnusable;
  }
  v1::LedgerRecord record;
  for (const std::string& bytes : aContents.records_) {
    if (!record.ParseFromString(bytes)) {
      return RestoreResult::kUnusable;
    }
  }
  Install(snapshot);
  for (const std::string_view state : states) {
    PutState(ParseKeyState(std::string(state)));
  }
  for (const std::string& bytes : aContents.records_) {
    record.ParseFromString(bytes);
    ApplyRecord(record);
  }
  return RestoreResult::kRestored;
}

void ClaimRegister::Install(const v1::LedgerSnapshot& aSnapshot)
{
  keys_.clear();
  bytes_ = 0;
  identities_.assign(aSnapshot.identities().begin(),
                     aSnapshot.identities().end());
  floor_ = Millis(aSnapshot.floor_unix_ms());
  for (const v1::KeyState& state : aSnapshot.keys()) {
    PutState(state);
  }
}

void ClaimRegister::ApplyRecord(const v1::LedgerRecord& aRecord)
{
  if (aRecord.identities_size() > 0) {
    identities_.assign(aRecord.identities().begin(),
                       aRecord.identities().end());
  }
  if (!aRecord.has_state()) {
    return;
  }
  v1::KeyState state = aRecord.state();
  const auto it = keys_.find(state.key());
  if (!state.has_value() && it != keys_.end()) {
    v1::KeyState merged = ParseKeyState(it->second);
    *merged.mutable_promised() = state.promised();
    state = std::move(merged);
  }
  PutState(state);
}

VoteResult ClaimRegister::Vote(const v1::VoteRequest& aRequest)
{
  VoteResult result;
  if (!IsMember()) {
    result.reply_.set_status(v1::VOTE_NOT_MEMBER);
    return result;
  }
  const bool isKnownKey = keys_.contains(aRequest.key());
  if (!isKnownKey && Millis(aRequest.issued_at_unix_ms()) < floor_) {
    FillReply(result.reply_, v1::VOTE_EXPIRED, {});
    return result;
  }
  if (!isKnownKey && bytes_ >= options_.maxBytes_) {
    FillReply(result.reply_, v1::VOTE_OVERLOADED, {});
    return result;
  }
  v1::KeyState state = GetOrMakeState(aRequest);
  if (!Permits(aRequest, state)) {
    FillReply(result.reply_, v1::VOTE_REFUSED, state);
    return result;
  }
  const bool isRepeat =
    isKnownKey && IsSame(state.promised(), aRequest.ballot()) &&
    (!aRequest.has_value() ||
     (state.has_value() && IsSame(state.accepted(), aRequest.ballot())));
  if (!isRepeat) {
    *state.mutable_promised() = aRequest.ballot();
    v1::LedgerRecord record;
    if (aRequest.has_value()) {
      *state.mutable_accepted() = aRequest.ballot();
      *state.mutable_value() = aRequest.value();
      *record.mutable_state() = state;
    } else {
      record.mutable_state()->set_key(state.key());
      record.mutable_state()->set_issued_at_unix_ms(state.issued_at_unix_ms());
      *record.mutable_state()->mutable_promised() = state.promised();
    }
    result.record_ = record.SerializeAsString();
    PutState(state);
  }
  FillReply(result.reply_, v1::VOTE_GRANTED, state);
  return result;
}

bool ClaimRegister::Permits(const v1::VoteRequest& aRequest,
                            const v1::KeyState& aState)
{
  if (IsLess(aRequest.ballot(), aState.promised())) {
    return false;
  }
  // Many proposers share the fast ballot, so the first value is kept.
  const bool isFast = aRequest.ballot().round() == 0;
  return !isFast || !aState.has_value() ||
         aState.value().claimant() == aRequest.value().claimant();
}

CopyResult ClaimRegister::Copy(const v1::CopyRequest& aRequest)
{
  CopyResult result;
  v1::CopyReply& reply = result.reply_;
  if (!IsMember() || aRequest.replica() >= options_.replicaCount_ ||
      aRequest.replica() == options_.replicaIndex_) {
    return result;
  }
  uint64_t& knownIdentity = identities_[aRequest.replica()];
  if (aRequest.identity() != 0 && aRequest.identity() < knownIdentity) {
    return result;
  }
  if (aRequest.identity() > knownIdentity) {
    // Every later vote of this replica reports the new identity, by which
    // proposers ignore votes of the earlier one.
    knownIdentity = aRequest.identity();
    v1::LedgerRecord record;
    record.mutable_identities()->Assign(identities_.begin(), identities_.end());
    result.record_ = record.SerializeAsString();
  }
  reply.set_member(true);
  reply.mutable_identities()->Assign(identities_.begin(), identities_.end());
  reply.set_floor_unix_ms(floor_.Count());
  if (aRequest.identity() == 0) {
    return result;
  }
  size_t bytes = 0;
  auto it = aRequest.after_key().empty()
              ? keys_.begin()
              : keys_.upper_bound(aRequest.after_key());
  for (; it != keys_.end() && bytes < kCopyPageBytes; ++it) {
    reply.add_keys()->ParseFromString(it->second);
    bytes += it->second.size();
  }
  reply.set_more(it != keys_.end());
  return result;
}

bool ClaimRegister::Expire(Millis aUnixNow)
{
  Millis floor = std::max(floor_, aUnixNow - options_.retention_);
  if (bytes_ >= options_.maxBytes_) {
    std::vector<int64_t> issued;
    issued.reserve(keys_.size());
    for (const auto& [key, bytes] : keys_) {
      issued.push_back(ParseKeyState(bytes).issued_at_unix_ms());
    }
    const auto quarter =
      issued.begin() + static_cast<std::ptrdiff_t>(issued.size() / 4);
    std::nth_element(issued.begin(), quarter, issued.end());
    const Millis maxFloor = aUnixNow - options_.minRetention_;
    floor = std::max(floor, std::min(Millis(*quarter + 1), maxFloor));
  }
  if (floor <= floor_) {
    return false;
  }
  floor_ = floor;
  std::erase_if(keys_, [&](const auto& aEntry) {
    const bool isExpired =
      Millis(ParseKeyState(aEntry.second).issued_at_unix_ms()) < floor_;
    bytes_ -= isExpired ? EstimateBytes(aEntry.first, aEntry.second) : 0;
    return isExpired;
  });
  return true;
}

std::string ClaimRegister::Snapshot() const
{
  v1::LedgerSnapshot snapshot;
  snapshot.set_replica(options_.replicaIndex_);
  snapshot.mutable_identities()->Assign(identities_.begin(), identities_.end());
  snapshot.set_floor_unix_ms(floor_.Count());
  // Concatenated serialized messages parse as one merged message. Adding one
  // key at a time avoids a second copy of the whole state as messages.
  std::string serialized = snapshot.SerializeAsString();
  serialized.reserve(serialized.size() + bytes_);
  for (const auto& [key, bytes] : keys_) {
    v1::LedgerSnapshot singleKey;
    singleKey.add_keys()->ParseFromString(bytes);
    singleKey.AppendToString(&serialized);
  }
  return serialized;
}

uint64_t ClaimRegister::Identity() const
{
  return IsMember() ? identities_[options_.replicaIndex_] : 0;
}

v1::KeyState ClaimRegister::GetOrMakeState(
  const v1::VoteRequest& aRequest) const
{
  const auto it = keys_.find(aRequest.key());
  if (it != keys_.end()) {
    return ParseKeyState(it->second);
  }
  v1::KeyState state;
  state.set_key(aRequest.key());
  state.set_issued_at_unix_ms(aRequest.issued_at_unix_ms());
  return state;
}

void ClaimRegister::PutState(const v1::KeyState& aState)
{
  std::string& stored = keys_[aState.key()];
  if (!stored.empty()) {
    bytes_ -= EstimateBytes(aState.key(), stored);
  }
  stored = aState.SerializeAsString();
  stored.shrink_to_fit();
  bytes_ += EstimateBytes(aState.key(), stored);
}

void ClaimRegister::FillReply(v1::VoteReply& aReply,
                              v1::VoteStatus aStatus,
                              const v1::KeyState& aState) const
{
  aReply.set_status(aStatus);
  *aReply.mutable_state() = aState;
  aReply.mutable_identities()->Assign(identities_.begin(), identities_.end());
}

} // namespace vanillahatch
