// What the leader does: replication, commit, replacement of replicas.
#include "vanillahatch/core/control_log.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Entries that a joining replica may be behind when it is taken in. It votes
// only with the configuration entry in its log, so with everything before it.
constexpr uint64_t kCatchUpSlack = 100;
// A member that has been silent for so long gives its place to a newcomer of
// another name.
constexpr Millis kLostAfter = Seconds(2);
// A member of an even number is left out after this: without it as many losses
// are borne, and a quorum is smaller. It may join again.
constexpr Millis kLeftOutAfter = Seconds(6);
constexpr int kLeastMembers = 3;

} // namespace

void ControlLog::BecomeLeader()
{
  role_ = LogRole::kLeader;
  leader_ = self_.name();
  votes_.clear();
  progress_.clear();
  RefreshProgress();
  heartbeatAt_ = now_ + options_.timing_.heartbeat_;
  AppendOwn({});
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
  if (learner_) {
    add(*learner_);
  }
  std::vector<Progress> fresh;
  for (const v1::LogMember& member : targets) {
    const Progress* known = FindProgress(member);
    fresh.push_back(known != nullptr
                      ? *known
                      : Progress{ .member_ = member,
                                  .next_ = history_.LastIndex() + 1,
                                  .heardAt_ = now_ });
  }
  progress_ = std::move(fresh);
}

ControlLog::Progress* ControlLog::FindProgress(const v1::LogMember& aMember)
{
  const auto it =
    std::find_if(progress_.begin(), progress_.end(), [&](const auto& aP) {
      return IsSame(aP.member_, aMember);
    });
  return it != progress_.end() ? &*it : nullptr;
}

void ControlLog::LeadOn()
{
  const bool hasQuorum = HasQuorum([&](const v1::LogMember& aMember) {
    const Progress* progress = FindProgress(aMember);
    return IsSame(aMember, self_) ||
           (progress != nullptr &&
            now_ - progress->heardAt_ < options_.timing_.minElectionTimeout_);
  });
  if (!hasQuorum) {
    BecomeFollower(term_, {});
    return;
  }
  if (now_ < heartbeatAt_) {
    SendPending();
    return;
  }
  heartbeatAt_ = now_ + options_.timing_.heartbeat_;
  if (learner_ &&
      now_ - learnerHeardAt_ > options_.timing_.maxElectionTimeout_) {
    learner_.reset();
    RefreshProgress();
  }
  MaybeLeaveOut();
  for (Progress& progress : progress_) {
    const bool isUnderWay =
      progress.sentUpTo_ != 0 &&
      now_ - progress.sentAt_ < options_.timing_.minElectionTimeout_;
    if (isUnderWay) {
      SendHeartbeat(progress);
    } else {
      SendAppend(progress);
    }
  }
}

void ControlLog::AppendOwn(v1::LogEntry aEntry)
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
  return aProgress.sentUpTo_ == 0 && aProgress.next_ <= history_.LastIndex();
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

// Keeps the follower from an election while a large message is under way;
// says nothing about its log.
void ControlLog::SendHeartbeat(Progress& aProgress)
{
  v1::PeerMessage message;
  message.mutable_append()->set_sent_ms(now_.Count());
  Send(std::move(message), aProgress.member_);
}

void ControlLog::SendAppend(Progress& aProgress)
{
  const uint64_t previous = aProgress.next_ - 1;
  if (previous < history_.BaseIndex()) {
    SendSnapshot(aProgress);
    return;
  }
  v1::PeerMessage message;
  v1::PeerMessage::Append& append = *message.mutable_append();
  append.set_previous_index(previous);
  append.set_previous_term(history_.TermAt(previous).value());
  append.set_commit(commit_);
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
  aProgress.toldCommit_ = commit_;
  aProgress.sentAt_ = now_;
  Send(std::move(message), aProgress.member_);
}

void ControlLog::SendSnapshot(Progress& aProgress)
{
  v1::PeerMessage message;
  *message.mutable_snapshot() = history_.Base();
  aProgress.sentUpTo_ = history_.BaseIndex();
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
  progress->heardAt_ = now_;
  const v1::PeerMessage::AppendReply& reply = aMessage.append_reply();
  progress->followedAt_ =
    std::max(progress->followedAt_, Millis(reply.sent_ms()));
  if (!reply.accepted()) {
    const uint64_t before = progress->next_ - 1;
    progress->next_ =
      std::max(progress->match_, std::min(before, reply.last())) + 1;
    SendAppend(*progress);
    return;
  }
  progress->match_ = std::max(progress->match_, reply.match());
  progress->next_ = std::max(progress->next_, progress->match_ + 1);
  if (progress->match_ >= progress->sentUpTo_) {
    progress->sentUpTo_ = 0;
  }
  CommitAcknowledged();
  MaybeReplace();
  SendPending();
  TellCommit(aMessage.from());
}

// A follower whose message was under way when the commit moved on, and that
// has nothing more to get, would learn of it only with the next heartbeat.
void ControlLog::TellCommit(const v1::LogMember& aMember)
{
  Progress* progress = FindProgress(aMember);
  const bool isBehind = options_.tellCommitAtOnce_ && progress != nullptr &&
                        progress->sentUpTo_ == 0 &&
                        progress->toldCommit_ < commit_;
  if (isBehind) {
    SendAppend(*progress);
  }
}

// A follower that answered a message of ours was in our term when it got it,
// so no majority had elected another leader when we sent it.
Millis ControlLog::PermittedUntil() const
{
  if (!IsLeaderInForce()) {
    return {};
  }
  Millis since = FollowedSince(history_.Latest().config_);
  if (IsConfigPending() && history_.BeforeLatest() != nullptr) {
    since = std::min(since, FollowedSince(history_.BeforeLatest()->config_));
  }
  return since + options_.timing_.permission_;
}

// The latest instant at which a majority of `aConfig` is known to have
// followed this leader.
Millis ControlLog::FollowedSince(const v1::LogConfig& aConfig) const
{
  std::vector<Millis> followed;
  for (const v1::LogMember& member : aConfig.members()) {
    const auto progress =
      std::find_if(progress_.begin(), progress_.end(), [&](const auto& aP) {
        return IsSame(aP.member_, member);
      });
    followed.push_back(IsSame(member, self_)         ? now_
                       : progress != progress_.end() ? progress->followedAt_
                                                     : Millis());
  }
  std::sort(followed.begin(), followed.end(), std::greater<>());
  return followed[followed.size() / 2];
}

// The highest index that a majority of `aConfig` holds on disk.
uint64_t ControlLog::AgreedIndex(const v1::LogConfig& aConfig)
{
  std::vector<uint64_t> matches;
  for (const v1::LogMember& member : aConfig.members()) {
    const Progress* progress = FindProgress(member);
    const uint64_t other = progress != nullptr ? progress->match_ : 0;
    matches.push_back(IsSame(member, self_) ? synced_ : other);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  return matches[matches.size() / 2];
}

void ControlLog::CommitAcknowledged()
{
  const bool wasPending = IsConfigPending();
  uint64_t agreed = AgreedIndex(history_.Latest().config_);
  if (wasPending && history_.BeforeLatest() != nullptr) {
    agreed = std::min(agreed, AgreedIndex(history_.BeforeLatest()->config_));
  }
  // An entry of an earlier term may still be overwritten although a majority
  // holds it; it is committed together with the first one of this term.
  if (agreed <= commit_ || history_.TermAt(agreed) != term_) {
    return;
  }
  SetCommit(agreed);
  if (wasPending && !IsConfigPending()) {
    RefreshProgress();
  }
  if (!options_.tellCommitAtOnce_) {
    return;
  }
  // Followers learn of the commit at once, since they apply it too.
  for (Progress& progress : progress_) {
    if (progress.sentUpTo_ == 0) {
      SendAppend(progress);
    }
  }
}

// The member that has been silent the longest, and longer than `aSpan`.
ControlLog::Members::iterator ControlLog::FindSilent(Members& aMembers,
                                                     Millis aSpan)
{
  auto found = aMembers.end();
  Millis since = now_ - aSpan;
  for (auto it = aMembers.begin(); it != aMembers.end(); ++it) {
    const Progress* progress = FindProgress(*it);
    if (progress != nullptr && progress->heardAt_ < since) {
      since = progress->heardAt_;
      found = it;
    }
  }
  return found;
}

void ControlLog::MaybeLeaveOut()
{
  const auto& present = history_.Latest().config_;
  const int size = present.members_size();
  const bool isEven = size % 2 == 0;
  if (!options_.openMembership_ || !isEven || size <= kLeastMembers ||
      IsConfigPending() || learner_ || !IsLeaderInForce()) {
    return;
  }
  v1::LogEntry entry;
  *entry.mutable_config() = present;
  auto& members = *entry.mutable_config()->mutable_members();
  const auto silent = FindSilent(members, kLeftOutAfter);
  if (silent == members.end()) {
    return;
  }
  members.erase(silent);
  AppendOwn(std::move(entry));
  RefreshProgress();
}

// Puts a replica that has caught up into the configuration, in the place of
// its former incarnation if there was one.
void ControlLog::MaybeReplace()
{
  const Progress* progress = learner_ ? FindProgress(*learner_) : nullptr;
  if (progress == nullptr || progress->match_ == 0 ||
      progress->match_ + kCatchUpSlack < commit_ || IsConfigPending() ||
      !IsLeaderInForce()) {
    return;
  }
  v1::LogEntry entry;
  *entry.mutable_config() = history_.Latest().config_;
  auto& members = *entry.mutable_config()->mutable_members();
  auto it =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.name() == learner_->name();
    });
  if (it == members.end()) {
    it = FindSilent(members, kLostAfter);
  }
  if (it != members.end()) {
    *it = *learner_;
  } else {
    *members.Add() = *learner_;
  }
  learner_.reset();
  AppendOwn(std::move(entry));
  RefreshProgress();
}

} // namespace vanillahatch
