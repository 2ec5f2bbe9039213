#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <stdexcept>

namespace vanillahatch {

namespace {

v1::LogRecord EntryRecord(const v1::LogEntry& aEntry)
{
  v1::LogRecord record;
  *record.mutable_entry() = aEntry;
  return record;
}

} // namespace

ControlLog::ControlLog(ControlLogOptions aOptions,
                       const StoreContents* aContents,
                       Millis aNow)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , now_(aNow)
{
  if (aContents != nullptr) {
    Recover(*aContents);
  }
  if (self_.incarnation() == 0) {
    StartBlank();
  }
  nextHelloAt_ = aNow;
  ResetElectionTimer();
}

void ControlLog::StartBlank()
{
  self_.set_name(options_.self_);
  self_.set_incarnation(random_() | 1U);
  v1::LogRecord record;
  *record.mutable_identity()->mutable_self() = self_;
  Record(record);
}

void ControlLog::Recover(const StoreContents& aContents)
{
  if (!aContents.snapshot_.empty()) {
    v1::LogSnapshot snapshot;
    if (!snapshot.ParseFromString(aContents.snapshot_)) {
      throw std::runtime_error("control log: snapshot cannot be parsed");
    }
    commitIndex_ = snapshot.index();
    appliedIndex_ = snapshot.index();
    actions_.restored_ = snapshot.state();
    history_.SetSnapshot(std::move(snapshot));
  }
  uint64_t committed = 0;
  for (const std::string& bytes : aContents.records_) {
    v1::LogRecord record;
    if (!record.ParseFromString(bytes)) {
      throw std::runtime_error("control log: record cannot be parsed");
    }
    if (record.has_identity()) {
      self_ = record.identity().self();
    } else if (record.has_cluster()) {
      clusterId_ = record.cluster().id();
    } else if (record.has_vote()) {
      term_ = record.vote().term();
      votedFor_ = record.vote().has_candidate()
                    ? std::optional(record.vote().candidate())
                    : std::nullopt;
    } else if (record.has_entry()) {
      const uint64_t index = record.entry().index();
      if (index <= history_.SnapshotIndex() ||
          index > history_.LastIndex() + 1) {
        throw std::runtime_error("control log: entry " + std::to_string(index) +
                                 " out of order");
      }
      history_.Put(record.entry());
    } else if (record.has_committed()) {
      committed = record.committed().index();
    }
  }
  if (self_.incarnation() != 0 && self_.name() != options_.self_) {
    throw std::runtime_error(
      "control log: the data folder belongs to replica " + self_.name());
  }
  syncedIndex_ = history_.LastIndex();
  SetCommit(std::max(commitIndex_, std::min(committed, syncedIndex_)));
}

void ControlLog::Record(const v1::LogRecord& aRecord)
{
  actions_.records_.push_back(aRecord.SerializeAsString());
}

void ControlLog::RecordVote()
{
  v1::LogRecord record;
  record.mutable_vote()->set_term(term_);
  if (votedFor_) {
    *record.mutable_vote()->mutable_candidate() = *votedFor_;
  }
  Record(record);
}

void ControlLog::RecordCluster()
{
  v1::LogRecord record;
  record.mutable_cluster()->set_id(clusterId_);
  Record(record);
}

std::vector<std::string> ControlLog::FullStateRecords() const
{
  std::vector<std::string> records;
  const auto add = [&](const v1::LogRecord& aRecord) {
    records.push_back(aRecord.SerializeAsString());
  };
  v1::LogRecord identity;
  *identity.mutable_identity()->mutable_self() = self_;
  add(identity);
  v1::LogRecord cluster;
  cluster.mutable_cluster()->set_id(clusterId_);
  add(cluster);
  v1::LogRecord vote;
  vote.mutable_vote()->set_term(term_);
  if (votedFor_) {
    *vote.mutable_vote()->mutable_candidate() = *votedFor_;
  }
  add(vote);
  for (uint64_t i = history_.SnapshotIndex() + 1; i <= history_.LastIndex();
       ++i) {
    add(EntryRecord(history_.At(i)));
  }
  v1::LogRecord committed;
  committed.mutable_committed()->set_index(commitIndex_);
  add(committed);
  return records;
}

void ControlLog::QueueCompaction()
{
  // The compaction contains the full state, which supersedes records not yet
  // written.
  actions_.records_.clear();
  actions_.compaction_ = { .snapshot_ = history_.Snapshot().SerializeAsString(),
                           .records_ = FullStateRecords() };
}

void ControlLog::Compact(std::string aState)
{
  if (HasActions() || appliedIndex_ <= history_.SnapshotIndex()) {
    return;
  }
  const LogHistory::Configuration& config =
    history_.ConfigurationAt(appliedIndex_);
  v1::LogSnapshot snapshot;
  snapshot.set_index(appliedIndex_);
  snapshot.set_term(history_.TermAt(appliedIndex_).value());
  snapshot.set_config_index(config.index_);
  *snapshot.mutable_config() = config.config_;
  snapshot.set_state(std::move(aState));
  history_.SetSnapshot(std::move(snapshot));
  QueueCompaction();
}

bool ControlLog::HasActions() const
{
  return !actions_.early_.empty() || actions_.compaction_ ||
         !actions_.records_.empty() || !actions_.messages_.empty() ||
         actions_.restored_ || !actions_.committed_.empty();
}

LogActions ControlLog::TakeActions()
{
  return std::exchange(actions_, {});
}

void ControlLog::OnSynced()
{
  syncedIndex_ = history_.LastIndex();
  durableSelfVoteTerm_ = votedFor_ && IsSame(*votedFor_, self_) ? term_ : 0;
  if (role_ == LogRole::kCandidate) {
    CountVotes();
  } else if (IsLeader()) {
    AdvanceCommitIndex();
  }
}

void ControlLog::Send(v1::PeerMessage aMessage, const v1::LogMember& aTo)
{
  aMessage.set_cluster(clusterId_);
  *aMessage.mutable_from() = self_;
  aMessage.set_to(aTo.name());
  aMessage.set_to_incarnation(aTo.incarnation());
  for (const v1::LogMember& lost : lostMembers_.Members()) {
    *aMessage.add_lost() = lost;
  }
  if (aMessage.term() == 0) {
    aMessage.set_term(term_);
  }
  // A leader may replicate entries before they are durable here, because it
  // counts its own copy only after `OnSynced`.
  const bool isEarly = aMessage.has_append() || aMessage.has_snapshot();
  (isEarly ? actions_.early_ : actions_.messages_)
    .push_back(std::move(aMessage));
}

void ControlLog::ResetElectionTimer()
{
  SetElectionTimer(options_.timing_.minElectionTimeout_,
                   options_.timing_.maxElectionTimeout_);
}

void ControlLog::SetElectionTimer(Millis aMin, Millis aMax)
{
  const auto spread = static_cast<uint64_t>((aMax - aMin).Count());
  const auto extra = Millis(static_cast<int64_t>(random_() % (spread + 1)));
  electionTimeoutAt_ = now_ + aMin + extra;
}

bool ControlLog::IsMember() const
{
  return clusterId_ != 0 && Contains(history_.Latest().config_, self_);
}

bool ControlLog::IsEstablishedLeader() const
{
  return IsLeader() && history_.TermAt(commitIndex_) == term_;
}

Millis ControlLog::NextTickAt() const
{
  if (IsLeader()) {
    return std::min(nextHeartbeatAt_, NextAppendAt());
  }
  Millis next = MayStandForElection() ? electionTimeoutAt_ : Millis::Max();
  if (isLeaving_) {
    next = std::min(next, nextLeaveAt_);
  } else if (!IsCommittedMember()) {
    next = std::min(next, nextHelloAt_);
  }
  return next;
}

bool ControlLog::IsCommittedMember() const
{
  return IsMember() &&
         Contains(history_.ConfigurationAt(commitIndex_).config_, self_);
}

bool ControlLog::MayStandForElection() const
{
  const LogHistory::Configuration* before = history_.BeforeLatest();
  const bool isInPendingChange =
    IsConfigPending() && before != nullptr && Contains(before->config_, self_);
  return clusterId_ != 0 && (IsMember() || isInPendingChange);
}

// Runs before every message and proposal, so a leader whose process was
// suspended detects that it lost its quorum before it handles the next event.
void ControlLog::AdvanceTime(Millis aNow)
{
  now_ = std::max(now_, aNow);
  if (IsLeader()) {
    MaintainLeadership();
    return;
  }
  if (isLeaving_ && now_ >= nextLeaveAt_) {
    SendLeave();
  }
  if (!isLeaving_ && !IsCommittedMember() && now_ >= nextHelloAt_) {
    SendHellos();
  }
  if (MayStandForElection() && now_ >= electionTimeoutAt_) {
    StartPreVote();
  }
}

void ControlLog::Tick(Millis aNow)
{
  AdvanceTime(aNow);
}

void ControlLog::Receive(Millis aNow, const v1::PeerMessage& aMessage)
{
  AdvanceTime(aNow);
  if (clusterId_ == 0 && aMessage.to() == self_.name()) {
    // A message for a former incarnation is from a member that this replica
    // may not know from its settings.
    sendersWhileBlank_.insert(aMessage.from().name());
  }
  const bool isForOldIncarnation =
    aMessage.to_incarnation() != 0 &&
    aMessage.to_incarnation() != self_.incarnation();
  if (aMessage.to() != self_.name() || isForOldIncarnation) {
    return;
  }
  RememberLostMembers(aMessage);
  if (clusterId_ == 0) {
    ReceiveWhileBlank(aMessage);
    return;
  }
  if (aMessage.has_hello()) {
    OnHello(aMessage);
    return;
  }
  if (aMessage.cluster() != clusterId_) {
    return;
  }
  if (aMessage.has_hello_reply()) {
    RememberMembers(aMessage);
    RememberFormerIncarnations(aMessage);
  } else if (aMessage.has_vote_request()) {
    OnVoteRequest(aMessage);
  } else if (aMessage.has_vote_reply()) {
    OnVoteReply(aMessage);
  } else if (aMessage.has_append()) {
    OnAppend(aMessage);
  } else if (aMessage.has_snapshot()) {
    OnSnapshot(aMessage);
  } else if (aMessage.has_append_reply()) {
    OnAppendReply(aMessage);
  } else if (aMessage.has_leave()) {
    OnLeave(aMessage);
  } else if (aMessage.has_leave_reply()) {
    needNotStay_ = true;
  }
}

Result<LogPosition, ProposeError> ControlLog::Propose(Millis aNow,
                                                      std::string aPayload)
{
  AdvanceTime(aNow);
  if (aPayload.size() > options_.maxPayloadBytes_) {
    return ProposeError::kTooLarge;
  }
  if (!IsLeader()) {
    return ProposeError::kNotLeader;
  }
  if (history_.LastIndex() - commitIndex_ >= options_.maxUncommitted_) {
    return ProposeError::kOverloaded;
  }
  v1::LogEntry entry;
  entry.set_payload(std::move(aPayload));
  AppendAsLeader(std::move(entry));
  return LogPosition{ .index_ = history_.LastIndex(), .term_ = term_ };
}

void ControlLog::SetCommit(uint64_t aIndex)
{
  if (aIndex <= commitIndex_) {
    return;
  }
  const bool wasPending = IsConfigPending();
  commitIndex_ = aIndex;
  if (wasPending && !IsConfigPending()) {
    // Without this record, after a restart this replica would need votes of the
    // replaced incarnations, which may be lost permanently.
    v1::LogRecord record;
    record.mutable_committed()->set_index(commitIndex_);
    Record(record);
    lostMembers_.Retain(QuorumConfigs());
  }
  QueueCommitted();
}

void ControlLog::QueueCommitted()
{
  while (appliedIndex_ < commitIndex_) {
    ++appliedIndex_;
    actions_.committed_.push_back(history_.At(appliedIndex_));
  }
}

} // namespace vanillahatch
