// Founding a cluster and joining one under a new incarnation.
#include "vanillahatch/core/control_log.h"

#include <algorithm>

namespace vanillahatch {

void ControlLog::SayHello()
{
  helloAt_ = now_ + options_.timing_.heartbeat_;
  if (cluster_ == 0 && options_.mayFound_ && options_.replicas_.size() == 1) {
    Found();
    return;
  }
  for (const std::string& name : options_.replicas_) {
    if (name == self_.name()) {
      continue;
    }
    v1::PeerMessage message;
    message.mutable_hello()->set_blank(cluster_ == 0);
    v1::LogMember anyone;
    anyone.set_name(name);
    Send(std::move(message), anyone);
  }
}

void ControlLog::ReceiveBlank(const v1::PeerMessage& aMessage)
{
  // Only what was meant for this very incarnation may bind it to a cluster.
  const bool isForMe = aMessage.to_incarnation() == self_.incarnation();
  if (aMessage.has_hello()) {
    v1::PeerMessage reply;
    reply.mutable_hello_reply()->set_blank(true);
    Send(std::move(reply), aMessage.from());
  } else if (isForMe && aMessage.has_hello_reply()) {
    OnHelloReply(aMessage);
  } else if (isForMe && aMessage.has_found()) {
    OnFound(aMessage);
  } else if (isForMe && (aMessage.has_append() || aMessage.has_snapshot())) {
    cluster_ = aMessage.cluster();
    RecordCluster();
    Receive(now_, aMessage);
  }
}

void ControlLog::OnHelloReply(const v1::PeerMessage& aMessage)
{
  if (!aMessage.hello_reply().blank()) {
    blanks_.erase(aMessage.from().name());
    return;
  }
  blanks_[aMessage.from().name()] = { aMessage.from().incarnation(), now_ };
  if (!options_.mayFound_ || options_.replicas_.front() != self_.name()) {
    return;
  }
  const bool allBlank = std::all_of(
    options_.replicas_.begin(),
    options_.replicas_.end(),
    [&](const std::string& aName) {
      const auto it = blanks_.find(aName);
      return aName == self_.name() ||
             (it != blanks_.end() &&
              now_ - it->second.second <= options_.timing_.minElectionTimeout_);
    });
  if (allBlank) {
    Found();
  }
}

void ControlLog::Found()
{
  cluster_ = random_() | 1U;
  RecordCluster();
  v1::LogEntry entry;
  entry.set_index(1);
  entry.set_term(1);
  for (const std::string& name : options_.replicas_) {
    v1::LogMember& member = *entry.mutable_config()->add_members();
    member.set_name(name);
    member.set_incarnation(name == self_.name() ? self_.incarnation()
                                                : blanks_[name].first);
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

void ControlLog::OnFound(const v1::PeerMessage& aMessage)
{
  const v1::LogEntry& entry = aMessage.found().entry();
  if (!Contains(entry.config(), self_)) {
    return;
  }
  cluster_ = aMessage.cluster();
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
  if (aMessage.hello().blank()) {
    v1::PeerMessage reply;
    reply.mutable_hello_reply()->set_blank(false);
    Send(std::move(reply), from);
  }
  if (Contains(history_.Latest().config_, from)) {
    // A founding member that missed the founding; without it there may be no
    // quorum that could elect a leader to bring it up to date.
    const bool holdsFounding =
      history_.BaseIndex() == 0 && history_.LastIndex() >= 1;
    if (holdsFounding && Contains(history_.At(1).config(), from)) {
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
  const bool isFree =
    !learner_ || now_ - learnerHeardAt_ > options_.timing_.maxElectionTimeout_;
  if (isFree) {
    learner_ = from;
    RefreshProgress();
  }
  if (IsSame(*learner_, from)) {
    learnerHeardAt_ = now_;
  }
}

} // namespace vanillahatch
