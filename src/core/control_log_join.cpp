// Bootstraps a cluster, joins one with a new incarnation and leaves it.
#include "vanillahatch/core/control_log.h"

#include <algorithm>

namespace vanillahatch {

void ControlLog::SendHellos()
{
  nextHelloAt_ = now_ + options_.timing_.heartbeat_;
  const bool hasLeaderContact =
    hadLeaderContact_ &&
    now_ - leaderLastContactAt_ < options_.timing_.minElectionTimeout_;
  if (hasLeaderContact) {
    return; // This leader sends its log, so it knows this replica.
  }
  leader_.clear();
  if (clusterId_ == 0 && options_.mayBootstrap_ &&
      options_.replicas_.size() == 1) {
    Bootstrap();
    return;
  }
  for (const std::string& name : ReplicasToGreet()) {
    v1::PeerMessage message;
    message.mutable_hello()->set_blank(clusterId_ == 0);
    for (const uint64_t incarnation : formerIncarnations_) {
      v1::LogMember& lost = *message.add_lost();
      lost.set_name(self_.name());
      lost.set_incarnation(incarnation);
    }
    v1::LogMember anyIncarnation;
    anyIncarnation.set_name(name);
    Send(std::move(message), anyIncarnation);
  }
}

// Any member may be the leader, which alone can add this replica, so the
// replicas of the settings are not enough.
std::set<std::string> ControlLog::ReplicasToGreet() const
{
  std::set<std::string> names(options_.replicas_.begin(),
                              options_.replicas_.end());
  for (const v1::LogMember& member : history_.Latest().config_.members()) {
    names.insert(member.name());
  }
  names.insert(sendersWhileBlank_.begin(), sendersWhileBlank_.end());
  for (const auto& [sender, members] : membersBySender_) {
    names.insert(members.begin(), members.end());
  }
  names.erase(self_.name());
  return names;
}

void ControlLog::ReceiveWhileBlank(const v1::PeerMessage& aMessage)
{
  // Only messages addressed to this incarnation may bind it to a cluster.
  const bool isForThisIncarnation =
    aMessage.to_incarnation() == self_.incarnation();
  if (aMessage.has_hello()) {
    v1::PeerMessage reply;
    reply.mutable_hello_reply()->set_blank(true);
    Send(std::move(reply), aMessage.from());
  } else if (isForThisIncarnation && aMessage.has_hello_reply()) {
    OnHelloReply(aMessage);
  } else if (isForThisIncarnation && aMessage.has_found()) {
    OnBootstrap(aMessage);
  } else if (isForThisIncarnation &&
             (aMessage.has_append() || aMessage.has_snapshot())) {
    clusterId_ = aMessage.cluster();
    RecordCluster();
    Receive(now_, aMessage);
  }
}

void ControlLog::OnHelloReply(const v1::PeerMessage& aMessage)
{
  const std::string& from = aMessage.from().name();
  if (!aMessage.hello_reply().blank()) {
    blankReplicas_.erase(from);
    RememberMembers(aMessage);
    RememberFormerIncarnations(aMessage);
    return;
  }
  blankReplicas_[from] = { aMessage.from().incarnation(), now_ };
  if (!options_.mayBootstrap_ || options_.replicas_.front() != self_.name()) {
    return;
  }
  const bool allBlank = std::all_of(
    options_.replicas_.begin(),
    options_.replicas_.end(),
    [&](const std::string& aName) {
      const auto it = blankReplicas_.find(aName);
      return aName == self_.name() ||
             (it != blankReplicas_.end() &&
              now_ - it->second.second <= options_.timing_.minElectionTimeout_);
    });
  if (allBlank) {
    Bootstrap();
  }
}

void ControlLog::RememberMembers(const v1::PeerMessage& aHelloReply)
{
  const auto& members = aHelloReply.hello_reply().members();
  membersBySender_[aHelloReply.from().name()] = { members.begin(),
                                                  members.end() };
}

// An incarnation that this one is told of began before it, and so has ended.
// Only a reply to this incarnation tells that: an earlier one may have been
// told of a later one by a message that was delayed.
void ControlLog::RememberFormerIncarnations(const v1::PeerMessage& aHelloReply)
{
  if (aHelloReply.to_incarnation() == self_.incarnation()) {
    const auto& others = aHelloReply.hello_reply().other_incarnations();
    formerIncarnations_.insert(others.begin(), others.end());
  }
}

void ControlLog::Bootstrap()
{
  clusterId_ = random_() | 1U;
  RecordCluster();
  v1::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  for (const std::string& name : options_.replicas_) {
    v1::LogMember& member = *entry.mutable_config()->add_members();
    member.set_name(name);
    member.set_incarnation(name == self_.name() ? self_.incarnation()
                                                : blankReplicas_[name].first);
  }
  v1::LogRecord record;
  *record.mutable_entry() = entry;
  Record(record);
  term_ = 1;
  RecordVote();
  history_.Put(std::move(entry));
  SetCommit(1);
  ResetElectionTimer();
  for (const v1::LogMember& member : history_.Latest().config_.members()) {
    if (!IsSame(member, self_)) {
      v1::PeerMessage message;
      *message.mutable_found()->mutable_entry() = history_.At(1);
      Send(std::move(message), member);
    }
  }
}

void ControlLog::OnBootstrap(const v1::PeerMessage& aMessage)
{
  const v1::LogEntry& entry = aMessage.found().entry();
  if (!Contains(entry.config(), self_)) {
    return;
  }
  clusterId_ = aMessage.cluster();
  RecordCluster();
  v1::LogRecord record;
  *record.mutable_entry() = entry;
  Record(record);
  term_ = entry.term();
  RecordVote();
  history_.Put(entry);
  SetCommit(1);
  ResetElectionTimer();
}

void ControlLog::OnHello(const v1::PeerMessage& aMessage)
{
  const v1::LogMember& from = aMessage.from();
  v1::PeerMessage reply;
  reply.mutable_hello_reply()->set_blank(false);
  for (const v1::LogMember& member : history_.Latest().config_.members()) {
    reply.mutable_hello_reply()->add_members(member.name());
  }
  for (const v1::LogConfig* config : QuorumConfigs()) {
    const v1::LogMember* member = FindByName(*config, from.name());
    if (member != nullptr && !IsSame(*member, from)) {
      reply.mutable_hello_reply()->add_other_incarnations(
        member->incarnation());
    }
  }
  Send(std::move(reply), from);
  if (Contains(history_.Latest().config_, from)) {
    // An initial member that missed the bootstrap message. Without it there may
    // be no quorum to elect a leader that would replicate the log to it.
    const bool hasBootstrapEntry =
      history_.SnapshotIndex() == 0 && history_.LastIndex() >= 1;
    if (hasBootstrapEntry && Contains(history_.At(1).config(), from)) {
      v1::PeerMessage message;
      *message.mutable_found()->mutable_entry() = history_.At(1);
      Send(std::move(message), from);
    }
    return;
  }
  const bool isKnownName = options_.openMembership_ ||
                           std::find(options_.replicas_.begin(),
                                     options_.replicas_.end(),
                                     from.name()) != options_.replicas_.end();
  if (!IsLeader() || !isKnownName || from.name() == self_.name()) {
    return;
  }
  OnLearnerContact(from);
}

void ControlLog::Leave(Millis aNow)
{
  isLeaving_ = true;
  nextLeaveAt_ = aNow;
  AdvanceTime(aNow);
}

bool ControlLog::MayStop() const
{
  if (IsLeader()) {
    return isLeaving_ && (IsMember() ? !CanMemberLeave() : IsReplaced(self_));
  }
  return isLeaving_ && needNotStay_;
}

void ControlLog::SendLeave()
{
  nextLeaveAt_ = now_ + options_.timing_.heartbeat_;
  if (leader_.empty() || IsLeader()) {
    return;
  }
  v1::PeerMessage message;
  message.mutable_leave();
  v1::LogMember leader; // any incarnation
  leader.set_name(leader_);
  Send(std::move(message), leader);
}

void ControlLog::OnLeave(const v1::PeerMessage& aMessage)
{
  const v1::LogMember& from = aMessage.from();
  if (!IsLeader()) {
    return;
  }
  std::erase_if(learners_, [&](const auto& aLearner) {
    return IsSame(aLearner.member_, from);
  });
  if (Progress* progress = FindProgress(from)) {
    progress->leavesUntil_ = now_ + options_.timing_.minElectionTimeout_;
    MaybeChangeMembers();
  }
  const bool isMember = Contains(history_.Latest().config_, from);
  if (isMember ? !CanMemberLeave() : IsReplaced(from)) {
    v1::PeerMessage reply;
    reply.mutable_leave_reply();
    Send(std::move(reply), from);
  }
}

} // namespace vanillahatch
