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
  v1::ChangeReply reply = Decide(aChange);
  if (reply.status() == v1::CHANGE_ACCEPTED) {
    Adopt(aChange, state_.revision() + 1);
  }
  reply.set_revision(state_.revision());
  if (!aChange.change_id().empty()) {
    Remember(aChange, reply);
  }
  return reply;
}

v1::ChangeReply FleetConfig::Decide(const v1::Change& aChange) const
{
  v1::ChangeReply reply;
  reply.set_status(v1::CHANGE_INVALID);
  if (aChange.change_id().empty()) {
    reply.set_detail("change_id: must not be empty");
    return reply;
  }
  if (forgottenUntil_ > 0 && aChange.proposed_at_unix_ms() <= forgottenUntil_) {
    reply.set_detail("proposed_at_unix_ms: too old; whether this change was "
                     "made before is no longer known");
    return reply;
  }
  // A stale revision is reported first: the fault may come of the staleness.
  if (aChange.has_expected_revision() &&
      aChange.expected_revision() <
        fleet_config::LastRevision(state_, aChange)) {
    reply.set_status(v1::CHANGE_CONFLICT);
    reply.set_detail("changed by another since revision " +
                     std::to_string(aChange.expected_revision()));
    reply.set_current(fleet_config::CurrentValue(state_, aChange));
    return reply;
  }
  std::string fault = fleet_config::Check(state_, aChange);
  if (!fault.empty()) {
    reply.set_detail(std::move(fault));
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
  fleet_config::Perform(state_, aChange);
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

void FleetConfig::Remember(const v1::Change& aChange,
                           const v1::ChangeReply& aReply)
{
  v1::AnsweredChange answered;
  answered.set_change_id(aChange.change_id());
  answered.set_proposed_at_unix_ms(aChange.proposed_at_unix_ms());
  *answered.mutable_reply() = aReply;
  answerById_[aChange.change_id()] = aReply;
  answers_.push_back(std::move(answered));
  if (answers_.size() > kKeptAnswers) {
    const v1::AnsweredChange& oldest = answers_.front();
    forgottenUntil_ = std::max(forgottenUntil_, oldest.proposed_at_unix_ms());
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
  snapshot.set_forgotten_until_unix_ms(forgottenUntil_);
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream out(&bytes);
    google::protobuf::io::CodedOutputStream coded(&out);
    // Maps are written in the order of their keys.
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
  forgottenUntil_ = snapshot.forgotten_until_unix_ms();
  answers_.assign(snapshot.answers().begin(), snapshot.answers().end());
  answerById_.clear();
  for (const v1::AnsweredChange& answered : answers_) {
    answerById_[answered.change_id()] = answered.reply();
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
