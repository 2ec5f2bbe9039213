#include "vanillahatch/core/fleet_config.h"

#include "fleet_config_checks.h"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace vanillahatch {

v1::ChangeReply FleetConfig::Apply(const v1::Change& aChange)
{
  const auto answered = answerById_.find(aChange.change_id());
  if (answered != answerById_.end()) {
    return answered->second;
  }
  v1::ChangeReply reply = Evaluate(aChange);
  if (reply.status() == v1::CHANGE_ACCEPTED) {
    Adopt(aChange, state_.revision() + 1);
  }
  reply.set_revision(state_.revision());
  if (!aChange.change_id().empty()) {
    StoreAnswer(aChange, reply);
  }
  return reply;
}

v1::ChangeReply FleetConfig::Evaluate(const v1::Change& aChange) const
{
  v1::ChangeReply reply;
  reply.set_status(v1::CHANGE_INVALID);
  if (aChange.change_id().empty()) {
    reply.set_detail("change_id: must not be empty");
    return reply;
  }
  if (evictedUntil_ > 0 && aChange.proposed_at_unix_ms() <= evictedUntil_) {
    reply.set_detail("proposed_at_unix_ms: too old; whether this change was "
                     "made before is no longer known");
    return reply;
  }
  // A stale revision is reported first: it may be the cause of other errors.
  if (aChange.has_expected_revision() &&
      aChange.expected_revision() <
        fleet_config::LastRelevantRevision(state_, aChange)) {
    reply.set_status(v1::CHANGE_CONFLICT);
    reply.set_detail("changed by another since revision " +
                     std::to_string(aChange.expected_revision()));
    reply.set_current(fleet_config::CurrentValue(state_, aChange));
    return reply;
  }
  std::string error = fleet_config::Check(state_, aChange);
  if (!error.empty()) {
    reply.set_detail(std::move(error));
    return reply;
  }
  reply.set_status(v1::CHANGE_ACCEPTED);
  return reply;
}

bool FleetConfig::Adopt(const v1::Change& aChange, uint64_t aRevision)
{
  if (aRevision != state_.revision() + 1) {
    return false;
  }
  state_.set_revision(aRevision);
  fleet_config::ApplyToState(state_, aChange);
  return true;
}

bool FleetConfig::AdoptState(const v1::FleetState& aState)
{
  if (aState.revision() < state_.revision()) {
    return false;
  }
  state_ = aState;
  return true;
}

void FleetConfig::StoreAnswer(const v1::Change& aChange,
                              const v1::ChangeReply& aReply)
{
  v1::AnsweredChange answered;
  answered.set_change_id(aChange.change_id());
  answered.set_proposed_at_unix_ms(aChange.proposed_at_unix_ms());
  answered.set_reply(aReply.SerializeAsString());
  answerById_[aChange.change_id()] = aReply;
  answers_.push_back(std::move(answered));
  if (answers_.size() > kMaxKeptAnswers) {
    const v1::AnsweredChange& oldest = answers_.front();
    evictedUntil_ = std::max(evictedUntil_, oldest.proposed_at_unix_ms());
    answerById_.erase(oldest.change_id());
    answers_.pop_front();
  }
}

std::string FleetConfig::Snapshot() const
{
  v1::FleetSnapshot snapshot;
  *snapshot.mutable_state() = state_;
  for (const v1::AnsweredChange& answered : answers_) {
    *snapshot.add_answers() = answered;
  }
  snapshot.set_forgotten_until_unix_ms(evictedUntil_);
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream out(&bytes);
    google::protobuf::io::CodedOutputStream coded(&out);
    // Serializes map fields in key order, so that the bytes are reproducible.
    coded.SetSerializationDeterministic(true);
    snapshot.SerializeToCodedStream(&coded);
  }
  return bytes;
}

bool FleetConfig::RestoreSnapshot(std::string_view aBytes)
{
  v1::FleetSnapshot snapshot;
  if (!snapshot.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
    return false;
  }
  state_ = snapshot.state();
  evictedUntil_ = snapshot.forgotten_until_unix_ms();
  answers_.assign(snapshot.answers().begin(), snapshot.answers().end());
  answerById_.clear();
  for (const v1::AnsweredChange& answered : answers_) {
    v1::ChangeReply& reply = answerById_[answered.change_id()];
    if (!reply.ParseFromString(answered.reply())) {
      // Earlier releases stored a `detail` that is not UTF-8. The fields before
      // it have been parsed.
      reply.clear_detail();
    }
  }
  return true;
}

const v1::Membership* FindMembership(const v1::FleetState& aState,
                                     std::string_view aInstance)
{
  for (const v1::Membership& membership : aState.memberships()) {
    if (membership.instance() == aInstance) {
      return &membership;
    }
  }
  return nullptr;
}

const v1::PoolContract* FindPool(const v1::FleetState& aState,
                                 std::string_view aPool)
{
  for (const v1::PoolContract& pool : aState.pools()) {
    if (pool.name() == aPool) {
      return &pool;
    }
  }
  return nullptr;
}

} // namespace vanillahatch
