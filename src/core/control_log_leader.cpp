// Implements the leader: replication and commit.
#include "vanillahatch/core/control_log.h"

#include <algorithm>

namespace vanillahatch {

void ControlLog::BecomeLeader()
{
  role_ = LogRole::kLeader;
  leader_ = self_.name();
  votes_.clear();
  progress_.clear();
  configKnownIndex_ = 0;
  RefreshProgress();
  nextHeartbeatAt_ = now_ + options_.timing_.heartbeat_;
  AppendAsLeader({});
}

void ControlLog::RefreshProgress()
{
  std::vector<v1::LogMember> targets;
  const auto add = [&](const v1::LogMember& aMember) {
    const bool isNew =
      std::none_of(targets.begin(), targets.end(), [&](const auto& aOther) {
        return IsSame(aOther, aMember);
      });
    if (isNew && !IsSame(aMember, self_)) {
      targets.push_back(aMember);
    }
  };
  for (const v1::LogMember& member : history_.Latest().config_.members()) {
    add(member);
  }
  if (IsConfigPending() && history_.BeforeLatest() != nullptr) {
    const auto& before = history_.BeforeLatest()->config_;
    std::for_each(before.members().begin(), before.members().end(), add);
  }
  for (const Learner& learner : learners_) {
    add(learner.member_);
  }
  std::vector<Progress> updated;
  for (const v1::LogMember& member : targets) {
    const Progress* existing = FindProgress(member);
    updated.push_back(existing != nullptr
                        ? *existing
                        : Progress{ .member_ = member,
                                    .nextIndex_ = history_.LastIndex() + 1,
                                    .lastContactAt_ = now_ });
  }
  progress_ = std::move(updated);
}

const ControlLog::Progress* ControlLog::FindProgress(
  const v1::LogMember& aMember) const
{
  const auto it = std::find_if(
    progress_.begin(), progress_.end(), [&](const auto& aProgress) {
      return IsSame(aProgress.member_, aMember);
    });
  return it != progress_.end() ? &*it : nullptr;
}

ControlLog::Progress* ControlLog::FindProgress(const v1::LogMember& aMember)
{
  return const_cast<Progress*>(std::as_const(*this).FindProgress(aMember));
}

void ControlLog::MaintainLeadership()
{
  const bool hasQuorum = HasQuorum([&](const v1::LogMember& aMember) {
    const Progress* progress = FindProgress(aMember);
    return IsSame(aMember, self_) ||
           (progress != nullptr && now_ - progress->lastContactAt_ <
                                     options_.timing_.minElectionTimeout_);
  });
  const bool isReplaced = !isLeaving_ && IsReplaced(self_);
  if (!hasQuorum || isReplaced) {
    BecomeFollower(term_, {});
    return;
  }
  if (now_ < nextHeartbeatAt_) {
    SendPending();
    return;
  }
  nextHeartbeatAt_ = now_ + options_.timing_.heartbeat_;
  DropUnresponsiveLearners();
  MaybeChangeMembers();
  for (Progress& progress : progress_) {
    const bool isInFlight =
      progress.sentUpTo_ != 0 &&
      now_ - progress.sentAt_ < options_.timing_.minElectionTimeout_;
    if (isInFlight) {
      SendHeartbeat(progress);
    } else {
      SendAppend(progress);
    }
  }
}

void ControlLog::AppendAsLeader(v1::LogEntry aEntry)
{
  aEntry.set_index(history_.LastIndex() + 1);
  aEntry.set_term(term_);
  v1::LogRecord record;
  *record.mutable_entry() = aEntry;
  Record(record);
  history_.Put(std::move(aEntry));
  SendPending();
}

bool ControlLog::HasPending(const Progress& aProgress) const
{
  return aProgress.sentUpTo_ == 0 &&
         aProgress.nextIndex_ <= history_.LastIndex();
}

void ControlLog::SendPending()
{
  for (Progress& progress : progress_) {
    if (HasPending(progress) && now_ - progress.entriesSentAt_ >= AppendGap()) {
      SendAppend(progress);
    }
  }
}

Millis ControlLog::AppendGap() const
{
  return options_.timing_.appendGap_ * static_cast<int64_t>(progress_.size());
}

Millis ControlLog::NextAppendAt() const
{
  Millis next = Millis::Max();
  for (const Progress& progress : progress_) {
    if (HasPending(progress)) {
      next = std::min(next, progress.entriesSentAt_ + AppendGap());
    }
  }
  return next;
}

// Prevents an election by the follower while a large message is in flight.
// Carries no entries and no commit index.
void ControlLog::SendHeartbeat(Progress& aProgress)
{
  v1::PeerMessage message;
  message.mutable_append()->set_sent_ms(now_.Count());
  Send(std::move(message), aProgress.member_);
}

void ControlLog::SendAppend(Progress& aProgress)
{
  const uint64_t previous = aProgress.nextIndex_ - 1;
  if (previous < history_.SnapshotIndex()) {
    SendSnapshot(aProgress);
    return;
  }
  v1::PeerMessage message;
  v1::PeerMessage::Append& append = *message.mutable_append();
  append.set_previous_index(previous);
  append.set_previous_term(history_.TermAt(previous).value());
  append.set_commit(commitIndex_);
  append.set_sent_ms(now_.Count());
  size_t bytes = 0;
  uint64_t index = previous;
  while (index < history_.LastIndex() && bytes < options_.maxMessageBytes_) {
    const v1::LogEntry& entry = history_.At(++index);
    *append.add_entries() = entry;
    bytes += entry.ByteSizeLong();
  }
  const bool hasEntries = index > previous;
  aProgress.sentUpTo_ = hasEntries ? index : 0;
  aProgress.entriesSentAt_ = hasEntries ? now_ : aProgress.entriesSentAt_;
  aProgress.sentCommitIndex_ = commitIndex_;
  aProgress.sentAt_ = now_;
  Send(std::move(message), aProgress.member_);
}

void ControlLog::SendSnapshot(Progress& aProgress)
{
  v1::PeerMessage message;
  *message.mutable_snapshot() = history_.Snapshot();
  aProgress.sentUpTo_ = history_.SnapshotIndex();
  aProgress.sentAt_ = now_;
  Send(std::move(message), aProgress.member_);
}

void ControlLog::OnAppendReply(const v1::PeerMessage& aMessage)
{
  if (aMessage.term() > term_) {
    BecomeFollower(aMessage.term(), {});
    return;
  }
  Progress* progress = IsLeader() && aMessage.term() == term_
                         ? FindProgress(aMessage.from())
                         : nullptr;
  if (progress == nullptr) {
    return;
  }
  progress->lastContactAt_ = now_;
  Learner* learner = FindLearner(aMessage.from());
  if (learner != nullptr) {
    learner->lastContactAt_ = now_;
  }
  const v1::PeerMessage::AppendReply& reply = aMessage.append_reply();
  progress->lastAnsweredSentAt_ =
    std::max(progress->lastAnsweredSentAt_, Millis(reply.sent_ms()));
  if (!reply.accepted()) {
    const uint64_t before = progress->nextIndex_ - 1;
    progress->nextIndex_ =
      std::max(progress->matchIndex_, std::min(before, reply.last())) + 1;
    SendAppend(*progress);
    return;
  }
  progress->matchIndex_ = std::max(progress->matchIndex_, reply.match());
  progress->nextIndex_ =
    std::max(progress->nextIndex_, progress->matchIndex_ + 1);
  if (progress->matchIndex_ >= progress->sentUpTo_) {
    progress->sentUpTo_ = 0;
  }
  AdvanceCommitIndex();
  if (learner != nullptr) {
    MaybeChangeMembers();
  }
  SendPending();
  SendCommitIndex(aMessage.from());
}

// Without this, a follower with a message in flight when the commit index
// advanced, and without pending entries, would receive the index only with the
// next heartbeat.
void ControlLog::SendCommitIndex(const v1::LogMember& aMember)
{
  Progress* progress = FindProgress(aMember);
  const bool isBehind = options_.sendCommitImmediately_ &&
                        progress != nullptr && progress->sentUpTo_ == 0 &&
                        progress->sentCommitIndex_ < commitIndex_;
  if (isBehind) {
    SendAppend(*progress);
  }
}

// A follower that answered a message was in this leader's term when it received
// the message, so no quorum had elected another leader when it was sent.
Millis ControlLog::LeaderLeaseExpiresAt() const
{
  if (!IsEstablishedLeader()) {
    return {};
  }
  const Millis followedAt =
    QuorumValueOfConfigs([&](const v1::LogMember& aMember) {
      if (IsSame(aMember, self_)) {
        return now_;
      }
      const Progress* progress = FindProgress(aMember);
      return progress != nullptr ? progress->lastAnsweredSentAt_ : Millis();
    });
  return followedAt + options_.timing_.leaderLease_;
}

void ControlLog::AdvanceCommitIndex()
{
  const bool wasPending = IsConfigPending();
  const uint64_t durableIndex =
    QuorumValueOfConfigs([&](const v1::LogMember& aMember) {
      if (IsSame(aMember, self_)) {
        return syncedIndex_;
      }
      const Progress* progress = FindProgress(aMember);
      return progress != nullptr ? progress->matchIndex_ : 0;
    });
  // An entry of an earlier term may be overwritten even if a quorum holds it;
  // it is committed together with the first entry of this term.
  if (durableIndex <= commitIndex_ || history_.TermAt(durableIndex) != term_) {
    return;
  }
  SetCommit(durableIndex);
  if (wasPending && !IsConfigPending()) {
    RefreshProgress();
    AppendAsLeader({});
    configKnownIndex_ = history_.LastIndex();
  }
  if (!options_.sendCommitImmediately_) {
    return;
  }
  // Followers serve from their applied state, so they need the index now.
  for (Progress& progress : progress_) {
    if (progress.sentUpTo_ == 0) {
      SendAppend(progress);
    }
  }
}

} // namespace vanillahatch
